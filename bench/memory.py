"""Links between processes in memory, with the faults of a network.

All messages pass through the real codec. A question can be lost, its
answer can be lost, and either can be late or come twice.
"""

import msgspec
import trio

from greengagetrack.connection import base
from greengagetrack.connection import messages

DELAY_S = 0.001


class Faults(msgspec.Struct):
    """What happens to the next questions on their way."""

    lose_questions: int = 0
    lose_answers: int = 0
    repeat_questions: int = 0
    repeat_delay_s: float = 0.5


class Network:
    """Who listens at which address, and which ways are cut."""

    def __init__(self, nursery):
        self._nursery = nursery
        self._handler_by_address = {}
        self._cut_ways = set()
        self._frozen = {}
        self.faults = Faults()
        self.region_by_address = {}
        self.region_delay_s = 0.0
        self.cross_region_bytes = 0
        self.bytes_by_address = {}
        self.messages_by_address = {}

    def listen(self, address, handler):
        """Answer questions for an address with `await handler(message)`."""
        self._handler_by_address[address] = handler

    def leave(self, address):
        """Stop listening at an address: its process is dead."""
        self._handler_by_address.pop(address, None)

    def cut(self, source, target):
        """Let nothing through from one address to another."""
        self._cut_ways.add((source, target))

    def heal(self):
        """Let everything through again."""
        self._cut_ways.clear()

    def freeze(self, address):
        """Hold all questions to an address, and all of its own."""
        self._frozen.setdefault(address, trio.Event())

    def thaw(self, address):
        """Let the held questions go on."""
        event = self._frozen.pop(address, None)
        if event is not None:
            event.set()

    def is_open(self, source, target):
        """Return whether a connection from one to another would stand."""
        return target in self._handler_by_address and not (
            (source, target) in self._cut_ways
            or (target, source) in self._cut_ways
        )

    async def ask(self, source, target, message):
        """Return the answer of a target, or `Lost`."""
        if self._take_fault("lose_questions"):
            return await self._never()
        if self._take_fault("repeat_questions"):
            self._nursery.start_soon(self._ask_late, source, target, message)
        answer = await self._carry(source, target, message)
        if self._take_fault("lose_answers") or answer is None:
            return await self._never()
        return answer

    def _take_fault(self, name):
        count = getattr(self.faults, name)
        if count > 0:
            setattr(self.faults, name, count - 1)
        return count > 0

    async def _never(self):
        await trio.sleep_forever()

    async def _ask_late(self, source, target, message):
        await trio.sleep(self.faults.repeat_delay_s)
        await self._carry(source, target, message)

    async def _carry(self, source, target, message):
        """Return the answer, or None if it can't come."""
        await trio.sleep(self._get_delay_s(source, target))
        for address in (source, target):
            if address in self._frozen:
                await self._frozen[address].wait()
        if not self.is_open(source, target):
            return None
        handler = self._handler_by_address[target]
        body = messages.encode(message)
        self._count(source, target, len(body))
        request = messages.decode_request(body)
        answer = await handler(request)
        if target in self._frozen:
            await self._frozen[target].wait()
        if self._handler_by_address.get(target) is not handler:
            return None
        body = messages.encode(answer)
        self._count(target, source, len(body))
        await trio.sleep(self._get_delay_s(source, target))
        if not self.is_open(source, target):
            return None
        return messages.decode_reply(body)

    def _get_delay_s(self, source, target):
        if self.is_crossing(source, target):
            return self.region_delay_s
        return DELAY_S

    def is_crossing(self, source, target):
        """Return whether two addresses are in different regions."""
        regions = self.region_by_address
        return regions.get(source) != regions.get(target)

    def _count(self, address, other, size):
        if self.is_crossing(address, other):
            self.cross_region_bytes += size
        sizes, counts = self.bytes_by_address, self.messages_by_address
        sizes[address] = sizes.get(address, 0) + size
        counts[address] = counts.get(address, 0) + 1


class MemoryLink(base.PeerLink):
    """A link over a `Network`."""

    def __init__(self, network, source, target):
        self._network = network
        self._source = source
        self._target = target

    def is_up(self):
        """Return whether the peer is connected at this moment."""
        return self._network.is_open(self._source, self._target)

    async def request(self, message, timeout_s):
        """Return the reply, `NotSent` or `Lost`."""
        if not self.is_up():
            await trio.lowlevel.checkpoint()
            return base.NotSent()
        with trio.move_on_after(timeout_s):
            reply = await self._network.ask(
                self._source, self._target, message
            )
            if isinstance(reply, messages.Malformed | messages.Rejected):
                return base.Lost(reply.detail)
            return reply
        return base.Lost("timeout")

    def close(self):
        """End the link; in memory there is nothing to let go of."""


class MemoryLinkFactory(base.LinkFactory):
    """Opens links of one process over a `Network`."""

    def __init__(self, network, source):
        self._network = network
        self._source = source

    def open_link(self, address):
        """Return a link to `address`."""
        return MemoryLink(self._network, self._source, address)
