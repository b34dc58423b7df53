"""An HTTP/1.1 server that runs one task per connection.

The server reads the requests of a connection one after the other, with
their bodies, and passes each as an `Exchange` to a handler. The handler is
cancelled when the caller disconnects. If it returns before its response is
finished, the connection is closed, so that a truncated response never
looks complete.
"""

import logging
import socket
import struct

import h11
import trio

from greengagetrack.connection.http import fields
from greengagetrack.connection.http import framing as framing_module

RECEIVE_BYTES = 65536
BACKLOG = 1024
PIPELINED_MAX_BYTES = 262144
LINGER_S = 0.5
IDLE_SLACK_S = 1.0
SEND_TIMEOUT_S = 10.0

_LINGER_OFF = struct.pack("ii", 0, 0)
_LINGER_RESET = struct.pack("ii", 1, 0)
_Framing = framing_module.Framing

_log = logging.getLogger(__name__)


class Exchange:
    """A request of a caller, with the methods that send its response.

    A response is sent either by `answer` alone, or by `start`, any number
    of calls of `send`, and `finish`. With `Framing.CONNECTION` its end is
    that of the connection, which is reset if the response isn't finished.
    """

    __slots__ = (
        "_connection",
        "_is_closing",
        "body",
        "headers",
        "is_finished",
        "is_started",
        "method",
        "received_s",
        "target",
    )

    def __init__(self, connection, request, body):
        self._connection = connection
        self._is_closing = False
        self.method = bytes(request.method)
        self.target = bytes(request.target)
        self.headers = list(request.headers.raw_items())
        self.body = body
        self.received_s = trio.current_time()
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
        self.is_started = True
        self._connection.begin_body(framing)
        await self._connection.send(self._encode_head(status, headers))

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


# Raised by a send if the caller disconnected or reads nothing.
_DISCONNECT_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


class _RequestError(Exception):
    """A request that can't be read, with the status of its response.

    It is raised and caught within this module and ends the connection.
    """

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class _CallerConnection:
    """A connection of a caller, which serves its requests in order."""

    __slots__ = (
        "_is_body_ended_by_close",
        "_server",
        "_stream",
        "protocol",
        "request_count",
    )

    def __init__(self, server, stream):
        self._server = server
        self._stream = stream
        self._is_body_ended_by_close = False
        self.protocol = self._new_protocol()
        self.request_count = 0

    def _new_protocol(self):
        limits = self._server.get_limits()
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_max_bytes
        )

    def is_draining(self):
        """Return whether the next response closes the connection."""
        return self._server.is_draining

    def begin_body(self, framing):
        """Prepare for a body of unknown length.

        A caller without chunks takes an orderly close for the end of the
        body, so its connection is set to be reset until `end_body`. The
        socket option also holds if this process is killed.
        """
        if framing is _Framing.CONNECTION:
            # This is how h11 is told not to use chunks.
            self.protocol.their_http_version = b"1.0"
        if self.protocol.their_http_version < b"1.1":
            self._is_body_ended_by_close = True
            self._set_linger(_LINGER_RESET)

    async def end_body(self):
        """Send an EOF if that is the end of the body."""
        if self._is_body_ended_by_close:
            self._set_linger(_LINGER_OFF)
            await self._stream.send_eof()

    def _set_linger(self, value):
        self._stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, value
        )

    async def _wait_for_close(self):
        """Wait until the caller has closed its side as well.

        Closing with unread bytes would reset the connection before the
        caller has read the response.
        """
        with trio.move_on_after(LINGER_S):
            while await self._stream.receive_some(RECEIVE_BYTES):
                pass

    async def send(self, data):
        """Send bytes; raise `TooSlowError` if the caller reads too slowly."""
        with trio.fail_after(SEND_TIMEOUT_S):
            await self._stream.send_all(data)

    async def serve(self):
        """Serve requests until the connection closes."""
        try:
            while await self._serve_next():
                self.protocol.start_next_cycle()
        except _RequestError as error:
            await self._send_error_response(error.status)
        except _DISCONNECT_ERRORS:
            # The caller disconnected, and its handler was cancelled.
            pass

    async def _serve_next(self):
        """Serve one request; return whether the connection is reusable."""
        request = await self._read_head()
        if request is None:
            return False
        body = await self._read_body()
        exchange = Exchange(self, request, body)
        self.request_count += 1
        self._server.in_progress += 1
        try:
            await self._run_handler(exchange)
        finally:
            self._server.in_progress -= 1
        if not exchange.is_finished:
            return False
        if self._is_body_ended_by_close:
            await self._wait_for_close()
            return False
        if self.protocol.our_state is not h11.DONE:
            return False
        return self.protocol.their_state is h11.DONE

    async def _run_handler(self, exchange):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, nursery.cancel_scope
            )
            try:
                await self._server.handle(exchange)
            except* _DISCONNECT_ERRORS:
                # Caught inside the nursery, which would wrap it in an
                # exception group. The unfinished response then closes the
                # connection.
                pass
            nursery.cancel_scope.cancel()

    async def _cancel_on_disconnect(self, scope):
        """Cancel the handler when the caller disconnects."""
        buffered_bytes = 0
        while buffered_bytes < PIPELINED_MAX_BYTES:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            # Pipelined requests are buffered until this one is answered.
            buffered_bytes += len(data)
            self.protocol.receive_data(data)

    async def _read_head(self):
        """Return the head of the next request, or None if there is none."""
        event = self._next_event()
        if event is h11.NEED_DATA and not self._has_buffered_data():
            if not await self._wait_for_request():
                return None
            event = self._next_event()
        limits = self._server.get_limits()
        with trio.move_on_after(limits.header_timeout_s):
            while event is h11.NEED_DATA:
                if not await self._receive_data():
                    return None
                event = self._next_event()
        if event is h11.NEED_DATA:
            raise _RequestError(408)
        if not isinstance(event, h11.Request):
            return None
        self._check_head(event, limits)
        return event

    def _has_buffered_data(self):
        return bool(self.protocol.trailing_data[0])

    async def _wait_for_request(self):
        """Wait for data; return whether any came before the idle timeout.

        The timeout is read repeatedly, since a new catalog may change it.
        """
        start_s = trio.current_time()
        while True:
            timeout_s = self._server.get_limits().idle_timeout_s + IDLE_SLACK_S
            remaining_s = start_s + timeout_s - trio.current_time()
            if remaining_s <= 0 or self._server.is_closing:
                return False
            with trio.move_on_after(min(remaining_s, IDLE_SLACK_S)):
                return await self._receive_data()

    async def _receive_data(self):
        data = await self._stream.receive_some(RECEIVE_BYTES)
        self.protocol.receive_data(data)
        return bool(data)

    def _next_event(self):
        try:
            return self.protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise _RequestError(error.error_status_hint) from None

    def _check_head(self, request, limits):
        headers = list(request.headers)
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size + len(request.target) > limits.header_max_bytes:
            raise _RequestError(431)
        if not request.target.startswith(b"/"):
            raise _RequestError(400)
        lengths = fields.get_values(headers, b"content-length")
        # Both framings in one message allow request smuggling.
        if lengths and fields.get_values(headers, b"transfer-encoding"):
            raise _RequestError(400)
        if lengths and int(lengths[0]) > limits.body_max_bytes:
            raise _RequestError(413)

    async def _read_body(self):
        limits = self._server.get_limits()
        if self.protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self.send(self.protocol.send(informational))
        parts = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > limits.body_max_bytes:
                    raise _RequestError(413)
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            elif event is h11.NEED_DATA:
                with trio.move_on_after(limits.idle_timeout_s) as scope:
                    await self._receive_data()
                if scope.cancelled_caught:
                    raise _RequestError(408)
            else:
                raise trio.BrokenResourceError(
                    "caller disconnected within the request body"
                )

    async def _send_error_response(self, status):
        """Send an error response and EOF, unless a response was begun."""
        _log.info(
            "request rejected by the HTTP server",
            extra={"decision": "refuse", "status": status},
        )
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = h11.Response(
            status_code=status,
            headers=[(b"Content-Length", b"0"), (b"Connection", b"close")],
        )
        data = self.protocol.send(response)
        data += self.protocol.send(h11.EndOfMessage())
        with trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_all(data)
                await self._stream.send_eof()
                await self._wait_for_close()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return


class Server:
    """A server that accepts callers at one address."""

    __slots__ = (
        "_address",
        "get_limits",
        "handle",
        "in_progress",
        "is_closing",
        "is_draining",
    )

    def __init__(self, address, handle, get_limits):
        self._address = address
        self.handle = handle
        self.get_limits = get_limits
        self.in_progress = 0
        self.is_draining = False
        self.is_closing = False

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        host, _separator, port = self._address.rpartition(":")
        listeners = await trio.open_tcp_listeners(
            int(port), host=host, backlog=BACKLOG
        )
        await trio.serve_listeners(
            self.serve_connection, listeners, task_status=task_status
        )

    async def serve_connection(self, stream):
        """Serve the requests of one connection until it closes."""
        try:
            await _CallerConnection(self, stream).serve()
        finally:
            stream.socket.close()


def new_server(address, handle, get_limits):
    """Return a server that awaits `handle` for each `Exchange`.

    `get_limits()` returns the `catalog.CallerLimits` in force.
    """
    return Server(address, handle, get_limits)
