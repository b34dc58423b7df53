"""The gateway to the platform's engines, over HTTP."""

import functools
import itertools
import math

import msgspec
import trio

from greengagetrack.connection import gateway
from greengagetrack.connection import handles as handles_module
from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection.http.client import failures
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import matching
from greengagetrack.platform import document
from greengagetrack.platform import loads
from greengagetrack.platform import names
from greengagetrack.platform import reports
from greengagetrack.request import outcome

FREE_TIMEOUT_S = 1.0
# A server that asks for a longer pause is asked again after this.
PAUSE_MAX_S = 60.0
INPUT_GONE_STATUS = 409
UNAVAILABLE_STATUS = 503

_Reason = outcome.Reason
_Ran = outcome.Ran


class _Item(msgspec.Struct, omit_defaults=True):
    id: str
    stage: int
    piece: int
    left_ms: int | None = None
    key: str | None = None
    inputs: tuple[str, ...] | None = None


class _Items(msgspec.Struct):
    items: list[_Item]


class _Made(msgspec.Struct):
    handle: str = ""
    reason: str = ""


class _MadeItems(msgspec.Struct):
    items: list[_Made]


class _Handles(msgspec.Struct):
    handles: list[str]


_FAILURE_BY_REASON = {
    "late": gateway.PieceFailure.LATE,
    "gone": gateway.PieceFailure.INPUT_GONE,
    "room": gateway.PieceFailure.NO_ROOM,
}


class EngineAnswer(gateway.Answer):
    """The HTTP response of an engine."""

    __slots__ = (
        "_call",
        "claim",
        "connection_use",
        "framing",
        "headers",
        "is_events",
        "is_input_gone",
        "is_missing_version",
        "is_other_server",
        "opened_s",
        "status",
    )

    def __init__(self, call, head, request):
        self._call = call
        self.status = head.status
        self.claim = _get_claim(call, head, request.request_id)
        self.connection_use = _get_connection_use(call)
        self.framing = head.framing
        self.headers = fields.keep_end_to_end(
            head.headers, kept=names.ALWAYS_RETURNED
        )
        self.opened_s = call.opened_s
        is_misdirected = head.status == names.MISDIRECTED_STATUS
        # The status doesn't tell which expectation was not met.
        is_versioned = _expects_version(request)
        self.is_other_server = is_misdirected and not is_versioned
        self.is_missing_version = is_misdirected and is_versioned
        self.is_input_gone = head.status == INPUT_GONE_STATUS
        content_type = fields.get_value(head.headers, b"content-type", b"")
        self.is_events = content_type.startswith(names.EVENT_STREAM)

    async def receive_part(self):
        """Return bytes, None after a complete body, or a `Failure`."""
        part = await self._call.receive_part()
        if isinstance(part, failures.ResponseFailure):
            return _convert_failure(part)
        return part

    def find_end_problem(self):
        """Return what speaks against the end of an ended answer, or ""."""
        return self._call.find_end_problem()

    def finish(self):
        """End the call; an incomplete answer is cancelled."""
        self._call.finish()


def _get_claim(call, head, request_id):
    if _get_id(head) != request_id and not call.is_first:
        return gateway.Claim.UNNAMED
    if _is_not_run(head):
        return gateway.Claim.NOT_RUN
    if head.status in names.NOT_RUN_STATUSES:
        return gateway.Claim.UNMARKED
    return gateway.Claim.RAN


def _expects_version(request):
    """Return whether a caller names the version that is to answer."""
    name = names.EXPECT_VERSION.lower()
    return fields.get_value(request.headers, name) is not None


def _get_lane(request):
    """Return the lane of the connection of a request.

    An answer to HEAD has the length of a body, and none. If it comes once
    more, it is read as one to the request that is under way by then.
    """
    return request.method if request.method == b"HEAD" else b""


def _get_connection_use(call):
    return gateway.ConnectionUse(call.connection_number, call.request_number)


def _is_not_run(head):
    if head.status == names.MISDIRECTED_STATUS:
        return True
    return fields.get_value(head.headers, names.NOT_RUN.lower()) is not None


def _convert_failure(failure):
    if isinstance(failure, failures.NotSent):
        return gateway.Failure(
            _Reason.LINK_DOWN,
            _Ran.NO,
            failure.detail,
            is_connection_failure=True,
        )
    if isinstance(failure, failures.InvalidRequest):
        return gateway.Failure(_Reason.BODY_INVALID, _Ran.NO, failure.detail)
    return gateway.Failure(
        _Reason.BACKEND_FAILED,
        _Ran.UNKNOWN,
        failure.detail,
        is_connection_failure=failure.is_stale_connection,
    )


class EngineGateway(gateway.Gateway):
    """A gateway that calls engines over persistent connections."""

    __slots__ = ("_call_numbers", "_observer", "_pool")

    def __init__(self, pool):
        self._pool = pool
        self._call_numbers = itertools.count(1)
        self._observer = None

    def set_observer(self, observer):
        """Set the `ServerObserver` of all answers."""
        self._observer = observer

    def _observe(self, server, head, sent_s):
        """Tell the observer what an answer says of its server."""
        if self._observer is None or head.status == names.MISDIRECTED_STATUS:
            return
        if _get_text(head, names.SERVER_LEAVING) == "1":
            self._observer.record_leaving(server)
        if head.status == UNAVAILABLE_STATUS:
            pause_s = _read_seconds(_get_text(head, names.RETRY_AFTER))
            if pause_s is not None:
                self._observer.record_pause(server, pause_s)
        limit_text = _get_text(head, names.SERVER_LIMIT)
        limit_per_s = _read_amount(limit_text)
        if limit_per_s is not None or not limit_text:
            self._observer.record_limit(server, limit_per_s)
        warming_ms = _read_amount(_get_text(head, names.COLD_MS))
        if warming_ms:
            self._observer.record_warming(server, warming_ms / 1000)
        load = loads.read_load(_get_text(head, names.ENGINE_LOAD))
        if load is not None:
            self._observer.record_load(server, load, sent_s)

    def drop_connections(self, server):
        """Close the idle connections to a server that was removed."""
        self._pool.drop_connections(server.address)

    async def is_refusing(self, server):
        """Return whether a server refuses connections, as after a crash."""
        return await self._pool.is_refusing(server.address)

    async def ask_incarnation(self, server):
        """Return the incarnation that a server says it is, or a `Failure`.

        None if it doesn't say it, `OtherServer` if another one answers.
        """
        incarnation = await reports.ask_incarnation(
            self._pool, server.address, server.server_id
        )
        if isinstance(
            incarnation, failures.NotSent | failures.ResponseFailure
        ):
            return _convert_failure(incarnation)
        return incarnation

    async def open_answer(self, server, request):
        """Send a `ServerRequest`; return its `Answer` or a `Failure`."""
        head = heads.RequestHead(
            request.method, request.target, _new_headers(server, request)
        )
        sent_s = trio.current_time()
        call = await self._pool.open_call(
            server.address,
            head,
            request.body,
            needs_fresh_connection=request.needs_fresh_connection,
            lane=_get_lane(request),
            request_id=request.request_id,
            check=request.check,
        )
        if not isinstance(call, call_module.Call):
            return _convert_failure(call)
        answer = None
        try:
            response_head = await call.receive_head(
                functools.partial(_check_id, call, request.request_id)
            )
            if isinstance(response_head, failures.ResponseFailure):
                return msgspec.structs.replace(
                    _convert_failure(response_head),
                    connection_use=_get_connection_use(call),
                )
            call.update_idle_limit(response_head.headers)
            if _get_id(response_head) is None:
                # A copy of it could not be told from the next answer.
                call.end_connection()
            received = EngineAnswer(call, response_head, request)
            if received.claim is not gateway.Claim.UNNAMED:
                self._observe(server, response_head, sent_s)
            answer = received
            return answer
        finally:
            if answer is None:
                call.finish()

    async def run_pieces(self, server, pieces):
        """Make pieces in one call.

        Return a handle or a `PieceFailure` for each, or a `Failure`.
        """
        items = [
            _Item(
                id=piece.request_id,
                stage=piece.stage,
                piece=piece.number,
                left_ms=piece.left_ms,
                key=piece.key if piece.inputs is None else None,
                inputs=piece.inputs,
            )
            for piece in pieces
        ]
        response = await self._post(
            server,
            names.STAGE_RUN_PATH,
            _Items(items),
            functools.partial(_identify_made, items),
        )
        if isinstance(response, gateway.Failure):
            return response
        return _decode_made_items(response, len(pieces))

    async def free_results(self, address, handles):
        """Free results at `address`; return whether the server confirms."""
        response = None
        with trio.move_on_after(FREE_TIMEOUT_S):
            response = await self._exchange(
                address,
                names.STAGE_FREE_PATH,
                _Handles(handles),
                [],
                _identify_freed,
            )
        return isinstance(response, tuple) and response[0].status == 200

    async def _post(self, server, path, body, identify):
        instance_header = (names.EXPECT_INSTANCE, server.server_id.encode())
        sent_s = trio.current_time()
        response = await self._exchange(
            server.address, path, body, [instance_header], identify
        )
        if isinstance(response, gateway.Failure):
            return response
        head, data = response
        self._observe(server, head, sent_s)
        if head.status == 200:
            return data
        return gateway.Failure(
            _Reason.BACKEND_REFUSED,
            _Ran.NO if _is_not_run(head) else _Ran.UNKNOWN,
            f"status {head.status}",
            is_other_server=head.status == names.MISDIRECTED_STATUS,
            is_full=_is_full(head),
        )

    async def _exchange(self, address, path, body, headers, identify):
        """Return the head and the body of a response, or a `Failure`.

        Each path has connections of its own, see `_identify_freed`.
        """
        call_id = b"call-%x" % next(self._call_numbers)
        data = msgspec.json.encode(body)
        head = heads.RequestHead(
            b"POST",
            path,
            [
                (b"Host", address.encode()),
                (b"Content-Type", b"application/json"),
                (b"Content-Length", b"%d" % len(data)),
                (names.REQUEST_ID, call_id),
                *headers,
            ],
        )
        call = await self._pool.open_call(address, head, data, lane=path)
        if not isinstance(call, call_module.Call):
            return _convert_failure(call)
        try:
            response = await call.receive_response(
                lambda head, body: identify(call_id, head, body)
            )
        finally:
            call.finish()
        if isinstance(response, failures.ResponseFailure):
            return _convert_failure(response)
        return response


def _get_text(head, name):
    value = fields.get_value(head.headers, name.lower(), b"")
    return value.decode("latin-1").strip()


def _read_seconds(text):
    """Return a non-negative number of seconds, or None."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(seconds, PAUSE_MAX_S) if seconds >= 0 else None


def _read_amount(text):
    """Return a number that is finite and not negative, or None."""
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and amount >= 0 else None


def _is_full(head):
    """Return whether a server refuses a call since others wait there."""
    if head.status != UNAVAILABLE_STATUS or not _is_not_run(head):
        return False
    load = loads.read_load(_get_text(head, names.ENGINE_LOAD))
    return load is not None and load.is_full()


def _get_id(head):
    return fields.get_value(head.headers, names.REQUEST_ID.lower())


def _check_id(call, request_id, head):
    """Return whether a response is to a request; record its id if not."""
    is_own = _is_response_to(head, request_id)
    if not is_own:
        call.record_other_id(_get_id(head))
    return is_own


def _is_response_to(head, request_id):
    return _get_id(head) in (None, request_id)


def _identify_made(asked_items, call_id, head, body):
    """Return the `Identity` of the answer to a call for pieces.

    Many servers don't repeat the id of such a call. Then the results mark
    the answer: none of them is that of two pieces.
    """
    echoed = _get_id(head)
    if echoed is not None:
        return matching.Identity(echoed == call_id)
    items = _read_made_items(body) if head.status == 200 else ()
    if isinstance(items, gateway.Failure):
        items = ()
    # Two requests may have one id; then what they are made from differs.
    pieces = [
        (item.id, item.stage, item.piece, item.key, item.inputs)
        for item in asked_items
    ]
    return matching.Identity(
        None,
        {
            item.handle: piece
            for item, piece in zip(items, pieces, strict=False)
            if item.handle
        },
    )


def _identify_freed(call_id, head, _body):
    """Return the `Identity` of the answer to a request to free results.

    All such answers are alike. One without an id is taken for the own one:
    at worst the results are freed a moment later than it says.
    """
    return matching.Identity(_is_response_to(head, call_id))


def _read_made_items(data):
    try:
        return msgspec.json.decode(data, type=_MadeItems).items
    except document.DECODING_ERRORS as error:
        return gateway.Failure(
            _Reason.BACKEND_FAILED,
            _Ran.UNKNOWN,
            f"invalid list of pieces: {error}",
        )


def _decode_made_items(data, count):
    items = _read_made_items(data)
    if isinstance(items, gateway.Failure):
        return items
    handles = [item.handle for item in items if item.handle]
    if len(items) != count or len(set(handles)) != len(handles):
        return gateway.Failure(
            _Reason.BACKEND_FAILED,
            _Ran.UNKNOWN,
            "unexpected number of pieces, or one result twice",
        )
    return [_read_made(item) for item in items]


def _read_made(item):
    """Return the handle of a piece, or why it was not made."""
    if not item.handle:
        return _FAILURE_BY_REASON.get(item.reason, gateway.PieceFailure.ERROR)
    if handles_module.is_handle(item.handle):
        return item.handle
    return gateway.PieceFailure.ERROR


def _new_headers(server, request):
    headers = list(request.headers)
    headers.append((names.EXPECT_INSTANCE, server.server_id.encode()))
    headers.append((names.DEADLINE_MS, b"%d" % request.left_ms))
    if request.organisation is not None:
        headers.append((names.TENANT, request.organisation.encode()))
    if request.priority is not None:
        headers.append((names.REQUEST_PRIORITY, b"%d" % request.priority))
    if request.inputs:
        inputs = ",".join(request.inputs).encode()
        headers.append((names.INPUTS, inputs))
    if request.resume_after is not None:
        name = names.LAST_EVENT_ID.lower()
        headers = [header for header in headers if header[0].lower() != name]
        headers.append((names.LAST_EVENT_ID, request.resume_after))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return headers


def new_engine_gateway(pool):
    """Return a gateway that calls engines over `pool`."""
    return EngineGateway(pool)
