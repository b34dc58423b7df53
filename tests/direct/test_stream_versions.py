"""Streams of several software versions, with entries as processes."""

import pytest

from bench.soak import versions

SEED = 1
RATE_PER_S = 15.0


# Streams went on at another version than the one that began them.
@pytest.mark.parametrize("fault", versions.STEPS_BY_FAULT)
def test_streams_go_on_at_the_version_that_began_them(tmp_path, fault):
    result = versions.run_versions(SEED, fault, RATE_PER_S, str(tmp_path))
    assert result.taken_up >= versions.TAKE_UPS_MIN
    assert result.broken == []
