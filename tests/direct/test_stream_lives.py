"""How long streams may last as catalogs replace one another."""

import types

import pytest

from greengagetrack.process.direct import stream_lives

MARGIN_S = stream_lives.LIFE_MARGIN_S


def _new_catalog(longest_stream_s):
    return types.SimpleNamespace(longest_stream_s=longest_stream_s)


def _new_lives(*lives_s):
    """Return lives whose first catalog, at 0 s, is the first of all."""
    lives = stream_lives.new_stream_lives()
    for number, life_s in enumerate(lives_s):
        lives.record(_new_catalog(life_s), 100.0 * number)
        lives.learn_past(0.0, 0.0)
    return lives


def test_streams_of_a_replaced_catalog_count_until_the_last_has_ended():
    """A shortened time-out is none for those that run (review/8)."""
    lives = _new_lives(15.0, 5.0)
    assert lives.get_longest_s(100.0) == 15.0 + MARGIN_S
    assert lives.get_longest_s(115.0 + MARGIN_S) == 15.0 + MARGIN_S
    assert lives.get_longest_s(130.0) == 5.0 + MARGIN_S


def test_a_raised_time_out_counts_at_once():
    assert _new_lives(5.0, 15.0).get_longest_s(100.0) == 15.0 + MARGIN_S


def test_an_entry_that_knows_no_earlier_catalog_assumes_a_long_life():
    lives = stream_lives.new_stream_lives()
    lives.record(_new_catalog(5.0), 0.0)
    assert lives.get_longest_s(1.0) == stream_lives.LIFE_UNKNOWN_S
    assert lives.get_known_s(1.0) == 0.0
    assert lives.get_longest_s(200.0) == 5.0 + MARGIN_S
    assert lives.get_known_s(200.0) == 5.0 + MARGIN_S


def test_what_a_peer_tells_replaces_what_is_assumed():
    lives = stream_lives.new_stream_lives()
    lives.record(_new_catalog(5.0), 0.0)
    lives.learn_past(16.0, 1.0)
    assert lives.get_longest_s(1.0) == 16.0
    assert lives.get_longest_s(40.0) == 5.0 + MARGIN_S
    # Known now: a peer that tells something else changes nothing.
    lives.learn_past(60.0, 41.0)
    assert lives.get_longest_s(41.0) == 5.0 + MARGIN_S


@pytest.mark.parametrize(
    ("timeout_ms", "deadline_ms", "life_s"),
    [(5000.0, None, 5.0), (5000.0, 9000.0, 9.0), (1e9, None, 600.0)],
)
def test_a_stream_may_be_taken_up_until_its_own_terms_end(
    timeout_ms, deadline_ms, life_s
):
    admitted = types.SimpleNamespace(
        route=types.SimpleNamespace(timeout_ms=timeout_ms),
        request=types.SimpleNamespace(received_s=7.0, deadline_ms=deadline_ms),
    )
    end_s = stream_lives.get_end_s(admitted)
    assert end_s == 7.0 + life_s + MARGIN_S
