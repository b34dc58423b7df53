"""Streams on killed processes are in order, and the checks see when not."""

import pytest

from bench.soak import streams

RATE_PER_S = 25.0
DURATION_S = 9.0
ONE_ROUND_S = 5.0
SEED = 1


def _new_round(is_other_version):
    """All entries stand still while all engines crash and are back.

    They are so under their ids, before the entries go on; the store hears
    of it later.
    """
    return streams.Round(
        still="all",
        crash="during",
        down_s=0.05,
        engine_count=streams.ENGINE_COUNT,
        is_same_id=True,
        is_other_version=is_other_version,
        is_entry_killed=False,
        news_s=1.5,
    )


OTHER_VERSION = _new_round(is_other_version=True)
SAME_VERSION = _new_round(is_other_version=False)


def _play(logs, trouble, build=""):
    return streams.run_streams(
        SEED, RATE_PER_S, ONE_ROUND_S, str(logs), build, rounds=[trouble]
    )


def test_streams_of_killed_engines_are_in_order(tmp_path):
    """Numbers went back, or streams held two versions or ended too soon."""
    result = streams.run_streams(SEED, RATE_PER_S, DURATION_S, str(tmp_path))
    assert result.broken == []
    assert result.complete > 0
    assert result.gone_on > 0


@pytest.mark.parametrize("trouble", [OTHER_VERSION, SAME_VERSION])
def test_streams_are_in_order_while_the_store_lags_behind(tmp_path, trouble):
    """Engines were another lifetime than the store, and entries, knew of."""
    result = _play(tmp_path, trouble)
    assert result.broken == []
    assert result.complete > 0


@pytest.mark.parametrize(
    ("build", "trouble", "text"),
    [
        ("trust-lifetimes", OTHER_VERSION, "two versions"),
        ("trust-addresses", SAME_VERSION, "too soon"),
    ],
)
def test_broken_build_shows(tmp_path, build, trouble, text):
    result = _play(tmp_path, trouble, build)
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
