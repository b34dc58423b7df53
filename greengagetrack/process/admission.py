"""Admission control: decides whether a request may start."""

import logging

import msgspec

from greengagetrack.process import routing
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request import outcome

BUDGET_MAX_MS = 600_000
DEADLINE_MARGIN_FACTOR = 1.0

_Reason = outcome.Reason
_log = logging.getLogger(__name__)


class Request(msgspec.Struct):
    """A decoded request of a caller."""

    request_id: str
    pipeline: str
    organisation: str
    kind: str
    body: bytes
    budget_ms: int | None = None
    idempotency_key: str = ""
    ticket: str = ""

    def has_order_claim(self):
        """Return whether this may repeat an order of an earlier request."""
        return bool(self.ticket or self.idempotency_key)


class Admitted(msgspec.Struct):
    """A request that may run, with its stages, limits and permit."""

    request: Request
    stages: list
    limits: object
    permit: object
    deadline: deadline_module.Deadline


class Admission:
    """Checks of a request against the table, its limits and its deadline."""

    __slots__ = ("_get_table", "_limits", "_router", "is_draining")

    def __init__(self, get_table, limits, router):
        self._get_table = get_table
        self._limits = limits
        self._router = router
        self.is_draining = False

    async def admit(self, request):
        """Return `Admitted` or `Refused`."""
        table = self._get_table()
        refusal = self._check_request(request, table)
        if refusal is not None:
            return refusal
        pipeline = table.pipeline_by_name[request.pipeline]
        limits = table.get_limits(
            request.pipeline, request.organisation, request.kind
        )
        if limits is None:
            return outcome.Refused(
                _Reason.RATE_LIMIT,
                "no row of the table matches",
                retry_after_ms=60_000,
            )
        budget_ms = min(
            request.budget_ms or pipeline.deadline_ms, pipeline.deadline_ms
        )
        deadline = deadline_module.new_deadline(budget_ms)
        stages = routing.get_pipeline_stages(request.pipeline, pipeline)
        refusal = self._check_deadline(stages, deadline, limits.row.priority)
        if refusal is not None:
            return refusal
        tokens = sum(stage.stage.max_tokens for stage in stages)
        permit = await self._limits.acquire(limits, tokens)
        if isinstance(permit, outcome.Refused):
            return permit
        return Admitted(request, stages, limits, permit, deadline)

    def _check_request(self, request, table):
        if self.is_draining:
            return outcome.Refused(_Reason.DRAINING)
        if table is None:
            return outcome.Refused(_Reason.NO_TABLE)
        if request.pipeline not in table.pipeline_by_name:
            detail = f"There is no pipeline '{request.pipeline}'."
            return outcome.Refused(_Reason.PIPELINE_UNKNOWN, detail)
        if table.get_plan(request.organisation) is None:
            detail = f"There is no organisation '{request.organisation}'."
            return outcome.Refused(_Reason.ORGANISATION_UNKNOWN, detail)
        budget_ms = request.budget_ms
        if budget_ms is not None and not 0 < budget_ms <= BUDGET_MAX_MS:
            detail = f"The deadline must be 1 to {BUDGET_MAX_MS} ms."
            return outcome.Refused(_Reason.DEADLINE_INVALID, detail)
        return None

    def _check_deadline(self, stages, deadline, priority):
        """Return a refusal if the predicted time exceeds the deadline."""
        path_ms = self._router.predict_path_ms(stages, priority)
        if path_ms is None:
            return outcome.Refused(_Reason.NO_CAPACITY)
        left_ms = deadline.get_left_ms()
        if path_ms <= left_ms * DEADLINE_MARGIN_FACTOR:
            return None
        return outcome.Refused(
            _Reason.DEADLINE_UNREACHABLE,
            f"predicted {path_ms:.0f} ms, {left_ms} ms are left",
            retry_after_ms=max(100, int(path_ms - left_ms)),
        )


def new_admission(get_table, limits, router):
    """Return the admission control of an entry."""
    return Admission(get_table, limits, router)
