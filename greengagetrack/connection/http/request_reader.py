"""Reads the requests of one connection of a caller, within its bounds."""

import h11
import trio

from greengagetrack.connection.http import bounds
from greengagetrack.connection.http import closing
from greengagetrack.connection.http import fields

HEAD_RECEIVE_BYTES = 32768
BODY_RECEIVE_BYTES = 65536
IDLE_SLACK_S = 1.0
# Not run, and may be sent again.
NO_ROOM_STATUS = 503

_CloseReason = closing.CloseReason
_Wait = bounds.Wait


class RequestError(Exception):
    """A request that isn't read on, with the status of its response.

    It is caught by the connection, and ends it.
    """

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class RequestReader:
    """Reads the heads and bodies of requests, one after the other.

    Room for a body is taken from the share of the connection before it is
    read: all of it if its length is announced, else as it grows.
    """

    __slots__ = (
        "_head_bytes",
        "_is_announced",
        "_protocol",
        "_request_bytes",
        "_send",
        "_server",
        "_share",
        "_stream",
        "request_id",
    )

    def __init__(self, server, stream, protocol, share, send):
        self._server = server
        self._stream = stream
        self._protocol = protocol
        self._share = share
        self._send = send
        self._head_bytes = 0
        self._is_announced = False
        self._request_bytes = 0
        # Of the request whose head was read last, for logs.
        self.request_id = ""

    def count_buffered(self):
        """Return the bytes that were received ahead of the next request."""
        return len(self._protocol.trailing_data[0])

    def take_room(self, more_bytes):
        """Take room for bytes beside those of the request in hand.

        Return whether there is room; without it nothing changes.
        """
        return self._share.resize(self._request_bytes + more_bytes)

    def end_request(self):
        """Give back the room of the request in hand."""
        self._request_bytes = 0
        self._share.end_request(self.count_buffered())

    async def read_head(self):
        """Return the head of the next request, or why there is none."""
        self.request_id = ""
        event = self._next_event()
        if event is h11.NEED_DATA and not self.count_buffered():
            reason = await self._wait_for_request()
            if reason is not None:
                return reason
            event = self._next_event()
        limits = self._server.get_limits()
        if event is h11.NEED_DATA:
            event = await self._read_rest_of_head(limits.header_timeout_s)
        if not isinstance(event, h11.Request):
            return event
        self._share.begin_request()
        self.request_id = self._server.read_request_id(event.headers)
        self._check_head(event, limits)
        return event

    async def _read_rest_of_head(self, timeout_s):
        """Return the head, or why there is none."""
        event = h11.NEED_DATA
        share = self._share
        with share.wait_for(_Wait.REQUEST, timeout_s):
            while event is h11.NEED_DATA and share.shed_for is None:
                if not await self._receive_data(HEAD_RECEIVE_BYTES):
                    return _CloseReason.CALLER_CLOSED
                event = self._next_event()
        share.end_wait()
        if event is not h11.NEED_DATA:
            return event
        if share.shed_for is not None:
            return closing.get_shed_reason(share.shed_for)
        raise RequestError(408)

    async def _wait_for_request(self):
        """Wait for data; return why none will be read, or None.

        The timeout is read repeatedly, since a new catalog may change it.
        """
        start_s = trio.current_time()
        share = self._share
        while True:
            timeout_s = self._server.get_limits().idle_timeout_s + IDLE_SLACK_S
            remaining_s = start_s + timeout_s - trio.current_time()
            if self._server.is_closing:
                return _CloseReason.DRAINING
            if share.shed_for is not None:
                return closing.get_shed_reason(share.shed_for)
            if remaining_s <= 0:
                return _CloseReason.IDLE
            wait_s = min(remaining_s, IDLE_SLACK_S)
            try:
                with share.wait_for(_Wait.REQUEST, wait_s):
                    if await self._receive_data(HEAD_RECEIVE_BYTES):
                        share.end_wait()
                        return None
                    return _CloseReason.CALLER_CLOSED
            except trio.BrokenResourceError:
                # No request is in hand, so a reset loses as little as an EOF.
                return _CloseReason.CALLER_CLOSED

    async def _receive_data(self, max_bytes):
        data = await self._stream.receive_some(max_bytes)
        self._protocol.receive_data(data)
        return len(data)

    def _next_event(self):
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestError(error.error_status_hint) from None

    def _check_head(self, request, limits):
        headers = list(request.headers)
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        size += len(request.target)
        self._head_bytes = size + len(headers) * bounds.FIELD_BYTES
        if size > limits.header_max_bytes:
            raise RequestError(431)
        if not request.target.startswith(b"/"):
            raise RequestError(400)
        lengths = fields.get_values(headers, b"content-length")
        # Both framings in one message allow request smuggling.
        if lengths and fields.get_values(headers, b"transfer-encoding"):
            raise RequestError(400)
        self._is_announced = bool(lengths)
        body_bytes = int(lengths[0]) if lengths else 0
        if body_bytes > limits.body_max_bytes:
            raise RequestError(413)
        self._hold(body_bytes)

    def _hold(self, body_bytes):
        """Take room for the head and so much of the body."""
        # Those buffered may be counted already, this request among them.
        size = max(self._head_bytes + body_bytes, self._share.size)
        if not self._share.resize(size):
            raise RequestError(NO_ROOM_STATUS)
        self._request_bytes = size

    async def read_body(self, request):
        """Return the body of the request whose head was read."""
        limits = self._server.get_limits()
        if self._protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._send(self._protocol.send(informational))
        self._share.restart_clock()
        # Tiny chunks would take many times their size as objects.
        body = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_max_bytes:
                    raise RequestError(413)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is h11.NEED_DATA:
                await self._receive_body(len(body), limits.idle_timeout_s)
            else:
                raise trio.BrokenResourceError(
                    "caller disconnected within the request body"
                )

    async def _receive_body(self, body_bytes, timeout_s):
        """Receive more of a body, with room for what is received."""
        if not self._is_announced:
            self._hold(body_bytes + BODY_RECEIVE_BYTES)
        share = self._share
        with share.wait_for(_Wait.BODY, timeout_s) as scope:
            share.record_moved(await self._receive_data(BODY_RECEIVE_BYTES))
        share.end_wait()
        if share.shed_for is not None:
            raise RequestError(NO_ROOM_STATUS)
        if scope.cancelled_caught:
            raise RequestError(408)
