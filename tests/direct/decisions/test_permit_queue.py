"""Tests of the permits for a server that names a limit."""

import random
import time

import hypothesis
from hypothesis import strategies
import pytest

from greengagetrack.process.direct.decisions import permit_queue

WINDOW_S = 4.0
STATES = permit_queue.TicketState


def get_allowed(limit_per_s):
    """Return what the server bears in `WINDOW_S`."""
    return 1.5 * WINDOW_S * limit_per_s + 5


def count_most(times):
    """Return the most of `times` within `WINDOW_S`."""
    return max(
        (
            sum(first_s <= time_s < first_s + WINDOW_S for time_s in times)
            for first_s in times
        ),
        default=0,
    )


@hypothesis.given(
    limit=strategies.floats(0.2, 40.0),
    demand=strategies.floats(0.5, 6.0),
    seed=strategies.integers(0, 1000),
)
def test_permits_keep_to_the_limit_and_use_it(limit, demand, seed):
    generator = random.Random(seed)
    queue = permit_queue.PermitQueue(limit, 0.0)
    now_s, granted, tickets = 0.0, [], []
    while now_s < 40.0:
        now_s += generator.expovariate(limit * demand)
        patience_s = generator.uniform(0.0, 2.0)
        priority = generator.randrange(3)
        tickets.append(queue.add(priority, now_s + patience_s, now_s))
        decided = [t for t in tickets if t.state is STATES.GRANTED]
        granted += [now_s] * len(decided)
        tickets = [t for t in tickets if t.state is STATES.WAITING]
    assert count_most(granted) <= get_allowed(limit)
    assert len(granted) <= limit * now_s + 1
    if demand >= 3:
        assert len(granted) >= 0.75 * limit * 36.0 - 1


def test_urgent_request_goes_before_those_that_wait():
    queue = permit_queue.PermitQueue(1.0, 0.0)
    slow = queue.add(5, 3.0, 0.0)
    urgent = queue.add(0, 1.5, 0.1)
    queue.update(1.0)
    assert (urgent.state, slow.state) == (STATES.GRANTED, STATES.WAITING)
    queue.update(2.0)
    assert slow.state is STATES.GRANTED


def test_request_that_would_wait_too_long_is_refused_at_once():
    queue = permit_queue.PermitQueue(1.0, 0.0)
    first = queue.add(1, 1.1, 0.0)
    assert queue.add(1, 1.1, 0.0).state is STATES.REFUSED
    assert queue.get_wait_s(1, 0.0) == pytest.approx(2.0)
    # A more urgent one takes the place of the one that waits.
    assert queue.add(0, 1.1, 0.0).state is STATES.WAITING
    assert first.state is STATES.REFUSED


def test_permit_that_was_not_used_goes_to_the_next_in_line():
    queue = permit_queue.PermitQueue(1.0, 0.0)
    first = queue.add(1, 9.0, 1.0)
    second = queue.add(1, 9.0, 1.0)
    assert (first.state, second.state) == (STATES.GRANTED, STATES.WAITING)
    queue.give_back(1, 1.1)
    assert second.state is STATES.GRANTED
    # However many come back, a burst stays within its bound.
    queue.give_back(1000, 1.1)
    granted = [queue.try_acquire(1.1) for _number in range(10)]
    assert granted.count(True) == permit_queue.BURST_MIN


def test_limit_of_nothing_gives_no_permit():
    queue = permit_queue.PermitQueue(0.0, 0.0)
    assert queue.add(0, 50.0, 0.0).state is STATES.REFUSED
    assert not queue.try_acquire(50.0)
    assert queue.get_next_s(50.0) > 0
    assert not permit_queue.Turns(random.random).try_acquire(0.0, 3, 50.0)


@pytest.mark.parametrize("count", [3, 68])
@pytest.mark.parametrize("limit", [1.1, 2.0, 20.0])
def test_entries_without_an_owner_keep_to_the_limit_together(count, limit):
    generator = random.Random(count)
    turns = [permit_queue.Turns(generator.random) for _entry in range(count)]
    times = [
        step / 10
        for step in range(1200)
        for turn in turns
        if turn.try_acquire(limit, count, step / 10)
    ]
    assert count_most(times) <= get_allowed(limit)
    # The first turn of each entry comes within a period.
    share = limit * permit_queue.TURN_SHARE
    assert len(times) >= share * 120 - 2 * count


@pytest.mark.parametrize("limit", [5e-324, 1e-300, 1e7, 1e15, 1e300])
def test_limit_of_any_size_costs_no_time_and_raises_nothing(limit):
    turns = permit_queue.Turns(lambda: 0.5)
    queue = permit_queue.PermitQueue(limit, 0.0)
    started_s = time.perf_counter()
    for now_s in (0.0, 3.0, 1e6):
        turns.try_acquire(limit, 68, now_s)
        queue.try_acquire(now_s)
        assert queue.get_next_s(now_s) >= 0
    assert time.perf_counter() - started_s < 0.5
