"""Outcomes in direct mode, besides `Refused` and `Unknown`."""

import msgspec

from greengagetrack.request import outcome as outcome_module


class Relayed(msgspec.Struct, frozen=True):
    """A request whose caller received a server's complete answer."""

    status: int


class Cut(msgspec.Struct, frozen=True):
    """A request whose answer was started but could not be completed."""

    reason: outcome_module.Reason
    detail: str = ""


def get_outcome_name(outcome):
    """Return the name of an outcome; None means that the caller left."""
    return "caller_left" if outcome is None else type(outcome).__name__.lower()
