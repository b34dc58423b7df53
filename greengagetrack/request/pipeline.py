"""Execution of one request through the stages of its pipeline."""

import hashlib
import logging

import msgspec
import trio

from greengagetrack.connection import agent_messages
from greengagetrack.process import routing
from greengagetrack.request import order_key
from greengagetrack.request import outcome as outcome_module
from greengagetrack.request import stage as stage_module
from greengagetrack.request import ticket as ticket_module
from greengagetrack.version import rendezvous

FINGERPRINT_BYTES = 16

_Reason = outcome_module.Reason
_log = logging.getLogger(__name__)


class StageInput(msgspec.Struct):
    """The payload of a stage: the request and the previous result."""

    request: msgspec.Raw
    stage: str
    previous: msgspec.Raw = msgspec.Raw(b"null")
    model: str = ""
    max_tokens: int = 0
    prefix: str = ""


class GeneratedText(msgspec.Struct):
    """The result of a stage on an engine."""

    text: str
    tokens: int


def get_fingerprint(pipeline, body):
    """Return a hash that identifies an order by pipeline and body."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(pipeline.encode() + b"\0" + body)
    return digest.digest()


class PipelineRun:
    """The run of the admitted stages, one after another.

    Tokens of the last stage go to `on_tokens` as they arrive, with the
    offset of the first of them.
    """

    __slots__ = (
        "_admitted",
        "_on_tokens",
        "_services",
        "_ticket_keys",
        "_vm_view",
        "token_count",
    )

    def __init__(self, services, admitted, vm_view, ticket_keys, on_tokens):
        self._services = services
        self._admitted = admitted
        self._vm_view = vm_view
        self._ticket_keys = ticket_keys
        self._on_tokens = on_tokens
        self.token_count = 0

    async def run(self):
        """Return `Whole`, `Refused` or `Unknown`."""
        started_s = trio.current_time()
        try:
            outcome = await self._run_stages()
        finally:
            self._admitted.permit.release(self.token_count)
        self._log_outcome(outcome, started_s)
        return outcome

    async def _run_stages(self):
        previous = b"null"
        for index, stage in enumerate(self._admitted.stages):
            outcome = await self._run_stage(stage, previous)
            if not isinstance(outcome, stage_module.StageResult):
                return self._get_request_outcome(outcome, index)
            previous = self._get_result(stage, outcome)
        return outcome_module.Whole(previous)

    def _get_request_outcome(self, outcome, index):
        """Return the outcome of a request that ended at stage `index`."""
        if isinstance(outcome, outcome_module.Refused) and self._may_have_run(
            index
        ):
            return outcome_module.to_unknown(outcome)
        return outcome

    def _may_have_run(self, index):
        """Return whether the request may have run when stage `index` failed.

        The stage that must not be repeated decides. A pipeline without one
        has run once any of its stages has.
        """
        stages = self._admitted.stages
        order_indexes = [
            position
            for position, stage in enumerate(stages)
            if not stage.stage.repeatable
        ]
        if not order_indexes:
            return index > 0
        if index > order_indexes[0]:
            return True
        # Only the agent's order book shows whether an earlier attempt of the
        # same order has run. A failure before that stage proves nothing.
        has_order_claim = self._admitted.request.has_order_claim()
        return has_order_claim and index < order_indexes[0]

    def _get_result(self, stage, outcome):
        if not stage.stage.max_tokens:
            return outcome.result
        text = GeneratedText("".join(outcome.tokens), len(outcome.tokens))
        return msgspec.json.encode(text)

    async def _run_stage(self, stage, previous):
        task = self._new_task(stage, previous)
        if isinstance(task, outcome_module.Unknown | outcome_module.Refused):
            return task
        is_last = stage.stage is self._admitted.stages[-1].stage

        def forward_tokens(tokens):
            offset = self.token_count
            self.token_count += len(tokens)
            if is_last:
                self._on_tokens(offset, tokens)

        run = stage_module.new_stage_run(
            self._services, task, self._admitted.deadline, forward_tokens
        )
        return await run.run()

    def _new_task(self, stage, previous):
        request = self._admitted.request
        prefix = f"{request.pipeline}/{request.organisation}"
        payload = StageInput(
            request=msgspec.Raw(request.body),
            stage=stage.stage.name,
            previous=msgspec.Raw(previous),
            model=stage.stage.model,
            max_tokens=stage.stage.max_tokens,
            prefix=prefix,
        )
        task = stage_module.StageTask(
            request_id=request.request_id,
            stage=stage,
            payload=msgspec.json.encode(payload),
            organisation=request.organisation,
            limits=self._admitted.limits,
            prefix=get_prefix_hash(prefix) if stage.stage.max_tokens else None,
        )
        if stage.stage.repeatable:
            return task
        return self._pin_order(task, request)

    def _pin_order(self, task, request):
        """Return the task pinned to the agent of its order."""
        if not request.has_order_claim():
            return task
        task.order = agent_messages.OrderClaim(
            organisation=request.organisation,
            fingerprint=get_fingerprint(request.pipeline, request.body),
            ticket=request.ticket,
            key="" if request.ticket else request.idempotency_key,
        )
        if request.ticket:
            return self._pin_ticket(task, request)
        return self._pin_key(task, request)

    def _pin_ticket(self, task, request):
        body = ticket_module.read_ticket(request.ticket, self._ticket_keys)
        if body is None:
            # Forged, or sealed with a key that has been removed: in the
            # second case the order may have run.
            return outcome_module.Unknown(_Reason.TICKET_FORGED)
        service = task.stage.stage.service
        if (body.service, body.pipeline, body.organisation) != (
            service,
            request.pipeline,
            request.organisation,
        ):
            return outcome_module.Refused(_Reason.TICKET_MISMATCH)
        agent = self._services.fleet.agent_by_name.get(body.agent)
        if agent is None:
            return outcome_module.Unknown(_Reason.TICKET_GONE)
        if agent.incarnation not in ("", body.incarnation):
            return outcome_module.Unknown(_Reason.TICKET_GONE)
        if not agent.incarnation:
            return outcome_module.Unknown(_Reason.AGENT_SILENT)
        task.pinned = _new_pinned_choice(agent)
        return task

    def _pin_key(self, task, request):
        service = task.stage.stage.service
        key = order_key.get_order_key(
            service, request.organisation, request.idempotency_key
        )
        agent_name = rendezvous.get_first(
            key, self._vm_view.get_agents(service)
        )
        agent = self._services.fleet.agent_by_name.get(agent_name)
        if agent is None or not agent.incarnation:
            return outcome_module.Unknown(_Reason.KEY_MOVING)
        task.pinned = _new_pinned_choice(agent)
        return task

    def _log_outcome(self, outcome, started_s):
        is_complete = isinstance(outcome, outcome_module.Whole)
        request = self._admitted.request
        spent_ms = (trio.current_time() - started_s) * 1000
        reason = "whole" if is_complete else outcome.reason
        self._services.metrics.record_outcome(request, outcome, spent_ms)
        _log.info(
            "request ended",
            extra={
                "request": request.request_id,
                "pipeline": request.pipeline,
                "organisation": request.organisation,
                "outcome": reason,
                "ran": "yes"
                if is_complete
                else outcome_module.get_ran(outcome),
                "ms": round(spent_ms, 1),
                "table_version": self._services.get_table_version(),
            },
        )


def get_prefix_hash(prefix):
    """Return the number that identifies a prompt prefix in digests."""
    return rendezvous.get_name_hash("prefix", prefix)


def _new_pinned_choice(agent):
    return routing.Choice(agent, 0.0, 0.0, 0.0, False)


def new_pipeline_run(services, admitted, vm_view, ticket_keys, on_tokens):
    """Return the run of an admitted request."""
    return PipelineRun(services, admitted, vm_view, ticket_keys, on_tokens)
