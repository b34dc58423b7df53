"""Records of streams outlast their holders, which restart in turn.

Two versions serve all the while, so that a stream goes on only where a record
of it is found.
"""

import pytest
import trio
import trio.testing

from greengagetrack.connection import direct_messages
from tests.direct import test_streams

STREAMS = 24
LIFE_S = 60.0
MEET_PERIOD_S = 0.3
GRACE_S = 8.0
RESTART_S = 0.5
# From then on callers count an entry as in touch.
IN_TOUCH_S = 4.0


class Link(test_streams.Link):
    """A link that knows who uses it; it may be cut one way."""

    def __init__(self, fleet, sender, address):
        super().__init__(fleet, address)
        self._sender = sender

    async def request(self, message, timeout_s):
        fleet = self._fleet
        fleet.told += isinstance(message, direct_messages.TellStreams)
        is_cut = (self._sender, self._address) in fleet.cuts
        if is_cut or self._address not in fleet.started_s_by_address:
            await trio.sleep(timeout_s)
            return None
        return await super().request(message, timeout_s)


class RollingFleet(test_streams.Fleet):
    """Entries that leave, end and start again, and meet all the while."""

    def __init__(self, nursery):
        self.cuts = set()
        self.told = 0
        self.started_s_by_address = {}
        super().__init__(nursery)
        self.change_timeout(LIFE_S)
        self.published = {"v1", "v2"}
        nursery.start_soon(self._meet_often)

    def start(self, index):
        super().start(index)
        address = f"entry-{index}:1"
        self.started_s_by_address[address] = trio.current_time()

    def new_link(self, sender, address):
        """Return the link of an entry to an address."""
        return Link(self, sender, address)

    async def _meet_often(self):
        while True:
            self.meet()
            await trio.sleep(MEET_PERIOD_S)

    def meet(self):
        """Have each entry that runs hear from each other one."""
        for address in self.started_s_by_address:
            self.poll(_get_index(address))

    def poll(self, index):
        """Have an entry read the published list and hear from the others."""
        address = f"entry-{index}:1"
        entry = self.entry_by_address[address]
        self.read_list(entry)
        for other in self.started_s_by_address.keys() - {address}:
            self._hear(entry.members, other)

    def _hear(self, members, other):
        is_leaving = self.entry_by_address[other].members.is_leaving
        member = direct_messages.Member(
            name=other, address=other, is_leaving=is_leaving
        )
        peer = members.update_peer(member, "dc", trio.current_time())
        peer.life = self.started_s_by_address[other]

    def leave(self, index):
        """Have an entry tell the others that it leaves."""
        self.entry_by_address[f"entry-{index}:1"].members.is_leaving = True

    def end(self, index):
        """End an entry with its memory."""
        address = f"entry-{index}:1"
        self.entry_by_address[address].scope.cancel()
        self.started_s_by_address.pop(address, None)

    async def restart(self, index, grace_s=GRACE_S):
        """Have an entry leave, end after its grace and start again."""
        self.leave(index)
        await trio.sleep(grace_s)
        self.end(index)
        await trio.sleep(RESTART_S)
        self.start(index)

    def get_in_touch(self):
        """Return the entries at which callers take up their streams."""
        now_s = trio.current_time()
        return [
            entry
            for address, entry in self.entry_by_address.items()
            if address in self.started_s_by_address
            and now_s - self.started_s_by_address[address] >= IN_TOUCH_S
            and not entry.members.is_leaving
        ]


def _get_index(address):
    return int(address.removeprefix("entry-").removesuffix(":1"))


async def _check_found(fleet, begun):
    """Check that each stream is found wherever a caller may ask."""
    entries = fleet.get_in_touch()
    for entry in entries:
        for stream_id, version, _end_s in begun:
            found = await test_streams._find_version(entry, stream_id)
            assert found == version, (stream_id, trio.current_time())
    return len(entries)


def _run(play):
    """Run `await play(fleet, nursery)`; then each stream is found."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = RollingFleet(nursery)
            await trio.sleep(IN_TOUCH_S + 1.0)
            begun = []
            for number in range(STREAMS):
                index = number % test_streams.ENTRIES
                test_streams._begin(fleet, begun, index, number)
            await trio.sleep(MEET_PERIOD_S)
            async with trio.open_nursery() as changes:
                await play(fleet, changes, begun)
            await trio.sleep(IN_TOUCH_S)
            assert await _check_found(fleet, begun)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("gap_s", [1.3, 3.0, 10.0])
def test_streams_are_found_in_a_rolling_restart_of_all_entries(gap_s):
    """Both holders of a record restarted in the same turn (review/9)."""

    async def play(fleet, changes, begun):
        for index in range(test_streams.ENTRIES):
            changes.start_soon(fleet.restart, index)
            await trio.sleep(gap_s)
            await _check_found(fleet, begun)

    _run(play)


def test_streams_are_found_after_kills_though_others_begin_all_the_while():
    """Telling of a new stream hid that entries had come or gone."""

    async def begin_often(fleet):
        number = 0
        while True:
            number += 1
            test_streams._begin_at(fleet, 0, b"new%d" % number, "v1")
            await trio.sleep(0.05)

    async def play(fleet, _changes, begun):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(begin_often, fleet)
            for index in range(1, test_streams.ENTRIES):
                # Killed before it hands anything over.
                fleet.leave(index)
                fleet.meet()
                fleet.end(index)
                await trio.sleep(3.0)
                fleet.start(index)
                await trio.sleep(3.0)
            nursery.cancel_scope.cancel()
        fleet.end(0)

    _run(play)


def test_streams_are_found_after_two_entries_leave_at_once():
    async def play(fleet, changes, begun):
        for pair in ((0, 1), (2, 3)):
            for index in pair:
                changes.start_soon(fleet.restart, index, 3.0)
            await trio.sleep(3.0 + RESTART_S + 1.0)
            await _check_found(fleet, begun)

    _run(play)


def test_streams_are_found_though_a_holder_is_killed_in_its_hand_over():
    async def play(fleet, _changes, _begun):
        fleet.leave(0)
        await trio.sleep(0.1)
        fleet.end(0)
        await trio.sleep(4.0)
        fleet.start(0)
        await trio.sleep(1.0)
        await fleet.restart(1)

    _run(play)


def test_streams_are_found_though_one_that_took_over_leaves_again():
    async def play(fleet, _changes, _begun):
        for index in (0, 0, 1, 0, 2, 3):
            await fleet.restart(index, 3.0)
            await trio.sleep(1.0)

    _run(play)


def test_streams_are_found_though_messages_of_a_hand_over_are_lost():
    async def play(fleet, changes, _begun):
        for index in range(test_streams.ENTRIES):
            fleet.is_losing = True
            changes.start_soon(fleet.restart, index, 4.0)
            await trio.sleep(1.0)
            fleet.is_losing = False
            await trio.sleep(4.5)

    _run(play)


def test_streams_are_found_beside_a_link_that_is_cut_one_way():
    async def play(fleet, _changes, _begun):
        fleet.cuts.add(("entry-0:1", "entry-1:1"))
        await fleet.restart(2, 4.0)
        await trio.sleep(1.0)
        await fleet.restart(3, 4.0)
        await trio.sleep(1.0)
        fleet.cuts.clear()

    _run(play)


def test_calm_costs_no_messages():
    """What each holder has is not told again while nobody comes or goes."""

    async def play(fleet, _changes, _begun):
        told = fleet.told
        assert told
        await trio.sleep(10.0)
        assert fleet.told == told

    _run(play)
