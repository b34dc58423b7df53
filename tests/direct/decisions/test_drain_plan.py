"""What a stopping entry takes and ends, for graces of any length."""

import pytest

from greengagetrack.process.direct.decisions import drain_plan

SIGNAL_S = 100.0
# An engine at work in the rest of the grace excuses that its answer is cut.
LAST_PART_SHARE = 5 / 6


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0, 4.0, 8.0, 20.0, 60.0])
def test_answers_end_in_the_last_part_of_any_grace_before_the_exit(grace_s):
    """They ended 0.7 s before the kill, whatever the grace was."""
    plan = drain_plan.new_drain_plan(SIGNAL_S, grace_s)
    last_part_s = SIGNAL_S + grace_s * LAST_PART_SHARE
    kill_s = SIGNAL_S + grace_s
    assert last_part_s < plan.answer_until_s < plan.exit_by_s < kill_s


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 4.0, 8.0])
def test_request_is_taken_only_if_it_ends_in_time(grace_s):
    plan = drain_plan.new_drain_plan(SIGNAL_S, grace_s)
    left_s = plan.answer_until_s - SIGNAL_S
    assert plan.accepts(SIGNAL_S, left_s)
    assert not plan.accepts(SIGNAL_S, left_s + 0.01)
    assert not plan.accepts(plan.answer_until_s, 0.01)


def test_nothing_is_taken_once_callers_had_time_to_leave():
    plan = drain_plan.new_drain_plan(SIGNAL_S, 60.0)
    assert plan.accepts(SIGNAL_S + 2.7, 0.01)
    assert not plan.accepts(SIGNAL_S + 2.9, 0.01)
