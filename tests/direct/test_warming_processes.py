"""Tests of data centres that return, warming, with entries as processes."""

from bench.soak import warming

SEED = 1
ENTRIES = 6
RATE_PER_S = 90.0
ROUNDS = 3


def run(logs, build=""):
    return warming.run_warming(
        SEED, ENTRIES, RATE_PER_S, ROUNDS, str(logs), build
    )


def test_warming_servers_get_no_more_than_they_bear_and_are_used(tmp_path):
    result = run(tmp_path)
    assert result.exceeded == []
    assert all(use.runs > 0 for use in result.uses)
    assert len(result.uses) == 2 * ROUNDS


# The load would show nothing, or nobody looked at what came of it.
def test_build_that_ignores_warming_is_detected(tmp_path):
    assert run(tmp_path, "ignore-warming").exceeded
