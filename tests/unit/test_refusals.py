"""Callers are told "not run" only of what did not run, on real entries."""

import pytest

from bench.soak import refusals

SEED = 1
DURATION_S = 8.0


def test_no_caller_is_told_not_run_of_what_ran(tmp_path):
    result = refusals.run_refusals(SEED, DURATION_S, str(tmp_path))
    assert result.broken == []
    assert result.served > 0
    assert result.told_not_run > 0
    assert result.passed_on > 0


@pytest.mark.parametrize(
    ("build", "rule"),
    [("trust-statuses", "REFUSED"), ("trust-unnamed", "TWICE")],
)
def test_broken_build_shows(tmp_path, build, rule):
    result = refusals.run_refusals(SEED, DURATION_S, str(tmp_path), build)
    assert any(line.startswith(rule) for line in result.broken)
