"""Tests of what entries tell one another, over links in memory."""

import types

import msgspec
import pytest
import trio

from greengagetrack.connection import base
from greengagetrack.connection import messages
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import peers as peers_module
from greengagetrack.process.direct import rendezvous
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece as piece_module
from tests.direct import fakes

DATA_CENTRES = ("a", "b", "c", "d", "e", "f")
PER_DATA_CENTRE = 4
DELAY_S = 0.012
BOUND_S = 4.0


class FakePool:
    """A pool as the digests see it."""

    def __init__(self, service, data_centre):
        self.service = service
        self.data_centre = data_centre
        self.wait_s = None

    def update_wait(self, wait_s, _heard_s):
        """Note what was told."""
        self.wait_s = wait_s


class FakePools:
    """One pool in each data centre; its wait is set by the test."""

    def __init__(self, data_centre, own_wait_s):
        self.pool_by_key = {}
        self._own_wait_s = own_wait_s

    def get_pool(self, service, data_centre):
        """Return a pool."""
        key = (service, data_centre)
        if key not in self.pool_by_key:
            self.pool_by_key[key] = FakePool(service, data_centre)
        return self.pool_by_key[key]

    def get_owned_pool_waits(self):
        """Return the wait of the pool that this entry gathers."""
        return [] if self._own_wait_s is None else [("s", self._own_wait_s)]

    def get_local_pool_waits(self):
        """Return the own wait, and those that near peers told."""
        told = [
            (service, pool.wait_s)
            for (service, centre), pool in self.pool_by_key.items()
            if pool.wait_s is not None and centre == self.data_centre
        ]
        return self.get_owned_pool_waits() + told

    data_centre = ""


class FakeLink(base.PeerLink):
    """A link to another entry of the same test."""

    def __init__(self, fleet, source, address):
        self._fleet = fleet
        self._source = source
        self._address = address

    def is_up(self):
        """Return whether both ends live and nothing lies between."""
        return self._fleet.is_open(self._source, self._address)

    async def ask(self, message, timeout_s):
        """Pass a message through the codec, after a delay both ways."""
        self._fleet.count(self._source, self._address)
        if not self.is_up():
            return base.NotSent()
        await trio.sleep(DELAY_S)
        target = self._fleet.node_by_address[self._address]
        decoded = messages.decode_request(messages.encode(message))
        reply = await target.peers.handle(decoded)
        await trio.sleep(DELAY_S)
        if not self.is_up():
            await trio.sleep(timeout_s)
            return base.Lost("cut")
        return messages.decode_reply(messages.encode(reply))

    def close(self):
        """Do nothing."""


class Fleet:
    """Entries in several data centres, two of them seeds."""

    def __init__(self, centres=DATA_CENTRES, each=PER_DATA_CENTRE):
        self.node_by_address = {}
        self.dead = set()
        self.cut_centres = set()
        self.asks = {}
        seeds = [f"{centre}-0:1" for centre in centres[:2]]
        for centre in centres:
            for index in range(each):
                self._add(centre, index, seeds)

    def _add(self, centre, index, seeds):
        name = f"{centre}-{index}"
        node = types.SimpleNamespace(name=name, centre=centre)
        node.lease = freshness.new_freshness_lease(BOUND_S, trio.current_time)
        node.version = 1
        node.directory = directory_module.new_directory(lambda known: None)
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
            types.SimpleNamespace(get_version=lambda: node.version),
            node.directory,
        )
        node.pools = FakePools(centre, 0.5 if index == 0 else None)
        node.pools.data_centre = centre
        node.peers.set_pools(node.pools)
        self.node_by_address[f"{name}:1"] = node

    def is_open(self, source, target):
        """Return whether a message passes between two addresses."""
        if {source, target} & self.dead:
            return False
        centres = {source.partition("-")[0], target.partition("-")[0]}
        return len(centres) == 1 or not centres & self.cut_centres

    def count(self, source, target):
        """Count one question."""
        is_far = source.partition("-")[0] != target.partition("-")[0]
        key = (source, is_far)
        self.asks[key] = self.asks.get(key, 0) + 1

    def start(self, nursery):
        """Start all entries, each with its own phase."""

        async def run(node, phase_s):
            await trio.sleep(phase_s)
            await node.peers.run()

        for index, node in enumerate(self.node_by_address.values()):
            nursery.start_soon(run, node, index * 0.017)

    def get_living(self, node, centre):
        """Return who, for an entry, may gather in a data centre."""
        peers, is_own = node.peers.members.get_owner_candidates(centre)
        names = {peer.name for peer in peers}
        return names | ({node.name} if is_own else set())

    def get_disagreements(self):
        """Return who believes wrongly that an entry lives or does not."""
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
                if expected and self.get_living(node, centre) != expected:
                    wrong.append((node.name, centre))
        return wrong


def run_fleet(check, **size):
    """Run `check(fleet)` on a fleet whose clock jumps."""

    async def main(nursery):
        fleet = Fleet(**size)
        fleet.start(nursery)
        await check(fleet)
        nursery.cancel_scope.cancel()

    fakes.run_paused(main)


def test_all_entries_agree_on_who_lives():
    async def check(fleet):
        await trio.sleep(6.0)
        assert fleet.get_disagreements() == []
        counts = {
            node.peers.members.count_entries()
            for node in fleet.node_by_address.values()
        }
        assert min(counts) >= len(fleet.node_by_address)

    run_fleet(check)


def test_only_speakers_ask_other_data_centres_again_and_again():
    """In the grown deployments digests were most bytes between regions."""

    async def check(fleet):
        await trio.sleep(8.0)
        fleet.asks.clear()
        await trio.sleep(20.0)
        far = [fleet.asks.get((a, True), 0) for a in fleet.node_by_address]
        speakers = [count for count in far if count > 20]
        assert len(speakers) <= len(DATA_CENTRES)
        # Seeds are asked now and then; all else goes through the speakers.
        others = sorted(far)[: -len(DATA_CENTRES)]
        assert max(others) <= 2 * 20.0 / 4.0 + 4
        total = sum(fleet.asks.values())
        pairs = len(DATA_CENTRES) * PER_DATA_CENTRE * (PER_DATA_CENTRE - 1)
        assert total <= pairs * 20.0 / peers_module.LOCAL_PERIOD_S

    run_fleet(check)


@pytest.mark.parametrize("what", ["speaker", "data centre"])
def test_the_dead_are_noticed_and_the_living_still_heard(what):
    async def check(fleet):
        await trio.sleep(6.0)
        for address, node in fleet.node_by_address.items():
            if node.centre == "c" and (
                what == "data centre" or node.peers.members.is_delegate()
            ):
                fleet.dead.add(address)
        await trio.sleep(members_module.REMOTE_SILENCE_MAX_S + 2.5)
        assert fleet.get_disagreements() == []

    run_fleet(check)


def test_waits_loads_and_parts_reach_the_other_data_centres():
    async def check(fleet):
        published = fakes.new_server("x", "s", data_centre="a")
        for node in fleet.node_by_address.values():
            node.directory.server_by_id["x"] = directory_module.KnownServer(
                published
            )
        await trio.sleep(6.0)
        teller = fleet.node_by_address["a-1:1"]
        server = teller.directory.server_by_id["x"]
        server.outstanding, server.prefill_tokens = 3, 900
        teller.directory.record_held_parts(server, [("big", 900), ("own", 10)])
        await trio.sleep(2.5)
        for node in fleet.node_by_address.values():
            known = node.directory.server_by_id["x"]
            assert known.count_running() == 3, node.name
            assert "big" in known.held_part_times, node.name
            if node.centre != "a":
                assert node.pools.get_pool("s", "a").wait_s is not None

    run_fleet(check)


def test_an_entry_cut_off_from_the_store_hears_that_it_is_fresh():
    async def check(fleet):
        await trio.sleep(6.0)
        for _second in range(8):
            for address, node in fleet.node_by_address.items():
                if address != "d-2:1":
                    node.lease.confirm(trio.current_time())
            await trio.sleep(1.0)
        lonely = fleet.node_by_address["d-2:1"]
        assert lonely.lease.is_fresh()
        fleet.cut_centres.add("d")
        fleet.dead.update(f"d-{index}:1" for index in (0, 1, 3))
        await trio.sleep(BOUND_S)
        assert not lonely.lease.is_fresh()

    run_fleet(check)


def test_budget_counts_all_entries_that_were_ever_heard_of():
    """Found in the grown deployments: 24 entries took an eighth each.

    A part for each of eight entries is three times the slack when there
    are 24 of them; and one that is cut off still has to count them.
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


def test_a_larger_weight_gathers_more_often():
    weights = {"small": 0.4, "large": 2.1}
    keys = [str(number) for number in range(2000)]
    large = sum(rendezvous.get_winner(key, weights) == "large" for key in keys)
    assert 0.80 < large / len(keys) < 0.88
    assert rendezvous.get_winner("key", {}) is None


def test_a_digest_is_small():
    """What a speaker tells another one of its data centre, each 0.8 s."""

    async def check(fleet):
        await trio.sleep(6.0)
        node = fleet.node_by_address["a-1:1"]
        far = next(
            peer
            for peer in node.peers.members.peer_by_address.values()
            if peer.data_centre == "b"
        )
        digest = node.peers._digests.new_digest(far)
        assert len(msgspec.msgpack.encode(digest)) < 500

    run_fleet(check)


def test_pieces_that_a_peer_makes_are_the_ones_that_were_wanted():
    """Their inputs are told once: they were told again for each piece."""

    async def check(_nursery):
        inputs = tuple(f"10.2.0.7:8630/handle-{n:08d}" for n in range(6))
        wanted = []
        for number in range(40):
            task = piece_module.PieceTask("request", 2, number, "key", inputs)
            task.due_s = trio.current_time() + 1.5
            task.deadline = deadline_module.new_deadline(4000)
            task.priority, task.result_bytes = 1, 6000
            wanted.append(task)
        pool = FakePool("s", "a")
        sent = messages.encode(peers_module._new_make_pieces(pool, wanted))
        assert len(sent) < 40 * 20
        tasks = peers_module._new_tasks(messages.decode_request(sent))
        for task, other in zip(wanted, tasks, strict=True):
            assert task.to_piece() == other.to_piece()
            assert abs(task.due_s - other.due_s) < 0.01
            assert task.priority == other.priority
            assert task.result_bytes == other.result_bytes

    fakes.run_paused(check)
