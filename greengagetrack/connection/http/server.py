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

from greengagetrack.connection import contained_error
from greengagetrack.connection.http import bounds as bounds_module
from greengagetrack.connection.http import closing
from greengagetrack.connection.http import exchange as exchange_module
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import framing as framing_module
from greengagetrack.connection.http import request_reader

BACKLOG = 1024
DISCARD_BYTES = 65536
PIPELINED_BYTES = 16384
PIPELINED_MAX_BYTES = 262144
LINGER_S = 0.5
SEND_BYTES = 32768
SEND_TIMEOUT_S = 10.0
# After it a caller that was refused for want of room may come back.
RETRY_AFTER_S = b"1"

_LINGER_OFF = struct.pack("ii", 0, 0)
_LINGER_RESET = struct.pack("ii", 1, 0)
_Framing = framing_module.Framing
_CloseReason = closing.CloseReason
_Wait = bounds_module.Wait

_log = logging.getLogger(__name__)


# Raised by a send if the caller disconnected or reads nothing.
_DISCONNECT_ERRORS = (
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


class _CallerConnection:
    """A connection of a caller, which serves its requests in order."""

    __slots__ = (
        "_exchange",
        "_has_caller_left",
        "_is_body_ended_by_close",
        "_reader",
        "_server",
        "_share",
        "_stream",
        "protocol",
        "request_count",
    )

    def __init__(self, server, stream, share):
        self._server = server
        self._stream = stream
        self._share = share
        self._exchange = None
        self._has_caller_left = False
        self._is_body_ended_by_close = False
        limits = server.get_limits()
        self.protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_max_bytes
        )
        self._reader = request_reader.RequestReader(
            server, stream, self.protocol, share, self.send
        )
        self.request_count = 0

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
            while await self._stream.receive_some(DISCARD_BYTES):
                pass

    async def send(self, data):
        """Send bytes; raise `TooSlowError` if the caller reads too slowly."""
        share = self._share
        share.restart_clock()
        with share.wait_for(_Wait.READER, SEND_TIMEOUT_S) as scope:
            if len(data) <= SEND_BYTES:
                await self._stream.send_all(data)
            else:
                await self._send_parts(data)
        share.end_wait()
        if scope.cancelled_caught:
            raise trio.TooSlowError

    async def _send_parts(self, data):
        """Send bytes, and tell the parts that the caller has read."""
        with memoryview(data) as view:
            for start in range(0, len(view), SEND_BYTES):
                await self._stream.send_all(view[start : start + SEND_BYTES])
                self._share.restart_clock()

    async def serve(self):
        """Serve requests until the connection closes."""
        # What holds if this task is cancelled.
        reason = _CloseReason.STOPPED
        try:
            reason = await self._serve_requests()
        except Exception:
            reason = _CloseReason.ERROR
            contained_error.record(self._server.observer, "connection")
        finally:
            self._record_close(reason)

    def _record_close(self, reason):
        observer = self._server.observer
        try:
            observer.record_close(self._describe_end(reason))
        except Exception:
            contained_error.record(observer, "connection")

    def _describe_end(self, reason):
        exchange = self._exchange
        if exchange is None:
            return closing.ClosedConnection(reason)
        return closing.ClosedConnection(
            reason,
            exchange.request_id,
            exchange.is_passed_on,
            exchange.is_finished,
        )

    async def _serve_requests(self):
        """Serve requests in order; return why no other one is read."""
        try:
            while True:
                reason = await self._serve_next()
                if reason is not None:
                    return reason
                self.protocol.start_next_cycle()
        except request_reader.RequestError as error:
            status = error.status
        except _DISCONNECT_ERRORS:
            return _CloseReason.CALLER_LEFT
        # Not before the error is gone: its frames hold what was read.
        await self._reject(status)
        if status == request_reader.NO_ROOM_STATUS:
            return self._get_shed_reason()
        return _CloseReason.REQUEST_INVALID

    async def _serve_next(self):
        """Serve one request; return None if the connection is reusable."""
        self._exchange = None
        request = await self._reader.read_head()
        if isinstance(request, _CloseReason):
            return request
        body = await self._reader.read_body(request)
        exchange = exchange_module.Exchange(self, request, body)
        exchange.request_id = self._reader.request_id
        self._exchange = exchange
        self.request_count += 1
        self._server.in_progress += 1
        try:
            reason = await self._run_handler(exchange)
        finally:
            self._server.in_progress -= 1
        if reason is not None:
            return reason
        reason = await self._find_reason_to_close()
        self._reader.end_request()
        return reason

    def _get_shed_reason(self):
        return closing.get_shed_reason(self._share.shed_for)

    async def _find_reason_to_close(self):
        """Return why the connection ends after a whole answer, or None."""
        if self._share.shed_for is not None:
            return self._get_shed_reason()
        if self._is_body_ended_by_close:
            await self._wait_for_close()
            return _CloseReason.NOT_KEPT
        protocol = self.protocol
        if protocol.our_state is protocol.their_state is h11.DONE:
            bounds = self._server.bounds
            if bounds.allows_pipelining or not self._reader.count_buffered():
                return None
        if self.is_draining():
            return _CloseReason.DRAINING
        return _CloseReason.NOT_KEPT

    async def _run_handler(self, exchange):
        """Run the handler; return why its answer isn't whole, or None."""
        reason = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_on_disconnect, nursery.cancel_scope
            )
            # Caught inside the nursery, which would wrap it in an exception
            # group. The unfinished response then closes the connection.
            try:
                await self._server.handle(exchange)
            except* trio.TooSlowError:
                reason = _CloseReason.CALLER_SLOW
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                reason = _CloseReason.CALLER_LEFT
            except* Exception:
                reason = _CloseReason.ERROR
                self._record_error(exchange)
            nursery.cancel_scope.cancel()
        if not exchange.is_finished:
            if self._share.shed_for is not None:
                # Nobody reads what the socket still holds.
                self._set_linger(_LINGER_RESET)
                return self._get_shed_reason()
            if self._has_caller_left:
                return _CloseReason.CALLER_LEFT
        if reason is None and not exchange.is_finished:
            return _CloseReason.ANSWER_UNFINISHED
        if reason is _CloseReason.ERROR and not exchange.is_started:
            # The request may have run; this status promises nothing.
            exchange.is_finished = await self._send_error_response(502)
        return reason

    def _record_error(self, exchange):
        contained_error.record(
            self._server.observer, "exchange", request=exchange.request_id
        )

    async def _cancel_on_disconnect(self, scope):
        """Cancel the handler when the caller disconnects."""
        buffered_bytes = self._reader.count_buffered()
        while buffered_bytes < PIPELINED_MAX_BYTES:
            size = PIPELINED_BYTES
            if not self._reader.take_room(buffered_bytes + size):
                if buffered_bytes:
                    # What was sent ahead is not read; this answer is sent.
                    self._share.end_after_answer(bounds_module.Cause.NO_ROOM)
                    return
                # Enough to learn that the caller has left.
                size = 1
            try:
                data = await self._stream.receive_some(size)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._has_caller_left = True
                scope.cancel()
                return
            # Pipelined requests are buffered until this one is answered.
            buffered_bytes += len(data)
            self.protocol.receive_data(data)

    async def _reject(self, status):
        if status == request_reader.NO_ROOM_STATUS:
            # The bounds log these, not line by line.
            await self._send_error_response(
                status, [(b"Retry-After", RETRY_AFTER_S)]
            )
            return
        _log.warning(
            "request rejected by the HTTP server",
            extra={
                "decision": "refuse",
                "request": self._reader.request_id,
                "status": status,
            },
        )
        await self._send_error_response(status)

    async def _send_error_response(self, status, more_headers=()):
        """Send an error response and EOF, unless a response was begun.

        Return whether it was sent.
        """
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        response = h11.Response(
            status_code=status,
            headers=[
                (b"Content-Length", b"0"),
                (b"Connection", b"close"),
                *more_headers,
            ],
        )
        data = self.protocol.send(response)
        data += self.protocol.send(h11.EndOfMessage())
        is_sent = False
        with trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_all(data)
                is_sent = True
                await self._stream.send_eof()
                await self._wait_for_close()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return is_sent
        return is_sent


class Server:
    """A server that accepts callers at one address."""

    __slots__ = (
        "_address",
        "_listening",
        "_request_id_field",
        "bounds",
        "get_limits",
        "handle",
        "in_progress",
        "is_closing",
        "is_draining",
        "observer",
    )

    def __init__(
        self, address, handle, get_limits, observer, request_id_field, bounds
    ):
        self._address = address
        self.bounds = bounds
        self._listening = trio.CancelScope()
        self._request_id_field = request_id_field
        self.handle = handle
        self.observer = observer
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
        for listener in listeners:
            self._set_receive_buffer(listener.socket)
        async with trio.open_nursery() as nursery:
            with self._listening:
                await trio.serve_listeners(
                    self.serve_connection,
                    listeners,
                    handler_nursery=nursery,
                    task_status=task_status,
                )

    def _set_receive_buffer(self, listening_socket):
        """Set the size that the sockets of connections begin and stay with.

        What a caller sends and nobody reads takes memory of the machine.
        """
        size = self.bounds.receive_buffer_bytes
        if size is not None:
            listening_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, size
            )

    def read_request_id(self, headers):
        """Return the request id of a head as text, empty without one."""
        value = fields.get_value(headers, self._request_id_field, b"")
        return value.decode("latin-1")

    def stop_listening(self):
        """Refuse new connections; those that are open are served on."""
        self._listening.cancel()

    async def serve_connection(self, stream):
        """Serve the requests of one connection until it closes."""
        share = self.bounds.open()
        try:
            if share is None:
                closed = closing.ClosedConnection(_CloseReason.TOO_MANY)
                self.observer.record_close(closed)
            else:
                await _CallerConnection(self, stream, share).serve()
        finally:
            stream.socket.close()
            if share is not None:
                self.bounds.close(share)


def new_server(
    address,
    handle,
    get_limits,
    observer=None,
    request_id_field=b"",
    bounds=None,
):
    """Return a server that awaits `handle` for each `Exchange`.

    `get_limits()` returns the `catalog.CallerLimits` in force. `observer` is
    the `ConnectionObserver`; without one, losses are only logged.
    `request_id_field` is the field, in lowercase, whose value names a
    request in logs before its handler is called. `bounds` are the
    `ConnectionBounds`; without them nothing is bounded beyond the limits.
    """
    return Server(
        address,
        handle,
        get_limits,
        observer or closing.LoggingObserver(),
        request_id_field,
        bounds or bounds_module.Unbounded(),
    )
