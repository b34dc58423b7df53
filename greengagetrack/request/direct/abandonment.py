"""Finds out why a run raised an error: its caller, or a fault of ours.

A send to a caller raises if the caller left or reads nothing. Any other
error is one that nobody foresaw.
"""

import trio

from greengagetrack.request.direct import outcome as direct_outcome

_CALLER_LEFT = (trio.BrokenResourceError, trio.ClosedResourceError)

_Cause = direct_outcome.AbandonedCause


def new_abandoned(error):
    """Return the `Abandoned` of a run that raised an error or a group.

    Example::

        abandoned = new_abandoned(trio.TooSlowError())
        assert abandoned.cause is AbandonedCause.CALLER_SLOW
    """
    if _is_only(error, trio.TooSlowError):
        return direct_outcome.Abandoned(_Cause.CALLER_SLOW)
    if _is_only(error, _CALLER_LEFT):
        return direct_outcome.Abandoned(_Cause.CALLER_LEFT)
    return direct_outcome.Abandoned(_Cause.ERROR, type(error).__name__)


def _is_only(error, types):
    """Return whether an error, or all of a group, is of some types."""
    if isinstance(error, ExceptionGroup):
        return error.split(types)[1] is None
    return isinstance(error, types)
