"""One request on one connection, and its response."""

import h11
import trio

from greengagetrack.connection import answer_end
from greengagetrack.connection import contained_error
from greengagetrack.connection.http.client import failures
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http.client import turns as turns_module
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import framing as framing_module
from greengagetrack.connection.http import matching

RECEIVE_BYTES = 65536
INLINE_SEND_MAX_BYTES = 8192
IDLE_MARGIN_S = 1.0
STALE_RESPONSES_MAX = 2
INFORMATIONAL_RESPONSES_MAX = 8
# A task that has handed its last bytes to the system is next run within these.
WRITER_CHECKPOINTS = 2
# Of responses to requests of this process itself.
RESPONSE_MAX_BYTES = 8 * 1024 * 1024

_ResponseFailure = failures.ResponseFailure


class Call:
    """One request on one connection, and its response."""

    __slots__ = (
        "_body",
        "_connection",
        "_framing",
        "_has_received",
        "_held_event",
        "_is_eof",
        "_is_last",
        "_is_sent",
        "_is_turn_over",
        "_pool",
        "_protocol",
        "_request",
        "_request_id",
        "_send_failure",
        "_send_scope",
        "is_complete",
    )

    def __init__(self, pool, connection, request, request_id):
        self._pool = pool
        self._connection = connection
        self._request = request
        self._request_id = request_id
        self._body = b""
        self._protocol = h11.Connection(h11.CLIENT)
        # That of the response whose head was received last.
        self._framing = None
        self._is_eof = False
        self._is_last = False
        self._is_sent = False
        self._has_received = False
        # Parsed already, and next to be returned.
        self._held_event = None
        self._is_turn_over = False
        self._send_failure = None
        self._send_scope = None
        self.is_complete = False

    @property
    def opened_s(self):
        """Return when its connection was opened."""
        return self._connection.opened_s

    @property
    def connection_number(self):
        """Return the number of its connection in this process."""
        return self._connection.number

    @property
    def request_number(self):
        """Return its number on its connection, 1 for the first request."""
        return self._connection.request_count

    @property
    def is_first(self):
        """Return whether its connection had no request before."""
        return self.request_number == 1

    async def send(self, body, nursery):
        """Send the request, a long one as a task of `nursery`."""
        self._body = body
        try:
            data = self._encode_request()
        except h11.LocalProtocolError as error:
            return failures.InvalidRequest(str(error))
        self._connection.record_request(self._request_id)
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
            return _ResponseFailure(f"sending: {error.__cause__ or error}")
        self._is_sent = True
        return None

    async def _send_in_background(self, data):
        with self._send_scope:
            try:
                await self._send_all(data)
            except* Exception:
                self._fail_send()

    def _fail_send(self):
        """Record an unforeseen error and make the response a failure.

        The connection leaves the pool when the call is finished, as it does
        after each call whose request wasn't sent completely.
        """
        contained_error.record(
            self._pool.error_observer,
            "send",
            address=self._connection.address,
        )
        self._send_failure = _ResponseFailure("unforeseen error in sending")
        # Wakes the task that waits for the response.
        self._connection.close()

    async def receive_head(self, is_expected):
        """Return the `ResponseHead`, or `ResponseFailure`.

        `is_expected(head)` returns whether a response belongs to this
        request; others, such as a repeated earlier one, are skipped.
        """
        for _try in range(STALE_RESPONSES_MAX + 1):
            event = await self._receive_final_head()
            if isinstance(event, _ResponseFailure):
                return event
            if not isinstance(event, h11.Response):
                return _ResponseFailure(
                    f"{type(event).__name__} instead of a response head"
                )
            problem = heads.find_problem(event)
            if problem:
                return _ResponseFailure(problem)
            head = self._new_head(event)
            if is_expected(head):
                if not self._is_sent:
                    # What is left of it may be taken for the next request.
                    self.end_connection()
                return head
            failure = await self._skip_response()
            if failure is not None:
                return failure
        return _ResponseFailure("only responses to other requests")

    def record_other_id(self, request_id):
        """Record the id of a response that is to be skipped."""
        self._connection.record_id(request_id)

    def _new_head(self, event):
        headers = list(event.headers.raw_items())
        self._framing = framing_module.get_framing(
            self._request.method, event.status_code, headers
        )
        return heads.ResponseHead(event.status_code, headers, self._framing)

    async def _receive_final_head(self):
        """Return the next event that is no informational response."""
        for _response in range(INFORMATIONAL_RESPONSES_MAX + 1):
            event = await self._receive_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        return _ResponseFailure("too many informational responses")

    async def _skip_response(self):
        """Skip the response to another request; return a failure or None."""
        skipped_bytes = 0
        while skipped_bytes <= RESPONSE_MAX_BYTES:
            part = await self.receive_part()
            if part is None:
                return self._expect_next()
            if isinstance(part, _ResponseFailure):
                break
            skipped_bytes += len(part)
        return _ResponseFailure("incomplete response to another request")

    def _expect_next(self):
        """Expect one more response; return a failure or None."""
        trailing_data, is_closed = self._protocol.trailing_data
        if is_closed or self._protocol.their_state is h11.MUST_CLOSE:
            return _ResponseFailure(
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
        # Nothing may be awaited once a part is parsed: a caller that is
        # cancelled there would lose it.
        if self._is_turn_over:
            await self._pool.turns.wait()
            self._is_turn_over = False
        event = await self._receive_event()
        if isinstance(event, h11.Data):
            return self._merge_chunks(event)
        if isinstance(event, h11.EndOfMessage):
            return await self._end_body()
        if isinstance(event, _ResponseFailure):
            return event
        return _ResponseFailure(
            f"{type(event).__name__} within the response body"
        )

    async def _end_body(self):
        """Return None after a complete body, or a failure."""
        if not answer_end.is_body_end_proven(self._framing):
            for _checkpoint in range(WRITER_CHECKPOINTS):
                # Shielded: an end that was parsed must not get lost.
                await trio.lowlevel.cancel_shielded_checkpoint()
            problem = self.find_end_problem()
            if problem:
                return _ResponseFailure(problem)
        self.is_complete = True
        return None

    def find_end_problem(self):
        """Return why the end of the connection is no end, or "".

        It may be asked again: a reset can come after an orderly end.
        """
        return answer_end.find_sending_problem(
            self._framing, self._connection.read_sending(self._is_sent)
        )

    def _merge_chunks(self, first):
        """Return the data of a chunk and of those received behind it."""
        data = bytearray(first.data)
        for _chunk in range(turns_module.CHUNKS_PER_TURN):
            event = self._parse_event()
            if event is h11.NEED_DATA:
                return bytes(data)
            if not isinstance(event, h11.Data):
                self._held_event = event
                return bytes(data)
            data += event.data
        self._is_turn_over = True
        return bytes(data)

    async def receive_response(self, identify):
        """Return the `ResponseHead` and the body, or `ResponseFailure`.

        For requests of this process itself. `identify(head, body)` returns
        the `matching.Identity` of a response; those to other requests are
        skipped.
        """
        for _try in range(STALE_RESPONSES_MAX + 1):
            response = await self._receive_any_response()
            if isinstance(response, _ResponseFailure):
                return response
            match = self._connection.matcher.match(identify(*response))
            if match is not matching.Match.OTHER:
                if match is matching.Match.UNPROVEN:
                    self.end_connection()
                self.update_idle_limit(response[0].headers)
                return response
            failure = self._expect_next()
            if failure is not None:
                return failure
        return _ResponseFailure("only responses to other requests")

    async def _receive_any_response(self):
        head = await self.receive_head(lambda _head: True)
        if isinstance(head, _ResponseFailure):
            return head
        body = await self.receive_body()
        return body if isinstance(body, _ResponseFailure) else (head, body)

    async def receive_body(self):
        """Return the whole body, or `ResponseFailure` if it is too long."""
        body = bytearray()
        while len(body) <= RESPONSE_MAX_BYTES:
            part = await self.receive_part()
            if isinstance(part, _ResponseFailure):
                return part
            if part is None:
                return bytes(body)
            body += part
        return _ResponseFailure("response exceeds the size limit")

    def _parse_event(self):
        """Return the next event that was received, or `NEED_DATA`."""
        event, self._held_event = self._held_event, None
        if event is not None:
            return event
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            return _ResponseFailure(f"protocol error: {error}")

    async def _receive_event(self):
        while True:
            event = self._parse_event()
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
                return _ResponseFailure(f"protocol error: {error}")

    def _new_failure(self, detail):
        if self._send_failure is not None:
            return self._send_failure
        is_stale_connection = (
            self._connection.request_count > 1 and not self._has_received
        )
        return _ResponseFailure(detail, is_stale_connection)

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
            or self._connection.is_worn_out
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
