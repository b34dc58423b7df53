"""Tests of what a warming server may get, on values."""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from greengagetrack.process.direct.decisions import permit_queue
from greengagetrack.process.direct.decisions import warming

SPELL_S = 8.0


def count_most(times):
    """Return the most of `times` within a second."""
    return max(
        (
            sum(first <= time < first + 1.0 for time in times)
            for first in times
        ),
        default=0,
    )


@hypothesis.given(
    per_s=strategies.floats(1.0, 60.0),
    ratio=strategies.floats(1.0, 3.0),
    slack=strategies.floats(3.0, 20.0),
    seed=strategies.integers(0, 1000),
)
def test_owner_and_the_next_one_keep_to_the_bound(per_s, ratio, slack, seed):
    generator = random.Random(seed)
    pace = warming.get_pace(per_s, ratio, slack)
    queues = [
        permit_queue.PermitQueue(pace.per_s, 0.0, pace.burst)
        for _owner in range(2)
    ]
    arrivals = []
    now_s = 0.0
    change_s = generator.uniform(0.0, SPELL_S)
    while now_s < SPELL_S:
        # At times nobody asks for a while, and then all do.
        now_s += generator.choice((0.002, 0.002, 0.002, 0.4))
        is_giving = (now_s < change_s + warming.OVERLAP_S, now_s >= change_s)
        for queue in itertools.compress(queues, is_giving):
            while queue.try_acquire(now_s):
                arrivals.append(
                    now_s + generator.uniform(0, warming.BUNCHING_S)
                )
    bound = per_s * ratio + slack
    assert count_most(arrivals) <= bound * (1 - warming.TURN_SHARE)
    # At times owners and turns together have their part of the bound.
    assert pace.turns_per_s <= bound * warming.TURN_SHARE
    assert pace.per_s <= per_s


@pytest.mark.parametrize("count", [12, 68])
def test_entries_without_an_owner_leave_the_bound_to_the_owners(count):
    generator = random.Random(count)
    pace = warming.get_pace(17.0, 1.5, 5.0)
    turns = [permit_queue.Turns(generator.random) for _entry in range(count)]
    share = pace.turns_per_s / pace.per_s
    times = [
        step / 20
        for step in range(1200)
        for turn in turns
        if turn.try_acquire(pace.per_s, count, step / 20, share)
    ]
    assert len(times) >= 0.8 * pace.turns_per_s * 60.0 - 2 * count
    # All of them without an owner: nobody else may send then.
    assert count_most(times) <= 0.5 * (17.0 * 1.5 + 5.0)


def test_server_is_led_back_in_steps():
    pace = warming.get_pace(17.0, 1.5, 5.0)
    spell = warming.Spell(pace, until_s=3.0)
    assert spell.get_pace(2.9) == pace
    assert spell.get_pace(3.1).per_s == pace.per_s * warming.RAMP_FACTOR
    assert spell.get_pace(3.0 + warming.RAMP_S) is None


def test_spell_does_not_grow_on_its_way_through_many_entries():
    until_s = 3.0
    for _hop in range(1000):
        until_s = warming.get_later_end(until_s, until_s + 0.1, False)
    assert until_s == 3.0
    assert warming.get_later_end(3.0, 4.0, is_observed=False) == 4.0
    assert warming.get_later_end(3.0, 3.1, is_observed=True) == 3.1
    assert warming.get_later_end(3.0, 2.0, is_observed=True) == 3.0
    assert warming.get_later_end(None, 2.0, is_observed=False) == 2.0
