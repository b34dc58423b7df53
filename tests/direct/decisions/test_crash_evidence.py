"""Which part of a prompt is held, for given crashes and good answers."""

import pytest

from greengagetrack.process.direct.decisions import blame
from greengagetrack.process.direct.decisions import crash_evidence

FIRST, RARE, HARMFUL = "first", "rare", "harmful"
LATER_S = crash_evidence.CLEARING_S + 0.1


class Story:
    """Crashes and good answers in the order of their times."""

    def __init__(self):
        self.evidence = crash_evidence.new_crash_evidence()
        self._count = 0

    def crash(self, now_s, *prompts, request_id=None, has_begun=True):
        """Crash one more server under requests with these parts."""
        self._count += 1
        suspects = [
            blame.Suspect(
                request_id or f"r{self._count}.{number}", parts, has_begun
            )
            for number, parts in enumerate(prompts)
        ]
        self.evidence.record_crash(f"s{self._count}/1", suspects, now_s)

    def answer(self, now_s, *parts, count=1):
        """Record that answers on these parts went well."""
        for _answer in range(count):
            self.evidence.record_sound(parts, now_s)

    def get_held(self, now_s):
        """Return the parts that are held at a time."""
        self.evidence.update(now_s)
        return set(self.evidence.get_holds())

    def crash_until_held(self, parts=(FIRST, RARE, HARMFUL)):
        """Crash three servers under requests with these parts."""
        for now_s in (1.0, 2.0, 3.0):
            self.crash(now_s, parts)
            self.answer(now_s + 0.5, FIRST, count=3)


def test_part_of_three_crashes_is_held_and_not_the_one_that_was_cleared():
    story = Story()
    story.answer(0.5, FIRST, RARE)
    story.crash_until_held()
    assert story.get_held(3.0 + LATER_S) == {HARMFUL}
    assert story.evidence.find_held((FIRST, HARMFUL), 9.0) == HARMFUL
    assert story.evidence.find_held((FIRST, RARE), 9.0) is None


def test_news_that_clears_a_part_may_come_a_little_later():
    story = Story()
    story.crash_until_held()
    assert story.get_held(3.0 + LATER_S - 0.2) == set()
    story.evidence.add_sound(HARMFUL, 3.5)
    assert HARMFUL not in story.get_held(3.0 + LATER_S)


COPY = blame.IDENTITY_PREFIX + "c0"


def test_copies_of_a_request_are_held_and_not_its_parts():
    story = Story()
    for now_s in (1.0, 1.3, 2.0):
        story.crash(now_s, (FIRST, RARE, COPY))
    story.answer(2.5, FIRST, count=3)
    assert story.get_held(2.0 + LATER_S) == {COPY}
    # One crash for another cause does not suffice against its parts.
    story.crash(4.0, (FIRST, RARE, blame.IDENTITY_PREFIX + "c1"))
    story.answer(4.5, FIRST, count=3)
    assert story.get_held(4.0 + LATER_S) == {COPY}


def test_copies_of_one_id_are_held():
    story = Story()
    for now_s in (1.0, 1.1, 1.2):
        story.crash(now_s, (FIRST, RARE, COPY), request_id="r1")
    story.answer(1.5, FIRST, count=3)
    assert story.get_held(1.2 + LATER_S) == {COPY}


def test_harmful_part_is_held_although_copies_of_one_request_were():
    story = Story()
    for now_s in (1.0, 2.0, 3.0):
        story.crash(now_s, (FIRST, HARMFUL, COPY))
    story.answer(3.5, FIRST, count=3)
    assert story.get_held(3.0 + LATER_S) == {COPY}
    for number, now_s in enumerate((5.0, 6.0)):
        other = f"{blame.IDENTITY_PREFIX}d{number}"
        story.crash(now_s, (FIRST, HARMFUL, other))
        story.answer(now_s + 0.5, FIRST, count=3)
    # That is the fifth crash under the part.
    assert story.get_held(6.0 + LATER_S) == {COPY, HARMFUL}


def test_request_that_is_answered_is_no_suspect():
    story = Story()
    for now_s in (1.0, 2.0, 3.0):
        story.crash(now_s, (COPY,))
        story.evidence.add_sound(COPY, now_s + 0.2)
    story.answer(3.5, FIRST, count=3)
    assert story.get_held(3.0 + LATER_S) == set()
    assert not story.evidence.get_crash_times(COPY)


def test_two_crashes_hold_no_part():
    story = Story()
    for now_s in (1.0, 2.0):
        story.crash(now_s, (FIRST, HARMFUL))
    story.answer(2.5, FIRST, count=3)
    assert story.get_held(30.0) == set()


def test_servers_that_crash_at_once_hold_no_part():
    story = Story()
    for number in range(9):
        story.crash(1.0 + number / 100, (FIRST, RARE))
    story.answer(1.5, "other", count=9)
    assert story.get_held(30.0) == set()


def test_one_request_and_its_retries_hold_no_part():
    story = Story()
    for now_s in (1.0, 2.0, 3.0):
        story.crash(now_s, (FIRST, RARE), request_id="the same")
        story.answer(now_s + 0.5, "other", count=3)
    assert story.get_held(30.0) == set()


def test_without_good_answers_no_part_is_held():
    story = Story()
    for now_s in (1.0, 2.0, 3.0):
        story.crash(now_s, (FIRST, RARE))
    assert story.get_held(30.0) == set()


def test_request_that_waited_beside_one_that_had_begun_counts_less():
    story = Story()
    story.answer(0.5, FIRST)
    for now_s in (1.0, 2.0, 3.0):
        story.crash(now_s, (FIRST, HARMFUL))
        suspect = blame.Suspect(f"w{now_s}", (FIRST, RARE), False)
        story.evidence.record_crash(f"s{int(now_s)}/1", [suspect], now_s)
        story.answer(now_s + 0.5, FIRST, count=3)
    assert story.get_held(30.0) == {HARMFUL}


def test_request_that_waited_alone_counts_in_full():
    story = Story()
    for now_s in (1.0, 2.0, 3.0):
        story.crash(now_s, (FIRST, HARMFUL), has_begun=False)
        story.answer(now_s + 0.5, FIRST, count=3)
    assert story.get_held(30.0) == {HARMFUL}


def test_what_a_held_part_explains_blames_no_other():
    story = Story()
    story.answer(0.5, FIRST, RARE)
    story.crash_until_held()
    assert story.get_held(3.0 + LATER_S) == {HARMFUL}
    # Requests that were under way when the part was held.
    for now_s in (4.5, 5.0, 5.5):
        story.crash(now_s, (FIRST, RARE, HARMFUL), (FIRST, RARE))
        story.answer(now_s + 0.1, FIRST, count=3)
    assert story.get_held(30.0) == {HARMFUL}


def test_of_parts_that_always_came_together_the_deepest_is_held():
    story = Story()
    story.crash_until_held()
    assert story.get_held(3.0 + LATER_S) == {HARMFUL}
    assert story.evidence.find_held((FIRST, RARE), 9.0) is None


def test_one_more_crash_holds_a_part_that_always_came_with_a_held_one():
    story = Story()
    story.crash_until_held()
    assert story.get_held(5.0) == {HARMFUL}
    story.crash(6.0, (FIRST, RARE))
    assert story.get_held(6.0 + LATER_S) == {HARMFUL, RARE}


def test_one_more_crash_holds_no_part_that_was_sound_meanwhile():
    story = Story()
    story.crash_until_held()
    assert story.get_held(5.0) == {HARMFUL}
    story.answer(5.5, FIRST, RARE)
    story.crash(6.0, (FIRST, RARE))
    assert story.get_held(30.0) == {HARMFUL}


def test_hold_ends_without_requests_and_one_crash_brings_it_back():
    story = Story()
    story.crash_until_held()
    assert story.get_held(5.0) == {HARMFUL}
    idle_s = 5.0 + crash_evidence.HOLD_IDLE_S
    assert story.evidence.find_held((HARMFUL,), idle_s - 1.0) == HARMFUL
    idle_s = idle_s - 1.0 + crash_evidence.HOLD_IDLE_S
    assert story.evidence.find_held((HARMFUL,), idle_s + 1.0) is None
    story.crash(idle_s + 2.0, (FIRST, HARMFUL))
    assert story.evidence.find_held((HARMFUL,), idle_s + 2.1) == HARMFUL


def test_good_answer_ends_a_hold():
    story = Story()
    story.crash_until_held()
    assert story.get_held(5.0) == {HARMFUL}
    story.answer(6.0, FIRST, RARE, HARMFUL)
    assert story.get_held(6.1) == set()
    story.evidence.add_hold(HARMFUL, 5.0, 6.0)
    assert story.get_held(6.2) == set()


@pytest.mark.parametrize("prefix", ["", "x" * 10_000])
def test_memory_is_bounded_for_any_prompts(prefix):
    story = Story()
    for number in range(3000):
        part = f"{prefix}{number}"
        story.crash(1.0 + number / 1000, (part,))
        story.evidence.add_hold(crash_evidence.get_part_key(part), 1.0, 1.0)
        story.answer(1.0, *(f"{part}.{index}" for index in range(2)))
    evidence = story.evidence
    crashed = evidence.get_crashed(0.0)
    assert len(crashed) <= crash_evidence.CRASHED_REQUESTS_MAX
    assert len(evidence.get_holds()) <= crash_evidence.HOLDS_MAX
    longest = max(len(request.suspect.parts[0]) for request in crashed)
    assert longest <= crash_evidence.PART_ID_MAX_CHARS


def test_requests_with_the_same_id_on_one_server_are_told_apart():
    story = Story()
    for now_s in (1.0, 2.0, 3.0):
        request_id = f"r{now_s}"
        story.crash(now_s, (FIRST,), (FIRST, HARMFUL), request_id=request_id)
        story.answer(now_s + 0.5, FIRST, count=3)
    assert story.get_held(3.0 + LATER_S) == {HARMFUL}


@pytest.mark.parametrize(
    ("identities", "held"),
    [(("c1", "c2", "c3"), {HARMFUL}), (("c1", "c1", "c1"), set())],
)
def test_requests_without_an_id_are_told_apart_by_what_they_are(
    identities, held
):
    story = Story()
    for now_s, name in zip((1.0, 2.0, 3.0), identities, strict=True):
        identity = blame.IDENTITY_PREFIX + name
        story.crash(now_s, (HARMFUL, identity), request_id="same")
        story.answer(now_s + 0.5, FIRST, identity, count=3)
    assert story.get_held(3.0 + LATER_S) == held


def _count_weighings(part_count, monkeypatch):
    """Return how often parts are weighed, for requests that share them all."""
    story = Story()
    weighed = []

    def new_blame(part, *arguments):
        weighed.append(part)
        return original(part, *arguments)

    original = blame.new_blame
    monkeypatch.setattr(blame, "new_blame", new_blame)
    parts = tuple(f"part{number}" for number in range(part_count))
    for now_s in (1.0, 2.0):
        story.crash(now_s, parts, parts)
        story.answer(now_s + 0.5, "other", count=3)
        for step in range(9):
            story.evidence.update(now_s + 0.5 + step / 20)
    monkeypatch.undo()
    return len(weighed)


def test_price_of_a_crash_is_bounded_however_many_parts_callers_list(
    monkeypatch,
):
    """Entries hung for 30 s after a crash under 2,200 parts (review/6)."""
    few = _count_weighings(20, monkeypatch)
    many = _count_weighings(2_000, monkeypatch)
    # Once for each crash, and not again while nothing changes.
    assert few <= 2 * 20
    assert many <= 2 * crash_evidence.REQUEST_PARTS_MAX


def test_part_that_others_blame_is_kept_among_thousands():
    story = Story()
    story.crash(1.0, (FIRST, HARMFUL))
    others = tuple(f"part{number}" for number in range(2_000))
    story.crash(2.0, (FIRST, HARMFUL, *others))
    story.crash(3.0, (FIRST, HARMFUL, *others[:50]))
    story.answer(3.5, FIRST, count=3)
    assert story.get_held(3.0 + LATER_S) == {HARMFUL}


def test_answer_on_thousands_of_parts_does_not_push_out_what_is_sound():
    story = Story()
    story.answer(0.5, FIRST)
    for number in range(4):
        parts = (f"part{number}.{index}" for index in range(2_000))
        story.answer(1.0, *parts)
    assert story.evidence.was_sound_since(FIRST, 0.5)


def test_index_of_parts_holds_no_request_that_is_forgotten():
    story = Story()
    for number in range(3 * crash_evidence.CRASHED_REQUESTS_MAX):
        story.crash(1.0, (FIRST, f"part{number}"))
    kept = crash_evidence.CRASHED_REQUESTS_MAX
    assert len(story.evidence.get_crashed(0.0)) == kept
    assert len(story.evidence._keys_by_part) == kept + 1
    story.evidence.update(2.0 + crash_evidence.CRASH_AGE_MAX_S)
    assert story.evidence.is_empty()
    assert not story.evidence._keys_by_part
