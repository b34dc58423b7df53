"""Callers that write requests by themselves, byte by byte."""

import trio

from bench.soak import stop_checker
from bench.standins import site as standin_site

NO_ANSWER = stop_checker.NO_ANSWER


class AnswerReader:
    """Reads whole answers from a connection, one after the other."""

    def __init__(self, stream):
        self._stream = stream
        self._data = b""
        self.is_last = False

    async def read(self):
        """Return the status of the next answer, `NO_ANSWER` if cut."""
        head = await self._read_to(b"\r\n\r\n")
        if not head:
            return NO_ANSWER
        text = head.lower()
        self.is_last = b"connection: close" in text
        status = int(head.split(b" ", 2)[1])
        if b"transfer-encoding: chunked" in text:
            is_whole = await self._read_to(b"\r\n0\r\n\r\n")
        else:
            length = text.partition(b"content-length:")[2].split()[0]
            is_whole = await self._read_bytes(int(length))
        return status if is_whole else NO_ANSWER

    async def _read_to(self, end):
        """Return the data up to and including `end`, empty if cut."""
        while end not in self._data:
            if not await self._receive():
                return b""
        data, end, self._data = self._data.partition(end)
        return data + end

    async def _read_bytes(self, count):
        while len(self._data) < count:
            if not await self._receive():
                return False
        self._data = self._data[count:]
        return True

    async def _receive(self):
        data = await self._stream.receive_some(65536)
        self._data += data
        return bool(data)


async def open_stream(address):
    """Return a TCP stream to an address."""
    host, _separator, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


def encode(head):
    """Return the bytes of a head."""
    lines = [b"%b %b HTTP/1.1" % (head.method, head.target)]
    lines += [b"%b: %b" % field for field in head.headers]
    return b"\r\n".join([*lines, b"", b""])


async def request(pool, address, head):
    """Return the status of a whole answer, else `NO_ANSWER`."""
    status, _headers, _body = await standin_site.send_head(pool, address, head)
    return NO_ANSWER if status == standin_site.NOT_SENT else status
