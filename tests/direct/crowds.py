"""Crowds of callers that send what a well-behaved one wouldn't.

A crowd is bounded: each caller opens one connection, sends what its script
says, and keeps the connection open until the crowd ends.
"""

import trio

from bench.soak import raw_client
from bench.standins import site as site_module
from greengagetrack.platform import names

BODY_BYTES = 4 * 1024 * 1024
OVERSIZED_BYTES = 64 * 1024 * 1024
PIECE_BYTES = 64 * 1024
REQUESTS_AHEAD = 20_000
# A caller gives up what it couldn't send by then.
SEND_MAX_S = 4.0

_PIECE = b"x" * PIECE_BYTES
_CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, _PIECE)


def new_head(framing, path=b"/order/1"):
    """Return the head of a proper request, with the fields of a body."""
    fields = [
        (b"Host", b"site.example"),
        (names.REQUEST_ID, b"crowd"),
        (names.API_KEY, b"key-1"),
        (names.DEADLINE_MS, b"2500"),
        *framing,
    ]
    lines = [b"POST %b HTTP/1.1" % path, *(b"%b: %b" % f for f in fields)]
    return b"\r\n".join([*lines, b"", b""])


class Caller:
    """A caller of a crowd; a subclass says what it sends."""

    def __init__(self, stream):
        self._stream = stream

    async def send(self):
        """Send all, or as much as the entry takes."""
        raise NotImplementedError

    async def _send_pieces(self, piece, size):
        for _piece in range(size // PIECE_BYTES):
            await self._stream.send_all(piece)


class AnnouncedBody(Caller):
    """Announces a body of legal size and stops one byte before its end."""

    async def send(self):
        """Send the body but for its last byte."""
        length = [(b"Content-Length", b"%d" % BODY_BYTES)]
        await self._stream.send_all(new_head(length))
        await self._send_pieces(_PIECE, BODY_BYTES - PIECE_BYTES)
        await self._stream.send_all(_PIECE[1:])


class ChunkedBody(Caller):
    """Sends a legal body in chunks and stops one byte before its end."""

    async def send(self):
        """Send the body but for the last byte of its last chunk."""
        chunked = [(b"Transfer-Encoding", b"chunked")]
        await self._stream.send_all(new_head(chunked))
        await self._send_pieces(_CHUNK, BODY_BYTES - PIECE_BYTES)
        await self._stream.send_all(_CHUNK[:-3])


class WholeBody(Caller):
    """Sends a request of legal size to its end."""

    async def send(self):
        """Send the whole request."""
        length = [(b"Content-Length", b"%d" % BODY_BYTES)]
        await self._stream.send_all(new_head(length))
        await self._send_pieces(_PIECE, BODY_BYTES)


class WholeChunkedBody(Caller):
    """Sends a request of legal size in chunks."""

    async def send(self):
        """Send the whole request."""
        chunked = [(b"Transfer-Encoding", b"chunked")]
        await self._stream.send_all(new_head(chunked))
        await self._send_pieces(_CHUNK, BODY_BYTES)
        await self._stream.send_all(b"0\r\n\r\n")


class OversizedAnnouncedBody(Caller):
    """Announces a body far over the limit and sends it."""

    async def send(self):
        """Send the request until the connection breaks."""
        length = [(b"Content-Length", b"%d" % OVERSIZED_BYTES)]
        await self._stream.send_all(new_head(length))
        await self._send_pieces(_PIECE, OVERSIZED_BYTES)


class OversizedChunkedBody(Caller):
    """Sends a body far over the limit in chunks."""

    async def send(self):
        """Send the request until the connection breaks."""
        chunked = [(b"Transfer-Encoding", b"chunked")]
        await self._stream.send_all(new_head(chunked))
        await self._send_pieces(_CHUNK, OVERSIZED_BYTES)


class RequestsAhead(Caller):
    """Sends requests ahead and reads no answer."""

    _path = b"/order/1"

    async def send(self):
        """Send all requests."""
        request = new_head([(b"Content-Length", b"0")], self._path)
        for _part in range(100):
            await self._stream.send_all(request * (REQUESTS_AHEAD // 100))


class ChecksAhead(RequestsAhead):
    """Sends readiness checks ahead and reads no answer."""

    _path = names.READY_PATH


class UnfinishedHead(Caller):
    """Begins a head of legal size and doesn't end it."""

    async def send(self):
        """Send 15 KiB of a head."""
        fields = [(b"X-%d" % number, b"x" * 100) for number in range(140)]
        await self._stream.send_all(new_head(fields)[:-2])


class ManyFields(Caller):
    """Sends a head of legal size that is all fields, and half a body."""

    async def send(self):
        """Send the request but for its last byte."""
        fields = [(b"a", b"")] * 2500
        head = new_head([*fields, (b"Content-Length", b"10")])
        await self._stream.send_all(head + b"123456789")


class IdleConnection(Caller):
    """Opens a connection and sends nothing."""

    async def send(self):
        """Send nothing."""


class Crowd:
    """Callers of one kind at one address of an entry."""

    def __init__(self, nursery, new_caller, address, size):
        self._nursery = nursery
        self._new_caller = new_caller
        self._address = address
        self._left = size
        self._has_sent_all = trio.Event()
        for _caller in range(size):
            nursery.start_soon(self._run_caller)

    async def _run_caller(self):
        with trio.move_on_after(SEND_MAX_S):
            try:
                stream = await raw_client.open_stream(self._address)
                # It stays open until the end of the test.
                self._nursery.start_soon(_keep_open, stream)
                await self._new_caller(stream).send()
            except (OSError, trio.BrokenResourceError):
                # Refused or closed by the entry, as it may.
                pass
        self._left -= 1
        if not self._left:
            self._has_sent_all.set()

    async def wait(self):
        """Wait until each caller has sent all it could."""
        await self._has_sent_all.wait()


async def _keep_open(stream):
    async with stream:
        await trio.sleep_forever()


async def ask(nursery, address, path, request_id):
    """Return the status of an ordinary request, 0 if it got no answer."""
    consumer = site_module.Consumer(nursery, address)
    method = b"GET" if path == names.READY_PATH.decode() else b"POST"
    status, _headers, _body = await consumer.send(path, request_id, method)
    return status
