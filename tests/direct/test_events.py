"""Splitting of streams into events, and where a stream may end."""

import time

import hypothesis
from hypothesis import strategies
import pytest

from greengagetrack.connection import answer_end
from greengagetrack.connection.http import events
from greengagetrack.connection.http import framing

LINE_ENDS = strategies.sampled_from([b"\n", b"\r\n", b"\r"])
CHUNKS, CONNECTION = framing.Framing.CHUNKS, framing.Framing.CONNECTION


def _feed(*parts):
    splitter = events.EventSplitter()
    ids = [event.event_id for part in parts for event in splitter.feed(part)]
    return splitter, ids


@hypothesis.given(
    line_ends=strategies.lists(
        strategies.tuples(LINE_ENDS, LINE_ENDS, LINE_ENDS), max_size=4
    ),
    cuts=strategies.lists(strategies.integers(0, 60), max_size=5),
)
def test_events_do_not_depend_on_how_the_bytes_arrive(line_ends, cuts):
    stream = b""
    for number, (first, second, third) in enumerate(line_ends):
        # A CR and an LF in sequence are one line end.
        third = b"\r\n" if second + third == b"\r\n" else third
        stream += b"id: %d%sdata: x%s%s" % (number, first, second, third)
    bounds = [0, *sorted(cuts), len(stream)]
    parts = [stream[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    splitter, ids = _feed(*parts)
    assert ids == [b"%d" % number for number in range(len(line_ends))]
    assert not splitter.is_inside_event()


@hypothesis.given(
    stream=strategies.text("\r\nx", max_size=24).map(str.encode),
    cuts=strategies.lists(strategies.integers(0, 24), max_size=6),
)
def test_no_byte_is_lost_and_no_event_depends_on_later_bytes(stream, cuts):
    bounds = [0, *sorted(cuts), len(stream)]
    splitter = events.EventSplitter()
    data, inside = b"", []
    for begin, end in zip(bounds, bounds[1:], strict=False):
        data += b"".join(e.data for e in splitter.feed(stream[begin:end]))
        assert data + splitter.get_rest() == stream[: max(begin, end)]
        inside.append(splitter.is_inside_event())
    whole = events.EventSplitter()
    whole.feed(stream)
    assert inside[-1] == whole.is_inside_event()


def test_an_event_that_arrives_in_bytes_does_not_hold_up_the_process():
    """Each byte led to a search of all that had arrived of its event."""
    splitter = events.EventSplitter()
    started_s = time.process_time()
    for _byte in range(20000):
        splitter.feed(b"x")
    assert time.process_time() - started_s < 0.4


@pytest.mark.parametrize(
    ("stream", "read_framing", "is_complete"),
    [
        (b"id: 1\n\n", CHUNKS, True),
        (b"id: 1\n\n", CONNECTION, True),
        (b"id: 1\r\n\r\n\n", CONNECTION, True),
        (b"id: 1\n", CHUNKS, False),
        (b"id: 1\n\nid", CHUNKS, False),
        (b"id: 1\n\nid", CONNECTION, False),
        (b"", CHUNKS, True),
        (b"", CONNECTION, False),
    ],
)
def test_where_a_complete_stream_may_end(stream, read_framing, is_complete):
    splitter, _ids = _feed(stream)
    problem = answer_end.find_stream_problem(read_framing, splitter)
    assert is_complete is (not problem)
