"""What an entry needs of backend servers that it calls itself."""

import abc
import enum

import msgspec

from greengagetrack.request import outcome


class Server(msgspec.Struct, frozen=True):
    """One backend server as it was published.

    `incarnation` changes when the server restarts under the same id.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int = 1
    is_leaving: bool = False
    incarnation: int = 0


class ServerRequest(msgspec.Struct, frozen=True):
    """A caller's request as it goes to one backend server.

    `headers` are the caller's, those that are passed on. `left_ms` is
    how long the server may work. `resume_after` is the id of the last
    event that the caller has, where a stream goes on.
    """

    request_id: bytes
    method: bytes
    target: bytes
    headers: list
    body: bytes
    left_ms: int
    organisation: str | None = None
    priority: int | None = None
    inputs: tuple[str, ...] = ()
    resume_after: bytes | None = None
    needs_fresh_connection: bool = False


class Failure(msgspec.Struct, frozen=True):
    """A call that gave no usable answer.

    `is_server_gone` says that the server itself could not be reached,
    `is_other_server` that another one answers at its address.
    """

    reason: outcome.Reason
    ran: outcome.Ran
    detail: str = ""
    is_server_gone: bool = False
    is_other_server: bool = False

    def is_unreachable(self):
        """Return whether the server may not be there at all."""
        is_silent = self.reason is outcome.Reason.AGENT_SILENT
        return self.is_server_gone or self.is_other_server or is_silent


class Answer(abc.ABC):
    """The answer of a backend server, as far as it has come."""

    status: int
    headers: list
    is_not_run: bool
    is_other_server: bool
    is_input_gone: bool
    is_events: bool

    @abc.abstractmethod
    async def receive_part(self):
        """Return bytes, None at the whole end, or a `Failure`."""

    @abc.abstractmethod
    def finish(self):
        """Let go; the work stops if the answer is not whole yet."""


class PieceFailure(enum.StrEnum):
    """Why a piece of a stage was not made."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    NO_SERVER = "no_server"
    NOT_TAKEN = "not_taken"
    ERROR = "error"


class Piece(msgspec.Struct, frozen=True):
    """One piece of a stage: from a key, or from the results before it."""

    request_id: str
    stage: int
    number: int
    left_ms: int
    key: str = ""
    inputs: tuple[str, ...] | None = None


class Gateway(abc.ABC):
    """Calls backend servers; the protocol is the implementation's."""

    @abc.abstractmethod
    async def open_answer(self, server, request):
        """Send a `ServerRequest`; return its `Answer` or a `Failure`."""

    @abc.abstractmethod
    async def run_pieces(self, server, pieces):
        """Return a handle or a `PieceFailure` for each, or a `Failure`."""

    @abc.abstractmethod
    async def free_results(self, address, handles):
        """Tell the maker at `address` that its results are not needed."""

    @abc.abstractmethod
    def forget_server(self, server):
        """Close what is kept for a server that is gone."""
