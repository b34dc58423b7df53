"""Splitting of streams into events, and where a stream may end."""

import itertools
import re
import time

import hypothesis
from hypothesis import strategies
import pytest
import trio

from greengagetrack.connection import answer_end
from greengagetrack.connection.http.client import turns as turns_module
from greengagetrack.connection.http import events
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import framing
from greengagetrack.request.direct import event_relay
from tests.direct import fakes

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


class LineReader:
    """Splits a body as the format says, line by line."""

    EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")
    LINE_END = re.compile(rb"\r\n|\n|\r")

    def __init__(self):
        self.rest = b""

    def feed(self, data):
        """Return the events that `data` completes, as `_describe` does."""
        self.rest += data
        described = []
        while end := self.EVENT_END.search(self.rest):
            described.append(self._describe(self.rest[: end.end()]))
            self.rest = self.rest[end.end() :]
        return described

    def _describe(self, data):
        lines = self.LINE_END.split(data)
        is_silent = all(
            not line or line.startswith((b":", b"retry:")) for line in lines
        )
        for line in lines:
            if line[:3].lower() == b"id:":
                event_id = fields.read_value(
                    line[3:].strip(), events.EVENT_ID_MAX_BYTES
                )
                return data, event_id, event_id is None, is_silent
        return data, None, False, is_silent


def _describe(event):
    return event.data, event.event_id, event.has_odd_id, event.is_silent()


def _is_empty(described):
    return not described[0].strip(b"\r\n")


def _join_empty(described_events):
    """Return the events, empty ones in sequence as one."""
    joined = []
    for is_empty, group in itertools.groupby(described_events, _is_empty):
        if is_empty:
            data = b"".join(described[0] for described in group)
            group = [(data, None, False, True)]
        joined += group
    return joined


@hypothesis.settings(max_examples=1000)
@hypothesis.given(
    stream=strategies.lists(
        strategies.sampled_from(
            [b"\n", b"\r", b"\r\n", b"\n\n", b":", b"id:", b"iD: 1", b"id"]
            + [b"retry:1", b"retry", b"x", b" ", b"\0", b"data: x\n\n"]
        ),
        max_size=30,
    ).map(b"".join),
    cuts=strategies.lists(strategies.integers(0, 60), max_size=5),
    ends_max=strategies.integers(1, 4),
)
def test_events_are_those_of_a_reader_of_lines(stream, cuts, ends_max):
    bounds = [0, *sorted(cuts), len(stream)]
    splitter, reader = events.EventSplitter(), LineReader()
    for begin, end in zip(bounds, bounds[1:], strict=False):
        part = stream[begin:end]
        split = splitter.feed(part, ends_max)
        while splitter.has_more:
            left = splitter.feed(b"", ends_max)
            assert 0 < len(left) <= 2 * ends_max
            split += left
        described = [_describe(event) for event in split]
        assert _join_empty(described) == _join_empty(reader.feed(part))
        assert splitter.get_rest() == reader.rest
        inside = reader.rest.strip(b"\r\n")
        assert splitter.is_inside_event() is bool(inside)


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


class PausingTurns:
    """Counts the turns, in each of which other tasks run."""

    def __init__(self):
        self.count = 0

    async def wait(self):
        """Let other tasks run."""
        self.count += 1
        await trio.lowlevel.checkpoint()


def _relay(data):
    """Relay a part of a stream; return the reply and the turns waited for."""
    reply, turns = fakes.FakeReply(), PausingTurns()

    async def check(nursery):
        relay = event_relay.new_event_relay(reply, lambda: None, turns)
        await relay.start(fakes.ScriptedAnswer())
        assert await relay.feed(data) is None

    fakes.run_with_mock_clock(check)
    return reply, turns


@pytest.mark.parametrize(
    "event", [b":\n\n", b"data: x\n\n", b"id: odd\r\n\r\n", b"retry: 1\r\r"]
)
def test_many_events_of_a_part_take_turns(event):
    """Thousands of events in one part held up the process."""
    count = 4 * turns_module.EVENTS_PER_TURN
    reply, turns = _relay(event * count)
    assert reply.body == event * count
    assert turns.count == 3


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_line_ends_without_events_cost_little(line_end):
    """64 KiB of line ends took 0.1 s of the process."""
    data = line_end * (65536 // len(line_end))
    splitter = events.EventSplitter()
    split = splitter.feed(data)
    assert len(split) <= 2
    assert b"".join(event.data for event in split) == data
    assert all(event.is_silent() for event in split)
