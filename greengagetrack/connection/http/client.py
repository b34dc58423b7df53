"""An HTTP/1.1 client with a pool of persistent connections.

A call is one request and its response on one connection::

    call = await pool.open_call(address, head, body)
    if not isinstance(call, Call):
        return  # `NotSent` or `ResponseFailure`
    try:
        head = await call.receive_head(is_expected)
        part = await call.receive_part()  # until it is None
    finally:
        call.finish()

A call that is finished before its response is complete closes its
connection, which makes the server cancel the work.
"""

import socket

import h11
import msgspec
import trio

from greengagetrack.connection.http import fields
from greengagetrack.connection.http import framing as framing_module
from greengagetrack.connection.http import matching

CONNECT_TIMEOUT_S = 0.4
RECEIVE_BYTES = 65536
INLINE_SEND_MAX_BYTES = 8192
DEFAULT_IDLE_MAX_S = 4.0
IDLE_MARGIN_S = 1.0
FRESH_IDLE_MAX_S = 1.0
TCP_USER_TIMEOUT_MS = 1500
STALE_RESPONSES_MAX = 2
INFORMATIONAL_RESPONSES_MAX = 8
# Of responses to requests of this process itself.
RESPONSE_MAX_BYTES = 8 * 1024 * 1024


class NotSent(msgspec.Struct, frozen=True):
    """A call of which no byte was written to a connection.

    `is_refused` means that nothing listens at the address.
    """

    detail: str = ""
    is_refused: bool = False


class InvalidRequest(msgspec.Struct, frozen=True):
    """A request that can't be written; no byte of it was sent."""

    detail: str = ""


class ResponseFailure(msgspec.Struct, frozen=True):
    """A request that may have been sent without a valid response.

    `is_stale_connection` means that a reused connection was closed before
    the first byte of a response.
    """

    detail: str = ""
    is_stale_connection: bool = False


class ResponseHead(msgspec.Struct, frozen=True):
    """The status code and the header fields of a response.

    `framing` tells what the end of the body proves.
    """

    status: int
    headers: list
    framing: framing_module.Framing


class RequestHead(msgspec.Struct, frozen=True):
    """The method, raw target and header fields of a request."""

    method: bytes
    target: bytes
    headers: list


class Connection:
    """A connection to a server, with its idle time and request count.

    Only requests of one `lane` are sent over it.
    """

    __slots__ = (
        "address",
        "idle_max_s",
        "idle_since_s",
        "lane",
        "matcher",
        "opened_s",
        "request_count",
        "stream",
    )

    def __init__(self, address, lane, stream):
        self.address = address
        self.lane = lane
        self.stream = stream
        self.matcher = matching.new_matcher()
        self.opened_s = self.idle_since_s = trio.current_time()
        self.idle_max_s = DEFAULT_IDLE_MAX_S
        self.request_count = 0

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

    def close(self):
        """Close the socket at once, without a graceful shutdown."""
        self.stream.socket.close()


class Call:
    """One request on one connection, and its response."""

    __slots__ = (
        "_body",
        "_connection",
        "_has_received",
        "_is_eof",
        "_is_last",
        "_is_sent",
        "_pool",
        "_protocol",
        "_request",
        "_send_scope",
        "_sending",
        "is_complete",
    )

    def __init__(self, pool, connection, request):
        self._pool = pool
        self._connection = connection
        self._request = request
        self._body = b""
        self._protocol = h11.Connection(h11.CLIENT)
        self._is_eof = False
        self._is_last = False
        self._is_sent = False
        self._has_received = False
        self._send_scope = None
        self._sending = None
        self.is_complete = False

    @property
    def opened_s(self):
        """Return when its connection was opened."""
        return self._connection.opened_s

    async def send(self, body, nursery):
        """Send the request, a long one as a task of `nursery`."""
        self._body = body
        try:
            data = self._encode_request()
        except h11.LocalProtocolError as error:
            return InvalidRequest(str(error))
        self._connection.request_count += 1
        if len(data) <= INLINE_SEND_MAX_BYTES:
            return await self._send_all(data)
        # A server may respond before it has read a long body.
        self._send_scope = trio.CancelScope()
        nursery.start_soon(self._send_in_background, data)
        return None

    def _encode_request(self):
        request = h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=self._request.headers,
        )
        protocol = self._protocol
        data = protocol.send(request)
        if self._body:
            data += protocol.send(h11.Data(data=self._body))
        return data + protocol.send(h11.EndOfMessage())

    async def _send_all(self, data):
        try:
            await self._connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return ResponseFailure(f"sending: {error.__cause__ or error}")
        self._is_sent = True
        return None

    async def _send_in_background(self, data):
        with self._send_scope:
            await self._send_all(data)

    async def receive_head(self, is_expected):
        """Return the `ResponseHead`, or `ResponseFailure`.

        `is_expected(head)` returns whether a response belongs to this
        request; others, such as a repeated earlier one, are skipped.
        """
        for _try in range(STALE_RESPONSES_MAX + 1):
            event = await self._receive_final_head()
            if isinstance(event, ResponseFailure):
                return event
            if not isinstance(event, h11.Response):
                return ResponseFailure(
                    f"{type(event).__name__} instead of a response head"
                )
            head = self._new_head(event)
            if is_expected(head):
                return head
            failure = await self._skip_response()
            if failure is not None:
                return failure
        return ResponseFailure("only responses to other requests")

    def _new_head(self, event):
        headers = list(event.headers.raw_items())
        framing = framing_module.get_framing(
            self._request.method, event.status_code, headers
        )
        return ResponseHead(event.status_code, headers, framing)

    async def _receive_final_head(self):
        """Return the next event that is no informational response."""
        for _response in range(INFORMATIONAL_RESPONSES_MAX + 1):
            event = await self._receive_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        return ResponseFailure("too many informational responses")

    async def _skip_response(self):
        """Skip the response to another request; return a failure or None."""
        body = await self.receive_body()
        if isinstance(body, ResponseFailure):
            return ResponseFailure("incomplete response to another request")
        return self._expect_next()

    def _expect_next(self):
        """Expect one more response; return a failure or None."""
        trailing_data, is_closed = self._protocol.trailing_data
        if is_closed or self._protocol.their_state is h11.MUST_CLOSE:
            return ResponseFailure(
                "closed after a response to another request"
            )
        self.is_complete = False
        self._protocol = h11.Connection(h11.CLIENT)
        # The protocol has to know again that the request was sent.
        self._encode_request()
        if trailing_data:
            self._protocol.receive_data(trailing_data)
        return None

    async def receive_part(self):
        """Return body bytes, None after a complete body, or a failure."""
        event = await self._receive_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.is_complete = True
            return None
        if isinstance(event, ResponseFailure):
            return event
        return ResponseFailure(
            f"{type(event).__name__} within the response body"
        )

    async def receive_response(self, identify):
        """Return the `ResponseHead` and the body, or `ResponseFailure`.

        For requests of this process itself. `identify(head, body)` returns
        the `matching.Identity` of a response; those to other requests are
        skipped.
        """
        for _try in range(STALE_RESPONSES_MAX + 1):
            response = await self._receive_any_response()
            if isinstance(response, ResponseFailure):
                return response
            match = self._connection.matcher.match(identify(*response))
            if match is not matching.Match.OTHER:
                self._is_last = match is matching.Match.UNPROVEN
                self.update_idle_limit(response[0].headers)
                return response
            failure = self._expect_next()
            if failure is not None:
                return failure
        return ResponseFailure("only responses to other requests")

    async def _receive_any_response(self):
        head = await self.receive_head(lambda _head: True)
        if isinstance(head, ResponseFailure):
            return head
        body = await self.receive_body()
        return body if isinstance(body, ResponseFailure) else (head, body)

    async def receive_body(self):
        """Return the whole body, or `ResponseFailure` if it is too long."""
        parts, size = [], 0
        while size <= RESPONSE_MAX_BYTES:
            part = await self.receive_part()
            if isinstance(part, ResponseFailure):
                return part
            if part is None:
                return b"".join(parts)
            parts.append(part)
            size += len(part)
        return ResponseFailure("response exceeds the size limit")

    async def _receive_event(self):
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                return ResponseFailure(f"protocol error: {error}")
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._connection.stream.receive_some(
                    RECEIVE_BYTES
                )
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as error:
                return self._new_failure(f"{error.__cause__ or error}")
            if not data and not self._has_received:
                return self._new_failure(
                    "connection closed without a response"
                )
            self._has_received = True
            self._is_eof = not data
            try:
                self._protocol.receive_data(data)
            except h11.RemoteProtocolError as error:
                return ResponseFailure(f"protocol error: {error}")

    def _new_failure(self, detail):
        is_stale_connection = (
            self._connection.request_count > 1 and not self._has_received
        )
        return ResponseFailure(detail, is_stale_connection)

    def finish(self):
        """Return the connection to the pool if reusable, else close it."""
        if self._send_scope is not None:
            self._send_scope.cancel()
        if self._is_reusable():
            self._pool.release(self._connection)
        else:
            self._pool.drop(self._connection)

    def end_connection(self):
        """Let this be the last request over its connection."""
        self._is_last = True

    def _is_reusable(self):
        protocol = self._protocol
        if (
            self._is_last
            or self._is_eof
            or not (self.is_complete and self._is_sent)
        ):
            return False
        if protocol.our_state is not h11.DONE:
            return False
        if protocol.their_state is not h11.DONE:
            return False
        return not protocol.trailing_data[0]

    def update_idle_limit(self, headers):
        """Update the idle limit of the connection from Keep-Alive."""
        timeout_s = fields.get_keep_alive_s(headers)
        if timeout_s is not None:
            idle_max_s = max(0.0, timeout_s - IDLE_MARGIN_S)
            self._connection.idle_max_s = idle_max_s


class Pool:
    """The connections to all servers, by address and lane."""

    __slots__ = (
        "_idle_by_key",
        "_nursery",
        "count_by_address",
        "on_idle_closed",
        "opened_count",
    )

    def __init__(self, nursery):
        self._nursery = nursery
        self._idle_by_key = {}
        self.count_by_address = {}
        self.opened_count = 0
        # Called with the address if the server has closed idle connections.
        self.on_idle_closed = None

    def count(self, address):
        """Return how many connections to `address` are open or opening."""
        return self.count_by_address.get(address, 0)

    def count_idle(self, address):
        """Return how many connections to `address` are idle."""
        return sum(
            len(idle)
            for key, idle in self._idle_by_key.items()
            if key[0] == address
        )

    async def open_call(
        self,
        address,
        request,
        body,
        *,
        needs_fresh_connection=False,
        lane=b"",
        check=None,
    ):
        """Send a request; return a `Call` or a failure.

        The failure is `NotSent`, `InvalidRequest` or `ResponseFailure`.

        `await check(opened_s)` returns whether the request may go over a
        connection that was opened at that time.

        `needs_fresh_connection` limits the choice to a new connection or
        one idle for at most `FRESH_IDLE_MAX_S`, which the server is
        unlikely to be closing. Requests of different lanes share no
        connection.
        """
        idle_max_s = (
            FRESH_IDLE_MAX_S if needs_fresh_connection else DEFAULT_IDLE_MAX_S
        )
        connection = self._pop_idle((address, lane), idle_max_s)
        if connection is None:
            connection = await self._connect(address, lane)
        if isinstance(connection, NotSent):
            return connection
        call = Call(self, connection, request)
        is_started = False
        try:
            if check is not None and not await check(connection.opened_s):
                return NotSent("the server may have started again")
            if connection.is_readable():
                return NotSent("closed, or used, during the check")
            failure = await call.send(body, self._nursery)
            is_started = failure is None
        finally:
            if not is_started:
                self.drop(connection)
        return call if is_started else failure

    def _pop_idle(self, key, idle_max_s):
        idle = self._idle_by_key.get(key, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(idle_max_s):
                return connection
            if connection.is_usable(connection.idle_max_s):
                idle.insert(0, connection)
                return None
            self._drop_idle(connection)
        return None

    def _drop_idle(self, connection):
        if self.on_idle_closed is not None and connection.is_readable():
            self.on_idle_closed(connection.address)
        self.drop(connection)

    async def is_refusing(self, address):
        """Return whether connections to `address` are refused.

        One that is accepted stays in the pool.
        """
        connection = await self._connect(address)
        if isinstance(connection, NotSent):
            return connection.is_refused
        self.release(connection)
        return False

    async def _connect(self, address, lane=b""):
        host, _separator, port = address.rpartition(":")
        self.count_by_address[address] = self.count(address) + 1
        is_open = False
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                stream = await open_stream(host, int(port))
                is_open = True
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return NotSent(str(error), is_refused)
        finally:
            if not is_open:
                self._decrement_count(address)
        if not is_open:
            return NotSent("connection timed out")
        self.opened_count += 1
        return Connection(address, lane, stream)

    def release(self, connection):
        """Return a reusable connection to the pool."""
        connection.idle_since_s = trio.current_time()
        key = connection.address, connection.lane
        self._idle_by_key.setdefault(key, []).append(connection)

    def drop(self, connection):
        """Close a connection and remove it from the count."""
        connection.close()
        self._decrement_count(connection.address)

    def _decrement_count(self, address):
        remaining = self.count(address) - 1
        if remaining > 0:
            self.count_by_address[address] = remaining
        else:
            self.count_by_address.pop(address, None)

    def drop_expired(self):
        """Close the idle connections that can't be reused."""
        for key, idle in list(self._idle_by_key.items()):
            usable = []
            for connection in idle:
                if connection.is_usable(connection.idle_max_s):
                    usable.append(connection)
                else:
                    self._drop_idle(connection)
            if usable:
                self._idle_by_key[key] = usable
            else:
                del self._idle_by_key[key]

    def drop_connections(self, address):
        """Close the idle connections to a server that was removed."""
        for key in list(self._idle_by_key):
            if key[0] == address:
                for connection in self._idle_by_key.pop(key):
                    self.drop(connection)


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


def new_pool(nursery):
    """Return a pool that sends long requests in `nursery`."""
    return Pool(nursery)
