"""Problem documents (RFC 9457) for outcomes that are not whole."""

import msgspec

from greengagetrack.request import outcome as outcome_module

CONTENT_TYPE = "application/problem+json"
STATUS_UNKNOWN = 504

_Reason = outcome_module.Reason

STATUS_BY_REASON = {
    _Reason.BODY_INVALID: 400,
    _Reason.BODY_TOO_LARGE: 413,
    _Reason.CONCURRENCY_LIMIT: 429,
    _Reason.DEADLINE_INVALID: 400,
    _Reason.DEADLINE_UNREACHABLE: 503,
    _Reason.KEY_INVALID: 400,
    _Reason.KEY_REUSED: 422,
    _Reason.ORGANISATION_UNKNOWN: 403,
    _Reason.PIPELINE_UNKNOWN: 404,
    _Reason.RATE_LIMIT: 429,
    _Reason.TICKET_FORGED: 400,
    _Reason.TICKET_MISMATCH: 409,
    _Reason.TOKEN_LIMIT: 429,
}
STATUS_REFUSED = 503
# By these a caller understands that its request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, STATUS_REFUSED))


class Problem(msgspec.Struct):
    """The body of the response to a refused or unknown outcome."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    reason: str
    ran: str
    retry_after_ms: int
    request_id: str


def get_status(outcome):
    """Return the HTTP status of an outcome that is not whole."""
    status = STATUS_BY_REASON.get(outcome.reason, STATUS_REFUSED)
    if isinstance(outcome, outcome_module.Unknown):
        return STATUS_UNKNOWN if status in NOT_RUN_STATUSES else status
    return status


def new_problem(outcome, request_id):
    """Return the problem document of an outcome that is not whole."""
    outcome_name = type(outcome).__name__.lower()
    return Problem(
        type=f"urn:greengagetrack:reason:{outcome.reason}",
        title=f"The request was {outcome_name}: {outcome.reason}.".replace(
            "was unknown", "has an unknown outcome"
        ),
        status=get_status(outcome),
        detail=outcome.detail,
        outcome=outcome_name,
        reason=str(outcome.reason),
        ran=str(outcome_module.get_ran(outcome)),
        retry_after_ms=outcome.retry_after_ms,
        request_id=request_id,
    )
