"""Tests of the digests between entries, over links in memory."""

import random
import types

import msgspec
import pytest
import trio

from greengagetrack.connection import base
from greengagetrack.connection import direct_messages
from greengagetrack.connection import messages
from greengagetrack.process.direct import crash_guard
from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import known_server
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import newest_version
from greengagetrack.process.direct import peers as peers_module
from greengagetrack.process.direct import rendezvous
from greengagetrack.process.direct import stream_lives
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece as piece_module
from tests.direct import fakes

DATA_CENTRES = ("a", "b", "c", "d", "e", "f")
ENTRIES_PER_CENTRE = 4
DELAY_S = 0.012
BOUND_S = 4.0
WAITS = forecast.PoolWaits(
    0.5,
    (
        forecast.PriorityWait(0, 0.625, 0.5),
        forecast.PriorityWait(2, 1.25, 1.25),
    ),
    4.0,
    frozenset(("draft",)),
)


class FakePool:
    """The part of a pool that digests use."""

    def __init__(self, service, data_centre):
        self.service = service
        self.data_centre = data_centre
        self.waits = None

    def update_waits(self, waits, _reported_s):
        """Record the waits."""
        self.waits = waits


class FakePools:
    """Pools by service and data centre; one may be owned, with a wait."""

    def __init__(self, data_centre, owned_waits):
        self.pool_by_key = {}
        self._owned_waits = owned_waits

    def get_pool(self, service, data_centre):
        """Return the pool, created on first use."""
        key = (service, data_centre)
        if key not in self.pool_by_key:
            self.pool_by_key[key] = FakePool(service, data_centre)
        return self.pool_by_key[key]

    def get_owned_pool_waits(self):
        """Return the wait of the pool that this entry owns."""
        return [] if self._owned_waits is None else [("s", self._owned_waits)]

    def get_local_pool_waits(self):
        """Return the owned pool's wait and those from local peers."""
        received = [
            (service, pool.waits)
            for (service, centre), pool in self.pool_by_key.items()
            if pool.waits is not None and centre == self.data_centre
        ]
        return self.get_owned_pool_waits() + received

    data_centre = ""


class FakeLink(base.PeerLink):
    """A link to another entry of the same test."""

    def __init__(self, fleet, source, address):
        self._fleet = fleet
        self._source = source
        self._address = address

    def is_up(self):
        """Return whether both ends are alive and connected."""
        return self._fleet.is_connected(self._source, self._address)

    async def request(self, message, timeout_s):
        """Pass a message and its reply through the codec, each delayed."""
        self._fleet.count_request(self._source, self._address)
        if not self.is_up():
            return base.NotSent()
        await trio.sleep(self._fleet.delay_s)
        target = self._fleet.node_by_address[self._address]
        decoded = messages.decode_request(messages.encode(message))
        reply = await target.peers.handle(decoded)
        await trio.sleep(self._fleet.delay_s)
        if 2 * self._fleet.delay_s > timeout_s:
            return base.Lost("no reply in time")
        if not self.is_up():
            await trio.sleep(timeout_s)
            return base.Lost("cut")
        return messages.decode_reply(messages.encode(reply))

    def close(self):
        """Count the link as closed."""
        self._fleet.closed_links += 1


class Fleet:
    """Entries in several data centres, two of them seeds."""

    def __init__(
        self, centres=DATA_CENTRES, entries_per_centre=ENTRIES_PER_CENTRE
    ):
        self.node_by_address = {}
        self.dead = set()
        self.disconnected_centres = set()
        self.request_counts = {}
        self.closed_links = 0
        self.delay_s = DELAY_S
        seeds = [f"{centre}-0:1" for centre in centres[:2]]
        for centre in centres:
            for index in range(entries_per_centre):
                self._add(centre, index, seeds)

    def _add(self, centre, index, seeds):
        name = f"{centre}-{index}"
        node = types.SimpleNamespace(name=name, centre=centre)
        node.lease = freshness.new_freshness_lease(BOUND_S, trio.current_time)
        node.version = 1
        node.directory = directory_module.new_directory(lambda server: None)
        settings = types.SimpleNamespace(
            name=name,
            data_centre=centre,
            peer_address=f"{name}:1",
            seeds=seeds,
            cores=1.0,
        )
        factory = types.SimpleNamespace(
            open_link=lambda address: FakeLink(self, f"{name}:1", address)
        )
        node.peers = peers_module.new_peers(
            settings,
            base.new_links(factory),
            node.lease,
            types.SimpleNamespace(
                get_version=lambda: node.version,
                newest=newest_version.new_newest_version(node.lease),
                stream_lives=stream_lives.new_stream_lives(),
            ),
            node.directory,
            crash_guard.new_crash_guard(None, None, None),
            random.Random(index),
        )
        node.pools = FakePools(centre, WAITS if index == 0 else None)
        node.pools.data_centre = centre
        node.peers.set_pools(node.pools)
        self.node_by_address[f"{name}:1"] = node

    def is_connected(self, source, target):
        """Return whether two addresses can reach each other."""
        if {source, target} & self.dead:
            return False
        centres = {source.partition("-")[0], target.partition("-")[0]}
        return len(centres) == 1 or not centres & self.disconnected_centres

    def count_request(self, source, target):
        """Count one request."""
        is_remote = source.partition("-")[0] != target.partition("-")[0]
        key = (source, is_remote)
        self.request_counts[key] = self.request_counts.get(key, 0) + 1

    def start(self, nursery):
        """Start all entries, each with a different phase."""

        async def run(node, phase_s):
            await trio.sleep(phase_s)
            await node.peers.run()

        for index, node in enumerate(self.node_by_address.values()):
            nursery.start_soon(run, node, index * 0.017)

    def get_owner_candidates(self, node, centre):
        """Return the owner candidates of a data centre that an entry sees."""
        peers, is_candidate = node.peers.members.get_owner_candidates(centre)
        names = {peer.name for peer in peers}
        return names | ({node.name} if is_candidate else set())

    def find_wrong_candidates(self):
        """Return `(entry, data centre)` pairs with wrong candidates."""
        wrong = []
        for address, node in self.node_by_address.items():
            if address in self.dead:
                continue
            for centre in DATA_CENTRES:
                expected = {
                    other.name
                    for key, other in self.node_by_address.items()
                    if other.centre == centre and key not in self.dead
                }
                if (
                    expected
                    and self.get_owner_candidates(node, centre) != expected
                ):
                    wrong.append((node.name, centre))
        return wrong


def run_fleet(check, **size):
    """Run `check(fleet)` on a fleet with a simulated clock."""

    async def main(nursery):
        fleet = Fleet(**size)
        fleet.start(nursery)
        await check(fleet)
        nursery.cancel_scope.cancel()

    fakes.run_with_mock_clock(main)


def test_all_entries_agree_on_which_entries_are_alive():
    async def check(fleet):
        await trio.sleep(6.0)
        assert fleet.find_wrong_candidates() == []
        counts = {
            node.peers.members.count_entries()
            for node in fleet.node_by_address.values()
        }
        assert min(counts) >= len(fleet.node_by_address)

    run_fleet(check)


def test_only_delegates_poll_other_data_centres_regularly():
    """In larger deployments digests were most of the bytes between regions."""

    async def check(fleet):
        await trio.sleep(8.0)
        fleet.request_counts.clear()
        await trio.sleep(20.0)
        remote_counts = [
            fleet.request_counts.get((address, True), 0)
            for address in fleet.node_by_address
        ]
        delegates = [count for count in remote_counts if count > 20]
        assert len(delegates) <= len(DATA_CENTRES)
        # Seeds are polled at times; all else goes through the delegates.
        others = sorted(remote_counts)[: -len(DATA_CENTRES)]
        assert max(others) <= 2 * 20.0 / 4.0 + 4
        total = sum(fleet.request_counts.values())
        pairs = (
            len(DATA_CENTRES) * ENTRIES_PER_CENTRE * (ENTRIES_PER_CENTRE - 1)
        )
        assert total <= pairs * 20.0 / peers_module.LOCAL_PERIOD_S

    run_fleet(check)


@pytest.mark.parametrize("failed", ["delegate", "data centre"])
def test_failed_entries_are_detected_and_the_others_stay_alive(failed):
    async def check(fleet):
        await trio.sleep(6.0)
        for address, node in fleet.node_by_address.items():
            if node.centre == "c" and (
                failed == "data centre" or node.peers.members.is_delegate()
            ):
                fleet.dead.add(address)
        await trio.sleep(members_module.REMOTE_SILENCE_MAX_S + 2.5)
        assert fleet.find_wrong_candidates() == []

    run_fleet(check)


def test_links_are_kept_in_a_congestion():
    """Each new link lost the pieces in progress; they were made twice."""

    async def check(fleet):
        await trio.sleep(4.0)
        closed = fleet.closed_links
        fleet.delay_s = 0.5
        await trio.sleep(6.0)
        assert fleet.closed_links == closed
        assert fleet.find_wrong_candidates() == []

    run_fleet(check)


def test_links_to_peers_that_are_silent_are_opened_again():
    async def check(fleet):
        await trio.sleep(4.0)
        closed = fleet.closed_links
        fleet.dead.add("a-1:1")
        await trio.sleep(2.5)
        assert fleet.closed_links > closed

    run_fleet(check)


def test_waits_loads_and_parts_reach_the_other_data_centres():
    async def check(fleet):
        published = fakes.new_server("x", "s", data_centre="a")
        for node in fleet.node_by_address.values():
            node.directory.server_by_id["x"] = known_server.KnownServer(
                published
            )
        await trio.sleep(6.0)
        sender = fleet.node_by_address["a-1:1"]
        server = sender.directory.server_by_id["x"]
        server.outstanding, server.prefill_tokens = 3, 900
        sender.directory.record_cached_parts(
            server, [("big", 900), ("own", 10)]
        )
        await trio.sleep(2.5)
        for node in fleet.node_by_address.values():
            observed = node.directory.server_by_id["x"]
            assert observed.count_running() == 3, node.name
            assert "big" in observed.cached_part_times, node.name
            if node.centre != "a":
                assert node.pools.get_pool("s", "a").waits == WAITS

    run_fleet(check)


def test_peers_keep_an_entry_fresh_that_is_cut_off_from_the_store():
    async def check(fleet):
        await trio.sleep(6.0)
        for _second in range(8):
            for address, node in fleet.node_by_address.items():
                if address != "d-2:1":
                    node.lease.confirm(trio.current_time())
            await trio.sleep(1.0)
        isolated = fleet.node_by_address["d-2:1"]
        assert isolated.lease.is_fresh()
        fleet.disconnected_centres.add("d")
        fleet.dead.update(f"d-{index}:1" for index in (0, 1, 3))
        await trio.sleep(BOUND_S)
        assert not isolated.lease.is_fresh()

    run_fleet(check)


def test_entry_count_includes_all_entries_ever_known():
    """With too low a count, the shares of all entries exceed the budget.

    In larger deployments 24 entries used an eighth of the slack each, three
    times the whole. An entry that is cut off still has to count the others.
    """

    async def check(fleet):
        node = fleet.node_by_address["a-1:1"]
        assert node.peers.members.count_entries() >= 24
        await trio.sleep(6.0)
        before = node.peers.members.count_entries()
        assert before >= 24
        fleet.dead.update(set(fleet.node_by_address) - {"a-1:1"})
        await trio.sleep(members_module.PEER_EXPIRY_S + 10.0)
        assert node.peers.members.count_entries() >= before

    run_fleet(check)


def test_a_larger_weight_wins_more_often():
    weights = {"small": 0.4, "large": 2.1}
    keys = [str(number) for number in range(2000)]
    large = sum(rendezvous.get_winner(key, weights) == "large" for key in keys)
    assert 0.80 < large / len(keys) < 0.88
    assert rendezvous.get_winner("key", {}) is None


def test_a_digest_is_small():
    """Delegates exchange a digest of their data centres every 0.8 s."""

    async def check(fleet):
        await trio.sleep(6.0)
        node = fleet.node_by_address["a-1:1"]
        remote_peer = next(
            peer
            for peer in node.peers.members.peer_by_address.values()
            if peer.data_centre == "b"
        )
        digest = node.peers._digests.new_digest(remote_peer)
        assert len(msgspec.msgpack.encode(digest)) < 500

    run_fleet(check)


def test_requested_pieces_survive_the_message_to_a_peer():
    """The inputs are sent once; they were once repeated for each piece."""

    async def check(_nursery):
        inputs = tuple(f"10.2.0.7:8630/handle-{n:08d}" for n in range(6))
        requested = []
        for number in range(40):
            task = piece_module.PieceTask("request", 2, number, "key", inputs)
            task.due_s = trio.current_time() + 1.5
            task.deadline = deadline_module.new_deadline(4000)
            task.kind, task.priority, task.result_bytes = "k", 1, 6000
            requested.append(task)
        pool = FakePool("s", "a")
        sent = messages.encode(peers_module._new_make_pieces(pool, requested))
        assert len(sent) < 40 * 20
        tasks = peers_module._new_tasks(messages.decode_request(sent))
        for task, other in zip(requested, tasks, strict=True):
            assert task.to_piece() == other.to_piece()
            assert abs(task.due_s - other.due_s) < 0.01
            assert task.flow == other.flow
            assert task.result_bytes == other.result_bytes

    fakes.run_with_mock_clock(check)


class SlowLinks:
    """Links to a peer that makes pieces, but sends no digests meanwhile."""

    def __init__(self, work_s):
        self.requests = 0
        self.is_connected = True
        self._work_s = work_s

    def get_link(self, _address):
        """Return the link to the only peer."""
        return self

    def is_up(self):
        """Return whether the peer is connected."""
        return self.is_connected

    async def request(self, message, timeout_s):
        """Make the pieces of `message`."""
        self.requests += 1
        await trio.sleep(self._work_s)
        made = [
            direct_messages.PieceResult("h", "s1")
            for _piece in message.numbers
        ]
        return direct_messages.MakePiecesReply(made)


def _request_from_silent_peer(work_s, down_after_s=None):
    """Return whether pieces came from a peer, and after how long."""
    results = []

    async def check(nursery):
        links = SlowLinks(work_s)
        settings = types.SimpleNamespace(
            name="me",
            peer_address="me:1",
            data_centre="a",
            cores=1.0,
            seeds=(),
        )
        directory = directory_module.new_directory(lambda _server: None)
        peers = peers_module.new_peers(
            settings, links, None, None, directory, None, None
        )
        peer = peers.members.get_or_add("p:1")
        peer.last_contact_s = trio.current_time()
        task = piece_module.PieceTask("request", 0, 0, "key", None)
        task.deadline = deadline_module.new_deadline(8000)

        async def cut():
            await trio.sleep(down_after_s)
            links.is_connected = False

        if down_after_s is not None:
            nursery.start_soon(cut)
        is_made = await peers.request_pieces(peer, FakePool("s", "a"), [task])
        results.extend((is_made, trio.current_time(), links.requests))

    fakes.run_with_mock_clock(check)
    is_made, spent_s, requests = results
    assert requests == 1
    return is_made, spent_s


def test_work_of_a_peer_that_is_slow_to_report_is_not_done_again():
    """Owners with little processor time were given up after 1.3 s."""
    is_made, spent_s = _request_from_silent_peer(work_s=2.5)
    assert is_made
    assert abs(spent_s - 2.5) < 0.1


def test_work_of_a_peer_that_is_lost_is_done_elsewhere():
    is_made, spent_s = _request_from_silent_peer(work_s=60.0)
    assert not is_made
    assert spent_s < members_module.WORK_SILENCE_MAX_S + 0.2
    is_made, spent_s = _request_from_silent_peer(60.0, down_after_s=0.5)
    assert not is_made
    assert spent_s < 0.7
