"""Outcomes in direct mode, besides `Refused` and `Unknown`."""

import enum

import msgspec

from greengagetrack.request import outcome as outcome_module


class Relayed(msgspec.Struct, frozen=True):
    """A request whose caller received a server's complete answer."""

    status: int


class Cut(msgspec.Struct, frozen=True):
    """A request whose answer was started but could not be completed."""

    reason: outcome_module.Reason
    detail: str = ""


class AbandonedCause(enum.StrEnum):
    """Why the run of a request ended without a result."""

    CALLER_LEFT = "caller_left"
    CALLER_SLOW = "caller_slow"
    ERROR = "error"


class Abandoned(msgspec.Struct, frozen=True):
    """A request whose run raised an error; it is recorded, not returned.

    `detail` names the type of an error that nobody foresaw.
    """

    cause: AbandonedCause
    detail: str = ""


def get_outcome_name(outcome):
    """Return the name of an outcome; None means that the caller left."""
    if outcome is None:
        return str(AbandonedCause.CALLER_LEFT)
    if isinstance(outcome, Abandoned):
        return str(outcome.cause)
    return type(outcome).__name__.lower()
