"""What an agent needs of its backend server, whatever its protocol."""

import abc

import msgspec

from greengagetrack.request import outcome


class Call(msgspec.Struct, frozen=True):
    """One call of a backend server.

    `payload` is JSON. `resume_from` counts the tokens that the caller
    already has. `budget_s` is the time left.
    """

    call_id: str
    payload: bytes
    budget_s: float
    priority: int = 0
    resume_from: int = 0


class Tokens(msgspec.Struct, frozen=True):
    """Tokens that an engine generated, in order."""

    tokens: list[str]


class Result(msgspec.Struct, frozen=True):
    """The whole result of a call, JSON, and what it cost."""

    result: bytes
    engine_ms: float = 0.0
    reused_tokens: int = 0


class Failure(msgspec.Struct, frozen=True):
    """The call gave no result; `ran` says whether it may have run."""

    reason: outcome.Reason
    ran: outcome.Ran
    detail: str = ""
    retry_after_ms: int = 0


class BackendLoad(msgspec.Struct, frozen=True):
    """What the backend server reports of itself."""

    slots: int = 1
    running: int = 0
    is_leaving: bool = False
    model: str = ""
    fencing: int = 0


class LoadLate(msgspec.Struct, frozen=True):
    """The backend server is there, but its report did not come in time."""


class Backend(abc.ABC):
    """The one connection to a backend server."""

    @abc.abstractmethod
    def run(self, call):
        """Return an asynchronous iterator over the events of `call`.

        It yields `Tokens` any number of times, then one `Result` or one
        `Failure`.
        """

    @abc.abstractmethod
    async def get_load(self):
        """Return the `BackendLoad`, `LoadLate`, or None if it is down."""

    @abc.abstractmethod
    async def load_model(self, model, fencing):
        """Order the engine to load `model`; return whether it agreed."""

    async def close(self):
        """Let go of what the connection holds."""
        return None
