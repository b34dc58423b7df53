"""The interface of links between processes, for any transport."""

import abc
import ipaddress
import re

import msgspec

PORT_MAX = 65535
_ADDRESS = re.compile(
    r"(?:[A-Za-z0-9.-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\]):([0-9]{1,5})"
)


def is_address(text):
    """Return whether a text is `HOST:PORT`, to connect to."""
    match = _ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= PORT_MAX


def is_ipv4_address(text):
    """Return whether a text is `HOST:PORT` with the IPv4 address of a host.

    A host's name, which would have to be looked up, is none::

        assert is_ipv4_address("10.0.0.1:80")
        assert not is_ipv4_address("localhost:80")
    """
    host, _separator, _port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return is_address(text)


class NotSent(msgspec.Struct, frozen=True):
    """The request was certainly not sent."""


class Lost(msgspec.Struct, frozen=True):
    """The request was sent, but no usable reply was received."""

    detail: str = ""


class PeerLink(abc.ABC):
    """A client of one peer, for any number of concurrent requests."""

    @abc.abstractmethod
    def is_up(self):
        """Return whether the peer is connected at this moment."""

    @abc.abstractmethod
    async def request(self, message, timeout_s):
        """Send a request; return the reply, `NotSent` or `Lost`.

        If the link is down, the message is dropped, not queued, so
        `NotSent` proves that the peer will never receive it.
        """

    @abc.abstractmethod
    def close(self):
        """Close the link; requests in progress return `Lost`."""


class LinkFactory(abc.ABC):
    """A factory of links, each to one address."""

    @abc.abstractmethod
    def open_link(self, address):
        """Return a link that connects to `address` in the background."""


class PeerServer(abc.ABC):
    """A server for the requests of peers."""

    @abc.abstractmethod
    async def serve(self, handler):
        """Pass each request to `await handler(message)` until cancelled."""


class Links:
    """The open links of this process, one for each address."""

    __slots__ = ("_factory", "_link_by_address")

    def __init__(self, factory):
        self._factory = factory
        self._link_by_address = {}

    def get_link(self, address):
        """Return the link to `address`; open it if there is none."""
        if address not in self._link_by_address:
            link = self._factory.open_link(address)
            self._link_by_address[address] = link
        return self._link_by_address[address]

    def drop(self, address):
        """Close the link to an address; `get_link` then opens a new one."""
        link = self._link_by_address.pop(address, None)
        if link is not None:
            link.close()

    def keep_only(self, addresses):
        """Close the links to all addresses except `addresses`."""
        for address in set(self._link_by_address) - set(addresses):
            self._link_by_address.pop(address).close()

    def close(self):
        """Close all links."""
        self.keep_only(())


def new_links(factory):
    """Return an empty set of links, to be opened by `factory`."""
    return Links(factory)
