"""Tests of the fair queue: priorities, shares, deadlines and floors."""

import collections

import trio
import trio.testing

from greengagetrack.connection import agent_messages
from greengagetrack.process import fair_queue
from greengagetrack.request import record


def _new_queued_attempt(number, organisation="o", **fields):
    submit = agent_messages.Submit(
        agent_messages.AttemptId("e", number),
        "i",
        "s",
        1000,
        b"{}",
        organisation=organisation,
        **fields,
    )
    return fair_queue.QueuedAttempt(
        record.new_record(submit), 1000.0 + number, 1000.0 + number, 100.0
    )


def _run(function):
    async def run():
        function()

    trio.run(run, clock=trio.testing.MockClock())


def _pop_all(queue):
    submits = []
    while True:
        queued = queue.pop_next()
        if queued is None:
            return submits
        submits.append(queued.record.submit)


def test_a_higher_priority_starts_first():
    def check():
        queue = fair_queue.new_fair_queue()
        queue.add(_new_queued_attempt(1, priority=1))
        queue.add(_new_queued_attempt(2, priority=3))
        numbers = [submit.attempt.number for submit in _pop_all(queue)]
        assert numbers == [2, 1]

    _run(check)


def test_a_large_organisation_does_not_starve_a_small_one():
    def check():
        queue = fair_queue.new_fair_queue()
        for number in range(20):
            queue.add(_new_queued_attempt(number, "large", row="a"))
        for number in range(20, 24):
            queue.add(_new_queued_attempt(number, "small", row="a"))
        first = [submit.organisation for submit in _pop_all(queue)][:8]
        assert collections.Counter(first)["small"] == 4

    _run(check)


def test_shares_follow_the_weights():
    def check():
        queue = fair_queue.new_fair_queue()
        for number in range(30):
            queue.add(
                _new_queued_attempt(number, "heavy", weight=2.0, row="a")
            )
            queue.add(
                _new_queued_attempt(100 + number, "light", weight=1.0, row="a")
            )
        first = [submit.organisation for submit in _pop_all(queue)][:30]
        assert 19 <= collections.Counter(first)["heavy"] <= 21

    _run(check)


def test_one_organisation_starts_by_deadline():
    def check():
        queue = fair_queue.new_fair_queue()
        for number in (3, 1, 2):
            queue.add(_new_queued_attempt(number))
        numbers = [submit.attempt.number for submit in _pop_all(queue)]
        assert numbers == [1, 2, 3]

    _run(check)


def test_a_floor_holds_under_work_of_higher_priority():
    def check():
        queue = fair_queue.new_fair_queue()
        for number in range(100):
            queue.add(_new_queued_attempt(number, priority=3, row="top"))
        for number in range(200, 240):
            queue.add(
                _new_queued_attempt(number, priority=1, row="low", floor=0.2)
            )
        first = [submit.row for submit in _pop_all(queue)][:50]
        assert 8 <= collections.Counter(first)["low"] <= 12

    _run(check)


def test_a_full_queue_sheds_the_lowest_priority():
    def check():
        queue = fair_queue.new_fair_queue(size_max=2)
        low = _new_queued_attempt(1, priority=1)
        assert queue.add(low) is None
        assert queue.add(_new_queued_attempt(2, priority=2)) is None
        assert queue.add(_new_queued_attempt(3, priority=3)) is low
        added = _new_queued_attempt(4, priority=1)
        assert queue.add(added) is added
        assert len(queue) == 2

    _run(check)
