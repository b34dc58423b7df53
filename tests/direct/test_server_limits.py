"""Tests of the limits that servers name, with entries as processes."""

import pytest

from bench.soak import limits

SEED = 1
ENTRIES = 3
RATE_PER_S = 60.0
LIMIT_PER_S = 2.0
DURATION_S = 14.0
USED_SHARE_MIN = 0.75


@pytest.fixture(scope="module")
def limited_run(tmp_path_factory):
    """The result of a run in which all engines name a limit."""
    logs = str(tmp_path_factory.mktemp("limits"))
    return limits.run_limits(
        SEED, ENTRIES, RATE_PER_S, LIMIT_PER_S, DURATION_S, logs
    )


# Servers got a multiple of their limit: entries did not know it.
def test_servers_get_no_more_than_the_limit_that_they_name(limited_run):
    assert limited_run.exceeded == []


# A server that is left idle by fear loses as much as one that is flooded.
def test_the_limit_that_servers_name_is_used(limited_run):
    idle = [
        use
        for use in limited_run.engines
        if use.service != "prepare" and use.used_share < USED_SHARE_MIN
    ]
    assert idle == []
