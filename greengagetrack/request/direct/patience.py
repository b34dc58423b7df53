"""How long a run waits for a server that sends nothing.

A silent server may still be at work, and what it was asked for is lost when
it is given up. So silence alone ends nothing: a server is given up when
another one is sure to take over. Until then the wait goes on, up to the
deadline of the request.
"""

import logging

import trio

from greengagetrack.connection import gateway
from greengagetrack.request import outcome

ANSWER_MIN_S = 1.2
EVENT_GAP_MIN_S = 1.2
EVENT_GAP_FACTOR = 2.5
# How often it is asked again whether another server can take over.
CHECK_PERIOD_S = 0.2

_Reason = outcome.Reason
_Ran = outcome.Ran

_log = logging.getLogger(__name__)


class Patience:
    """The waits of one run, for answers and for their events.

    `can_move_on()` returns whether another server is sure to take over.
    """

    __slots__ = ("_can_move_on", "_has_waited", "_request_id", "_route")

    def __init__(self, admitted, can_move_on):
        self._route = admitted.route
        self._request_id = admitted.request.log_id
        self._can_move_on = can_move_on
        self._has_waited = False

    async def wait_for_answer(self, open_answer):
        """Return what `await open_answer()` does, or a `Failure`.

        It can't be called again, so it is cancelled only to give up.
        """
        if not self._route.is_idempotent:
            # No other server could get the request.
            return await open_answer()
        answer = new_silence("no answer in time")
        end_s = trio.current_time() + self._get_answer_s()
        is_kept = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._give_up, end_s, nursery.cancel_scope)
                answer = await open_answer()
                nursery.cancel_scope.cancel()
            is_kept = True
            return answer
        finally:
            if not is_kept and isinstance(answer, gateway.Answer):
                # The request may end at the moment in which its answer comes.
                answer.finish()

    def _get_answer_s(self):
        return max(ANSWER_MIN_S, self._route.target_ms / 1000)

    async def _give_up(self, end_s, scope):
        await trio.sleep_until(end_s)
        while not self._can_move_on():
            self._record_wait()
            await trio.sleep(CHECK_PERIOD_S)
        scope.cancel()

    async def receive_part(self, receive_part, progress_s, has_begun):
        """Return what `await receive_part()` does, or a `Failure`.

        `progress_s` is when the last event came, or the head of the answer
        if `has_begun` is false.
        """
        end_s = progress_s + self._get_gap_s(has_begun)
        while True:
            with trio.move_on_at(end_s):
                return await receive_part()
            if self._can_move_on():
                return new_silence("stream stalled")
            self._record_wait()
            end_s = trio.current_time() + CHECK_PERIOD_S

    def _record_wait(self):
        """Log once that the server is silent, and kept all the same."""
        if self._has_waited:
            return
        self._has_waited = True
        _log.info(
            "server is silent",
            extra={"decision": "wait", "request": self._request_id},
        )

    def _get_gap_s(self, has_begun):
        if not has_begun:
            return self._get_answer_s()
        gap_s = EVENT_GAP_FACTOR * self._route.target_gap_ms / 1000
        return max(EVENT_GAP_MIN_S, gap_s)


def new_silence(detail):
    """Return the failure of a server that was given up for its silence."""
    return gateway.Failure(_Reason.AGENT_SILENT, _Ran.UNKNOWN, detail)
