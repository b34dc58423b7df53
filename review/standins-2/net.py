"""A small HTTP/1.1 server and client for stand-ins, of the library alone.

Every address is one of loopback. A server passes each request to a handler
with a `Reply`; a client keeps one connection.
"""

import asyncio
import socket

HEAD_MAX_BYTES = 1024 * 1024


class Request:
    """One request as it came: a head and a whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        """Return the first value of a field."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class Reply:
    """Writes the answer to one request."""

    def __init__(self, writer):
        self._writer = writer
        self.is_chunked = False
        self.is_closing = False

    async def whole(self, status, headers, body=b""):
        """Send an answer with a length."""
        head = _format_head(f"HTTP/1.1 {status} X", headers)
        head += f"Content-Length: {len(body)}\r\n\r\n"
        self._writer.write(head.encode("latin-1") + body)
        await self._writer.drain()

    async def begin(self, status, headers):
        """Send the head of an answer in chunks."""
        head = _format_head(f"HTTP/1.1 {status} X", headers)
        head += "Transfer-Encoding: chunked\r\n\r\n"
        self._writer.write(head.encode("latin-1"))
        await self._writer.drain()

    async def part(self, data):
        """Send one chunk."""
        self._writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self._writer.drain()

    async def end(self):
        """Send the end of the chunks."""
        self._writer.write(b"0\r\n\r\n")
        await self._writer.drain()


def _format_head(line, headers):
    lines = [line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines) + "\r\n"


async def read_head(reader):
    """Return the first line and the fields, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


def find(headers, name, default=""):
    """Return the first value of a field."""
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return default


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if "chunked" in find(headers, "transfer-encoding").lower():
        parts = []
        while True:
            part = await read_chunk(reader)
            if not part:
                return b"".join(parts)
            parts.append(part)
    size = int(find(headers, "content-length", "0"))
    return await reader.readexactly(size) if size else b""


async def read_chunk(reader):
    """Return the next chunk, empty at the end of all."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


class Server:
    """Serves requests with `await handle(request, reply)`.

    The work on a request is cancelled when its connection closes.
    """

    def __init__(self, handle, host="127.0.0.1", port=0):
        self._handle = handle
        self._host = host
        self._port = port
        self._server = None
        self._writers = set()
        self.in_hand = 0
        self.address = ""

    async def start(self):
        """Listen, on a free port unless one was named."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=HEAD_MAX_BYTES
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{self._port}"

    def crash(self):
        """Stop to listen and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve_requests(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The loop is about to end.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, headers = head
            method, target, _version = line.split(" ", 2)
            body = await read_body(reader, headers)
            request = Request(method, target, headers, body)
            work = asyncio.ensure_future(self._handle(request, Reply(writer)))
            watch = asyncio.ensure_future(_wait_closed(reader, writer))
            self.in_hand += 1
            await asyncio.wait(
                (work, watch), return_when=asyncio.FIRST_COMPLETED
            )
            self.in_hand -= 1
            watch.cancel()
            if not work.done():
                work.cancel()
                await asyncio.gather(work, return_exceptions=True)
                return
            await work


async def _wait_closed(reader, writer):
    while not (reader.at_eof() or writer.transport.is_closing()):
        await asyncio.sleep(0.02)


class Client:
    """A connection to one address; requests go one after the other."""

    def __init__(self, address, local_host=None):
        self._address = address
        self._local_host = local_host
        self._reader = self._writer = None

    async def open(self):
        """Connect."""
        host, _separator, port = self._address.rpartition(":")
        local = (self._local_host, 0) if self._local_host else None
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port), limit=HEAD_MAX_BYTES, local_addr=local
        )

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def send(self, method, target, headers, body=b""):
        """Send a request."""
        if self._writer is None:
            await self.open()
        head = _format_head(f"{method} {target} HTTP/1.1", headers)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self._writer.write(head.encode("latin-1") + b"\r\n" + body)
        await self._writer.drain()

    async def receive_head(self):
        """Return the status and the fields, status 0 if it closed."""
        head = await read_head(self._reader)
        if head is None:
            return 0, []
        line, headers = head
        return int(line.split(" ")[1]), headers

    async def receive_body(self, headers):
        """Return the whole body."""
        return await read_body(self._reader, headers)

    async def receive_chunk(self):
        """Return the next chunk, empty at the end, None if it broke off."""
        try:
            return await read_chunk(self._reader)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return None

    async def ask(self, method, target, headers, body=b""):
        """Return the status, the fields and the body of one exchange.

        The status is 0 if there was no whole answer.
        """
        try:
            await self.send(method, target, headers, body)
            status, answered = await self.receive_head()
            data = await self.receive_body(answered) if status else b""
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, [], b""
        if not status or "close" in find(answered, "connection").lower():
            self.close()
        return status, answered, data


def find_free_ports(host, count):
    """Return so many ports that are free on an address of loopback."""
    sockets = []
    for _port in range(count):
        probe = socket.socket()
        probe.bind((host, 0))
        sockets.append(probe)
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports
