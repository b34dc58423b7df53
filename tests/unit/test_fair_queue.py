"""The queue of an agent: classes, fair shares, deadlines, floors."""

import collections

import trio
import trio.testing

from greengagetrack.connection import messages
from greengagetrack.process import fair_queue
from greengagetrack.request import record


def _new(number, organisation="o", **more):
    submit = messages.Submit(
        messages.AttemptId("e", number),
        "i",
        "s",
        1000,
        b"{}",
        organisation=organisation,
        **more,
    )
    return fair_queue.QueuedAttempt(
        record.new_record(submit), 1000.0 + number, 1000.0 + number, 100.0
    )


def _run(function):
    async def run():
        function()

    trio.run(run, clock=trio.testing.MockClock())


def _take_all(queue):
    taken = []
    while True:
        waiting = queue.pop_next()
        if waiting is None:
            return taken
        taken.append(waiting.record.submit)


def test_a_higher_class_goes_first():
    def check():
        queue = fair_queue.new_fair_queue()
        queue.add(_new(1, priority=1))
        queue.add(_new(2, priority=3))
        numbers = [each.attempt.number for each in _take_all(queue)]
        assert numbers == [2, 1]

    _run(check)


def test_a_large_organisation_does_not_starve_a_small_one():
    def check():
        queue = fair_queue.new_fair_queue()
        for number in range(20):
            queue.add(_new(number, "large", row="a"))
        for number in range(20, 24):
            queue.add(_new(number, "small", row="a"))
        first = [each.organisation for each in _take_all(queue)][:8]
        assert collections.Counter(first)["small"] == 4

    _run(check)


def test_shares_follow_the_weights():
    def check():
        queue = fair_queue.new_fair_queue()
        for number in range(30):
            queue.add(_new(number, "heavy", weight=2.0, row="a"))
            queue.add(_new(100 + number, "light", weight=1.0, row="a"))
        first = [each.organisation for each in _take_all(queue)][:30]
        assert 19 <= collections.Counter(first)["heavy"] <= 21

    _run(check)


def test_one_organisation_goes_by_deadline():
    def check():
        queue = fair_queue.new_fair_queue()
        for number in (3, 1, 2):
            queue.add(_new(number))
        numbers = [each.attempt.number for each in _take_all(queue)]
        assert numbers == [1, 2, 3]

    _run(check)


def test_a_floor_is_kept_under_more_important_work():
    def check():
        queue = fair_queue.new_fair_queue()
        for number in range(100):
            queue.add(_new(number, priority=3, row="top"))
        for number in range(200, 240):
            queue.add(_new(number, priority=1, row="low", floor=0.2))
        first = [each.row for each in _take_all(queue)][:50]
        assert 8 <= collections.Counter(first)["low"] <= 12

    _run(check)


def test_a_full_queue_sheds_the_least_important():
    def check():
        queue = fair_queue.new_fair_queue(size_max=2)
        low = _new(1, priority=1)
        assert queue.add(low) is None
        assert queue.add(_new(2, priority=2)) is None
        assert queue.add(_new(3, priority=3)) is low
        newcomer = _new(4, priority=1)
        assert queue.add(newcomer) is newcomer
        assert len(queue) == 2

    _run(check)
