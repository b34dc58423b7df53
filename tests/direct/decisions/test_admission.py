"""Tests of admission and of the time at which callers may return."""

import random

import hypothesis
from hypothesis import strategies

from greengagetrack.process.direct.decisions import admission
from greengagetrack.process.direct.decisions import return_time

Verdict = admission.Verdict


def _decide(needed_s, late_needed_s, target_left_s=1.0, left_s=8.0):
    return admission.decide(
        admission.Prospect(
            needed_s, late_needed_s, target_left_s, left_s, target_s=1.0
        )
    )


def test_a_request_that_can_be_in_time_is_served():
    assert _decide(0.8, 20.0) is Verdict.IN_TIME
    # A prediction that misses by a little may be wrong by as much.
    assert _decide(1.05, 20.0) is Verdict.IN_TIME


def test_in_calm_a_request_that_will_be_late_is_served():
    """As when another region has to take it: nobody waits in vain."""
    assert _decide(1.5, 2.0) is Verdict.LATE


def test_in_a_burst_a_request_that_would_wait_in_vain_is_refused_at_once():
    """Requests waited 4.3 s and reached their server as time was up."""
    assert _decide(1.5, 7.0) is Verdict.REFUSED
    assert _decide(7.0, 2.0) is Verdict.REFUSED
    assert _decide(0.5, 0.5, left_s=0.4) is Verdict.REFUSED


TIMES_S = strategies.floats(0.0, 60.0)


@hypothesis.given(TIMES_S, TIMES_S, TIMES_S, strategies.integers(0, 1000))
def test_a_caller_that_returns_has_the_time_that_its_request_takes(
    wait_s, service_s, left_s, seed
):
    return_s = return_time.get_return_s(
        wait_s, service_s, left_s, random.Random(seed)
    )
    assert return_s >= return_time.RETURN_MIN_S
    has_time = left_s >= service_s * 1.5 + return_time.RETURN_MIN_S
    if has_time:
        assert return_s + service_s <= left_s + 1e-9


def test_returns_are_spread_over_half_of_the_wait():
    generator = random.Random(1)
    returns = [
        return_time.get_return_s(2.0, 0.5, 30.0, generator)
        for _caller in range(200)
    ]
    assert 2.0 <= min(returns) < 2.1
    assert 2.9 < max(returns) <= 3.0
