"""Tests of the freshness lease, catalog, directory and retry budget."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import trio
import trio.testing

from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import budget as budget_module
from greengagetrack.process.direct import catalog_watcher
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import freshness
from tests.direct import fakes

LEASE_S = 4.0
REVOCATION_BOUND_S = 5.0


class RevokedKeyMachine(stateful.RuleBasedStateMachine):
    """A key is revoked while polls are slow or lost, or the VM is suspended.

    The lease must not be fresh later than the bound after the revocation
    while the entry has not received it.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.lease = freshness.new_freshness_lease(LEASE_S, lambda: self.now_s)
        self.revoked_s = None
        self.has_seen_revocation = False
        self.requests = []

    @stateful.rule(spent_s=strategies.floats(0.0, 6.0))
    def advance_clock(self, spent_s):
        self.now_s += spent_s

    @stateful.rule()
    def poll(self):
        if len(self.requests) < 3:
            self.requests.append([self.lease.now_s(), None])

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(index=strategies.integers(0, 2))
    def answer_request(self, index):
        request = self.requests[index % len(self.requests)]
        request[1] = self.revoked_s is not None

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(index=strategies.integers(0, 2))
    def receive_answer(self, index):
        sent_s, contains_revocation = self.requests.pop(
            index % len(self.requests)
        )
        if contains_revocation is None:
            return
        self.has_seen_revocation = (
            self.has_seen_revocation or contains_revocation
        )
        self.lease.confirm(sent_s)

    @stateful.precondition(lambda self: self.revoked_s is None)
    @stateful.rule()
    def revoke_key(self):
        self.revoked_s = self.now_s

    @stateful.invariant()
    def catalog_without_revocation_becomes_stale(self):
        if self.revoked_s is None or self.has_seen_revocation:
            return
        if self.now_s >= self.revoked_s + REVOCATION_BOUND_S:
            assert not self.lease.is_fresh()


TestRevokedKey = RevokedKeyMachine.TestCase


def test_lease_is_not_fresh_before_first_confirmation():
    lease = freshness.new_freshness_lease(LEASE_S, lambda: 1.0)
    assert not lease.is_fresh()
    assert lease.get_age_s() is None


class CatalogMachine(stateful.RuleBasedStateMachine):
    """A source that gives outdated answers, fails or loses its history.

    The catalog version of one process must never decrease.
    """

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.version = 1
        self.highest_version = 0

        async def new_watcher():
            return catalog_watcher.new_catalog_watcher(
                fakes.FakeSource(),
                directory_module.new_directory(lambda server: None),
                freshness.new_freshness_lease(LEASE_S, lambda: 1.0),
                2.5,
                random.Random(1),
            )

        self.watcher = self._run(new_watcher)

    def _run(self, function, *arguments):
        return trio.run(
            function, *arguments, clock=trio.testing.MockClock(1.0)
        )

    def _poll_with(self, answer):
        self.watcher._source.answers = [answer]

        async def poll():
            return await self.watcher._poll_once()

        return self._run(poll)

    @stateful.rule(step=strategies.integers(1, 3))
    def publish_catalog(self, step):
        self.revision += 1
        self.version += step

    @stateful.rule(is_complete=strategies.booleans())
    def answer_with_newest(self, is_complete):
        update = source_module.Update(
            self.revision,
            catalog=fakes.new_catalog(self.version),
            is_complete=is_complete,
        )
        assert self._poll_with(update)
        assert self.watcher.get_version() == self.version

    @stateful.rule(back=strategies.integers(1, 5))
    def answer_with_older(self, back):
        revision = max(self.revision - back, 1)
        version = max(self.version - back, 1)
        self._poll_with(
            source_module.Update(revision, catalog=fakes.new_catalog(version))
        )

    @stateful.rule()
    def answer_with_lost_history(self):
        assert not self._poll_with(source_module.HistoryLost())
        assert self.watcher.revision is None

    @stateful.rule()
    def answer_with_error(self):
        assert not self._poll_with(source_module.Unreachable("down"))

    @stateful.invariant()
    def version_never_decreases(self):
        assert self.watcher.get_version() >= self.highest_version
        self.highest_version = self.watcher.get_version()


TestCatalog = CatalogMachine.TestCase


def test_outdated_answer_does_not_renew_lease():
    async def check(_nursery):
        now = [10.0]
        lease = freshness.new_freshness_lease(LEASE_S, lambda: now[0])
        watcher = catalog_watcher.new_catalog_watcher(
            fakes.FakeSource(
                source_module.Update(5, catalog=fakes.new_catalog(2)),
                source_module.Update(4),
            ),
            directory_module.new_directory(lambda server: None),
            lease,
            2.5,
            random.Random(1),
        )
        await watcher._poll_once()
        now[0] = 20.0
        await watcher._poll_once()
        assert not lease.is_fresh()

    fakes.run_with_mock_clock(check)


def new_update(*servers, **fields):
    return source_module.Update(1, servers=servers, **fields)


def test_leaving_server_gets_no_new_work_and_removed_one_is_dropped():
    async def check(_nursery):
        removed = []
        directory = directory_module.new_directory(removed.append)
        directory.apply_update(new_update(fakes.new_server("a")))
        assert len(directory.get_servers("svc")) == 1
        directory.apply_update(
            new_update(fakes.new_server("a", is_leaving=True))
        )
        assert directory.get_servers("svc") == []
        directory.apply_update(new_update(removed=("a",)))
        assert directory.server_by_id == {}
        assert [server.server_id for server in removed] == ["a"]

    fakes.run_with_mock_clock(check)


def _run_directory(check):
    async def main(_nursery):
        directory = directory_module.new_directory(lambda server: None)
        await check(directory)

    fakes.run_with_mock_clock(main)


def _list_servers(directory, *servers, is_restored=False):
    update = source_module.Update(1, servers=servers, is_complete=True)
    directory.apply_update(update, is_restored)


def _get_ids(directory):
    return sorted(server.server_id for server in directory.get_servers("svc"))


def test_a_server_that_says_it_leaves_gets_no_new_work():
    async def check(directory):
        server = fakes.new_server("s1")
        _list_servers(directory, server, fakes.new_server("s2"))
        directory.record_leaving(server)
        assert _get_ids(directory) == ["s2"]
        # Its record may still say for a while that it is ready.
        _list_servers(directory, server, fakes.new_server("s2"))
        assert _get_ids(directory) == ["s2"]
        restarted = fakes.new_server("s1", incarnation=2)
        _list_servers(directory, restarted, fakes.new_server("s2"))
        assert _get_ids(directory) == ["s1", "s2"]

    _run_directory(check)


def test_an_answer_of_another_incarnation_says_nothing_of_a_server():
    async def check(directory):
        _list_servers(directory, fakes.new_server("s1", incarnation=2))
        directory.record_leaving(fakes.new_server("s1", incarnation=1))
        directory.record_pause(fakes.new_server("s1", incarnation=1), 5.0)
        assert _get_ids(directory) == ["s1"]

    _run_directory(check)


def test_a_server_that_asks_for_a_pause_gets_no_requests_until_its_end():
    async def check(directory):
        server = fakes.new_server("s1")
        _list_servers(directory, server)
        directory.record_pause(server, 3.0)
        await trio.sleep(2.9)
        assert _get_ids(directory) == []
        await trio.sleep(0.2)
        assert _get_ids(directory) == ["s1"]

    _run_directory(check)


def test_a_restored_source_brings_no_server_back_that_has_left():
    async def check(directory):
        left, removed = fakes.new_server("s1"), fakes.new_server("s2")
        alive = fakes.new_server("s3")
        _list_servers(directory, left, removed, alive)
        leaving = fakes.new_server("s1", is_leaving=True)
        _list_servers(directory, leaving, removed, alive)
        _list_servers(directory, alive)
        assert _get_ids(directory) == ["s3"]
        _list_servers(directory, left, removed, alive, is_restored=True)
        assert _get_ids(directory) == ["s3"]
        # A record that is published again is that of a living server, but
        # one that was leaving never comes back in the same incarnation.
        _list_servers(directory, left, removed, alive)
        assert _get_ids(directory) == ["s2", "s3"]

    _run_directory(check)


def test_a_leaving_record_is_not_taken_back_by_an_older_copy():
    async def check(directory):
        _list_servers(directory, fakes.new_server("s1", is_leaving=True))
        _list_servers(directory, fakes.new_server("s1"), is_restored=True)
        assert _get_ids(directory) == []

    _run_directory(check)


def _poll(*answers):
    """Return the watcher and the source after polls of `answers`."""
    results = []

    async def main(_nursery):
        directory = directory_module.new_directory(lambda server: None)
        source = fakes.FakeSource(*answers)
        watcher = catalog_watcher.new_catalog_watcher(
            source,
            directory,
            freshness.new_freshness_lease(LEASE_S),
            2.5,
            random.Random(1),
        )
        for _answer in answers:
            await watcher._poll_once()
        results.extend((watcher, source))

    fakes.run_with_mock_clock(main)
    return results


def _new_update(revision, version, era, is_complete=True):
    return source_module.Update(
        revision,
        catalog=version and fakes.new_catalog(version),
        era=era,
        is_complete=is_complete,
    )


def test_an_era_that_rises_has_everything_listed_again():
    watcher, source = _poll(
        _new_update(90, 7, 1),
        _new_update(40, None, 2, is_complete=False),
        _new_update(40, 8, 2),
    )
    assert source.requests == ["all", 90, "all"]
    assert (watcher.get_version(), watcher.revision) == (8, 40)
    assert watcher.lease.is_fresh()


def test_a_restored_source_without_the_version_in_force_confirms_nothing():
    watcher, _source = _poll(_new_update(90, 7, 1), _new_update(40, 6, 2))
    age_s = watcher.lease.get_age_s()
    assert watcher.get_version() == 7
    assert watcher._is_source_behind
    watcher, _source = _poll(
        _new_update(90, 7, 1),
        _new_update(40, 6, 2),
        _new_update(41, 7, 2, is_complete=False),
    )
    assert not watcher._is_source_behind
    assert age_s is not None


def test_an_answer_of_an_earlier_era_is_ignored():
    watcher, _source = _poll(_new_update(40, 7, 2), _new_update(90, 9, 1))
    assert (watcher.get_version(), watcher.era) == (7, 2)


def test_restarted_server_starts_without_observed_state():
    async def check(_nursery):
        directory = directory_module.new_directory(lambda server: None)
        directory.apply_update(
            new_update(fakes.new_server("a", incarnation=1))
        )
        directory.server_by_id["a"].record_unreachable()
        directory.server_by_id["a"].record_cached_parts([("p", 10)])
        directory.apply_update(
            new_update(fakes.new_server("a", incarnation=2))
        )
        server = directory.server_by_id["a"]
        assert not server.is_suspect()
        assert server.count_cached_tokens([("p", 10)]) == 0

    fakes.run_with_mock_clock(check)


def test_removal_is_delayed_after_source_outage():
    async def check(_nursery):
        directory = directory_module.new_directory(lambda server: None)
        directory.apply_update(
            new_update(fakes.new_server("a"), is_complete=True)
        )
        directory.start_removal_grace()
        directory.apply_update(new_update(is_complete=True))
        assert len(directory.get_servers("svc")) == 1
        await trio.sleep(directory_module.REMOVAL_GRACE_S + 0.01)
        # The grace period ends without an update from the source.
        assert directory.get_servers("svc") == []
        directory.apply_update(new_update(fakes.new_server("a")))
        assert len(directory.get_servers("svc")) == 1

    fakes.run_with_mock_clock(check)


def test_removal_after_grace_period_is_immediate():
    """A removal is not delayed once the grace period is over.

    An entry that the source had rejected until five seconds before treated
    a real removal as an expired record (deployment kitamura, run trouble-1,
    seed 300191956936: three violations of the soak rule DRAIN).
    """

    async def check(_nursery):
        source = fakes.FakeSource(
            new_update(fakes.new_server("a"), is_complete=True),
            source_module.Unreachable("down"),
            new_update(),
            new_update(removed=("a",)),
        )
        directory = directory_module.new_directory(lambda server: None)
        watcher = catalog_watcher.new_catalog_watcher(
            source,
            directory,
            freshness.new_freshness_lease(LEASE_S, lambda: 1.0),
            2.5,
            random.Random(1),
        )
        for _poll in range(3):
            await watcher._poll_once()
        await trio.sleep(directory_module.REMOVAL_GRACE_S + 0.5)
        await watcher._poll_once()
        assert directory.get_servers("svc") == []

    fakes.run_with_mock_clock(check)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 23),
            strategies.booleans(),
            strategies.floats(0.0, 2.0),
        ),
        max_size=200,
    )
)
def test_all_entries_together_stay_within_retry_budget(steps):
    ratio, slack, window_s = 0.2, 48.0, 10.0

    async def check(_nursery):
        entries = [
            budget_module.new_retry_budgets(ratio, slack, window_s, lambda: 24)
            for _entry in range(24)
        ]
        first_times, retry_times = [], []
        for index, is_retry, pause_s in steps:
            await trio.sleep(pause_s)
            now = trio.current_time()
            budget = entries[index].get("svc")
            if is_retry:
                if budget.try_acquire():
                    retry_times.append(now)
            else:
                budget.count_first_attempt()
                first_times.append(now)
            used = sum(at_s > now - window_s for at_s in retry_times)
            counted = sum(at_s >= now - window_s for at_s in first_times)
            assert used <= ratio * counted + slack

    fakes.run_with_mock_clock(check)


def test_budget_without_retries_drops_old_first_attempts():
    async def check(_nursery):
        budget = budget_module.new_retry_budgets(
            0.2, 8.0, 10.0, lambda: 8
        ).get("svc")
        for _request in range(200):
            await trio.sleep(1.0)
            budget.count_first_attempt()
        assert len(budget._first_attempt_times) <= 11

    fakes.run_with_mock_clock(check)


def _read_past(*answers):
    """Return the version history after reading the source's history."""
    watched = []

    async def check(_nursery):
        directory = directory_module.new_directory(lambda server: None)
        watcher = catalog_watcher.new_catalog_watcher(
            fakes.FakeSource(*answers),
            directory,
            freshness.new_freshness_lease(5.0),
            2.5,
            random.Random(1),
        )
        watcher.revision = 4
        await watcher.read_past()
        watched.append(directory.versions)

    fakes.run_with_mock_clock(check)
    return watched[0]


def _new_history(*versions, is_complete=True):
    servers = tuple(
        fakes.new_server(version, software_version=version)
        for version in versions
    )
    return source_module.History(servers, is_complete)


def test_versions_that_left_before_the_start_are_learned_from_history():
    versions = _read_past(
        source_module.HistoryLost(),
        _new_history("v2"),
        _new_history("v1", "v2"),
    )
    assert versions.get_versions("svc", 0.0) == {"v1", "v2"}
    assert versions.known_since_s < 0


@pytest.mark.parametrize(
    "answers",
    [
        (_new_history("v2", is_complete=False),),
        (source_module.Unreachable(),),
        (source_module.HistoryLost(), source_module.Unreachable()),
    ],
)
def test_history_with_a_gap_tells_nothing(answers):
    assert _read_past(*answers).known_since_s > 0
