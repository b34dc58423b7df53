"""Tests of the choice of a data centre for pieces."""

import math

from greengagetrack.process.direct.decisions import placement


def test_pieces_stay_while_they_are_in_time_and_leave_to_be_in_time():
    megabyte = placement.BYTES_PER_MB
    calm_here = placement.get_cost(0.5, 1.5, 0)
    assert calm_here < placement.get_cost(0.4, 1.5, megabyte)
    burst_here = placement.get_cost(2.0, 1.5, 0)
    assert burst_here > placement.get_cost(0.5, 1.5, megabyte)


def test_a_small_result_leaves_sooner_than_a_large_one():
    here = placement.get_cost(1.6, 1.5, 0)
    assert placement.get_cost(0.5, 1.5, placement.BYTES_PER_MB) < here
    assert placement.get_cost(0.5, 1.5, 50 * placement.BYTES_PER_MB) > here


def test_no_server_costs_more_than_any_wait():
    gone = placement.get_cost(math.inf, 1.5, 0)
    assert math.isfinite(gone)
    assert gone > placement.get_cost(20.0, 1.5, 0)


def test_late_reports_of_waits_move_no_work_out_of_its_region():
    """Waits that differ by a call at most are errors of late reports."""
    here = placement.get_cost(0.6, 1.5, 0)
    assert here < placement.get_cost(0.45, 1.5, 0, is_other_region=True)
    assert here > placement.get_cost(0.45, 1.5, 0)
    burst_here = placement.get_cost(2.0, 1.5, 0)
    assert burst_here > placement.get_cost(1.0, 1.5, 0, is_other_region=True)
