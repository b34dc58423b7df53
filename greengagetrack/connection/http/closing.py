"""Why connections of callers end, and who is told of it."""

import abc
import enum
import logging

import msgspec

from greengagetrack.connection import contained_error
from greengagetrack.connection.http import bounds

_log = logging.getLogger(__name__)


class CloseReason(enum.StrEnum):
    """Why a connection of a caller ended.

    The first ones are ends between requests; with the others a request may
    lose its answer.
    """

    CALLER_CLOSED = "caller_closed"
    TOO_MANY = "too_many"
    IDLE = "idle"
    DRAINING = "draining"
    NOT_KEPT = "not_kept"
    REQUEST_INVALID = "request_invalid"
    NO_ROOM = "no_room"
    CALLER_LEFT = "caller_left"
    CALLER_SLOW = "caller_slow"
    ANSWER_UNFINISHED = "answer_unfinished"
    ERROR = "error"
    STOPPED = "stopped"


def get_shed_reason(cause):
    """Return the reason for a `bounds.Cause`; None is a refusal."""
    if cause is bounds.Cause.TOO_MANY:
        return CloseReason.TOO_MANY
    return CloseReason.NO_ROOM


class ClosedConnection(msgspec.Struct, frozen=True):
    """How a connection of a caller ended.

    `request_id` names the request that was in hand, if any. `is_passed_on`
    says that it may have been sent to a backend server, `is_answered` that
    its caller got a whole answer.
    """

    reason: CloseReason
    request_id: str = ""
    is_passed_on: bool = False
    is_answered: bool = True

    @property
    def has_lost_request(self):
        """Whether a request was passed on and got no whole answer."""
        return self.is_passed_on and not self.is_answered


class ConnectionObserver(contained_error.ErrorObserver):
    """Is told how the connections of callers end, and of errors in them."""

    @abc.abstractmethod
    def record_close(self, closed):
        """Record a `ClosedConnection`."""


class LoggingObserver(contained_error.UncountedErrors, ConnectionObserver):
    """Logs each connection that ended with a request unanswered."""

    __slots__ = ()

    def record_close(self, closed):
        """Log a connection if a request lost its answer with it."""
        if not closed.has_lost_request:
            return
        _log.warning(
            "connection closed without an answer",
            extra={
                "decision": "close",
                "request": closed.request_id,
                "reason": closed.reason,
            },
        )
