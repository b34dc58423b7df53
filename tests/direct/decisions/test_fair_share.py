"""Tests of the max-min shares of kinds of requests."""

import hypothesis
from hypothesis import strategies

from greengagetrack.process.direct.decisions import fair_share


@hypothesis.given(
    strategies.dictionaries(
        strategies.text(max_size=3), strategies.floats(0.0, 100.0), max_size=6
    ),
    strategies.floats(0.0, 200.0),
)
def test_shares_are_max_min_fair(rate_by_kind, capacity):
    excess = fair_share.find_excess(rate_by_kind, capacity)
    left = capacity - sum(
        rate for kind, rate in rate_by_kind.items() if kind not in excess
    )
    assert left >= -1e-6
    for kind in excess:
        # An equal part of what is left does not satisfy it.
        assert rate_by_kind[kind] > left / len(excess) - 1e-6
    for kind, rate in rate_by_kind.items():
        if rate * len(rate_by_kind) <= capacity:
            assert kind not in excess
