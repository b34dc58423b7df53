"""The agent's record of one attempt."""

import enum

import trio

from greengagetrack.connection import agent_messages


class State(enum.StrEnum):
    """The state of an attempt."""

    ACCEPTED = "accepted"
    STARTED = "started"
    FINISHED = "finished"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"


FINAL_STATES = frozenset((State.FINISHED, State.REFUSED, State.WITHDRAWN))


class AttemptRecord:
    """State and result of one attempt at this agent.

    The state only advances: accepted, started, finished. An accepted
    attempt can instead be withdrawn or refused, and then never starts::

        record = new_record(submit)
        assert record.withdraw()
        assert record.start() is False

    Several attempts share a record when they carry the same order.
    """

    __slots__ = (
        "_changed",
        "attempts",
        "cancel_scope",
        "engine_ms",
        "failure",
        "finished_at_s",
        "first_offset",
        "ran",
        "result",
        "retry_after_ms",
        "reused_tokens",
        "state",
        "submit",
        "tokens",
    )

    def __init__(self, submit):
        self.submit = submit
        self.attempts = [submit.attempt]
        self.state = State.ACCEPTED
        self.first_offset = submit.resume_from
        self.tokens = []
        self.result = b""
        self.failure = ""
        self.ran = ""
        self.retry_after_ms = 0
        self.engine_ms = 0.0
        self.reused_tokens = 0
        self.finished_at_s = None
        self.cancel_scope = None
        self._changed = trio.Event()

    def is_final(self):
        """Return whether the attempt has ended in any way."""
        return self.state in FINAL_STATES

    def start(self):
        """Mark the attempt as started; return False if it may not start."""
        # No await: start(), withdraw() and refuse() never interleave.
        if self.state is not State.ACCEPTED:
            return False
        self.state = State.STARTED
        self._notify()
        return True

    def withdraw(self):
        """Withdraw the attempt; return whether it provably never runs.

        This can't be guaranteed if the record is shared with another
        attempt of the same order.
        """
        # No await: start(), withdraw() and refuse() never interleave.
        if self.state is State.ACCEPTED and len(self.attempts) == 1:
            self._end(State.WITHDRAWN, "withdrawn", "no")
        return self.state in (State.WITHDRAWN, State.REFUSED)

    def refuse(self, reason, retry_after_ms=0):
        """Refuse the attempt; return False if it has started or ended."""
        if self.state is not State.ACCEPTED:
            return False
        self.retry_after_ms = retry_after_ms
        self._end(State.REFUSED, reason, "no")
        return True

    def add_tokens(self, tokens):
        """Append generated tokens."""
        self.tokens += tokens
        self._notify()

    def finish(self, result, engine_ms, reused_tokens):
        """Store the complete result."""
        self.result = result
        self.engine_ms = engine_ms
        self.reused_tokens = reused_tokens
        self._end(State.FINISHED, "", "")

    def fail(self, reason, ran, retry_after_ms=0):
        """Store the reason why there is no result."""
        self.retry_after_ms = retry_after_ms
        self._end(State.FINISHED, reason, ran)

    def _end(self, state, failure, ran):
        self.state = state
        self.failure = failure
        self.ran = ran
        self.finished_at_s = trio.current_time()
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()

    def has_updates(self, offset):
        """Return whether there are tokens after `offset` or a final state."""
        end = self.first_offset + len(self.tokens)
        return self.is_final() or end > offset

    async def wait_for_updates(self, offset, timeout_s):
        """Wait for tokens after `offset`, a final state or the timeout."""
        with trio.move_on_after(timeout_s):
            while not self.has_updates(offset):
                await self._changed.wait()

    def get_chunk(self, offset, load=None):
        """Return the tokens after `offset` and the state, as a message."""
        skipped = max(0, offset - self.first_offset)
        return agent_messages.Chunk(
            state=self.state,
            offset=max(offset, self.first_offset),
            tokens=self.tokens[skipped:],
            is_done=self.is_final(),
            result=self.result,
            failure=self.failure,
            ran=self.ran,
            retry_after_ms=self.retry_after_ms,
            engine_ms=self.engine_ms,
            reused_tokens=self.reused_tokens,
            load=load,
        )


def new_record(submit):
    """Return the record of an attempt that was just accepted."""
    return AttemptRecord(submit)
