"""In-memory links between processes, with injected network faults.

All messages pass through the real codec. Requests and replies can be
lost or delayed, and requests can be delivered twice.
"""

import msgspec
import trio

from greengagetrack.connection import base
from greengagetrack.connection import messages

LOCAL_DELAY_S = 0.001


class Faults(msgspec.Struct):
    """How many of the next requests and replies a fault affects."""

    requests_to_drop: int = 0
    replies_to_drop: int = 0
    requests_to_duplicate: int = 0
    duplicate_delay_s: float = 0.5


class Network:
    """A simulated network: handlers by address, delays and faults."""

    def __init__(self, nursery):
        self._nursery = nursery
        self._handler_by_address = {}
        self._cut_routes = set()
        self._thawed_by_address = {}
        self.faults = Faults()
        self.region_by_address = {}
        self.region_delay_s = 0.0
        self.cross_region_bytes = 0
        self.bytes_by_address = {}
        self.messages_by_address = {}

    def listen(self, address, handler):
        """Handle requests to an address with `await handler(message)`."""
        self._handler_by_address[address] = handler

    def stop_listening(self, address):
        """Remove the handler of an address whose process has ended."""
        self._handler_by_address.pop(address, None)

    def cut(self, source, target):
        """Disconnect two addresses from each other."""
        self._cut_routes.add((source, target))

    def restore_links(self):
        """Reconnect all addresses."""
        self._cut_routes.clear()

    def freeze(self, address):
        """Delay all messages to and from an address until `thaw()`."""
        self._thawed_by_address.setdefault(address, trio.Event())

    def thaw(self, address):
        """Deliver the delayed messages of an address."""
        event = self._thawed_by_address.pop(address, None)
        if event is not None:
            event.set()

    def is_connected(self, source, target):
        """Return whether `target` listens and is not cut off from `source`."""
        return target in self._handler_by_address and not (
            (source, target) in self._cut_routes
            or (target, source) in self._cut_routes
        )

    async def request(self, source, target, message):
        """Return the reply of a target; never return if it is lost."""
        if self._consume_fault("requests_to_drop"):
            return await self._wait_forever()
        if self._consume_fault("requests_to_duplicate"):
            self._nursery.start_soon(
                self._deliver_duplicate, source, target, message
            )
        reply = await self._deliver(source, target, message)
        if self._consume_fault("replies_to_drop") or reply is None:
            return await self._wait_forever()
        return reply

    def _consume_fault(self, name):
        count = getattr(self.faults, name)
        if count > 0:
            setattr(self.faults, name, count - 1)
        return count > 0

    async def _wait_forever(self):
        await trio.sleep_forever()

    async def _deliver_duplicate(self, source, target, message):
        await trio.sleep(self.faults.duplicate_delay_s)
        await self._deliver(source, target, message)

    async def _deliver(self, source, target, message):
        """Return the reply, or None if it or the request is undeliverable."""
        await trio.sleep(self._get_delay_s(source, target))
        for address in (source, target):
            if address in self._thawed_by_address:
                await self._thawed_by_address[address].wait()
        if not self.is_connected(source, target):
            return None
        handler = self._handler_by_address[target]
        body = messages.encode(message)
        self._count_message(source, target, len(body))
        request = messages.decode_request(body)
        reply = await handler(request)
        if target in self._thawed_by_address:
            await self._thawed_by_address[target].wait()
        if self._handler_by_address.get(target) is not handler:
            return None
        body = messages.encode(reply)
        self._count_message(target, source, len(body))
        await trio.sleep(self._get_delay_s(source, target))
        if not self.is_connected(source, target):
            return None
        return messages.decode_reply(body)

    def _get_delay_s(self, source, target):
        if self.is_cross_region(source, target):
            return self.region_delay_s
        return LOCAL_DELAY_S

    def is_cross_region(self, source, target):
        """Return whether two addresses are in different regions."""
        regions = self.region_by_address
        return regions.get(source) != regions.get(target)

    def _count_message(self, source, target, size):
        if self.is_cross_region(source, target):
            self.cross_region_bytes += size
        sizes, counts = self.bytes_by_address, self.messages_by_address
        sizes[source] = sizes.get(source, 0) + size
        counts[source] = counts.get(source, 0) + 1


class MemoryLink(base.PeerLink):
    """A link over a `Network`."""

    def __init__(self, network, source, target):
        self._network = network
        self._source = source
        self._target = target

    def is_up(self):
        """Return whether the peer is connected."""
        return self._network.is_connected(self._source, self._target)

    async def request(self, message, timeout_s):
        """Return the reply, `NotSent` or `Lost`."""
        if not self.is_up():
            await trio.lowlevel.checkpoint()
            return base.NotSent()
        with trio.move_on_after(timeout_s):
            reply = await self._network.request(
                self._source, self._target, message
            )
            if isinstance(reply, messages.Malformed | messages.Rejected):
                return base.Lost(reply.detail)
            return reply
        return base.Lost("timeout")

    def close(self):
        """Close the link; an in-memory link holds no resources."""


class MemoryLinkFactory(base.LinkFactory):
    """Opens the links of one process over a `Network`."""

    def __init__(self, network, source):
        self._network = network
        self._source = source

    def open_link(self, address):
        """Return a link to `address`."""
        return MemoryLink(self._network, self._source, address)
