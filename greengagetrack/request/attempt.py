"""The entry's side of one attempt of a stage."""

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.connection import base
from greengagetrack.request import outcome as outcome_module

SUBMIT_WAIT_MS = 250
PULL_WAIT_MS = 500
PULL_PERIOD_S = 0.04
REPLY_GRACE_S = 1.0
LINK_GRACE_S = 1.0
LINK_RETRY_S = 0.02
WITHDRAW_TIMEOUT_S = 0.3

_Ran = outcome_module.Ran
_Reason = outcome_module.Reason


class AttemptRun:
    """Client of one agent that submits an attempt and pulls its result.

    All requests are idempotent: a repeated `Submit` finds its record, and
    `Pull` continues at the offset that was reached. So a link that fails
    and recovers costs only time.
    """

    __slots__ = (
        "_deadline",
        "_has_agent_ended",
        "_link",
        "_on_tokens",
        "_submit",
        "chunk",
        "is_confirmed",
        "maybe_sent",
        "offset",
    )

    def __init__(self, link, submit, deadline, on_tokens, has_agent_ended):
        self._has_agent_ended = has_agent_ended
        self._link = link
        self._submit = submit
        self._deadline = deadline
        self._on_tokens = on_tokens
        self.offset = submit.resume_from
        self.chunk = None
        self.maybe_sent = False
        self.is_confirmed = False

    def get_number(self):
        """Return the number of the attempt at this entry."""
        return self._submit.attempt.number

    async def run(self):
        """Return the last `Chunk`, or `Refused` or `Unknown`."""
        outcome = await self._submit_until_answered()
        if outcome is None:
            outcome = await self._pull_until_end()
        if isinstance(outcome, agent_messages.Chunk):
            self.is_confirmed = True
            return self._get_chunk_outcome(outcome)
        return outcome

    async def _submit_until_answered(self):
        """Return None once the agent has the attempt, else its outcome."""
        unanswered_since_s = None
        while True:
            if self._deadline.is_past():
                return await self.withdraw(_Reason.DEADLINE_PASSED)
            reply = await self._request(self._submit, self._submit.wait_ms)
            if isinstance(reply, agent_messages.Chunk):
                return self._process_chunk(reply)
            if isinstance(reply, base.NotSent) and not self.maybe_sent:
                return outcome_module.Refused(_Reason.LINK_DOWN)
            unanswered_since_s = unanswered_since_s or trio.current_time()
            if self._is_agent_lost(unanswered_since_s):
                return await self.withdraw(_Reason.AGENT_SILENT)
            await trio.sleep(LINK_RETRY_S)

    async def _pull_until_end(self):
        """Pull until the attempt has ended; return its outcome."""
        unanswered_since_s = None
        while True:
            if self._deadline.is_past():
                return await self.withdraw(_Reason.DEADLINE_PASSED)
            await trio.sleep(PULL_PERIOD_S)
            pull = agent_messages.Pull(
                self._submit.attempt,
                self._submit.incarnation,
                self.offset,
                min(PULL_WAIT_MS, self._deadline.get_left_ms()),
            )
            reply = await self._request(pull, pull.wait_ms)
            if isinstance(reply, agent_messages.Chunk):
                unanswered_since_s = None
                outcome = self._process_chunk(reply)
                if outcome is not None:
                    return outcome
                continue
            unanswered_since_s = unanswered_since_s or trio.current_time()
            if self._is_agent_lost(unanswered_since_s):
                return await self.withdraw(_Reason.AGENT_SILENT)
            await trio.sleep(LINK_RETRY_S)

    async def _request(self, message, wait_ms):
        timeout_s = wait_ms / 1000 + REPLY_GRACE_S
        timeout_s = min(timeout_s, self._deadline.get_left_s() + 0.05)
        was_maybe_sent = self.maybe_sent
        # Set before sending, so that it holds if this task is cancelled in
        # between. Only a NotSent of the link resets it, since a link that
        # is down now can come up at any moment.
        self.maybe_sent = True
        reply = await self._link.request(message, timeout_s)
        if isinstance(reply, base.NotSent):
            self.maybe_sent = was_maybe_sent
        return reply

    def _is_agent_lost(self, since_s):
        if self._has_agent_ended():
            return True
        # An attempt that must not be repeated can't move to another agent,
        # so it is polled until its deadline.
        if not self._submit.is_repeatable:
            return False
        return trio.current_time() - since_s > LINK_GRACE_S

    def _process_chunk(self, chunk):
        """Forward new tokens; return the chunk if it is the last."""
        self.chunk = chunk
        received_count = self.offset - chunk.offset
        if received_count < 0:
            # An agent never skips tokens, so the record is not this attempt's.
            return outcome_module.Unknown(_Reason.ATTEMPT_UNKNOWN)
        new_tokens = chunk.tokens[received_count:]
        if new_tokens:
            self.offset += len(new_tokens)
            self._on_tokens(new_tokens)
        return chunk if chunk.is_done else None

    def _get_chunk_outcome(self, chunk):
        if not chunk.failure:
            return chunk
        reason = _get_reason(chunk.failure)
        if chunk.ran == _Ran.NO:
            return outcome_module.Refused(
                reason, retry_after_ms=chunk.retry_after_ms
            )
        return outcome_module.Unknown(
            reason, retry_after_ms=chunk.retry_after_ms
        )

    async def withdraw(self, reason):
        """Withdraw the attempt; return its outcome."""
        if not self.maybe_sent:
            return outcome_module.Refused(reason)
        withdraw = agent_messages.Withdraw(
            self._submit.attempt, self._submit.incarnation
        )
        reply = await self._link.request(withdraw, WITHDRAW_TIMEOUT_S)
        self.is_confirmed = isinstance(reply, agent_messages.WithdrawReply)
        if self.is_confirmed and reply.is_withdrawn and self._proves_not_run():
            return outcome_module.Refused(reason)
        return outcome_module.Unknown(reason)

    def _proves_not_run(self):
        """Return whether a withdrawal proves that nothing ran.

        It does for this attempt. For an order, no earlier attempt may have
        run either; the agent has checked that once it has accepted a
        ticket.
        """
        order = self._submit.order
        return order is None or bool(order.ticket and self.chunk)


def _get_reason(text):
    try:
        return _Reason(text)
    except ValueError:
        # A newer agent may send reasons that this version lacks.
        return _Reason.BACKEND_FAILED


def new_attempt_run(link, submit, deadline, on_tokens, has_agent_ended):
    """Return the run of one attempt.

    `on_tokens` is called with new tokens; `has_agent_ended` returns whether
    the agent's process is no longer the one listed in the fleet.
    """
    return AttemptRun(link, submit, deadline, on_tokens, has_agent_ended)
