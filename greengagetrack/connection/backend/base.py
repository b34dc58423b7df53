"""The interface from an agent to its backend server."""

import abc

import msgspec

from greengagetrack.request import outcome


class Call(msgspec.Struct, frozen=True):
    """A call of a backend server.

    `payload` is JSON. `resume_from` is the number of tokens that the caller
    already has. `budget_s` is the remaining time.
    """

    call_id: str
    payload: bytes
    budget_s: float
    priority: int = 0
    resume_from: int = 0


class Tokens(msgspec.Struct, frozen=True):
    """The next tokens that an engine generated."""

    tokens: list[str]


class Result(msgspec.Struct, frozen=True):
    """The complete JSON result of a call, and its cost."""

    result: bytes
    engine_ms: float = 0.0
    reused_tokens: int = 0


class Failure(msgspec.Struct, frozen=True):
    """A call without a result; `ran` tells whether it may have run."""

    reason: outcome.Reason
    ran: outcome.Ran
    detail: str = ""
    retry_after_ms: int = 0


class BackendLoad(msgspec.Struct, frozen=True):
    """The load that the backend server reports."""

    slots: int = 1
    running: int = 0
    is_leaving: bool = False
    model: str = ""
    fencing: int = 0


class LoadTimeout(msgspec.Struct, frozen=True):
    """A load request that a reachable server did not answer in time."""


class Backend(abc.ABC):
    """A connection to one backend server."""

    @abc.abstractmethod
    def run(self, call):
        """Return an asynchronous iterator over the events of `call`.

        It yields `Tokens` any number of times, then one `Result` or one
        `Failure`.
        """

    @abc.abstractmethod
    async def get_load(self):
        """Return the `BackendLoad`, `LoadTimeout`, or None if it is down."""

    @abc.abstractmethod
    async def load_model(self, model, fencing):
        """Make the engine load `model`; return whether it accepted."""

    async def close(self):
        """Release the resources of the connection."""
        return None
