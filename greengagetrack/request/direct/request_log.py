"""Log messages about the routing and the outcome of one request."""

import logging

import msgspec

from greengagetrack.connection import gateway
from greengagetrack.request.direct import outcome as direct_outcome

PARTS_LOGGED_MAX = 16

_log = logging.getLogger(__name__)


def log_choice(admitted, service, sends, choice):
    """Log which server was chosen, with the values that decided it."""
    server = choice.server
    _log.info(
        "server chosen",
        extra={
            "decision": "route",
            "request": admitted.request.log_id,
            "route": admitted.route.name,
            "service": service,
            "server": server.server_id,
            "software_version": server.published.software_version,
            "data_centre": server.published.data_centre,
            "cost_ms": round(choice.cost_ms, 1),
            "wait_ms": round(choice.wait_ms, 1),
            "inflicted_ms": round(choice.inflicted_ms, 1),
            "outstanding": server.outstanding,
            "candidates": choice.candidates,
            "new_tokens": choice.new_tokens,
            "send": sends + 1,
            "is_take_up": admitted.is_take_up,
            "resumed": admitted.request.resumed_id.decode("latin-1"),
            "left_ms": admitted.deadline.get_left_ms(),
            "catalog_version": admitted.catalog_version,
        },
    )


def log_failure(admitted, sends, last_event, attempt, failure):
    """Log a failed attempt, with the prompt parts that others may share."""
    _log.warning(
        "attempt failed",
        extra={
            "decision": "attempt",
            "request": admitted.request.log_id,
            "route": admitted.route.name,
            "server": attempt.server.server_id,
            "outcome": failure.reason,
            "ran": failure.ran,
            "detail": failure.detail,
            "sends": sends,
            "last_event": (last_event or b"").decode("latin-1"),
            "has_begun": attempt.has_begun,
            "claim": attempt.claim or "",
            "connection": attempt.connection_use.connection,
            "connection_request": attempt.connection_use.request,
            "parts": admitted.request.shared_parts[-PARTS_LOGGED_MAX:],
            "part_count": len(admitted.request.shared_parts),
        },
    )


class AnswerEnd(msgspec.Struct, frozen=True):
    """Where the last answer of a request ended.

    `framing` is what marked its end, `partial_event_bytes` the number of
    bytes after its last complete event. `claim` is what the answer says of
    whether the request ran, `connection_use` what it came over.
    """

    framing: str = ""
    partial_event_bytes: int = 0
    claim: str = ""
    connection_use: gateway.ConnectionUse = gateway.ConnectionUse()


def log_outcome(admitted, sends, times, late, end, may_have_run, outcome):
    """Log the outcome of a request; `late` is why it was, if it was.

    `may_have_run` is what is known of all attempts together.
    """
    is_whole = isinstance(outcome, direct_outcome.Relayed)
    level = logging.INFO if is_whole else logging.WARNING
    _log.log(
        level,
        "request ended",
        extra={
            "decision": "end",
            "request": admitted.request.log_id,
            "route": admitted.route.name,
            "outcome": direct_outcome.get_outcome_name(outcome),
            "reason": getattr(outcome, "reason", ""),
            "detail": getattr(outcome, "detail", ""),
            "status": getattr(outcome, "status", 0),
            "late": late,
            "spent_ms": _to_ms(times.spent_s),
            "queued_ms": _to_ms(times.queued_s),
            "stages_ms": _to_ms(times.stages_s),
            "stage_times_ms": [_to_ms(time) for time in times.stage_times_s],
            "first_event_ms": _to_ms(times.first_event_s or 0.0),
            "pause_ms": _to_ms(times.pause_s),
            "priority": admitted.priority,
            "framing": end.framing,
            "partial_event_bytes": end.partial_event_bytes,
            "claim": end.claim,
            "connection": end.connection_use.connection,
            "connection_request": end.connection_use.request,
            "may_have_run": may_have_run,
            "sends": sends,
            "left_ms": admitted.deadline.get_left_ms(),
            "catalog_version": admitted.catalog_version,
        },
    )


def _to_ms(seconds):
    return round(seconds * 1000, 1)
