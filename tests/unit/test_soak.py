"""Tests of the soak: its judge, its faults, and a short one of its own."""

import types

import pytest

from bench.soak import faults
from bench.soak import judge as judge_module
from bench.soak import run as soak_run

SEED = 2
DURATION_S = 12.0


def new_asked(request_id, status=200, kind="order", **fields):
    """Return a request as its consumer saw it, right by default."""
    path, method = soak_run.TARGETS[kind]
    target = path.format(request_id.decode()).encode()
    values = {
        "key": "key-1",
        "entry": "entry-0",
        "sent_s": 10.0,
        "ended_s": 10.5,
        "status": status,
        "is_sealed": True,
        "body": method + b" " + target,
    }
    return judge_module.Asked(request_id, kind, target, **{**values, **fields})


def new_engine(*runs, inputs=None):
    """Return an engine that ran these requests, each at 10.1 s."""
    return types.SimpleNamespace(
        engine_id="desk-1",
        run_log=[(each.request_id, 10.1, each.target) for each in runs],
        inputs_by_request=inputs or {},
    )


def judge(asked, engine, **fields):
    """Return the rules that were broken."""
    judged = judge_module.Judge()
    # One that is served at the end, so that the end is quiet.
    last = new_asked(b"last", key="last", sent_s=90.0, ended_s=90.1)
    judged.asked = [*asked, last]
    other = new_engine(last)
    other.engine_id = "desk-2"
    for name, value in fields.items():
        setattr(judged, name, value)
    lines = judged.judge([engine, other], 3.0, 80.0)
    return [line.split()[0] for line in lines]


def test_what_is_right_breaks_nothing():
    order = new_asked(b"r")
    assert judge([order], new_engine(order)) == []


@pytest.mark.parametrize(
    ("rule", "fields", "runs"),
    [
        ("TWICE", {}, 2),
        ("REFUSED", {"status": 503}, 1),
        ("MIXED", {"body": b"POST /order/other"}, 1),
        ("MIXED", {"is_sealed": False}, 1),
        ("LOST", {"status": 0}, 1),
        ("LOST", {"status": 0}, 0),
    ],
)
def test_each_broken_promise_is_seen(rule, fields, runs):
    order = new_asked(b"r", **fields)
    assert judge([order], new_engine(*[order] * runs)) == [rule]


def test_only_a_stream_may_be_cut_when_its_time_is_over():
    """Seed 80 beside the bench: entry and engine had not run for 3.5 s."""
    late = {"status": 0, "ended_s": 12.6}
    draft = new_asked(b"r", kind="draft", **late)
    assert judge([draft], new_engine(draft)) == []
    soon = new_asked(b"r", kind="draft", status=0, ended_s=12.4)
    assert judge([soon], new_engine(soon)) == ["LOST"]
    order = new_asked(b"r", **late)
    assert judge([order], new_engine(order)) == ["LOST"]


def test_late_keys_and_leaving_engines_are_seen():
    order = new_asked(b"r")
    revoked = {"revoked_s_by_key": {"key-1": 6.9}}
    assert judge([order], new_engine(order), **revoked) == ["REVOKED"]
    revoked = {"revoked_s_by_key": {"key-1": 7.1}}
    assert judge([order], new_engine(order), **revoked) == []
    left = {"left_s_by_engine": {"desk-1": 7.4}}
    assert judge([order], new_engine(order), **left) == ["DRAIN"]
    left = {"left_s_by_engine": {"desk-1": 7.6}}
    assert judge([order], new_engine(order), **left) == []


def test_what_nobody_asked_for_is_seen():
    order = new_asked(b"r")
    assert judge([], new_engine(order)) == ["UNASKED"]
    inputs = {b"r": b"host/other-1-0,host/r-1-1,host/r-1-2"}
    assert judge([order], new_engine(order, inputs=inputs)) == ["MIXED"]


def test_the_faults_of_a_seed_are_always_the_same():
    once = faults.get_faults(SEED, 25.0)
    assert once == faults.get_faults(SEED, 25.0)
    assert once != faults.get_faults(SEED + 1, 25.0)
    assert all(
        each.at_s + each.hold_s <= 25.0 - faults.QUIET_END_S + 1.0
        for each in once
    )


def test_a_short_soak_breaks_no_promise(tmp_path):
    result = soak_run.run_soak(SEED, DURATION_S, str(tmp_path))
    assert result.broken == []
    assert result.served > 0
    assert result.faults
