"""How a request can end, beside the refused and the unknown."""

import msgspec

from greengagetrack.request import outcome as outcome_module


class Relayed(msgspec.Struct, frozen=True):
    """The answer of a backend server reached the caller whole."""

    status: int


class Cut(msgspec.Struct, frozen=True):
    """The answer had begun and could not be completed."""

    reason: outcome_module.Reason
    detail: str = ""


def get_outcome_name(outcome):
    """Return the name of an end; a caller that left has none."""
    return "caller_left" if outcome is None else type(outcome).__name__.lower()
