"""A persistent connection to a server."""

import fcntl
import os
import socket
import struct
import termios

import trio

from greengagetrack.connection import answer_end
from greengagetrack.connection.http import matching

DEFAULT_IDLE_MAX_S = 4.0
# More ids on one connection would take memory without end.
CARRIED_IDS_MAX = 1024
TCP_USER_TIMEOUT_MS = 1500


class Connection:
    """A connection to a server, with its idle time and request count.

    Only requests of one `lane` are sent over it. `number` tells it from the
    other connections of this process.

    It carries no two requests with the same id: the server may write the
    answer to the first one once more, which would be taken for the answer to
    the second. The same holds for a request with the id of an answer that
    was skipped.
    """

    __slots__ = (
        "_carried_digests",
        "address",
        "idle_max_s",
        "idle_since_s",
        "lane",
        "matcher",
        "number",
        "opened_s",
        "request_count",
        "stream",
    )

    def __init__(self, number, address, lane, stream):
        self.number = number
        self.address = address
        self.lane = lane
        self.stream = stream
        self.matcher = matching.new_matcher()
        self.opened_s = self.idle_since_s = trio.current_time()
        self.idle_max_s = DEFAULT_IDLE_MAX_S
        self.request_count = 0
        self._carried_digests = set()

    def has_carried(self, request_id):
        """Return whether it may have carried this id.

        An empty one, of a caller that names none, is that of no request: the
        response to it is told by nothing but being the first.
        """
        if request_id == b"":
            return self.request_count > 0
        return hash(request_id) in self._carried_digests

    def record_request(self, request_id):
        """Record that a request is sent over it; its id may be None."""
        self.request_count += 1
        if request_id is not None:
            self.record_id(request_id)

    def record_id(self, request_id):
        """Record that a request or a response over it has this id."""
        # Callers choose the ids, and their lengths.
        self._carried_digests.add(hash(request_id))

    @property
    def is_worn_out(self):
        """Whether it has carried as many ids as it may."""
        return len(self._carried_digests) >= CARRIED_IDS_MAX

    def is_usable(self, idle_max_s):
        """Return whether another request may be sent over it."""
        idle_s = trio.current_time() - self.idle_since_s
        if idle_s > min(self.idle_max_s, idle_max_s):
            return False
        # Data or an EOF that arrives between requests belongs to none of
        # them, so the connection can't be reused.
        return not self.is_readable()

    def is_readable(self):
        """Return whether data or an EOF has arrived."""
        return self.stream.socket.is_readable()

    def read_sending(self, is_written):
        """Return the `Sending` of a request, at the end of its answer.

        An answer that comes after the server has read the request
        acknowledges all of it. The system tells an error once, here or to a
        task that reads or writes.
        """
        if not is_written:
            # The connection may be closed already.
            return answer_end.Sending(is_written)
        return answer_end.Sending(
            is_written, self._get_unacknowledged_bytes(), self._take_error()
        )

    def _get_unacknowledged_bytes(self):
        """Return the bytes that the system keeps, 0 if it can't tell."""
        try:
            size = fcntl.ioctl(
                self.stream.socket.fileno(),
                termios.TIOCOUTQ,
                struct.pack("i", 0),
            )
        except OSError:
            return 0
        return struct.unpack("i", size)[0]

    def _take_error(self):
        code = self.stream.socket.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )
        return os.strerror(code) if code else ""

    def close(self):
        """Close the socket at once, without a graceful shutdown."""
        self.stream.socket.close()


async def open_stream(host, port):
    """Return a connected TCP stream that fails if the peer is silent."""
    tcp_socket = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    is_open = False
    try:
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        await tcp_socket.connect((host, port))
        is_open = True
    finally:
        if not is_open:
            tcp_socket.close()
    return trio.SocketStream(tcp_socket)
