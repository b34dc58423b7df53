"""Tests of servers that left, as entries tell each other.

An entry that starts, or was cut off, may read an older copy of the source.
"""

import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest
import trio
import trio.testing

from greengagetrack.connection import direct_messages
from greengagetrack.connection import messages
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import departures as departures_module
from greengagetrack.process.direct import directory as directory_module
from tests.direct import fakes
from tests.direct import test_newest_version
from tests.direct import test_peers

HEARTBEAT_S = 1.0
SERVERS = tuple(fakes.new_server(f"s{number}") for number in range(3))
LEFT, REMOVED, ALIVE = SERVERS
LEAVING = msgspec.structs.replace(LEFT, is_leaving=True)


def _new_departure(server_id="s0", **fields):
    values = {"incarnation": 0, "is_leaving": False, "era": 1, "age_ms": 0}
    return direct_messages.Departure(server_id, **{**values, **fields})


def _run_directory(check):
    async def main(_nursery):
        await check(directory_module.new_directory(lambda server: None))

    fakes.run_with_mock_clock(main)


def _list_all(directory, *servers, era=0):
    directory.apply_update(
        source_module.Update(1, servers=servers, is_complete=True, era=era)
    )


def _publish(directory, *servers, removed=(), era=0):
    directory.apply_update(
        source_module.Update(2, servers=servers, removed=removed, era=era)
    )


def _get_ids(directory):
    return {server.server_id for server in directory.get_servers("svc")}


@pytest.mark.parametrize("is_told_first", [True, False])
@pytest.mark.parametrize(
    ("is_leaving", "era", "is_gone"),
    [
        (True, 1, True),
        (True, 2, True),
        (False, 1, True),
        # A list of the same era is newer than a removal seen before.
        (False, 2, False),
    ],
)
def test_an_entry_that_starts_takes_its_peers_word_for_who_left(
    is_told_first, is_leaving, era, is_gone
):
    async def check(directory):
        told = [_new_departure(is_leaving=is_leaving, era=era)]
        if is_told_first:
            directory.apply_departures(told)
        _list_all(directory, *SERVERS, era=2)
        if not is_told_first:
            directory.apply_departures(told)
        assert _get_ids(directory) == {"s1", "s2"} | (
            set() if is_gone else {"s0"}
        )
        # One that lives publishes its record again, one that leaves doesn't.
        _publish(directory, *SERVERS, era=2)
        directory.apply_departures(told)
        assert ("s0" in _get_ids(directory)) is not is_leaving

    _run_directory(check)


def test_nobodys_word_removes_a_server_of_a_source_that_was_never_restored():
    async def check(directory):
        _list_all(directory, *SERVERS)
        directory.apply_departures([_new_departure(era=0)])
        assert _get_ids(directory) == {"s0", "s1", "s2"}

    _run_directory(check)


def test_a_word_about_one_incarnation_says_nothing_of_another():
    async def check(directory):
        _list_all(directory, fakes.new_server("s0", incarnation=5), era=2)
        for is_leaving in (False, True):
            directory.apply_departures([_new_departure(is_leaving=is_leaving)])
        assert _get_ids(directory) == {"s0"}

    _run_directory(check)


def test_what_left_is_told_and_what_came_back_is_not():
    async def check(directory):
        _list_all(directory, *SERVERS, era=1)
        _publish(directory, LEAVING, removed=("s1",), era=1)
        directory.record_leaving(ALIVE)
        await trio.sleep(2.0)
        assert {
            (told.server_id, told.is_leaving, told.era, told.age_ms)
            for told in directory.departures.new_messages()
        } == {
            ("s0", True, 1, 2000),
            ("s1", False, 1, 2000),
            ("s2", True, 1, 2000),
        }
        _publish(directory, REMOVED, LEFT, ALIVE, era=1)
        told = directory.departures.new_messages()
        assert {departure.server_id for departure in told} == {"s0", "s2"}

    _run_directory(check)


def test_what_is_remembered_and_told_is_bounded():
    async def check(_nursery):
        departures = departures_module.new_departures()
        for number in range(2 * departures_module.RECORDS_MAX):
            server = fakes.new_server(f"s{number}")
            departures.record(departures_module.new_departure(server, 1))
            await trio.sleep(0.001)
        told = departures.new_messages()
        assert len(told) == departures_module.TOLD_MAX
        assert told[0].server_id == server.server_id
        count = sum(
            departures.get(f"s{number}", 0) is not None
            for number in range(2 * departures_module.RECORDS_MAX)
        )
        assert count == departures_module.RECORDS_MAX
        await trio.sleep(departures_module.TOLD_AGE_MAX_S)
        assert departures.new_messages() == []

    fakes.run_with_mock_clock(check)


_DEPARTURES = strategies.builds(
    departures_module.Departure,
    strategies.sampled_from(["s0", "s1"]),
    strategies.integers(0, 1),
    strategies.booleans(),
    strategies.integers(0, 2),
    strategies.integers(0, 5).map(float),
)


@hypothesis.given(strategies.lists(_DEPARTURES), strategies.randoms())
def test_departures_are_the_same_in_any_order_and_when_told_twice(
    known, generator
):
    first, second = (departures_module.new_departures() for _ in range(2))
    for departure in known:
        first.record(departure)
    shuffled = known + known[:3]
    generator.shuffle(shuffled)
    for departure in shuffled:
        second.record(departure)
    for departure in known:
        key = (departure.server_id, departure.incarnation)
        assert first.get(*key) == second.get(*key)


@pytest.mark.parametrize("era", [0, 1])
def test_an_older_copy_hides_no_server_that_has_started_again(era):
    """It lists the start before, which has left."""
    first = fakes.new_server("s0", incarnation=1)
    leaving = msgspec.structs.replace(first, is_leaving=True)
    second = msgspec.structs.replace(first, incarnation=2)

    async def check(directory):
        _list_all(directory, first, era=0)
        directory.apply_update(source_module.Update(2, servers=(leaving,)))
        directory.apply_update(source_module.Update(3, removed=("s0",)))
        assert _get_ids(directory) == set()
        directory.apply_update(source_module.Update(4, servers=(second,)))
        copy = source_module.Update(
            2, servers=(first,), is_complete=True, era=era
        )
        directory.apply_update(copy, is_restored=True)
        servers = directory.get_servers("svc")
        assert [server.published for server in servers] == [second]

    _run_directory(check)


def test_a_peer_is_asked_once_until_the_next_question():
    async def check(_nursery):
        departures = departures_module.new_departures()
        assert departures.is_open(None)
        assert not departures.is_open(trio.current_time())
        await trio.sleep(1.0)
        departures.ask_peers()
        assert departures.is_open(trio.current_time() - 0.1)
        assert not departures.is_open(trio.current_time())

    fakes.run_with_mock_clock(check)


def test_the_source_has_to_be_restored_for_a_question_after_the_start():
    async def check(directory):
        answered_s = trio.current_time()
        await trio.sleep(1.0)
        _list_all(directory, *SERVERS, era=source_module.FIRST_ERA)
        assert not directory.departures.is_open(answered_s)
        _list_all(directory, *SERVERS, era=1)
        assert directory.departures.is_open(answered_s)
        answered_s = trio.current_time()
        await trio.sleep(1.0)
        _list_all(directory, *SERVERS, era=1)
        assert not directory.departures.is_open(answered_s)

    _run_directory(check)


def _cut(message, count):
    """Return what an earlier version of a program makes of a message."""
    parts = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    return msgspec.msgpack.encode(parts[:-count])


def test_entries_of_earlier_versions_are_understood():
    """They send neither the question nor the answer, nor what came later."""
    evacuation = direct_messages.Evacuation("dc", True, 0, 1)
    digest = direct_messages.EntryDigest(
        "a",
        "a:1",
        "dc",
        asks_departures=True,
        evacuations=[evacuation],
        stream_life_ms=1,
    )
    decoded = msgspec.msgpack.decode(
        _cut(digest, 1), type=direct_messages.EntryDigest
    )
    assert decoded.evacuations == [evacuation]
    assert decoded.stream_life_ms == 0
    decoded = msgspec.msgpack.decode(
        _cut(digest, 2), type=direct_messages.EntryDigest
    )
    assert decoded.asks_departures
    assert decoded.evacuations == []
    decoded = msgspec.msgpack.decode(
        _cut(digest, 3), type=direct_messages.EntryDigest
    )
    assert not decoded.asks_departures
    reply = direct_messages.EntryDigestReply(digest, [_new_departure()])
    decoded = msgspec.msgpack.decode(
        _cut(reply, 1), type=direct_messages.EntryDigestReply
    )
    assert decoded.departures == []


def test_streams_of_entries_of_earlier_versions_are_understood():
    begun = direct_messages.BegunStream("org", b"key", "svc", "v1", 5_000)
    decoded = msgspec.msgpack.decode(
        _cut(begun, 1), type=direct_messages.BegunStream
    )
    assert decoded.version == "v1"
    assert decoded.left_ms == direct_messages.STREAM_LEFT_UNKNOWN_MS


def test_entries_of_earlier_versions_pass_over_question_and_answer():
    class EarlierReply(msgspec.Struct, array_like=True, tag="entry_heard"):
        digest: msgspec.Raw

    digest = direct_messages.EntryDigest("a", "a:1", "dc")
    reply = direct_messages.EntryDigestReply(digest, [_new_departure()])
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(reply), type=EarlierReply
    )
    assert msgspec.msgpack.decode(decoded.digest)[1:4] == ["a", "a:1", "dc"]


@pytest.mark.parametrize(
    "fields", [{"age_ms": -1}, {"age_ms": 2**64 - 1}, {"era": -1}]
)
def test_an_odd_answer_is_not_read(fields):
    reply = direct_messages.EntryDigestReply(
        direct_messages.EntryDigest("a", "a:1", "dc"),
        [_new_departure(**fields)],
    )
    decoded = messages.decode_reply(messages.encode(reply))
    assert isinstance(decoded, messages.Malformed)


def test_peers_that_stay_are_asked_once():
    async def check(fleet):
        asked = []

        def watch(node):
            peers = node.peers

            async def handle(message):
                if message.asks_departures:
                    asked.append((message.name, node.name))
                return await peers.handle(message)

            node.peers = types.SimpleNamespace(handle=handle, run=peers.run)

        for node in fleet.node_by_address.values():
            watch(node)
        await trio.sleep(10.0)
        pairs = {
            (one, other)
            for one in ("a-0", "a-1", "a-2")
            for other in ("a-0", "a-1", "a-2")
            if one != other
        }
        assert set(asked) == pairs
        assert len(asked) <= 2 * len(pairs)

    test_peers.run_fleet(check, centres=("a",), entries_per_centre=3)


class ServerStore(test_newest_version.Store):
    """A store whose servers publish their records again and again."""

    def __init__(self):
        super().__init__()
        self.copy = None
        self.record_by_id = {}
        self.removed_by_id = {}
        for server in SERVERS:
            self.put(server)

    def put(self, server):
        """Publish a record."""
        self.revision += 1
        self.removed_by_id.pop(server.server_id, None)
        self.record_by_id[server.server_id] = (self.revision, server)

    def remove(self, server_id):
        """Remove a record, as if the server had removed it."""
        self.revision += 1
        if self.record_by_id.pop(server_id, None) is not None:
            self.removed_by_id[server_id] = self.revision

    def list_servers(self, revision):
        """Return the servers published and removed after a revision."""
        after = -1 if revision is None else revision
        servers = tuple(
            server
            for changed, server in self.record_by_id.values()
            if changed > after
        )
        return servers, tuple(
            server_id
            for server_id, changed in self.removed_by_id.items()
            if revision is not None and changed > after
        )

    def save(self):
        """Save a copy."""
        self.copy = (self.revision, dict(self.record_by_id))

    def restore(self):
        """Come back from the copy."""
        self.era += 1
        self.revision, records = self.copy
        self.record_by_id = dict(records)
        self.removed_by_id = {}


def _run_site(check, cut_name=""):
    """Run `check(site)` with entries whose store has three servers.

    Two of them leave after the store was saved; `ALIVE` alone publishes its
    record again and again. The entry named `cut_name` is cut off before.
    """

    async def main(nursery):
        site = test_newest_version.Site(nursery)
        site.store = store = ServerStore()

        async def live():
            while True:
                store.put(ALIVE)
                await trio.sleep(HEARTBEAT_S)

        nursery.start_soon(live)
        site.start_all()
        await trio.sleep(4.0)
        store.save()
        if cut_name:
            store.turned_away.add(cut_name)
            site.dead.add(f"{cut_name}:1")
        store.put(LEAVING)
        store.remove("s1")
        await trio.sleep(2.5)
        for node in site.nodes:
            if node.name != cut_name:
                assert _get_usable(node) == {"s2"}
        await check(site)

    fakes.run_with_mock_clock(main)


def _get_usable(node):
    return _get_ids(node.entry.directory)


def test_a_restarted_entry_sends_nothing_to_servers_that_left():
    async def check(site):
        site.store.restore()
        node = site.nodes[0]
        node.stop()
        await trio.sleep(0.3)
        node.start()
        await node.wait_ready()
        for _moment in range(400):
            assert all(_get_usable(node) == {"s2"} for node in site.nodes)
            await trio.sleep(0.01)

    _run_site(check)


def test_an_entry_that_was_cut_off_learns_who_left_meanwhile():
    async def check(site):
        node = site.nodes[0]
        assert _get_usable(node) == {"s0", "s1", "s2"}
        site.store.restore()
        site.store.turned_away.clear()
        site.dead.clear()
        await trio.sleep(1.0)
        for _moment in range(400):
            assert _get_usable(node) == {"s2"}
            await trio.sleep(0.01)

    _run_site(check, cut_name="a-0")


def test_a_server_whose_record_was_lost_is_back_with_the_next_one():
    """It was silent for a moment, so its record was removed."""

    async def check(site):
        site.store.restore()
        node = site.nodes[0]
        node.stop()
        await trio.sleep(0.3)
        node.start()
        await node.wait_ready()
        for _heartbeat in range(4):
            site.store.put(REMOVED)
            await trio.sleep(HEARTBEAT_S)
        for node in site.nodes:
            assert _get_usable(node) == {"s1", "s2"}

    _run_site(check)


class DepartureMachine(stateful.RuleBasedStateMachine):
    """Entries that read a store, which may be an older copy, and restart.

    Whatever an entry that has asked all others takes for usable, none of them
    has seen leave.
    """

    def __init__(self):
        super().__init__()
        self.store = ServerStore()
        self.store.save()
        self.has_left = set()
        self.revisions = [None] * 3
        self.eras = [0] * 3
        self._run(self._start_all)

    def _run(self, function, *arguments):
        async def main():
            function(*arguments)

        trio.run(main, clock=trio.testing.MockClock(1.0))

    def _start_all(self):
        self.directories = [self._new_directory() for _ in range(3)]

    def _new_directory(self):
        return directory_module.new_directory(lambda server: None)

    def _read(self, index):
        revision = self.revisions[index]
        if self.eras[index] != self.store.era:
            revision = None
        servers, removed = self.store.list_servers(revision)
        directory = self.directories[index]
        is_restored = 0 < self.eras[index] < self.store.era
        directory.apply_update(
            source_module.Update(
                self.store.revision,
                None,
                servers,
                removed,
                is_complete=revision is None,
                era=self.store.era,
            ),
            is_restored,
        )
        self.revisions[index] = self.store.revision
        self.eras[index] = self.store.era

    def _ask(self, index):
        for other in self.directories:
            self.directories[index].apply_departures(
                other.departures.new_messages()
            )

    @stateful.rule(index=strategies.integers(0, 2))
    def read(self, index):
        self._run(self._read, index)

    @stateful.rule(index=strategies.integers(1, 2))
    def restart(self, index):
        """One entry runs on all the while."""

        def restart():
            self.directories[index] = self._new_directory()

        self._run(restart)
        self.revisions[index], self.eras[index] = None, 0

    @stateful.rule(server=strategies.sampled_from(SERVERS))
    def publish(self, server):
        if server.server_id not in self.has_left:
            self.store.put(server)

    @stateful.rule(server=strategies.sampled_from(SERVERS))
    def leave(self, server):
        """The entry that runs on sees it."""
        self.has_left.add(server.server_id)
        self.store.put(msgspec.structs.replace(server, is_leaving=True))
        self._run(self._read, 0)

    @stateful.rule(server=strategies.sampled_from(SERVERS))
    def remove(self, server):
        self.store.remove(server.server_id)

    @stateful.rule()
    def save(self):
        self.store.save()

    @stateful.rule()
    def restore(self):
        self.store.restore()

    @stateful.rule(
        index=strategies.integers(0, 2), asks_first=strategies.booleans()
    )
    def read_and_ask(self, index, asks_first):
        steps = [self._ask, self._read]
        for step in steps if asks_first else reversed(steps):
            self._run(step, index)
        usable = _get_ids_now(self.directories[index])
        assert not usable & self.has_left

    @stateful.rule()
    def live(self):
        """All that live publish their records; nobody is kept out."""
        alive = {server.server_id for server in SERVERS} - self.has_left
        for index in range(3):
            self._run(self._read, index)
        for server in SERVERS:
            if server.server_id in alive:
                self.store.put(server)
        for index in range(3):
            self._run(self._read, index)
        for index in range(3):
            self._run(self._ask, index)
        for directory in self.directories:
            assert _get_ids_now(directory) >= alive


def _get_ids_now(directory):
    usable = []

    async def main():
        usable.extend(_get_ids(directory))

    trio.run(main, clock=trio.testing.MockClock(1.0))
    return set(usable)


TestDepartures = DepartureMachine.TestCase
