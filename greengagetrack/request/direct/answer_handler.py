"""What is done with the answers of servers to one request.

An answer is relayed to the caller, as a whole or event by event, or it is a
failed attempt.
"""

import msgspec
import trio

from greengagetrack.connection import gateway
from greengagetrack.request.direct import answer_reader
from greengagetrack.request.direct import attempt as attempt_module
from greengagetrack.request.direct import event_relay
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module

SKIP_BODY_MAX_S = 0.2

_Reason = outcome_module.Reason
_Ran = outcome_module.Ran
_UNPROVEN_CLAIMS = (gateway.Claim.UNMARKED, gateway.Claim.UNNAMED)


class RetryPreferred(msgspec.Struct, frozen=True):
    """A server's own error, which another server may not have.

    It is that of a request that may be repeated, and the budget allows it.
    """

    failure: gateway.Failure


class AnswerHandler:
    """Relays the answers of a run's attempts, or tells why it can't.

    `is_retry_available()` says whether the run may send its request again.
    """

    __slots__ = (
        "_admitted",
        "_answering",
        "_binding",
        "_inputs",
        "_is_retry_available",
        "_patience",
        "_reply",
        "_selector",
        "_services",
        "relay",
    )

    def __init__(
        self,
        services,
        admitted,
        reply,
        inputs,
        selector,
        binding,
        patience,
        is_retry_available,
    ):
        self._services = services
        self._admitted = admitted
        self._reply = reply
        self._inputs = inputs
        self._selector = selector
        self._binding = binding
        self._patience = patience
        self._is_retry_available = is_retry_available
        self._answering = None
        self.relay = event_relay.new_event_relay(
            reply, self._begin_stream, services.event_turns
        )

    async def handle(self, attempt, answer):
        """Return `Relayed`, `Cut`, `RetryPreferred` or a `gateway.Failure`."""
        if answer.claim is gateway.Claim.NOT_RUN:
            return await self._handle_rejection(answer)
        if answer.claim in _UNPROVEN_CLAIMS:
            return await self._handle_unproven(answer)
        reader = answer_reader.new_answer_reader(
            self._services,
            self._admitted.request,
            attempt,
            answer,
            self._patience,
        )
        try:
            if answer.is_events and answer.status < 300:
                return await self._relay_stream(attempt, answer, reader)
            return await self._relay_body(attempt, answer, reader)
        finally:
            reader.release()

    async def _handle_unproven(self, answer):
        """Handle an answer that can't be passed on and proves nothing.

        The body and the seal belong to the status that it has.
        """
        await _skip_body(answer)
        return gateway.Failure(
            _Reason.BACKEND_REFUSED,
            _Ran.UNKNOWN,
            f"status {answer.status} without proof, {answer.claim}",
        )

    async def _handle_rejection(self, answer):
        await _skip_body(answer)
        if answer.is_input_gone:
            if self._inputs.is_freed:
                self._get_fetch_time().record_missing()
            self._inputs.free()
        return gateway.Failure(
            _Reason.BACKEND_REFUSED,
            _Ran.NO,
            f"status {answer.status}",
            is_other_server=answer.is_other_server,
            is_missing_version=answer.is_missing_version,
        )

    async def _relay_body(self, attempt, answer, reader):
        body = await reader.read_body()
        if isinstance(body, gateway.Failure):
            return body
        attempt.record_answer(answer.status)
        if answer.status < attempt_module.SERVER_ERROR:
            reader.record_whole()
        if self._is_retry_preferred(answer.status):
            attempt.server.record_failure()
            if self._is_retry_available():
                return RetryPreferred(_new_server_error(answer.status))
        if self._reply.is_started:
            return direct_outcome.Cut(
                _Reason.BACKEND_FAILED, f"status {answer.status}"
            )
        await self._reply.send_whole(
            answer.status, answer.headers, body, answer.framing
        )
        return direct_outcome.Relayed(answer.status)

    def _is_retry_preferred(self, status):
        return (
            status >= attempt_module.SERVER_ERROR
            and self._admitted.route.is_idempotent
        )

    async def _relay_stream(self, attempt, answer, reader):
        self._answering = attempt, answer.opened_s
        await self.relay.start(answer)
        # A caller that reads slowly is no sign of a server that goes on.
        attempt.begin()
        problem = None
        while problem is None:
            part = await reader.receive_part(
                self.relay.progress_s, self.relay.last_event is not None
            )
            if part is None:
                break
            problem = await self._relay_part(attempt, part)
            problem = problem or reader.hold(
                self.relay.get_partial_event_bytes()
            )
            reader.record_progress(self.relay.progress_s)
        if problem is None:
            problem = await self.relay.finish()
        if problem is not None:
            return problem
        attempt.record_answer(answer.status)
        reader.record_whole()
        return direct_outcome.Relayed(answer.status)

    def _begin_stream(self):
        attempt, opened_s = self._answering
        self._binding.begin(attempt.server, opened_s)

    async def _relay_part(self, attempt, part):
        """Relay bytes of a stream; return a `Failure` if there is one."""
        if isinstance(part, gateway.Failure):
            return part
        if not attempt.is_prefilled:
            self._record_first_event(attempt)
        return await self.relay.feed(part)

    def _record_first_event(self, attempt):
        attempt.record_first_event(
            self._services.chooser.get_first_event_estimate(
                self._selector.service
            )
        )
        if self._inputs.is_freed:
            self._get_fetch_time().record_fetched()
        # The server no longer needs the inputs.
        self._inputs.free()

    def _get_fetch_time(self):
        return self._services.fetch_times.get(self._selector.service)


async def _skip_body(answer):
    """Read a body to its end, so that the connection can be reused."""
    with trio.move_on_after(SKIP_BODY_MAX_S):
        while isinstance(await answer.receive_part(), bytes):
            pass


def _new_server_error(status):
    return gateway.Failure(
        _Reason.BACKEND_FAILED, _Ran.UNKNOWN, f"status {status}"
    )


def new_answer_handler(
    services,
    admitted,
    reply,
    inputs,
    selector,
    binding,
    patience,
    is_retry_available,
):
    """Return the handler of a run's answers."""
    return AnswerHandler(
        services,
        admitted,
        reply,
        inputs,
        selector,
        binding,
        patience,
        is_retry_available,
    )
