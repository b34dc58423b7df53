"""Tests of times learned as a fixed part and a part per unit."""

import random

import pytest

from greengagetrack.process.direct import linear_estimate


@pytest.mark.parametrize(
    ("fixed_ms", "tokens_per_ms"),
    [(14.0, 48.0), (40.0, 112.0), (25.0, 20.0), (60.0, 400.0)],
)
def test_each_type_of_engine_is_predicted_as_well(fixed_ms, tokens_per_ms):
    """Engines that read 48 tokens a ms were taken for those with 100."""
    generator = random.Random(3)
    estimate = linear_estimate.new_linear_estimate(40.0, 0.01, 10_000)
    for _request in range(400):
        tokens = generator.expovariate(1 / 8000)
        spent_ms = fixed_ms + tokens / tokens_per_ms
        estimate.record(tokens, spent_ms * generator.uniform(0.9, 1.1))
    for tokens in (1_000, 10_000, 30_000):
        expected_ms = fixed_ms + tokens / tokens_per_ms
        assert estimate.predict(tokens) == pytest.approx(expected_ms, rel=0.1)


def test_a_stalled_server_says_little_of_the_others():
    estimate = linear_estimate.new_linear_estimate(40.0, 0.01, 10_000)
    before_ms = estimate.predict(10_000)
    estimate.record(10_000, 60_000.0)
    assert estimate.predict(10_000) < 2 * before_ms


def test_the_same_work_again_and_again_keeps_the_estimate_finite():
    estimate = linear_estimate.new_linear_estimate(40.0, 0.01, 10_000)
    for _request in range(2000):
        estimate.record(5_000, 100.0)
    assert estimate.predict(5_000) == pytest.approx(100.0, rel=0.05)
    assert 0.0 <= estimate.predict(0) <= 110.0
