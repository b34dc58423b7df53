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
from greengagetrack.connection.http import closing
from greengagetrack.connection.http import exchange as exchange_module
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
_CloseReason = closing.CloseReason

_log = logging.getLogger(__name__)


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
        "_exchange",
        "_has_caller_left",
        "_is_body_ended_by_close",
        "_request_id",
        "_server",
        "_stream",
        "protocol",
        "request_count",
    )

    def __init__(self, server, stream):
        self._server = server
        self._stream = stream
        self._exchange = None
        self._has_caller_left = False
        self._is_body_ended_by_close = False
        # Of the request whose head was read last, for logs.
        self._request_id = ""
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
        except _RequestError as error:
            await self._reject(error.status)
            return _CloseReason.REQUEST_INVALID
        except _DISCONNECT_ERRORS:
            return _CloseReason.CALLER_LEFT

    async def _serve_next(self):
        """Serve one request; return None if the connection is reusable."""
        self._exchange = None
        self._request_id = ""
        request = await self._read_head()
        if isinstance(request, _CloseReason):
            return request
        body = await self._read_body()
        exchange = exchange_module.Exchange(self, request, body)
        exchange.request_id = self._request_id
        self._exchange = exchange
        self.request_count += 1
        self._server.in_progress += 1
        try:
            reason = await self._run_handler(exchange)
        finally:
            self._server.in_progress -= 1
        if reason is not None:
            return reason
        return await self._find_reason_to_close()

    async def _find_reason_to_close(self):
        """Return why the connection ends after a whole answer, or None."""
        if self._is_body_ended_by_close:
            await self._wait_for_close()
            return _CloseReason.NOT_KEPT
        protocol = self.protocol
        if protocol.our_state is protocol.their_state is h11.DONE:
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
        if self._has_caller_left and not exchange.is_finished:
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
        buffered_bytes = 0
        while buffered_bytes < PIPELINED_MAX_BYTES:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._has_caller_left = True
                scope.cancel()
                return
            # Pipelined requests are buffered until this one is answered.
            buffered_bytes += len(data)
            self.protocol.receive_data(data)

    async def _read_head(self):
        """Return the head of the next request, or why there is none."""
        event = self._next_event()
        if event is h11.NEED_DATA and not self._has_buffered_data():
            reason = await self._wait_for_request()
            if reason is not None:
                return reason
            event = self._next_event()
        limits = self._server.get_limits()
        with trio.move_on_after(limits.header_timeout_s):
            while event is h11.NEED_DATA:
                if not await self._receive_data():
                    return _CloseReason.CALLER_CLOSED
                event = self._next_event()
        if event is h11.NEED_DATA:
            raise _RequestError(408)
        if not isinstance(event, h11.Request):
            return _CloseReason.CALLER_CLOSED
        self._request_id = self._server.read_request_id(event.headers)
        self._check_head(event, limits)
        return event

    def _has_buffered_data(self):
        return bool(self.protocol.trailing_data[0])

    async def _wait_for_request(self):
        """Wait for data; return why none will be read, or None.

        The timeout is read repeatedly, since a new catalog may change it.
        """
        start_s = trio.current_time()
        while True:
            timeout_s = self._server.get_limits().idle_timeout_s + IDLE_SLACK_S
            remaining_s = start_s + timeout_s - trio.current_time()
            if self._server.is_closing:
                return _CloseReason.DRAINING
            if remaining_s <= 0:
                return _CloseReason.IDLE
            try:
                with trio.move_on_after(min(remaining_s, IDLE_SLACK_S)):
                    if await self._receive_data():
                        return None
                    return _CloseReason.CALLER_CLOSED
            except trio.BrokenResourceError:
                # No request is in hand, so a reset loses as little as an EOF.
                return _CloseReason.CALLER_CLOSED

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
        # Tiny chunks would take many times their size as objects.
        body = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_max_bytes:
                    raise _RequestError(413)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is h11.NEED_DATA:
                with trio.move_on_after(limits.idle_timeout_s) as scope:
                    await self._receive_data()
                if scope.cancelled_caught:
                    raise _RequestError(408)
            else:
                raise trio.BrokenResourceError(
                    "caller disconnected within the request body"
                )

    async def _reject(self, status):
        _log.warning(
            "request rejected by the HTTP server",
            extra={
                "decision": "refuse",
                "request": self._request_id,
                "status": status,
            },
        )
        await self._send_error_response(status)

    async def _send_error_response(self, status):
        """Send an error response and EOF, unless a response was begun.

        Return whether it was sent.
        """
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        response = h11.Response(
            status_code=status,
            headers=[(b"Content-Length", b"0"), (b"Connection", b"close")],
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
        "get_limits",
        "handle",
        "in_progress",
        "is_closing",
        "is_draining",
        "observer",
    )

    def __init__(
        self, address, handle, get_limits, observer, request_id_field
    ):
        self._address = address
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
        async with trio.open_nursery() as nursery:
            with self._listening:
                await trio.serve_listeners(
                    self.serve_connection,
                    listeners,
                    handler_nursery=nursery,
                    task_status=task_status,
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
        try:
            await _CallerConnection(self, stream).serve()
        finally:
            stream.socket.close()


def new_server(
    address, handle, get_limits, observer=None, request_id_field=b""
):
    """Return a server that awaits `handle` for each `Exchange`.

    `get_limits()` returns the `catalog.CallerLimits` in force. `observer` is
    the `ConnectionObserver`; without one, losses are only logged.
    `request_id_field` is the field, in lowercase, whose value names a
    request in logs before its handler is called.
    """
    return Server(
        address,
        handle,
        get_limits,
        observer or closing.LoggingObserver(),
        request_id_field,
    )
