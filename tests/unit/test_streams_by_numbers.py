"""Streams on killed processes are in order, and the checks see when not."""

import pytest

from bench.soak import streams

RATE_PER_S = 25.0
DURATION_S = 9.0
ONE_ROUND_S = 5.0
# In its first round all entries stand still while engines are back under
# their ids, with another software version.
SEED = 1
# The same, with the version that they had.
SAME_VERSION_SEED = 7


def test_streams_of_killed_engines_are_in_order(tmp_path):
    """Numbers went back, or streams held two versions or ended too soon."""
    result = streams.run_streams(SEED, RATE_PER_S, DURATION_S, str(tmp_path))
    assert result.broken == []
    assert result.complete > 0
    assert result.gone_on > 0


@pytest.mark.parametrize(
    ("build", "seed", "text"),
    [
        ("trust-lifetimes", SEED, "two versions"),
        ("trust-addresses", SAME_VERSION_SEED, "too soon"),
    ],
)
def test_broken_build_shows(tmp_path, build, seed, text):
    result = streams.run_streams(
        seed, RATE_PER_S, ONE_ROUND_S, str(tmp_path), build
    )
    assert any(text in line for line in result.broken)


@pytest.mark.parametrize(
    ("numbers", "is_out_of_order"),
    [
        ([1, 2, 3], False),
        ([], False),
        ([1, 3], True),
        ([1, 2, 2], True),
        ([1, 2, 1], True),
        ([2, 3], True),
    ],
)
def test_numbers_that_are_missing_or_go_back_are_seen(
    numbers, is_out_of_order
):
    record = streams.StreamRecord("tale", numbers=numbers)
    assert record.is_out_of_order() is is_out_of_order


def test_stream_that_looks_complete_too_soon_is_seen():
    whole = list(range(1, streams.EVENT_COUNT + 1))
    for numbers, is_short in ((whole, False), (whole[:-1], True), ([], True)):
        record = streams.StreamRecord("tale", numbers=numbers, is_whole=True)
        assert record.is_short() is is_short
    assert not streams.StreamRecord("tale", numbers=[1]).is_short()


def test_stream_of_two_versions_is_seen():
    assert streams.StreamRecord("tale", versions=["v1", "v2"]).is_joined()
    assert not streams.StreamRecord("tale", versions=["v1", "v1"]).is_joined()
