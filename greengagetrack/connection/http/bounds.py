"""What the connections of callers may take of a process, all together.

A server asks `ConnectionBounds` for a `ConnectionShare` of each connection
that it accepts. Before it reads more than `FREE_BYTES` of a request into
memory, it takes room from the share, and gives it back after the answer.
"""

import abc
import enum

import trio

# Of a connection: its objects, a head and a small body are not counted.
FREE_BYTES = 32 * 1024
# The objects of a field of a head beside its text, as read and as passed on.
FIELD_BYTES = 512
# Reading fewer bytes than this doesn't count as progress.
PROGRESS_BYTES = 16 * 1024


class Wait(enum.Enum):
    """What a connection waits for while it can be closed."""

    REQUEST = enum.auto()
    BODY = enum.auto()
    READER = enum.auto()


class Cause(enum.StrEnum):
    """Why a connection was closed for the sake of the others."""

    NO_ROOM = "no_room"
    TOO_MANY = "too_many"


class ConnectionShare:
    """The share of one connection: its bytes, and what it waits for.

    `shed_for` is the `Cause` once the connection has to close. It then
    wakes from what it waits for::

        with share.wait_for(Wait.BODY, timeout_s) as scope:
            await receive()
        if share.shed_for is not None:
            await refuse()
    """

    __slots__ = ("_progress", "_scope", "moved_s", "shed_for", "size", "wait")

    def __init__(self):
        self._progress = 0
        self._scope = None
        self.moved_s = trio.current_time()
        self.shed_for = None
        self.size = 0
        self.wait = None

    def wait_for(self, wait, timeout_s):
        """Return the scope of one wait, which ends after `timeout_s`."""
        self.wait = wait
        self._scope = trio.move_on_after(timeout_s)
        return self._scope

    def end_wait(self):
        """Record that the connection can't be closed from now on."""
        self.wait = None
        self._scope = None

    def record_moved(self, size):
        """Record that bytes were received or sent."""
        self._progress += size
        if self._progress >= PROGRESS_BYTES:
            self.restart_clock()

    def restart_clock(self):
        """Count the time without progress from now on."""
        self._progress = 0
        self.moved_s = trio.current_time()

    def end_after_answer(self, cause):
        """Let the connection close, but for an answer that is under way."""
        self.shed_for = cause

    def shed(self, cause):
        """Let the connection close."""
        self.shed_for = cause
        if self._scope is not None:
            self._scope.cancel()

    def resize(self, size):
        """Set the bytes that are counted; return whether there is room."""
        return True

    def begin_request(self):
        """Record that the head of a request was read."""

    def end_request(self, buffered_bytes):
        """Record that the answer was sent, and give room back.

        `buffered_bytes` were received ahead and are still held.
        """


class ConnectionBounds(abc.ABC):
    """The bounds of a process, or of one of its servers."""

    # Of the socket of a connection; None for the default of the system.
    receive_buffer_bytes = None
    # Whether a caller may send requests before it has the last answer.
    allows_pipelining = True

    @abc.abstractmethod
    def open(self):
        """Return the `ConnectionShare` of a new connection.

        Return None if the connection has to be closed.
        """

    @abc.abstractmethod
    def close(self, share):
        """Record that a connection has ended."""


class Unbounded(ConnectionBounds):
    """Bounds that hold nothing back, for servers with known callers."""

    def open(self):
        """Return a share that always has room."""
        return ConnectionShare()

    def close(self, share):
        """Record nothing."""
