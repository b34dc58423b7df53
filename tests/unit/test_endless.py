"""Answers without end cost the neighbours of their server nothing."""

import pytest

from bench.soak import endless

SEED = 1
DURATION_S = 5.0
SERVED_MIN_SHARE = 0.98


@pytest.mark.parametrize("shape", ["tiny chunks", "other's answer"])
def test_sound_requests_are_served_beside_an_endless_answer(tmp_path, shape):
    result = endless.run_endless(SEED, shape, DURATION_S, str(tmp_path))
    assert result.broken == []
    assert result.sound_served >= SERVED_MIN_SHARE * result.sound > 0
