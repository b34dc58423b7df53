"""Planned stops of real entries lose no answer that has to come."""

from bench.soak import stops

GRACE_S = 4.0
SEED = 1


def test_planned_stops_with_a_short_grace_lose_no_answer(tmp_path):
    """Streams were cut 0.7 s before the kill, and in pauses of engines."""
    result = stops.run_stops(SEED, GRACE_S, str(tmp_path))
    assert result.broken == []
    assert result.served > 0
    assert result.exit_codes == [0] * 3


def test_stop_that_cuts_is_seen(tmp_path):
    result = stops.run_stops(SEED, GRACE_S, str(tmp_path), "cut-on-stop")
    assert any(line.startswith("LOST") for line in result.broken)
