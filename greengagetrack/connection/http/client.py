"""Calls of HTTP servers over connections that are kept and reused.

One call is one request and its answer on one connection::

    call = await pool.open_call(address, head, body, is_fresh=False)
    if isinstance(call, NotSent):
        ...
    try:
        answer = await call.receive_head()
        async ... call.receive_part()
    finally:
        call.finish()

A call that is not whole when it is finished closes its connection, and
the server drops the work.
"""

import socket

import h11
import msgspec
import trio

from greengagetrack.connection.http import fields

CONNECT_TIMEOUT_S = 0.4
RECEIVE_BYTES = 65536
SEND_ALONE_BYTES = 8192
IDLE_DEFAULT_S = 4.0
IDLE_MARGIN_S = 1.0
FRESH_IDLE_S = 1.0
UNACKNOWLEDGED_MS = 1500
STALE_ANSWERS_MAX = 2


class NotSent(msgspec.Struct, frozen=True):
    """Nothing of the request was handed to a connection."""

    detail: str = ""


class Broken(msgspec.Struct, frozen=True):
    """The request left, and its answer is missing or not in the protocol.

    `was_idle` tells that a reused connection ended before one byte of an
    answer came.
    """

    detail: str = ""
    was_idle: bool = False


class Head(msgspec.Struct, frozen=True):
    """The status line and the header fields of an answer."""

    status: int
    headers: list


class RequestHead(msgspec.Struct, frozen=True):
    """The method, the raw target and the header fields of a request."""

    method: bytes
    target: bytes
    headers: list


class Connection:
    """One connection to a server and what it is used for."""

    __slots__ = ("address", "idle_max_s", "idle_since_s", "stream", "uses")

    def __init__(self, address, stream):
        self.address = address
        self.stream = stream
        self.idle_since_s = trio.current_time()
        self.idle_max_s = IDLE_DEFAULT_S
        self.uses = 0

    def is_usable(self, idle_max_s):
        """Return whether another request may be sent here."""
        idle_s = trio.current_time() - self.idle_since_s
        if idle_s > min(self.idle_max_s, idle_max_s):
            return False
        # Bytes or an end that came while nothing was asked belong to no
        # request, and the connection can't be trusted any more.
        return not self.stream.socket.is_readable()

    def close(self):
        """End the connection at once."""
        self.stream.socket.close()


class Call:
    """One request on one connection, and its answer."""

    __slots__ = (
        "_connection",
        "_is_ended",
        "_is_sent",
        "_pool",
        "_protocol",
        "_request",
        "_scope",
        "_seen_bytes",
        "_sending",
        "is_whole",
    )

    def __init__(self, pool, connection, request):
        self._pool = pool
        self._connection = connection
        self._request = request
        self._protocol = h11.Connection(h11.CLIENT)
        self._is_ended = False
        self._is_sent = False
        self._seen_bytes = False
        self._scope = None
        self._sending = None
        self.is_whole = False

    async def send(self, body, nursery):
        """Send the request; a long body is sent beside the receiving."""
        data = self._write(body)
        self._connection.uses += 1
        if len(data) <= SEND_ALONE_BYTES:
            return await self._send_all(data)
        # A server may answer before it has read a long body.
        self._scope = trio.CancelScope()
        nursery.start_soon(self._send_beside, data)
        return None

    def _write(self, body):
        request = h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=self._request.headers,
        )
        protocol = self._protocol
        data = protocol.send(request)
        if body:
            data += protocol.send(h11.Data(data=body))
        return data + protocol.send(h11.EndOfMessage())

    async def _send_all(self, data):
        try:
            await self._connection.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return Broken(f"sending: {error.__cause__ or error}")
        self._is_sent = True
        return None

    async def _send_beside(self, data):
        with self._scope:
            await self._send_all(data)

    async def receive_head(self, is_expected):
        """Return the `Head` of the answer, or `Broken`.

        `is_expected(head)` says whether an answer belongs to this request:
        a server may repeat the answer of an earlier one.
        """
        for _try in range(STALE_ANSWERS_MAX + 1):
            event = await self._receive_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._receive_event()
            if isinstance(event, Broken):
                return event
            if not isinstance(event, h11.Response):
                return Broken(f"{type(event).__name__} in place of a head")
            head = Head(event.status_code, list(event.headers.raw_items()))
            if is_expected(head):
                return head
            skipped = await self._skip_answer()
            if skipped is not None:
                return skipped
        return Broken("only answers of other requests")

    async def _skip_answer(self):
        """Pass over the answer of another request; None if that went."""
        while True:
            part = await self.receive_part()
            if isinstance(part, Broken):
                return Broken("an answer of another request")
            if part is None:
                break
        rest, is_closed = self._protocol.trailing_data
        if is_closed or self._protocol.their_state is h11.MUST_CLOSE:
            return Broken("closed after an answer of another request")
        self.is_whole = False
        self._protocol = h11.Connection(h11.CLIENT)
        self._write(b"")
        if rest:
            self._protocol.receive_data(rest)
        return None

    async def receive_part(self):
        """Return bytes of the body, None at its whole end, or `Broken`."""
        event = await self._receive_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.is_whole = True
            return None
        if isinstance(event, Broken):
            return event
        return Broken(f"{type(event).__name__} within a body")

    async def receive_whole(self):
        """Return the `Head` and the whole body, or `Broken`.

        For calls of this process itself: no other answer is expected.
        """
        head = await self.receive_head(lambda _head: True)
        if isinstance(head, Broken):
            return head
        self.note_headers(head.headers)
        parts = []
        while True:
            part = await self.receive_part()
            if isinstance(part, Broken):
                return part
            if part is None:
                return head, b"".join(parts)
            parts.append(part)

    async def _receive_event(self):
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                return Broken(f"not in the protocol: {error}")
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
                return self._new_broken(f"{error.__cause__ or error}")
            if not data and not self._seen_bytes:
                return self._new_broken("closed without an answer")
            self._seen_bytes = True
            self._is_ended = not data
            try:
                self._protocol.receive_data(data)
            except h11.RemoteProtocolError as error:
                return Broken(f"not in the protocol: {error}")

    def _new_broken(self, detail):
        was_idle = self._connection.uses > 1 and not self._seen_bytes
        return Broken(detail, was_idle)

    def finish(self):
        """Keep the connection if the answer was whole, else close it."""
        if self._scope is not None:
            self._scope.cancel()
        if self._is_reusable():
            self._pool.keep(self._connection)
        else:
            self._pool.drop(self._connection)

    def _is_reusable(self):
        protocol = self._protocol
        if self._is_ended or not (self.is_whole and self._is_sent):
            return False
        if protocol.our_state is not h11.DONE:
            return False
        if protocol.their_state is not h11.DONE:
            return False
        return not protocol.trailing_data[0]

    def note_headers(self, headers):
        """Learn from an answer how long the server keeps idle ones."""
        timeout_s = fields.get_keep_alive_s(headers)
        if timeout_s is not None:
            idle_max_s = max(0.0, timeout_s - IDLE_MARGIN_S)
            self._connection.idle_max_s = idle_max_s


class Pool:
    """The connections to all servers, kept by address."""

    __slots__ = ("_kept_by_address", "_nursery", "count_by_address", "opened")

    def __init__(self, nursery):
        self._nursery = nursery
        self._kept_by_address = {}
        self.count_by_address = {}
        self.opened = 0

    def count(self, address):
        """Return how many connections to `address` are open."""
        return self.count_by_address.get(address, 0)

    def count_kept(self, address):
        """Return how many connections to `address` wait for use."""
        return len(self._kept_by_address.get(address, ()))

    async def open_call(self, address, request, body, is_fresh=False):
        """Send a request; return its `Call`, `NotSent` or `Broken`.

        `is_fresh` asks for a connection that the server can hardly be
        about to close: a new one or one that was just used.
        """
        idle_max_s = FRESH_IDLE_S if is_fresh else IDLE_DEFAULT_S
        connection = self._take_kept(address, idle_max_s)
        if connection is None:
            connection = await self._connect(address)
        if isinstance(connection, NotSent):
            return connection
        call = Call(self, connection, request)
        is_started = False
        try:
            problem = await call.send(body, self._nursery)
            is_started = problem is None
        finally:
            if not is_started:
                self.drop(connection)
        return call if is_started else problem

    def _take_kept(self, address, idle_max_s):
        kept = self._kept_by_address.get(address, [])
        while kept:
            connection = kept.pop()
            if connection.is_usable(idle_max_s):
                return connection
            if connection.is_usable(connection.idle_max_s):
                kept.insert(0, connection)
                return None
            self.drop(connection)
        return None

    async def _connect(self, address):
        host, _separator, port = address.rpartition(":")
        self.count_by_address[address] = self.count(address) + 1
        is_open = False
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                stream = await open_stream(host, int(port))
                is_open = True
        except OSError as error:
            return NotSent(str(error))
        finally:
            if not is_open:
                self._forget(address)
        if not is_open:
            return NotSent("no connection in time")
        self.opened += 1
        return Connection(address, stream)

    def keep(self, connection):
        """Take back a connection that may be used again."""
        connection.idle_since_s = trio.current_time()
        kept = self._kept_by_address.setdefault(connection.address, [])
        kept.append(connection)

    def drop(self, connection):
        """Close a connection for good."""
        connection.close()
        self._forget(connection.address)

    def _forget(self, address):
        left = self.count(address) - 1
        if left > 0:
            self.count_by_address[address] = left
        else:
            self.count_by_address.pop(address, None)

    def drop_idle(self):
        """Close the kept connections that may not be used any more."""
        for address, kept in list(self._kept_by_address.items()):
            usable = []
            for connection in kept:
                if connection.is_usable(connection.idle_max_s):
                    usable.append(connection)
                else:
                    self.drop(connection)
            if usable:
                self._kept_by_address[address] = usable
            else:
                del self._kept_by_address[address]

    def drop_address(self, address):
        """Close the kept connections to a server that is gone."""
        for connection in self._kept_by_address.pop(address, ()):
            self.drop(connection)


async def open_stream(host, port):
    """Return a connected TCP stream that notices a silent peer."""
    raw = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    is_open = False
    try:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
        await raw.connect((host, port))
        is_open = True
    finally:
        if not is_open:
            raw.close()
    return trio.SocketStream(raw)


def new_pool(nursery):
    """Return a pool whose long sends run in `nursery`."""
    return Pool(nursery)
