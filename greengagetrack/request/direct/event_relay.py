"""The events of one answer, relayed to its caller in sequence."""

import trio

from greengagetrack.connection import answer_end
from greengagetrack.connection import gateway
from greengagetrack.connection.http.client import turns as turns_module
from greengagetrack.connection.http import events
from greengagetrack.request import outcome

_Reason = outcome.Reason
_Ran = outcome.Ran


class EventRelay:
    """Sends complete events of one server or several to one caller.

    `last_event` is the id of the last event sent, after which another
    server can resume the stream. `progress_s` is when the last event was
    sent: bytes that complete no event are no progress. `longest_pause_s` is
    the longest time between two of them. `is_resumable` is false if what was
    sent after that event would come twice. `on_begin()` is called before the
    first event is sent.

    An answer that goes on with that of another server has to begin with an
    event whose id shows that it does. An error that looks like an event has
    none, and an answer without events doesn't prove that none was left.
    """

    __slots__ = (
        "_framing",
        "_is_join_open",
        "_last_sent_s",
        "_on_begin",
        "_reply",
        "_reply_framing",
        "_splitter",
        "_turns",
        "first_event_s",
        "is_resumable",
        "last_event",
        "longest_pause_s",
        "progress_s",
    )

    def __init__(self, reply, on_begin, turns):
        self._reply = reply
        self._on_begin = on_begin
        self._turns = turns
        self._framing = None
        self._is_join_open = False
        self._reply_framing = None
        self._splitter = None
        self.first_event_s = None
        self.is_resumable = True
        self.last_event = None
        self._last_sent_s = None
        self.longest_pause_s = 0.0
        self.progress_s = trio.current_time()

    async def start(self, answer):
        """Start to relay the answer of a server, the first or a later one."""
        self._is_join_open = self._reply.is_started
        if not self._reply.is_started:
            await self._reply.start(
                answer.status, answer.headers, answer.framing
            )
            self._reply_framing = answer.framing
        self._framing = answer.framing
        self._splitter = events.EventSplitter()
        self.progress_s = trio.current_time()

    async def feed(self, data):
        """Send the events that `data` completes.

        Return a `Failure` if one is out of sequence or too long.
        """
        if self.first_event_s is None:
            self.first_event_s = trio.current_time()
        problem = await self._feed_turn(data)
        while problem is None and self._splitter.has_more:
            await self._turns.wait()
            problem = await self._feed_turn(b"")
        if problem is None and self._splitter.is_too_long():
            problem = _new_problem("event exceeds the size limit")
        return problem

    async def _feed_turn(self, data):
        """Send those events of one turn that are in sequence."""
        forwarded, problem = self._check(
            self._splitter.feed(data, turns_module.EVENTS_PER_TURN)
        )
        if forwarded:
            if self._last_sent_s is None:
                self._on_begin()
            await self._reply.send_part(b"".join(forwarded))
            self._record_sent()
        return problem

    def _record_sent(self):
        now = trio.current_time()
        if self._last_sent_s is not None:
            pause_s = now - self._last_sent_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_sent_s = now
        self.progress_s = now

    def _check(self, complete_events):
        """Return the events in sequence, and a `Failure` for the next."""
        forwarded = []
        for event in complete_events:
            if event.has_odd_id:
                return forwarded, _new_problem("odd id of an event")
            if self._is_join_open and event.is_silent():
                # The begin of a later answer is no part of the first one.
                continue
            if not self._is_in_sequence(event):
                return forwarded, _new_problem(
                    f"event {event.event_id!r} after {self.last_event!r}"
                )
            self._is_join_open = False
            if event.event_id is not None:
                self.last_event = event.event_id
                self.is_resumable = True
            elif not event.is_silent():
                self.is_resumable = False
            forwarded.append(event.data)
        return forwarded, None

    def _is_in_sequence(self, event):
        if event.event_id is None:
            return not self._is_join_open
        if self.last_event is None:
            return True
        if not (event.event_id.isdigit() and self.last_event.isdigit()):
            return True
        return int(event.event_id) == int(self.last_event) + 1

    def get_partial_event_bytes(self):
        """Return the number of bytes after the last complete event."""
        return len(self._splitter.get_rest()) if self._splitter else 0

    def drop_partial_event(self):
        """Free the bytes after the last complete event."""
        self._splitter = None

    async def finish(self):
        """Complete the answer of the caller, after the server's ended.

        Return a `Failure` if the server's answer is incomplete.
        """
        problem = answer_end.find_stream_problem(
            self._framing, self._splitter
        ) or answer_end.find_framing_problem(
            self._framing, self._reply_framing
        )
        if self._is_join_open:
            problem = problem or "a later answer brought no event"
        if problem:
            return _new_problem(problem)
        # Line ends, such as the LF after a CR that ended the last event.
        rest = self._splitter.get_rest()
        if rest:
            await self._reply.send_part(rest)
        await self._reply.finish()
        return None


def _new_problem(detail):
    return gateway.Failure(_Reason.BACKEND_FAILED, _Ran.UNKNOWN, detail)


def new_event_relay(reply, on_begin, turns):
    """Return the relay of a stream of which nothing was sent yet.

    `turns` are those of all streams of the process.
    """
    return EventRelay(reply, on_begin, turns)
