"""Processing of one admitted request: its stages, then its attempts.

Each attempt goes to one backend server. A request that provably did not
run may be sent to another server. One that may have run is sent again only
if it is idempotent. Both are limited by the route's attempts, the shared
retry budget and the time left.
"""

import msgspec
import trio

from greengagetrack.connection import gateway
from greengagetrack.connection.http.client import turns
from greengagetrack.request.direct import abandonment
from greengagetrack.request.direct import answer_handler
from greengagetrack.request.direct import attempt as attempt_module
from greengagetrack.request.direct import crash_check
from greengagetrack.request.direct import lateness
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request.direct import patience as patience_module
from greengagetrack.request.direct import region_check
from greengagetrack.request.direct import request_log
from greengagetrack.request.direct import server_selector
from greengagetrack.request.direct import stage_inputs
from greengagetrack.request.direct import stream_binding
from greengagetrack.request import outcome as outcome_module

SENDS_OVER_ATTEMPTS_MAX = 1
RETRY_LEFT_MIN_MS = 5
RETRY_AFTER_MIN_MS = 100
FULL_CHECK_PERIOD_S = 0.05

_Reason = outcome_module.Reason
_Ran = outcome_module.Ran


class RunServices(msgspec.Struct):
    """Objects of the process that all runs share."""

    chooser: object
    directory: object
    fetch_times: object
    gateway: object
    pools: object
    budgets: object
    metrics: object
    crash_guard: object
    permits: object
    streams: object
    lifetime_checks: object
    durations: object
    held_bytes: object
    event_turns: object = msgspec.field(default_factory=turns.new_turns)


class DirectRun:
    """The run of one request, until it is answered or no longer can be."""

    __slots__ = (
        "_admitted",
        "_answer_end",
        "_answers",
        "_attempts",
        "_awaited_heads",
        "_binding",
        "_inputs",
        "_may_have_run",
        "_last_failure",
        "_patience",
        "_reply",
        "_scope",
        "_selector",
        "_sends",
        "_services",
        "_started_s",
    )

    def __init__(self, services, admitted, reply):
        self._services = services
        self._admitted = admitted
        self._reply = reply
        self._scope = trio.CancelScope(deadline=admitted.deadline.at_s)
        self._patience = patience_module.Patience(admitted, self._can_move_on)
        self._inputs = stage_inputs.new_stage_inputs(
            admitted, services.pools, self._predict_first_event_s
        )
        self._selector = server_selector.new_server_selector(
            services.chooser, services.permits, admitted
        )
        self._binding = stream_binding.new_stream_binding(
            services, admitted, self._selector
        )
        self._answers = answer_handler.new_answer_handler(
            services,
            admitted,
            reply,
            self._inputs,
            self._selector,
            self._binding,
            self._patience,
            self._is_retry_available,
        )
        self._sends = 0
        self._attempts = 0
        # 1 while an attempt waits for the head of its answer: not counted yet.
        self._awaited_heads = 0
        self._may_have_run = False
        self._last_failure = None
        self._answer_end = request_log.AnswerEnd()
        self._started_s = trio.current_time()

    async def run(self):
        """Return `Relayed`, `Refused`, `Unknown` or `Cut`."""
        outcome = None
        try:
            with self._scope:
                outcome = await self._run_attempts()
            if outcome is None:
                outcome = self._get_late_outcome()
            return outcome
        except Exception as error:
            outcome = abandonment.new_abandoned(error)
            raise
        finally:
            self._record_outcome(outcome)
            self._inputs.free()
            self._selector.give_back()

    def shorten_deadline(self, end_s):
        """Shorten the deadline to `end_s`, because the process is stopping."""
        deadline = self._admitted.deadline
        deadline.at_s = min(deadline.at_s, end_s)
        self._scope.deadline = deadline.at_s

    def _get_late_outcome(self):
        if self._reply.is_started:
            return direct_outcome.Cut(_Reason.DEADLINE_PASSED)
        return self._combine_outcome(
            outcome_module.Refused(_Reason.DEADLINE_PASSED)
        )

    def _combine_outcome(self, outcome):
        """Return the outcome of all attempts, given that of the last one."""
        if self._reply.is_started and not isinstance(
            outcome, direct_outcome.Relayed
        ):
            return direct_outcome.Cut(outcome.reason, outcome.detail)
        if isinstance(outcome, outcome_module.Refused) and self._may_have_run:
            return outcome_module.to_unknown(outcome)
        return outcome

    async def _run_attempts(self):
        self._services.budgets.get(
            self._selector.service
        ).count_first_attempt()
        refused = await self._binding.bind_take_up()
        if refused is not None:
            return refused
        while True:
            outcome = self._check_regions() or self._check_crashes()
            # The regions of the request may change while stages run.
            while outcome is None and not self._inputs.are_usable():
                outcome = await self._run_stages()
                # It may have been found harmful meanwhile.
                outcome = outcome or self._check_crashes()
            if outcome is None:
                outcome = await self._try_server()
            if outcome is not None:
                return self._combine_outcome(outcome)
            if not self._may_retry():
                return self._combine_outcome(self._new_refusal())

    @property
    def _is_resumed(self):
        """Whether the caller has a part of the answer already."""
        return (
            self._answers.relay.last_event is not None
            or self._admitted.is_take_up
        )

    def _check_regions(self):
        """Return `Refused` if no server is where the request may go."""
        services = [self._selector.service]
        if not self._inputs.are_usable():
            services += self._admitted.get_stage_services()
        return region_check.check(
            self._admitted, self._services.directory, services
        )

    def _check_crashes(self):
        """Return `Refused` if the request crashes servers, else None."""
        services = self._services
        return crash_check.check(
            services.crash_guard,
            self._admitted.request,
            services.directory.get_servers(self._selector.service),
        )

    async def _run_stages(self):
        """Run the stages; return `Refused` if they fail, else None."""
        self._inputs.prepare(self._is_resumed)
        if not self._admitted.route.stages:
            return None
        if self._sends == 0 and not self._is_resumed:
            refused = self._inputs.check_admission()
            if refused is not None:
                return refused
            if not await self._selector.reserve(self._inputs.predict_s()):
                return self._new_refusal()
        return await self._inputs.make(self._reply.is_started)

    def _new_refusal(self):
        failure = self._last_failure
        return_ms = self._selector.get_return_ms() or RETRY_AFTER_MIN_MS
        if failure is None:
            return outcome_module.Refused(
                _Reason.NO_CAPACITY, retry_after_ms=return_ms
            )
        if self._may_have_run:
            return outcome_module.Unknown(failure.reason, failure.detail)
        return outcome_module.Refused(
            failure.reason, failure.detail, return_ms
        )

    def _may_retry(self):
        """Return whether the request may be sent to one more server."""
        if self._last_failure is None or not self._is_repeatable():
            return False
        if self._sends == 0:
            return True
        return self._services.budgets.get(self._selector.service).try_acquire()

    def _is_repeatable(self):
        """Return whether one more send is allowed, apart from the budget."""
        route = self._admitted.route
        if not self._answers.relay.is_resumable:
            return False
        if self._admitted.deadline.get_left_ms() < RETRY_LEFT_MIN_MS:
            return False
        if self._may_have_run and not route.is_idempotent:
            return False
        attempts = self._attempts + self._awaited_heads
        if attempts >= route.attempts_max:
            return False
        sends = self._sends + self._awaited_heads
        return sends < route.attempts_max + SENDS_OVER_ATTEMPTS_MAX

    def _is_retry_available(self):
        """Return whether one more send is allowed, without charging it."""
        if not self._is_repeatable():
            return False
        service = self._selector.service
        return self._services.budgets.get(service).is_available()

    def _can_move_on(self):
        """Return whether another server is sure to take over in time."""
        if not self._is_retry_available():
            return False
        selector = self._selector
        if not selector.has_next(self._is_resumed):
            return False
        left_s = self._admitted.deadline.get_left_s()
        return self._inputs.predict_answer_s() < left_s

    def _predict_first_event_s(self):
        return self._services.chooser.predict_first_event_s(
            self._selector.service,
            self._admitted.request,
            self._admitted.eligibility.get(),
        )

    async def _try_server(self):
        """Send the request to one server; return None if it may be retried."""
        choice = await self._choose_server()
        if choice is None:
            return self._binding.check() or self._new_refusal()
        server = choice.server
        self._services.metrics.count_choice(self._selector.service)
        request_log.log_choice(
            self._admitted, self._selector.service, self._sends, choice
        )
        self._services.directory.record_cached_parts(
            server, self._admitted.request.parts
        )
        attempt = attempt_module.new_attempt(server, choice)
        self._inputs.free_after(self._get_fetch_time().hold_s)
        # Nothing may stand between these counts and what takes them back.
        server.outstanding += 1
        server.prefill_tokens += choice.new_tokens
        try:
            return await self._send(attempt)
        finally:
            attempt.record_prefill_done()
            server.outstanding -= 1

    async def _choose_server(self):
        """Return a `Choice`, or None if there is no server.

        An answer that has begun waits for a server that is full: without one
        it would be cut.
        """
        while True:
            choice = await self._selector.choose(
                self._inputs.bytes_by_data_centre, self._is_resumed
            )
            if choice is not None or not self._reply.is_started:
                return choice
            if not self._selector.has_untried():
                return None
            await trio.sleep(FULL_CHECK_PERIOD_S)

    def _get_fetch_time(self):
        return self._services.fetch_times.get(self._selector.service)

    async def _send(self, attempt):
        server = attempt.server
        # Set before sending, since the deadline may cancel this task at any
        # await below. Reset if the server provably did not run the request.
        may_have_run_before = self._may_have_run
        self._may_have_run = True
        self._reply.record_passed_on()
        self._awaited_heads = 1
        answer = await self._patience.wait_for_answer(
            lambda: self._services.gateway.open_answer(
                server.published, self._new_server_request(server)
            )
        )
        self._awaited_heads = 0
        attempt.connection_use = answer.connection_use
        if isinstance(answer, gateway.Failure):
            if answer.ran is _Ran.NO:
                self._may_have_run = may_have_run_before
            if answer.reason is _Reason.BODY_INVALID:
                # No server could be sent this request.
                return outcome_module.Refused(answer.reason, answer.detail)
            if answer.ran is _Ran.UNKNOWN:
                self._sends += 1
                self._attempts += 1
            return self._handle_failure(attempt, answer)
        self._sends += 1
        attempt.claim = answer.claim
        self._services.metrics.count_claim(answer.claim)
        if answer.claim is gateway.Claim.NOT_RUN:
            self._may_have_run = may_have_run_before
        else:
            self._attempts += 1
            attempt.begin()
        try:
            result = await self._answers.handle(attempt, answer)
            return self._get_outcome(attempt, result)
        finally:
            self._answer_end = request_log.AnswerEnd(
                answer.framing,
                self._answers.relay.get_partial_event_bytes(),
                answer.claim,
                answer.connection_use,
            )
            # A run is part of reference cycles, which are collected late.
            self._answers.relay.drop_partial_event()
            answer.finish()

    def _new_server_request(self, server):
        admitted = self._admitted
        request = admitted.request
        return gateway.ServerRequest(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            left_ms=max(admitted.deadline.get_left_ms(), 1),
            organisation=(
                admitted.organisation.name if admitted.organisation else None
            ),
            priority=min(max(admitted.priority, 0), 9),
            inputs=self._inputs.handles,
            resume_after=self._answers.relay.last_event,
            needs_fresh_connection=not admitted.route.is_idempotent,
            check=self._get_lifetime_check(server),
        )

    def _get_lifetime_check(self, server):
        if not self._admitted.route.is_resumable:
            return None
        return self._services.lifetime_checks.get_check(
            server, self._selector.is_bound
        )

    def _get_outcome(self, attempt, result):
        """Return the outcome of an answer, None if it may be retried."""
        if isinstance(result, gateway.Failure):
            return self._handle_failure(attempt, result)
        if isinstance(result, answer_handler.RetryPreferred):
            self._last_failure = result.failure
            self._log_failure(attempt, result.failure)
            return None
        return result

    def _handle_failure(self, attempt, failure):
        """Record a failed attempt; return None so that it may be retried."""
        server = attempt.server
        self._inputs.keep()
        server.record_failed_call(failure)
        self._record_break(attempt, failure)
        self._last_failure = failure
        self._log_failure(attempt, failure)
        return None

    def _record_break(self, attempt, failure):
        is_broken = (
            failure.reason is _Reason.BACKEND_FAILED
            and failure.ran is _Ran.UNKNOWN
        )
        if is_broken:
            self._services.crash_guard.record_break(
                attempt.server, self._admitted.request, attempt
            )

    def _log_failure(self, attempt, failure):
        request_log.log_failure(
            self._admitted,
            self._sends,
            self._answers.relay.last_event,
            attempt,
            failure,
        )

    def _record_outcome(self, outcome):
        route = self._admitted.route
        times = self._get_times()
        late = lateness.find_cause(
            times, route.target_ms / 1000, route.target_gap_ms / 1000
        )
        self._services.metrics.record_outcome(
            route, outcome, times.spent_s * 1000, late
        )
        if isinstance(outcome, direct_outcome.Relayed):
            self._services.durations.record(route, times.spent_s)
        request_log.log_outcome(
            self._admitted,
            self._sends,
            times,
            late,
            self._answer_end,
            self._may_have_run,
            outcome,
        )

    def _get_times(self):
        first_event_s = self._answers.relay.first_event_s
        if first_event_s is not None:
            first_event_s -= self._started_s
        return lateness.RunTimes(
            spent_s=trio.current_time() - self._started_s,
            queued_s=self._started_s - self._admitted.request.received_s,
            stages_s=self._inputs.spent_s,
            stage_times_s=self._inputs.get_stage_times(),
            first_event_s=first_event_s,
            pause_s=self._answers.relay.longest_pause_s,
        )


def new_direct_run(services, admitted, reply):
    """Return the run of an admitted request."""
    return DirectRun(services, admitted, reply)
