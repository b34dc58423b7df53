"""Streams that are taken up at any entry, as a state machine.

Entries learn of servers late, lose messages and are killed, some or all at
once, while versions come and go. A stream may be refused; it never goes on at
another version than the one that began it.
"""

import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import trio
import trio.testing

from greengagetrack.connection import direct_messages
from greengagetrack.connection import gateway
from greengagetrack.connection import messages
from greengagetrack.connection import source
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import stream_lives
from greengagetrack.process.direct import streams as streams_module

LIFE_S = 5.0
ENTRIES = 4
SERVICE = "model"
indexes = strategies.integers(0, ENTRIES - 1)


class Link:
    """A link to another entry of a fleet; it may lose what is sent."""

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address

    async def request(self, message, _timeout_s):
        await trio.lowlevel.checkpoint()
        entry = self._fleet.entry_by_address[self._address]
        if self._fleet.is_losing:
            return None
        encoded = messages.encode(message)
        reply = entry.streams.handle(messages.decode_request(encoded))
        return messages.decode_reply(messages.encode(reply))


class SourceReader:
    """Reads the list that a fleet shares."""

    def __init__(self, fleet, index):
        self._fleet = fleet
        self._index = index

    async def read_past(self):
        await trio.lowlevel.checkpoint()

    async def refresh(self):
        await trio.lowlevel.checkpoint()
        if not self._fleet.is_reachable:
            return False
        self._fleet.poll(self._index)
        return True


class Fleet:
    """Entries that share a list of published versions."""

    def __init__(self, nursery):
        self._nursery = nursery
        self.is_losing = False
        self.is_reachable = True
        # The entry that doesn't read the list at present.
        self.still = None
        self.published = {"v1"}
        self.life_s = LIFE_S
        self.entry_by_address = {}
        for index in range(ENTRIES):
            self.start(index)
        for entry in self.entry_by_address.values():
            # The first catalog of all.
            entry.lives.learn_past(0.0, trio.current_time())

    def start(self, index):
        """Start an entry, or start it again with no memory."""
        name = f"entry-{index}:1"
        members = members_module.new_members(name, name, "dc", 1.0, ())
        directory = directory_module.new_directory(lambda server: None)
        lives = stream_lives.new_stream_lives()
        entry = types.SimpleNamespace(
            members=members, directory=directory, lives=lives
        )
        entry.streams = streams_module.new_streams(
            members,
            types.SimpleNamespace(
                get_link=lambda address: self.new_link(name, address)
            ),
            directory,
            lives,
            SourceReader(self, index),
            self._nursery,
        )
        entry.scope = trio.CancelScope()
        self._nursery.start_soon(_run_streams, entry)
        self.entry_by_address[name] = entry
        self.apply_catalog(entry)
        if self.is_reachable:
            self.poll(index)

    def new_link(self, _sender, address):
        """Return the link of an entry to an address."""
        return Link(self, address)

    def apply_catalog(self, entry):
        """Have an entry accept the catalog in force."""
        catalog = types.SimpleNamespace(longest_stream_s=self.life_s)
        entry.lives.record(catalog, trio.current_time())

    def change_timeout(self, life_s):
        """Have all entries accept a catalog with another time-out."""
        self.life_s = life_s
        for entry in self.entry_by_address.values():
            self.apply_catalog(entry)

    def poll(self, index):
        """Have an entry read the published list and meet its peers."""
        entry = self.entry_by_address[f"entry-{index}:1"]
        self.read_list(entry)
        for other in self.entry_by_address:
            if other != f"entry-{index}:1":
                member = direct_messages.Member(name=other, address=other)
                entry.members.update_peer(member, "dc", trio.current_time())
                self.tell_lives(other, entry)

    def read_list(self, entry):
        """Have an entry read the published list."""
        servers = tuple(
            gateway.Server(version, SERVICE, "a:1", "dc", 1, False, 1, version)
            for version in self.published
        )
        entry.directory.apply_update(
            source.Update(1, servers=servers, is_complete=True)
        )

    def tell_lives(self, teller, listener):
        """Have an entry hear of earlier catalogs, as digests tell it."""
        now_s = trio.current_time()
        known_s = self.entry_by_address[teller].lives.get_known_s(now_s)
        if known_s and not self.is_losing:
            listener.lives.learn_past(known_s, now_s)


async def _run_streams(entry):
    with entry.scope:
        await entry.streams.run()


class StreamMachine(stateful.RuleBasedStateMachine):
    """Rules on a fleet, run one after the other on a mock clock."""

    def __init__(self):
        super().__init__()
        self._steps = []

    @stateful.rule(index=indexes)
    def poll(self, index):
        self._steps.append(("poll", index))

    @stateful.rule(index=indexes, choice=strategies.integers(0, 9))
    def begin(self, index, choice):
        self._steps.append(("begin", index, choice))

    @stateful.rule(index=indexes, choice=strategies.integers(0, 9))
    def take_up(self, index, choice):
        self._steps.append(("take_up", index, choice))

    @stateful.rule(index=indexes)
    def stand_still(self, index):
        self._steps.append(("stand_still", index))

    @stateful.rule(is_reachable=strategies.booleans())
    def reach(self, is_reachable):
        self._steps.append(("reach", is_reachable))

    @stateful.rule(killed=strategies.sets(indexes, min_size=1))
    def kill(self, killed):
        self._steps.append(("kill", sorted(killed)))

    @stateful.rule(number=strategies.integers(1, 3))
    def publish(self, number):
        self._steps.append(("publish", f"v{number}"))

    @stateful.rule(number=strategies.integers(1, 3))
    def withdraw(self, number):
        self._steps.append(("withdraw", f"v{number}"))

    @stateful.rule(is_losing=strategies.booleans())
    def lose(self, is_losing):
        self._steps.append(("lose", is_losing))

    @stateful.rule(life_s=strategies.sampled_from((2.0, LIFE_S, 12.0)))
    def change_timeout(self, life_s):
        self._steps.append(("change_timeout", life_s))

    @stateful.rule(seconds=strategies.sampled_from((0.2, 1.0, LIFE_S + 2.0)))
    def wait(self, seconds):
        self._steps.append(("wait", seconds))

    def teardown(self):
        _replay(self._steps)


def _replay(steps):
    """Play the steps and check each stream that is taken up."""
    begun = []

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            for step in steps:
                await _play(fleet, begun, *step)
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def _play(fleet, begun, action, *arguments):
    if action == "poll":
        fleet.poll(*arguments)
    elif action == "kill":
        for index in arguments[0]:
            fleet.start(index)
    elif action == "publish":
        fleet.published.add(*arguments)
        # As the entries do, all read the list within a second or two.
        await _poll_all(fleet)
    elif action == "withdraw":
        fleet.published.discard(*arguments)
        await _poll_all(fleet)
    elif action == "stand_still":
        fleet.still = arguments[0]
    elif action == "reach":
        fleet.is_reachable = arguments[0]
    elif action == "change_timeout":
        fleet.change_timeout(*arguments)
    elif action == "lose":
        fleet.is_losing = arguments[0]
    elif action == "wait":
        for _second in range(max(int(arguments[0]), 1)):
            await trio.sleep(min(arguments[0], 1.0))
            await _poll_all(fleet)
    elif action == "begin":
        _begin(fleet, begun, *arguments)
    else:
        await _take_up(fleet, begun, *arguments)


async def _poll_all(fleet):
    for index in range(ENTRIES):
        if fleet.is_reachable and index != fleet.still:
            fleet.poll(index)
        await trio.sleep(0.1)


def _begin(fleet, begun, index, choice):
    entry = fleet.entry_by_address[f"entry-{index}:1"]
    versions = sorted(
        server.published.software_version
        for server in entry.directory.get_servers(SERVICE)
    )
    if versions:
        version = versions[choice % len(versions)]
        stream_id = streams_module.StreamId("org", b"%d" % len(begun))
        origin = streams_module.Origin(SERVICE, version)
        end_s = trio.current_time() + fleet.life_s
        entry.streams.begin(stream_id, origin, [SERVICE], end_s)
        begun.append((stream_id, version, end_s))


async def _take_up(fleet, begun, index, choice):
    live = [stream for stream in begun if trio.current_time() < stream[2]]
    if live:
        stream_id, version, _end_s = live[choice % len(live)]
        entry = fleet.entry_by_address[f"entry-{index}:1"]
        found = await _find_version(entry, stream_id)
        assert found in (version, None)


async def _find_version(entry, stream_id):
    origin = await entry.streams.find_origin(stream_id, [SERVICE])
    return origin and origin.version


TestStreams = StreamMachine.TestCase
TestStreams.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25, deadline=None
)


def test_a_stream_is_found_when_the_entry_that_began_it_is_killed():
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            fleet.published.add("v2")
            await _poll_all(fleet)
            begun = []
            for number in range(10):
                _begin(fleet, begun, 0, number)
            await trio.sleep(0.01)
            fleet.start(0)
            for index in range(ENTRIES):
                for stream_id, version, _end_s in begun:
                    entry = fleet.entry_by_address[f"entry-{index}:1"]
                    found = await _find_version(entry, stream_id)
                    assert found == version
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_in_calm_a_stream_goes_on_without_a_record():
    """One version has served for longer than a stream may last."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            await _play(fleet, [], "wait", LIFE_S + 2.0)
            fleet.start(1)
            entry = fleet.entry_by_address["entry-1:1"]
            stream_id = streams_module.StreamId("org", b"")
            assert await _find_version(entry, stream_id) == "v1"
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("is_reachable", [True, False])
def test_an_entry_out_of_step_infers_nothing_from_its_old_list(is_reachable):
    """It was cut off from its peers while a second version came."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            await _play(fleet, [], "wait", LIFE_S + 2.0)
            begun = []
            fleet.still = 2
            await _play(fleet, begun, "publish", "v2")
            _begin(fleet, begun, 0, 1)
            assert begun[0][1] == "v2"
            await trio.sleep(0.01)
            fleet.is_losing = True
            fleet.is_reachable = is_reachable
            entry = fleet.entry_by_address["entry-2:1"]
            # It is none of those that the first entry told.
            assert len(entry.streams._records) == 0
            assert await _find_version(entry, begun[0][0]) is None
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_without_any_memory_the_version_is_unknown():
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            begun = []
            _begin(fleet, begun, 0, 0)
            for index in range(ENTRIES):
                fleet.start(index)
            entry = fleet.entry_by_address["entry-2:1"]
            assert await _find_version(entry, begun[0][0]) is None
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_stream_of_a_split_route_goes_on_at_the_service_that_began_it():
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            await _poll_all(fleet)
            stream_id = streams_module.StreamId("org", b"1")
            origin = streams_module.Origin("other", "v1")
            services = [SERVICE, "other"]
            first = fleet.entry_by_address["entry-0:1"]
            first.streams.begin(stream_id, origin, services, LIFE_S)
            await trio.sleep(0.01)
            fleet.start(0)
            for entry in fleet.entry_by_address.values():
                found = await entry.streams.find_origin(stream_id, services)
                assert found == origin
                # The route has moved away from that service.
                assert not await entry.streams.find_origin(
                    stream_id, [SERVICE]
                )
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _begin_at(fleet, index, request_id, version):
    """Begin a stream at an entry; return its id."""
    stream_id = streams_module.StreamId("org", request_id)
    entry = fleet.entry_by_address[f"entry-{index}:1"]
    origin = streams_module.Origin(SERVICE, version)
    end_s = trio.current_time() + fleet.life_s
    entry.streams.begin(stream_id, origin, [SERVICE], end_s)
    return stream_id


@pytest.mark.parametrize("second_index", [0, 1])
def test_two_streams_with_one_id_go_on_nowhere(second_index):
    """Callers repeat ids, and two of them may choose the same one."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            fleet.published.add("v2")
            await _poll_all(fleet)
            stream_id = _begin_at(fleet, 0, b"1", "v1")
            await trio.sleep(0.01)
            assert stream_id == _begin_at(fleet, second_index, b"1", "v2")
            await trio.sleep(0.01)
            # The entries that began one of them know no more of the other.
            for index in range(1 + second_index):
                fleet.start(index)
            for entry in fleet.entry_by_address.values():
                assert await _find_version(entry, stream_id) is None
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_stream_without_an_id_is_not_taken_for_another_one():
    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            fleet.published.add("v2")
            await _poll_all(fleet)
            stream_id = _begin_at(fleet, 0, b"", "v1")
            await trio.sleep(0.01)
            for entry in fleet.entry_by_address.values():
                assert await _find_version(entry, stream_id) is None
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_stream_keeps_its_version_when_time_outs_are_shortened(is_restarted):
    """Streams of before outlast the time-out in force (review/8)."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            fleet.change_timeout(15.0)
            await _play(fleet, [], "wait", 17.0)
            begun = []
            for number in range(10):
                _begin(fleet, begun, 0, number)
            await _play(fleet, begun, "publish", "v2")
            await _play(fleet, begun, "change_timeout", 5.0)
            await _play(fleet, begun, "withdraw", "v1")
            if is_restarted:
                # It has never seen the longer time-out.
                fleet.start(1)
            for number in range(9):
                await _play(fleet, begun, "wait", 1.0)
                for index in range(ENTRIES):
                    _begin_at(fleet, index, b"new %d" % number, "v2")
            for index in range(ENTRIES):
                for stream_id, version, _end_s in begun:
                    entry = fleet.entry_by_address[f"entry-{index}:1"]
                    assert await _find_version(entry, stream_id) == version
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_an_entry_that_knows_no_earlier_catalog_infers_nothing():
    """All entries are killed after a time-out was shortened (review/8)."""

    async def main():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery)
            fleet.change_timeout(15.0)
            await _play(fleet, [], "wait", 17.0)
            begun = []
            _begin(fleet, begun, 0, 0)
            await _play(fleet, begun, "publish", "v2")
            await _play(fleet, begun, "change_timeout", 2.0)
            await _play(fleet, begun, "withdraw", "v1")
            await _play(fleet, begun, "kill", range(ENTRIES))
            await _play(fleet, begun, "wait", 9.0)
            for entry in fleet.entry_by_address.values():
                assert await _find_version(entry, begun[0][0]) is None
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
