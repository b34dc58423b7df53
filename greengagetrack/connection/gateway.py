"""The interface to backend servers for an entry in direct mode."""

import abc
import enum

import msgspec

from greengagetrack.connection.http import framing
from greengagetrack.request import outcome


class Server(msgspec.Struct, frozen=True):
    """One published backend server.

    `incarnation` changes when the server restarts under the same id.
    `software_version` is that of its program: what two versions write does
    not fit into one stream. `warming_left_s` is how much longer the server
    said that it is warming, when it published its record.
    """

    server_id: str
    service: str
    address: str
    data_centre: str
    slots: int = 1
    is_leaving: bool = False
    incarnation: int = 0
    software_version: str = ""
    warming_left_s: float = 0.0


class ServerRequest(msgspec.Struct, frozen=True):
    """A caller's request as it is sent to one backend server.

    `headers` are the forwarded headers of the caller. `left_ms` is the
    time that the server may take. `resume_after` is the id of the last event
    that the caller has received, if a stream is resumed. With a `check`, it
    is only sent if `await check(opened_s)` allows a connection that was
    opened at that time; else the call fails and has not run.
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
    check: object = None


class ConnectionUse(msgspec.Struct, frozen=True):
    """The connection that a request was sent over.

    `connection` is its number in this process, 0 if nothing was sent.
    `request` is the number of the request on it, 1 for the first one.
    """

    connection: int = 0
    request: int = 0


class Failure(msgspec.Struct, frozen=True):
    """A call that returned no usable answer.

    `is_connection_failure` means that the server could not be connected to
    or had closed an idle connection, `is_other_server` that another server
    answers at its address, and `is_missing_version` that the server may not
    have the version that the caller names, which is no fault of it. With
    `is_full` the server says itself that all of its places are taken.
    """

    reason: outcome.Reason
    ran: outcome.Ran
    detail: str = ""
    is_connection_failure: bool = False
    is_other_server: bool = False
    is_missing_version: bool = False
    is_full: bool = False
    connection_use: ConnectionUse = ConnectionUse()

    def is_unreachable(self):
        """Return whether the server is possibly unreachable."""
        is_silent = self.reason is outcome.Reason.AGENT_SILENT
        return self.is_connection_failure or self.is_other_server or is_silent


class OtherServer(msgspec.Struct, frozen=True):
    """The reply to a question that another server has answered.

    The server that was asked has ended then: this one has its address.
    """


class Claim(enum.StrEnum):
    """What an answer says of whether its request ran.

    Only `NOT_RUN` proves that it did not. An `UNMARKED` answer has a status
    by which a caller would understand that, but which proves nothing. An
    `UNNAMED` one doesn't repeat the id of its request, though the answers
    before it on its connection did: it may belong to none.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    UNMARKED = "unmarked"
    UNNAMED = "unnamed"


class Answer(abc.ABC):
    """The answer of a backend server, after its head was received.

    `opened_s` is when the connection that it came over was opened.
    """

    status: int
    claim: Claim
    connection_use: ConnectionUse
    headers: list
    framing: framing.Framing
    is_other_server: bool
    is_missing_version: bool
    is_input_gone: bool
    is_events: bool
    opened_s: float

    @abc.abstractmethod
    async def receive_part(self):
        """Return bytes, None after a complete body, or a `Failure`."""

    @abc.abstractmethod
    def find_end_problem(self):
        """Return what speaks against the end of an ended answer, or ""."""

    @abc.abstractmethod
    def finish(self):
        """End the call; an incomplete answer is cancelled."""


class PieceFailure(enum.StrEnum):
    """The reason why a piece of a stage was not made."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    NO_SERVER = "no_server"
    NOT_TAKEN = "not_taken"
    ERROR = "error"


class Piece(msgspec.Struct, frozen=True):
    """One piece of a stage, made from a key or from earlier results."""

    request_id: str
    stage: int
    number: int
    left_ms: int
    key: str = ""
    inputs: tuple[str, ...] | None = None


class ServerLoad(msgspec.Struct, frozen=True):
    """The load that a server tells in an answer.

    `pace` is how long work takes there now, against the usual time.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0

    def is_full(self):
        """Return whether calls wait for those that run."""
        return self.running >= self.slots and self.waiting > 0


class ServerObserver(abc.ABC):
    """Is told what servers say of themselves in their answers."""

    @abc.abstractmethod
    def record_leaving(self, published):
        """Record that a server says itself that it is leaving."""

    @abc.abstractmethod
    def record_pause(self, published, pause_s):
        """Record that a server wants no requests for `pause_s`."""

    @abc.abstractmethod
    def record_limit(self, published, limit_per_s):
        """Record the requests per second that a server takes from all.

        `limit_per_s` is None if the answer names no limit.
        """

    @abc.abstractmethod
    def record_warming(self, published, left_s):
        """Record that a server says it is warming for `left_s` longer."""

    @abc.abstractmethod
    def record_load(self, published, load, sent_s):
        """Record the `ServerLoad` in the answer to what was sent then."""


class Gateway(abc.ABC):
    """A client of backend servers; implementations add the protocol."""

    @abc.abstractmethod
    def set_observer(self, observer):
        """Set the `ServerObserver` of all answers."""

    @abc.abstractmethod
    async def open_answer(self, server, request):
        """Send a `ServerRequest`; return its `Answer` or a `Failure`."""

    @abc.abstractmethod
    async def ask_incarnation(self, server):
        """Return the incarnation that a server says it is, or a `Failure`.

        None if it doesn't say it, `OtherServer` if another one answers.
        """

    @abc.abstractmethod
    async def run_pieces(self, server, pieces):
        """Make pieces in one call.

        Return a handle or a `PieceFailure` for each, or a `Failure`.
        """

    @abc.abstractmethod
    async def free_results(self, address, handles):
        """Free results at `address`; return whether the server confirms."""

    @abc.abstractmethod
    async def is_refusing(self, server):
        """Return whether a server refuses connections, as after a crash."""

    @abc.abstractmethod
    def drop_connections(self, server):
        """Close the idle connections to a server that was removed."""
