"""Outcomes of requests and attempts, as values.

None of them is raised. A function that can fail returns one of these
values, and its caller checks the type::

    outcome = await run.run()
    if isinstance(outcome, Refused):
        return outcome.reason
"""

import enum

import msgspec


class Ran(enum.StrEnum):
    """Whether a request without an answer may have been executed."""

    NO = "no"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused, or why its result is unknown."""

    AGENT_RESTARTED = "agent_restarted"
    AGENT_SILENT = "agent_silent"
    ATTEMPT_TOO_OLD = "attempt_too_old"
    ATTEMPT_UNKNOWN = "attempt_unknown"
    BACKEND_FAILED = "backend_failed"
    BACKEND_REFUSED = "backend_refused"
    BODY_INVALID = "body_invalid"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_LEFT = "caller_left"
    CONCURRENCY_LIMIT = "concurrency_limit"
    DEADLINE_INVALID = "deadline_invalid"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DRAINING = "draining"
    KEY_INVALID = "key_invalid"
    KEY_MOVING = "key_moving"
    KEY_PROMISED = "key_promised"
    KEY_REUSED = "key_reused"
    LINK_DOWN = "link_down"
    NO_CAPACITY = "no_capacity"
    NO_TABLE = "no_table"
    ORDER_BOOK_FULL = "order_book_full"
    ORDER_TOO_RECENT_START = "order_too_recent_start"
    ORGANISATION_UNKNOWN = "organisation_unknown"
    PART_CRASHES_SERVERS = "part_crashes_servers"
    PIPELINE_UNKNOWN = "pipeline_unknown"
    RATE_LIMIT = "rate_limit"
    RECORDS_FULL = "records_full"
    REGION_UNAVAILABLE = "region_unavailable"
    REQUEST_CRASHES_SERVERS = "request_crashes_servers"
    SHED = "shed"
    STREAM_VERSION_GONE = "stream_version_gone"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_FORGED = "ticket_forged"
    TICKET_GONE = "ticket_gone"
    TICKET_MISMATCH = "ticket_mismatch"
    TOKEN_LIMIT = "token_limit"
    WITHDRAWN = "withdrawn"


class Whole(msgspec.Struct, frozen=True):
    """The complete answer of a request: the last stage's JSON result."""

    result: bytes


class Refused(msgspec.Struct, frozen=True):
    """A request that provably did not run, or a step that did not.

    `retry_after_ms` tells the caller when to retry; None means that no
    time is known.
    """

    reason: Reason
    detail: str = ""
    retry_after_ms: int | None = 1000


class Unknown(msgspec.Struct, frozen=True):
    """A request that may or may not have run."""

    reason: Reason
    detail: str = ""
    retry_after_ms: int | None = 1000


def to_unknown(refused):
    """Convert a refusal without a proof that nothing ran to `Unknown`."""
    return Unknown(refused.reason, refused.detail, refused.retry_after_ms)


def get_ran(outcome):
    """Return whether a request with this outcome may have run."""
    if isinstance(outcome, Refused):
        return Ran.NO
    return Ran.UNKNOWN
