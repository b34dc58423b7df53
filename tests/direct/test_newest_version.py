"""Tests of entries that start while their peers know a newer version.

Whole entries on a mock clock, with links in memory and one store that can
come back from a copy, stand still or turn an entry away.
"""

import random
import types

import pytest
import trio

from greengagetrack.connection import base
from greengagetrack.connection import nng
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import entry as entry_module
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import greeting
from greengagetrack.process.direct import inquiry
from greengagetrack.process.direct import newest_version
from greengagetrack.request.direct import request as request_module
from greengagetrack.request import outcome
from tests.direct import fakes
from tests.direct import test_peers

ROUTES = (
    fakes.new_route(),
    fakes.new_route(name="open", prefix="/open", is_public=True),
)
BEFORE = fakes.new_catalog(7, ROUTES, {"kept": "o1", "withdrawn": "o2"})
AFTER = fakes.new_catalog(9, ROUTES, {"kept": "o1"})
CALL_TIMEOUT_S = 1.0
POLL_PERIOD_S = 1.1
RETRY_S = 0.3
ASK_BOUND_S = 1.1
KEY_BOUND_S = 5.0


class Store:
    """A store with one catalog and one server."""

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.catalog = BEFORE
        self.is_standing = False
        self.turned_away = set()

    def publish(self, catalog):
        """Accept a catalog."""
        self.revision += 1
        self.catalog = catalog

    def restore(self):
        """Come back from a copy with the catalog `BEFORE`."""
        self.era += 1
        self.revision = 1
        self.catalog = BEFORE

    def list_servers(self, revision):
        """Return the servers published and the ids removed after a revision.

        With None, return all servers.
        """
        return (fakes.new_server("s1"),), ()


class StoreSource(source_module.Source):
    """The store as one entry reads it."""

    def __init__(self, store, name):
        self._store = store
        self._name = name

    async def list_all(self):
        """Return all that there is."""
        return await self._answer(None)

    async def list_changes(self, revision):
        """Return all that there is, as changes."""
        return await self._answer(revision)

    async def list_history(self, revision):
        """Return no history."""
        return source_module.HistoryLost()

    async def _answer(self, after):
        await trio.sleep(0.01)
        if self._store.is_standing:
            await trio.sleep(CALL_TIMEOUT_S)
            return source_module.Unreachable("no answer in time")
        if self._name in self._store.turned_away:
            return source_module.Unreachable("503")
        servers, removed = self._store.list_servers(after)
        return source_module.Update(
            self._store.revision,
            self._store.catalog,
            servers,
            removed,
            is_complete=after is None,
            era=self._store.era,
        )


class Node:
    """An entry that can be stopped and started again."""

    def __init__(self, site, name, data_centre="a"):
        self.name = name
        self._data_centre = data_centre
        self._site = site
        self._cancel_scope = None
        self._starts = 0

    def start(self):
        """Start the entry, without any memory."""
        self._starts += 1
        address = f"{self.name}:1"
        self._site.dead.discard(address)
        factory = types.SimpleNamespace(
            open_link=lambda target: test_peers.FakeLink(
                self._site, address, target
            )
        )
        settings = entry_module.DirectSettings(
            self.name,
            self._data_centre,
            address,
            tuple(f"{name}:1" for name in self._site.names),
            dict.fromkeys("abcde", "north"),
            self._site.key_bound_s,
            0.2,
            80.0,
            10.0,
        )
        self.entry = entry_module.new_direct_entry(
            settings,
            StoreSource(self._site.store, self.name),
            fakes.FakeGateway(),
            types.SimpleNamespace(drop_expired=lambda: None),
            base.new_links(factory),
            self._site.nursery,
            random.Random(f"{self.name} {self._starts}"),
            fakes.KEYS.get_digest,
        )
        self.entry.lease.now_s = trio.current_time
        self.peers = self.entry.peers
        self._cancel_scope = trio.CancelScope()
        self._site.nursery.start_soon(self._run)

    async def _run(self):
        with self._cancel_scope:
            await self.entry.run()

    def stop(self):
        """Stop the entry at once."""
        self._cancel_scope.cancel()
        self._site.dead.add(f"{self.name}:1")

    async def wait_ready(self):
        """Wait until the entry is ready; return for how long."""
        started_s = trio.current_time()
        while not self.entry.is_ready():
            await trio.sleep(0.01)
        return trio.current_time() - started_s

    def admit(self, key="", path="/x"):
        """Return what becomes of a request."""
        request = request_module.DirectRequest(
            b"id",
            b"POST",
            path.encode(),
            "h",
            [],
            b"",
            trio.current_time(),
            api_key=key,
        )
        return self.entry.admit(request)

    def runs(self, key="", path="/x"):
        """Return whether a request is admitted."""
        return isinstance(self.admit(key, path), request_module.Admitted)


class Site(test_peers.Fleet):
    """Three entries in one data centre and their store."""

    names = ("a-0", "a-1", "a-2")
    key_bound_s = KEY_BOUND_S

    def __init__(self, nursery):
        super().__init__(centres=(), entries_per_centre=0)
        self.nursery = nursery
        self.store = Store()
        self.nodes = [Node(self, name) for name in self.names]
        self.node_by_address = {f"{node.name}:1": node for node in self.nodes}

    def start_all(self):
        """Start all entries at once."""
        for node in self.nodes:
            node.start()


def run_site(check):
    """Run `check(site)` once three entries hold the first catalog."""

    async def main(nursery):
        site = Site(nursery)
        site.start_all()
        await trio.sleep(4.0)
        await check(site)

    fakes.run_with_mock_clock(main)


async def _withdraw_and_restore(site, node):
    """Withdraw a key, and start an entry while the store shows a copy."""
    site.store.publish(AFTER)
    await trio.sleep(3.0)
    site.store.restore()
    node.stop()
    await trio.sleep(0.3)
    node.start()


def test_a_restarted_entry_runs_no_key_that_its_peers_know_withdrawn():
    async def check(site):
        node = site.nodes[0]
        await _withdraw_and_restore(site, node)
        for _moment in range(300):
            await trio.sleep(0.01)
            assert not node.runs("withdrawn")
            assert not node.entry.is_ready()
        refused = node.admit("kept")
        assert refused.reason is outcome.Reason.NO_TABLE
        assert refused.retry_after_ms
        assert node.runs(path="/open/x")
        site.store.publish(AFTER)
        assert await node.wait_ready() < POLL_PERIOD_S + 0.05
        assert node.runs("kept")
        assert not node.runs("withdrawn")

    run_site(check)


def test_a_restarted_entry_in_calm_is_ready_at_once():
    async def check(site):
        site.nodes[0].stop()
        await trio.sleep(0.3)
        site.nodes[0].start()
        assert await site.nodes[0].wait_ready() < 0.2

    run_site(check)


@pytest.mark.parametrize("stop_s", [0.0, 0.3])
def test_a_restarted_entry_without_answers_waits_for_a_bounded_time(stop_s):
    """All others are gone, just now or for some time."""

    async def check(site):
        for node in site.nodes[1:]:
            node.stop()
        site.nodes[0].stop()
        await trio.sleep(stop_s)
        site.nodes[0].start()
        assert await site.nodes[0].wait_ready() < ASK_BOUND_S

    run_site(check)


class SiteWithFarEntry(Site):
    """A site with one more entry, which is no seed and reconnects late."""

    far_from_s = 0.0

    def __init__(self, nursery, far_name):
        super().__init__(nursery)
        self.far = self.add(far_name)

    def add(self, name):
        """Return a new entry, which is no seed, of the centre in its name."""
        node = Node(self, name, name.partition("-")[0])
        self.nodes.append(node)
        self.node_by_address[f"{name}:1"] = node
        return node

    def is_connected(self, source, address):
        """Return whether messages go from one address to another."""
        is_far = f"{self.far.name}:1" in (source, address)
        if is_far and trio.current_time() < self.far_from_s:
            return False
        return super().is_connected(source, address)


async def _restart_beside_far_entry(site, late_s, shift_s=0.0):
    """Restart all entries but the far one on an older copy."""
    site.start_all()
    await trio.sleep(4.0)
    site.store.publish(AFTER)
    await trio.sleep(3.0 + shift_s)
    site.store.restore()
    restarted = [node for node in site.nodes if node is not site.far]
    for node in restarted:
        node.stop()
    await trio.sleep(0.3)
    site.far_from_s = trio.current_time() + late_s
    for node in restarted:
        node.start()
    for _moment in range(300):
        await trio.sleep(0.01)
        assert not any(node.runs("withdrawn") for node in site.nodes)


@pytest.mark.parametrize("far_name", ["a-3", "b-0"])
@pytest.mark.parametrize("late_s", [0.0, 0.2, 0.5, 0.6, 0.8])
def test_restarted_seeds_run_no_key_that_an_unknown_peer_knows_withdrawn(
    far_name, late_s
):
    async def check(nursery):
        site = SiteWithFarEntry(nursery, far_name)
        await _restart_beside_far_entry(site, late_s)

    fakes.run_with_mock_clock(check)


@pytest.mark.parametrize(
    ("late_s", "shift_s"), [(0.5, 0.26), (0.7, 0.13), (0.7, 0.26), (0.8, 0.0)]
)
def test_entries_that_restart_with_their_seeds_hear_of_a_withdrawn_key(
    late_s, shift_s
):
    """They reach the entry that knows better by way of the seeds only."""

    async def check(nursery):
        site = SiteWithFarEntry(nursery, "d-2")
        for centre in "bcde":
            for number in range(4):
                if f"{centre}-{number}" != site.far.name:
                    site.add(f"{centre}-{number}")
        await _restart_beside_far_entry(site, late_s, shift_s)

    fakes.run_with_mock_clock(check)


def test_a_link_is_open_again_while_an_entry_still_waits_for_news():
    """An entry that runs on greets those that have started."""
    wait_s = inquiry.ROUNDS_MAX * inquiry.ROUND_S
    last_question_s = inquiry.QUESTION_ROUNDS * inquiry.ROUND_S
    reconnect_s = nng.RECONNECT_MAX_MS / 1000
    assert reconnect_s + greeting.CHECK_S + last_question_s < wait_s


def test_entries_that_restart_at_once_at_a_sound_store_are_ready_at_once():
    """The store was never restored, so it shows no older copy."""

    async def check(nursery):
        site = Site(nursery)
        site.store.era = source_module.FIRST_ERA
        site.start_all()
        await trio.sleep(4.0)
        for node in site.nodes:
            node.stop()
        await trio.sleep(0.3)
        site.start_all()
        for node in site.nodes:
            assert await node.wait_ready() < 0.2

    fakes.run_with_mock_clock(check)


def test_entries_that_restart_at_once_take_the_word_of_a_restored_store():
    async def check(site):
        site.store.publish(AFTER)
        await trio.sleep(3.0)
        site.store.restore()
        for node in site.nodes:
            node.stop()
        await trio.sleep(0.3)
        site.start_all()
        for node in site.nodes:
            assert await node.wait_ready() < ASK_BOUND_S
            assert node.runs("kept")
        site.store.publish(AFTER)
        await trio.sleep(POLL_PERIOD_S + 0.05)
        assert not any(node.runs("withdrawn") for node in site.nodes)

    run_site(check)


def test_an_entry_that_starts_at_a_standing_store_waits_no_longer():
    async def check(site):
        node = site.nodes[0]
        site.store.publish(AFTER)
        await trio.sleep(3.0)
        node.stop()
        site.store.is_standing = True
        await trio.sleep(0.3)
        node.start()
        await trio.sleep(4.0)
        assert not node.entry.is_ready()
        site.store.is_standing = False
        site.store.restore()
        await trio.sleep(2.0)
        assert not node.runs("withdrawn")
        site.store.publish(AFTER)
        assert await node.wait_ready() < POLL_PERIOD_S + 0.05
        # The same without a newer version among the peers.
        node.stop()
        site.store.is_standing = True
        await trio.sleep(0.3)
        node.start()
        await trio.sleep(3.0)
        site.store.is_standing = False
        assert await node.wait_ready() < CALL_TIMEOUT_S + RETRY_S + 0.05

    run_site(check)


def test_an_entry_turned_away_after_reading_a_copy_runs_no_withdrawn_key():
    async def check(site):
        node = site.nodes[0]
        await _withdraw_and_restore(site, node)
        await trio.sleep(0.05)
        site.store.turned_away.add(node.name)
        site.store.publish(AFTER)
        for _moment in range(300):
            await trio.sleep(0.01)
            assert not node.runs("withdrawn")
            assert not node.entry.is_ready()
        assert node.runs(path="/open/x")
        site.store.turned_away.clear()
        assert await node.wait_ready() < RETRY_S + 0.05
        assert node.runs("kept")

    run_site(check)


def test_a_confirmation_by_a_restored_store_ends_with_a_peers_word():
    """An entry was cut off from its peers while a version was published."""

    async def check(site):
        cut, *others = site.nodes
        site.store.turned_away.add(cut.name)
        site.dead.add(f"{cut.name}:1")
        site.store.publish(AFTER)
        await trio.sleep(3.0)
        site.store.restore()
        site.store.turned_away.clear()
        await trio.sleep(RETRY_S + ASK_BOUND_S + 0.05)
        assert cut.runs("withdrawn")
        site.dead.clear()
        await trio.sleep(1.0)
        assert not cut.runs("withdrawn")
        assert not cut.runs("kept")
        assert cut.runs(path="/open/x")
        # What the others confirmed before holds as long as before.
        assert not any(node.runs("withdrawn") for node in others)

    run_site(check)


def test_an_entry_that_was_out_of_step_asks_before_it_takes_a_copys_word():
    """It stood still, or was cut off, while a version was published."""

    async def check(site):
        node = site.nodes[0]
        site.store.turned_away.add(node.name)
        site.dead.add(f"{node.name}:1")
        site.store.publish(AFTER)
        await trio.sleep(KEY_BOUND_S)
        site.store.restore()
        site.store.turned_away.clear()
        for moment in range(200):
            await trio.sleep(0.01)
            assert not node.runs("withdrawn")
            if moment == 80:
                # Links to peers come back later than the store.
                site.dead.clear()
        site.store.publish(AFTER)
        assert await node.wait_ready() < POLL_PERIOD_S + 0.05

    run_site(check)


def test_a_restored_store_with_the_newest_version_holds_up_no_key():
    async def check(site):
        site.store.restore()
        for _moment in range(300):
            await trio.sleep(0.01)
            assert all(node.runs("kept") for node in site.nodes)

    run_site(check)


@pytest.mark.parametrize(("era", "is_taken"), [(1, True), (2, False)])
def test_a_peers_word_from_a_restored_store_renews_nothing(era, is_taken):
    """The peer holds an older version; its word was right in era 1 only."""
    lease = freshness.new_freshness_lease(KEY_BOUND_S, lambda: 10.0)
    newest = newest_version.new_newest_version(lease)
    newest.hold(9, 1)
    newest.confirm(9.0, era, 7)
    assert lease.is_fresh() is is_taken


def test_a_new_version_of_a_sound_store_holds_up_no_key():
    async def check(site):
        for version in range(10, 16):
            site.store.publish(
                fakes.new_catalog(version, ROUTES, {"kept": "o1"})
            )
            for _moment in range(150):
                await trio.sleep(0.02)
                assert all(node.runs("kept") for node in site.nodes)
                assert all(node.entry.is_ready() for node in site.nodes)

    run_site(check)
