"""A minimal HTTP/1.1 server and client that control each byte sent."""

import asyncio
import socket
import struct

HEAD_MAX_BYTES = 65536
LINGER_RESET = struct.pack("ii", 1, 0)
REASON_BY_STATUS = {
    200: "OK",
    404: "Not Found",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class BrokenChannelError(Exception):
    """The peer closed or reset the channel before a message was complete."""


class Message:
    """A request or a response: its first line, headers and body."""

    def __init__(self, first_line, headers):
        self.first_line = first_line
        self.headers = headers
        self.body = b""

    def get(self, name, default=None):
        """Return the value of a header field, named in lowercase."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return a `Message` without its body, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenChannelError("closed within a head") from None
        return None
    except OSError as error:
        raise BrokenChannelError(str(error)) from None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _separator, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_parts(reader, message, is_response):
    """Yield the parts of a body; raise `BrokenChannelError` if cut off."""
    try:
        if message.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                yield await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif message.get("content-length") is not None:
            size = int(message.get("content-length"))
            if size:
                yield await reader.readexactly(size)
        elif is_response:
            while part := await reader.read(HEAD_MAX_BYTES):
                yield part
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise BrokenChannelError(f"body cut off: {error}") from None


class Channel:
    """A channel that a stand-in server has accepted."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.state = {}

    async def send(self, data):
        """Send bytes."""
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError as error:
            raise BrokenChannelError(str(error)) from None

    async def answer(self, status, headers=(), body=b""):
        """Send a whole response; return its bytes."""
        data = new_response(status, headers, body)
        await self.send(data)
        return data

    def reset(self):
        """Reset the channel, as a process that crashes does."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.transport.abort()


def new_response(status, headers=(), body=b"", length=True):
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} {REASON_BY_STATUS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def new_chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class Server:
    """A server on loopback that passes each request to a handler."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._channels = set()
        self.address = ""

    async def start(self, address="127.0.0.1:0"):
        """Listen at an address."""
        host, _separator, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        channel = Channel(reader, writer)
        self._channels.add(channel)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                async for part in read_parts(reader, request, False):
                    request.body += part
                await self._handle(channel, request)
        except (BrokenChannelError, ConnectionError):
            return
        finally:
            self._channels.discard(channel)
            writer.close()

    def crash(self):
        """Stop to listen and reset all channels."""
        self._server.close()
        for channel in list(self._channels):
            channel.reset()


class Answer:
    """What a consumer got: `error` says why an answer is incomplete."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.error = ""

    @property
    def is_whole(self):
        """Whether a complete answer came."""
        return bool(self.status) and not self.error


class Client:
    """A consumer's channel, kept for several requests."""

    def __init__(self, address):
        self.address = address
        self._reader = None
        self._writer = None
        self.requests = 0

    async def send(self, method, path, headers=(), body=b"", timeout_s=20.0):
        """Send a request; return its `Answer`."""
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                await self._send(answer, method, path, headers, body)
        except TimeoutError:
            answer.error = "no whole answer in time"
        except (BrokenChannelError, OSError) as error:
            answer.error = f"{type(error).__name__}: {error}"
        if answer.error or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _send(self, answer, method, path, headers, body):
        if self._writer is None:
            host, _separator, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        self.requests += 1
        self._writer.write(data)
        await self._writer.drain()
        response = await read_head(self._reader)
        if response is None:
            raise BrokenChannelError("closed without an answer")
        answer.status = int(response.first_line.split()[1])
        answer.headers = response.headers
        async for part in read_parts(self._reader, response, True):
            answer.body += part

    def close(self):
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
