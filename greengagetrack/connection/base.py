"""What every kind of link between two processes offers."""

import abc

import msgspec


class NotSent(msgspec.Struct, frozen=True):
    """The request provably never left this process."""


class Lost(msgspec.Struct, frozen=True):
    """The request left, and no usable answer came."""

    detail: str = ""


class PeerLink(abc.ABC):
    """A way to ask one peer questions, many at the same time."""

    @abc.abstractmethod
    def is_up(self):
        """Return whether the peer is connected at this moment."""

    @abc.abstractmethod
    async def request(self, message, timeout_s):
        """Return the reply, `NotSent` or `Lost`.

        A message that is not sent at once, because the link is down, is
        never sent: `NotSent` is a proof.
        """

    @abc.abstractmethod
    def close(self):
        """End the link; questions in progress end as `Lost`."""


class LinkFactory(abc.ABC):
    """Opens links by address."""

    @abc.abstractmethod
    def open_link(self, address):
        """Return a link that connects to `address` by itself."""


class PeerServer(abc.ABC):
    """Answers the questions that peers ask this process."""

    @abc.abstractmethod
    async def serve(self, handler):
        """Pass each request to `await handler(message)` until cancelled."""


class Links:
    """The links that this process holds, one for each address."""

    __slots__ = ("_factory", "_link_by_address")

    def __init__(self, factory):
        self._factory = factory
        self._link_by_address = {}

    def get_link(self, address):
        """Return the link to `address`, opened if there is none yet."""
        if address not in self._link_by_address:
            link = self._factory.open_link(address)
            self._link_by_address[address] = link
        return self._link_by_address[address]

    def drop(self, address):
        """Close the link to an address; the next one is a new one."""
        link = self._link_by_address.pop(address, None)
        if link is not None:
            link.close()

    def keep_only(self, addresses):
        """Close the links to all other addresses."""
        for address in set(self._link_by_address) - set(addresses):
            self._link_by_address.pop(address).close()

    def close(self):
        """Close all links."""
        self.keep_only(())


def new_links(factory):
    """Return an empty set of links that `factory` opens."""
    return Links(factory)
