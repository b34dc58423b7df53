"""Tests of the forecasts of a pool's waits."""

import math

import hypothesis
from hypothesis import strategies

from greengagetrack.process.direct.decisions import forecast

# Two servers with calls of 10 pieces in 0.25 s: 80 pieces a second.
QUEUE = forecast.QueueForecast(0.1, 20.0, 0.25)

ALL_KINDS = frozenset(f"kind-{priority}" for priority in range(-1, 7))


def _flow(priority):
    """Return the flow of a kind that has a priority of its own."""
    return forecast.Flow(f"kind-{priority}", priority)


def _get_waits(
    on_time_by_priority,
    rate_by_priority,
    waiting=None,
    excess_kinds=ALL_KINDS,
):
    rates = forecast.ArrivalRates()
    for priority, pieces_per_s in rate_by_priority.items():
        count = pieces_per_s * forecast.RATE_WINDOW_S
        rates.count(_flow(priority), count, 0.0)
    if waiting is None:
        waiting = sum(on_time_by_priority.values())
    on_time_by_flow = {
        _flow(priority): pieces
        for priority, pieces in on_time_by_priority.items()
    }
    return forecast.get_pool_waits(
        QUEUE, on_time_by_flow, waiting, rates, 0.0, excess_kinds
    )


def test_work_waits_for_that_of_its_own_and_better_priorities():
    waits = _get_waits({0: 20, 1: 20, 2: 40}, {})
    assert math.isclose(waits.get(_flow(0)), 0.1 + 0.25)
    assert math.isclose(waits.get(_flow(1)), 0.1 + 0.5)
    assert math.isclose(waits.get(_flow(2)), 0.1 + 1.0)
    # Priorities that nobody uses wait like the next better one.
    assert waits.get(_flow(-1)) == QUEUE.next_free_s
    assert waits.get(_flow(5)) == waits.get(_flow(2))


def test_work_that_arrives_before_it_lengthens_a_wait():
    """In a burst of urgent work at 60 of 80 pieces/s, a quarter is left."""
    waits = _get_waits({0: 20, 2: 20}, {0: 60.0})
    assert math.isclose(waits.get(_flow(0)), 0.1 + 0.25)
    assert math.isclose(waits.get(_flow(2)), 0.1 + 0.5 / (1 - 60 / 80))


def test_late_work_waits_for_all_that_arrives():
    calm = _get_waits({0: 20}, {0: 20.0, 1: 20.0}, waiting=40)
    burst = _get_waits({0: 20}, {0: 60.0, 1: 60.0}, waiting=40)
    assert math.isclose(calm.get(forecast.LATE), 0.1 + 0.5 / (1 - 40 / 80))
    limit = 0.1 + 0.5 / (1 - forecast.LOAD_MAX)
    assert math.isclose(burst.get(forecast.LATE), limit)


def test_a_later_stage_sees_a_queue_that_grows_while_it_is_overloaded():
    waits = _get_waits({0: 20}, {0: 120.0})
    assert math.isclose(waits.get_later(_flow(0), 1.0), 0.1 + 0.25 + 0.5)
    calm = _get_waits({0: 20}, {0: 40.0})
    assert math.isclose(calm.get_later(_flow(0), 0.4), 0.1 + 0.25 - 0.2)
    assert calm.get_later(_flow(0), 9.0) == 0.0


def test_a_kind_within_its_share_waits_for_no_better_priority():
    excess_kinds = frozenset(("kind-0",))
    waits = _get_waits({0: 60, 2: 20}, {0: 120.0}, None, excess_kinds)
    assert math.isclose(waits.get(_flow(2)), 0.1 + 0.25)
    # The others wait for it as well.
    assert math.isclose(waits.get(_flow(0)), 0.1 + 4 * 0.25)


def test_a_kind_that_is_new_goes_first():
    """It was refused as unreachable until its first pieces had come."""
    waits = _get_waits({0: 60}, {0: 120.0})
    assert waits.get(forecast.Flow("new", 5)) == QUEUE.next_free_s


def test_flows_are_bounded():
    rates = forecast.ArrivalRates()
    for priority in range(2 * forecast.FLOWS_MAX):
        rates.count(_flow(priority), 1, float(priority))
    assert len(rates.get_flows()) == forecast.FLOWS_MAX
    assert _flow(2 * forecast.FLOWS_MAX - 1) in rates.get_flows()


def test_rates_are_forgotten():
    rates = forecast.ArrivalRates()
    rates.count(_flow(1), 30, 0.0)
    assert math.isclose(rates.get_total(0.0), 30 / forecast.RATE_WINDOW_S)
    assert rates.get_total(20 * forecast.RATE_WINDOW_S) < 0.001


@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(0, 5), strategies.integers(0, 500), max_size=4
    ),
    strategies.dictionaries(
        strategies.integers(0, 5), strategies.floats(0.0, 500.0), max_size=4
    ),
)
def test_no_priority_waits_longer_than_a_worse_one(on_time, rates):
    waits = _get_waits(on_time, rates)
    order = [waits.get(_flow(priority)) for priority in range(-1, 7)]
    assert order == sorted(order)
    assert waits.get(forecast.LATE) >= order[-1] - 1e-9
