"""An answer belongs to the sending that it was made for, on real entries."""

from bench.soak import repeats

SEED = 1
DURATION_S = 8.0
SOUND_SHARE_MIN = 0.98


def new_sending(kind, target, body):
    """Return a sending that was answered with a whole body."""
    return repeats.SendingRecord(kind, target, 200, body)


def test_answer_to_another_sending_is_detected():
    own = new_sending("order", b"/order/2", b"POST /order/2")
    assert repeats.is_own_answer(own)
    for body in (b"POST /order/1", b"GET /order/2", b""):
        assert not repeats.is_own_answer(
            new_sending("order", b"/order/2", body)
        )
    events = b"".join(
        b"id: %d\ndata: /draft/2 v1\n\n" % number for number in range(1, 5)
    )
    assert repeats.is_own_answer(new_sending("draft", b"/draft/2", events))
    for body in (events[:-1], events.replace(b"2 v1", b"1 v1")):
        assert not repeats.is_own_answer(
            new_sending("draft", b"/draft/2", body)
        )


def test_no_answer_of_another_sending_is_believed(tmp_path):
    result = repeats.run_repeats(SEED, "repeats", DURATION_S, str(tmp_path))
    assert result.broken == []
    assert result.came_again > 0
    assert result.told_not_run > 0
    assert result.sound_served >= SOUND_SHARE_MIN * result.sound


def test_broken_build_shows(tmp_path):
    result = repeats.run_repeats(
        SEED, "repeats", DURATION_S, str(tmp_path), "share-ids"
    )
    rules = {line.partition(":")[0] for line in result.broken}
    assert rules >= {"REFUSED", "MIXED"}
    assert result.copies > 0
