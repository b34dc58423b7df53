"""What an entry believes: freshness, catalog, directory, shared budget."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import trio
import trio.testing

from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import budget as budget_module
from greengagetrack.process.direct import catalog_watcher
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import freshness
from tests.direct import fakes

BOUND_S = 4.0
REVOKE_S = 5.0


class RevokedKeyMachine(stateful.RuleBasedStateMachine):
    """A key is taken away while calls are slow, lost or suspended.

    The lease must never call the catalog fresh later than the bound after
    a version took the key away that this entry has not seen.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.lease = freshness.new_freshness_lease(BOUND_S, lambda: self.now_s)
        self.revoked_s = None
        self.has_seen = False
        self.asked = []

    @stateful.rule(spent_s=strategies.floats(0.0, 6.0))
    def time_passes_or_the_machine_is_suspended(self, spent_s):
        self.now_s += spent_s

    @stateful.rule()
    def ask(self):
        if len(self.asked) < 3:
            self.asked.append([self.lease.now_s(), None])

    @stateful.precondition(lambda self: self.asked)
    @stateful.rule(index=strategies.integers(0, 2))
    def the_store_answers(self, index):
        question = self.asked[index % len(self.asked)]
        question[1] = self.revoked_s is not None

    @stateful.precondition(lambda self: self.asked)
    @stateful.rule(index=strategies.integers(0, 2))
    def the_answer_arrives(self, index):
        sent_s, says_revoked = self.asked.pop(index % len(self.asked))
        if says_revoked is None:
            return
        self.has_seen = self.has_seen or says_revoked
        self.lease.confirm(sent_s)

    @stateful.precondition(lambda self: self.revoked_s is None)
    @stateful.rule()
    def the_key_is_taken_away(self):
        self.revoked_s = self.now_s

    @stateful.invariant()
    def an_unseen_revocation_is_bounded(self):
        if self.revoked_s is None or self.has_seen:
            return
        if self.now_s >= self.revoked_s + REVOKE_S:
            assert not self.lease.is_fresh()


TestRevokedKey = RevokedKeyMachine.TestCase


def test_nothing_is_fresh_before_the_first_confirmation():
    lease = freshness.new_freshness_lease(BOUND_S, lambda: 1.0)
    assert not lease.is_fresh()
    assert lease.get_age_s() is None


class CatalogMachine(stateful.RuleBasedStateMachine):
    """A source that answers late, from the past, or has lost its history.

    The version in force never goes back in one lifetime.
    """

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.version = 1
        self.highest = 0

        async def new_watcher():
            return catalog_watcher.new_catalog_watcher(
                fakes.FakeSource(),
                directory_module.new_directory(lambda known: None),
                freshness.new_freshness_lease(BOUND_S, lambda: 1.0),
                2.5,
                random.Random(1),
            )

        self.watcher = self._run(new_watcher)

    def _run(self, function, *arguments):
        return trio.run(
            function, *arguments, clock=trio.testing.MockClock(1.0)
        )

    def _answer(self, answer):
        self.watcher._source.answers = [answer]

        async def ask():
            return await self.watcher._poll_once()

        return self._run(ask)

    @stateful.rule(step=strategies.integers(1, 3))
    def the_operator_changes_the_catalog(self, step):
        self.revision += 1
        self.version += step

    @stateful.rule(is_complete=strategies.booleans())
    def the_newest_is_told(self, is_complete):
        update = source_module.Update(
            self.revision,
            catalog=fakes.new_catalog(self.version),
            is_complete=is_complete,
        )
        assert self._answer(update)
        assert self.watcher.get_version() == self.version

    @stateful.rule(back=strategies.integers(1, 5))
    def the_past_is_told(self, back):
        revision = max(self.revision - back, 1)
        version = max(self.version - back, 1)
        self._answer(
            source_module.Update(revision, catalog=fakes.new_catalog(version))
        )

    @stateful.rule()
    def the_history_is_lost(self):
        assert not self._answer(source_module.HistoryLost())
        assert self.watcher.revision is None

    @stateful.rule()
    def nothing_is_told(self):
        assert not self._answer(source_module.Unreachable("down"))

    @stateful.invariant()
    def versions_only_rise(self):
        assert self.watcher.get_version() >= self.highest
        self.highest = self.watcher.get_version()


TestCatalog = CatalogMachine.TestCase


def test_an_answer_from_the_past_confirms_nothing():
    async def check(_nursery):
        now = [10.0]
        lease = freshness.new_freshness_lease(BOUND_S, lambda: now[0])
        watcher = catalog_watcher.new_catalog_watcher(
            fakes.FakeSource(
                source_module.Update(5, catalog=fakes.new_catalog(2)),
                source_module.Update(4),
            ),
            directory_module.new_directory(lambda known: None),
            lease,
            2.5,
            random.Random(1),
        )
        await watcher._poll_once()
        now[0] = 20.0
        await watcher._poll_once()
        assert not lease.is_fresh()

    fakes.run_paused(check)


def _new_update(*servers, **fields):
    return source_module.Update(1, servers=servers, **fields)


def test_a_leaving_server_gets_no_new_work_and_a_gone_one_is_forgotten():
    async def check(_nursery):
        forgotten = []
        directory = directory_module.new_directory(forgotten.append)
        directory.apply_update(_new_update(fakes.new_server("a")))
        assert len(directory.get_servers("svc")) == 1
        directory.apply_update(
            _new_update(fakes.new_server("a", is_leaving=True))
        )
        assert directory.get_servers("svc") == []
        directory.apply_update(_new_update(removed=("a",)))
        assert directory.server_by_id == {}
        assert [known.server_id for known in forgotten] == ["a"]

    fakes.run_paused(check)


def test_a_second_start_under_one_id_begins_with_a_clean_record():
    async def check(_nursery):
        directory = directory_module.new_directory(lambda known: None)
        directory.apply_update(
            _new_update(fakes.new_server("a", incarnation=1))
        )
        directory.server_by_id["a"].record_unreachable()
        directory.server_by_id["a"].record_held_parts([("p", 10)])
        directory.apply_update(
            _new_update(fakes.new_server("a", incarnation=2))
        )
        known = directory.server_by_id["a"]
        assert not known.is_suspect()
        assert known.count_held_tokens([("p", 10)]) == 0

    fakes.run_paused(check)


def test_entries_that_lapsed_while_the_source_was_down_have_time_to_return():
    async def check(_nursery):
        directory = directory_module.new_directory(lambda known: None)
        directory.apply_update(
            _new_update(fakes.new_server("a"), is_complete=True)
        )
        directory.start_removal_grace()
        directory.apply_update(_new_update(is_complete=True))
        assert len(directory.get_servers("svc")) == 1
        await trio.sleep(directory_module.REMOVAL_GRACE_S + 0.01)
        # The time ends by itself, whether the source is heard or not.
        assert directory.get_servers("svc") == []
        directory.apply_update(_new_update(fakes.new_server("a")))
        assert len(directory.get_servers("svc")) == 1

    fakes.run_paused(check)


def test_a_server_that_goes_later_has_no_such_time():
    """Kitamura, trouble-1 with the seed 300191956936: DRAIN 3.

    An entry that the source had turned away until five seconds before
    took a genuine removal for a lapse.
    """

    async def check(_nursery):
        source = fakes.FakeSource(
            _new_update(fakes.new_server("a"), is_complete=True),
            source_module.Unreachable("down"),
            _new_update(),
            _new_update(removed=("a",)),
        )
        directory = directory_module.new_directory(lambda known: None)
        watcher = catalog_watcher.new_catalog_watcher(
            source,
            directory,
            freshness.new_freshness_lease(BOUND_S, lambda: 1.0),
            2.5,
            random.Random(1),
        )
        for _answer in range(3):
            await watcher._poll_once()
        await trio.sleep(directory_module.REMOVAL_GRACE_S + 0.5)
        await watcher._poll_once()
        assert directory.get_servers("svc") == []

    fakes.run_paused(check)


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
def test_all_entries_together_stay_within_the_shared_budget(steps):
    ratio, slack, window_s = 0.2, 48.0, 10.0

    async def check(_nursery):
        entries = [
            budget_module.new_retry_budgets(ratio, slack, window_s, lambda: 24)
            for _entry in range(24)
        ]
        firsts, repeats = [], []
        for index, is_repeat, pause_s in steps:
            await trio.sleep(pause_s)
            now = trio.current_time()
            budget = entries[index].get("svc")
            if is_repeat:
                if budget.try_acquire():
                    repeats.append(now)
            else:
                budget.count_first_attempt()
                firsts.append(now)
            used = sum(at_s > now - window_s for at_s in repeats)
            seen = sum(at_s >= now - window_s for at_s in firsts)
            assert used <= ratio * seen + slack

    fakes.run_paused(check)


def test_a_service_that_never_repeats_does_not_fill_the_memory():
    async def check(_nursery):
        budget = budget_module.new_retry_budgets(
            0.2, 8.0, 10.0, lambda: 8
        ).get("svc")
        for _request in range(200):
            await trio.sleep(1.0)
            budget.count_first_attempt()
        assert len(budget._first_attempt_times) <= 11

    fakes.run_paused(check)
