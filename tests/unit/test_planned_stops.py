"""Planned stops of real entries lose no answer that has to come."""

import types

import pytest

from bench.soak import stop_checker
from bench.soak import stops

GRACE_S = 4.0
SEED = 1


def test_planned_stops_with_a_short_grace_lose_no_answer(tmp_path):
    """Streams were cut 0.7 s before the kill, and in pauses of engines."""
    result = stops.run_stops(SEED, GRACE_S, str(tmp_path))
    assert result.broken == []
    assert result.served > 0
    assert result.exit_codes == [0] * 3


def test_stops_at_once_without_the_store_lose_no_answer(tmp_path):
    """Only stops in series were played, with a store that answers."""
    result = stops.run_stops(
        SEED, GRACE_S, str(tmp_path), order="together", is_store_away=True
    )
    assert result.broken == []
    assert result.served > 0
    assert result.exit_codes == [0] * 3


def test_stop_that_cuts_is_seen(tmp_path):
    result = stops.run_stops(SEED, GRACE_S, str(tmp_path), "cut-on-stop")
    assert any(line.startswith("LOST") for line in result.broken)


def _check(runs=(), **fields):
    """Return the result of one request that got no answer in a stop.

    The signal came at 10 s and the exit at 14 s; `runs` are the times at
    which engines ended to work on it.
    """
    values = {"sent_s": 11.0, "ended_s": 13.9} | fields
    record = stop_checker.RequestRecord(
        b"r", "order", "kept", "entry-0", 1.0, **values
    )
    engine = types.SimpleNamespace(
        runs_by_request={
            b"r": [stop_checker.EngineRun(11.0, end_s) for end_s in runs]
        }
    )
    checker = stop_checker.StopChecker([engine], GRACE_S)
    checker.records.append(record)
    checker.stops.append(stop_checker.StopSpan("entry-0", 10.0, 14.0, 0))
    return checker.check(SEED)


@pytest.mark.parametrize(
    ("runs", "fields", "is_lost"),
    [
        # At work in the last part, or not.
        ((13.5,), {}, False),
        ((13.3,), {}, True),
        # Sent too late to be excused.
        ((13.5,), {"sent_s": 13.1}, True),
        # Read, and not passed on.
        ((), {}, True),
        ((), {"is_behind": True}, False),
        ((), {"sent_s": 13.8}, False),
        # Past its deadline.
        ((13.3,), {"sent_s": 5.0}, False),
        # Not in a stop.
        ((13.5,), {"sent_s": 19.0, "ended_s": 20.0}, True),
        ((13.3,), {"status": 504}, False),
    ],
)
def test_cut_requests_are_judged(runs, fields, is_lost):
    result = _check(runs, **fields)
    assert bool(result.broken) is is_lost


@pytest.mark.parametrize(
    ("runs", "fields", "word"),
    [
        ((13.0, 13.2), {"status": 502}, "TWICE"),
        ((13.0,), {"status": 503}, "REFUSED"),
    ],
)
def test_orders_that_ran_are_judged(runs, fields, word):
    result = _check(runs, **fields)
    assert [line.split()[0] for line in result.broken] == [word]
