"""A request of a caller, and how its response is sent."""

import h11
import trio

from greengagetrack.connection.http import framing as framing_module

_Framing = framing_module.Framing


class Exchange:
    """A request of a caller, with the methods that send its response.

    A response is sent either by `answer` alone, or by `start`, any number
    of calls of `send`, and `finish`. With `Framing.CONNECTION` its end is
    that of the connection, which is reset if the response isn't finished.

    `request_id` names the request in logs, and `is_passed_on` says that it
    may have been sent to a backend server; both are set by the handler.
    """

    __slots__ = (
        "_connection",
        "body",
        "headers",
        "is_finished",
        "is_passed_on",
        "is_started",
        "method",
        "received_s",
        "request_id",
        "target",
    )

    def __init__(self, connection, request, body):
        self._connection = connection
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.headers = list(request.headers.raw_items())
        self.body = body
        self.received_s = trio.current_time()
        self.request_id = ""
        self.is_passed_on = False
        self.is_started = False
        self.is_finished = False

    async def answer(self, status, headers, body=b"", framing=_Framing.LENGTH):
        """Send a complete response."""
        if framing is _Framing.CONNECTION:
            await self.start(status, headers, framing)
            await self.send(body)
            await self.finish()
            return
        length = [(b"Content-Length", b"%d" % len(body))]
        data = self._encode_head(status, list(headers) + length)
        protocol = self._connection.protocol
        if body and self.method != b"HEAD":
            data += protocol.send(h11.Data(data=body))
        self.is_started = True
        await self._connection.send(data + protocol.send(h11.EndOfMessage()))
        self.is_finished = True

    async def start(self, status, headers, framing=_Framing.CHUNKS):
        """Send the head of a response of unknown length."""
        # Without Content-Length, h11 uses chunked transfer encoding.
        self._connection.begin_body(framing)
        head = self._encode_head(status, headers)
        self.is_started = True
        await self._connection.send(head)

    async def send(self, data):
        """Send a part of the body."""
        event = h11.Data(data=data)
        await self._connection.send(self._connection.protocol.send(event))

    async def finish(self):
        """Send the end of the body, which completes the response."""
        event = h11.EndOfMessage()
        await self._connection.send(self._connection.protocol.send(event))
        await self._connection.end_body()
        self.is_finished = True

    def _encode_head(self, status, headers):
        if self._connection.is_draining():
            headers = list(headers) + [(b"Connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return self._connection.protocol.send(response)
