"""Tests of the order in which waiting groups go into calls."""

from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct.decisions import queue_order
from greengagetrack.process.direct import group as group_module
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece as piece_module

CALL_S = 0.25
NOW_S = 100.0


def _new_group(due_s, priority=0, is_started=False, kind=""):
    task = piece_module.PieceTask("request", 0, 0, "key", None)
    task.due_s = NOW_S + due_s
    task.deadline = deadline_module.Deadline(NOW_S + due_s + 5.0)
    task.priority = priority
    task.kind = kind
    group = group_module.PieceGroup([task])
    group.is_started = is_started
    return group


def _sort(excess_kinds=frozenset(("",)), **groups):
    return sorted(
        groups,
        key=lambda name: queue_order.get_rank(
            groups[name], CALL_S, NOW_S, excess_kinds
        ),
    )


def test_the_rest_of_a_started_group_goes_first():
    names = _sort(soon=_new_group(0.3), rest=_new_group(3.0, 2, True))
    assert names == ["rest", "soon"]


def test_in_calm_the_due_time_decides():
    names = _sort(
        urgent=_new_group(3.0), other=_new_group(0.5, 2), later=_new_group(4.0)
    )
    assert names == ["other", "urgent", "later"]


def test_in_a_burst_the_priority_decides():
    """All that waits is due within a few calls."""
    names = _sort(
        third=_new_group(0.4, 2),
        second=_new_group(0.5, 1),
        first=_new_group(0.9, 0),
    )
    assert names == ["first", "second", "third"]


def test_a_kind_within_its_share_goes_before_a_burst_of_urgent_work():
    names = _sort(
        frozenset(("burst",)),
        burst=_new_group(0.4, 0, kind="burst"),
        rare=_new_group(2.0, 2, kind="rare"),
    )
    assert names == ["rare", "burst"]


def test_among_kinds_within_their_shares_the_due_time_decides():
    names = _sort(
        frozenset(),
        urgent=_new_group(0.9, 0, kind="urgent"),
        rare=_new_group(0.8, 2, kind="rare"),
    )
    assert names == ["rare", "urgent"]


def test_what_cant_be_in_time_takes_what_others_leave():
    names = _sort(late=_new_group(0.1), in_time=_new_group(2.0, 2))
    assert names == ["in_time", "late"]


def test_what_would_wait_past_its_deadline_is_found():
    """Ten pieces a second are made, and nine arrive meanwhile."""
    queue = [_new_group(0.5), _new_group(-1.0), _new_group(-4.9)]
    calls = forecast.QueueForecast(0.0, 1.0, 0.1, start_s=0.05)
    found = queue_order.find_unreachable(queue, calls, 0.0, CALL_S, NOW_S)
    assert found == queue[2:]
    queue[2].is_started = True
    found = queue_order.find_unreachable(queue, calls, 0.0, CALL_S, NOW_S)
    assert found == []
    queue[2].is_started = False
    found = queue_order.find_unreachable(queue, calls, 9.9, CALL_S, NOW_S)
    assert found == queue[2:]
