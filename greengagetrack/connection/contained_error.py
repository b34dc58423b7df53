"""Records errors that nobody foresaw and that end one unit of work only.

What another process writes may raise an error that no reader names. The
task of one exchange or one message then ends, the process and its other
work go on. Each such error is a fault of this program::

    try:
        await handle(message)
    except Exception:
        contained_error.record(observer, "peer_message")
"""

import abc
import logging

_log = logging.getLogger(__name__)

DECISION = "contain"


class ErrorObserver(abc.ABC):
    """Counts the errors that were contained."""

    @abc.abstractmethod
    def count_contained_error(self, boundary):
        """Count an error; `boundary` names the kind of unit that ended."""


class UncountedErrors(ErrorObserver):
    """Leaves the errors to the log."""

    __slots__ = ()

    def count_contained_error(self, boundary):
        """Count nothing."""


def record(observer, boundary, **fields):
    """Log the error that is being handled, with its trace, and count it."""
    observer.count_contained_error(boundary)
    _log.exception(
        "unforeseen error",
        extra={"decision": DECISION, "boundary": boundary, **fields},
    )
