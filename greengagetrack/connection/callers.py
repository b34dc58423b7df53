"""The HTTP API for callers, with JSON or server-sent events."""

import logging
import re
import secrets

import msgspec
import quart
import quart_trio
import trio

from greengagetrack.connection import problems
from greengagetrack.process import admission
from greengagetrack.request import outcome as outcome_module

BODY_MAX_BYTES = 256 * 1024
BODY_TIMEOUT_S = 10
EVENT_QUEUE_MAX = 4096
HEADER_PREFIX = "Greengagetrack-"
EVENT_STREAM = "text/event-stream"

_Reason = outcome_module.Reason
_log = logging.getLogger(__name__)
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")


class _Answer(msgspec.Struct):
    """The body of the response with a complete result."""

    request_id: str
    outcome: str
    result: msgspec.Raw


class _TicketAnswer(msgspec.Struct):
    """The body of the response with a ticket."""

    ticket: str


class _TokensEvent(msgspec.Struct):
    """The data of a `tokens` event; `offset` is that of the first one."""

    offset: int
    tokens: list[str]


def _json_response(
    body, status=200, content_type="application/json", headers=None
):
    return quart.Response(
        msgspec.json.encode(body),
        status,
        headers=headers,
        content_type=content_type,
    )


def _problem_response(outcome, request_id):
    problem = problems.new_problem(outcome, request_id)
    seconds = max(1, -(-outcome.retry_after_ms // 1000))
    headers = {"Retry-After": str(seconds)}
    return _json_response(
        problem, problem.status, problems.CONTENT_TYPE, headers
    )


def _read_header(name, default=""):
    return quart.request.headers.get(HEADER_PREFIX + name, default)


def _read_budget_ms():
    """Return the caller's deadline, None without one, or `Refused`."""
    text = _read_header("Deadline-Ms")
    if not text:
        return None
    if not re.fullmatch(r"-?\d{1,12}", text):
        detail = (
            f"{HEADER_PREFIX}Deadline-Ms must be a number, not '{text[:40]}'."
        )
        return outcome_module.Refused(_Reason.DEADLINE_INVALID, detail)
    return int(text)


async def _read_body():
    """Return the body as compact JSON, or `Refused`."""
    body = await quart.request.get_data()
    if len(body) > BODY_MAX_BYTES:
        detail = f"The body is over {BODY_MAX_BYTES} bytes."
        return outcome_module.Refused(_Reason.BODY_TOO_LARGE, detail)
    try:
        decoded = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        detail = f"The body is not JSON: {error}."
        return outcome_module.Refused(_Reason.BODY_INVALID, detail)
    if not isinstance(decoded, dict):
        detail = "The body must be a JSON object."
        return outcome_module.Refused(_Reason.BODY_INVALID, detail)
    return msgspec.json.encode(decoded)


async def _read_request(pipeline, request_id):
    """Return the `Request` of a caller, or `Refused`."""
    budget_ms = _read_budget_ms()
    if isinstance(budget_ms, outcome_module.Refused):
        return budget_ms
    key = quart.request.headers.get("Idempotency-Key", "")
    if key and not _KEY_PATTERN.fullmatch(key):
        detail = "Idempotency-Key must be 1 to 255 visible characters."
        return outcome_module.Refused(_Reason.KEY_INVALID, detail)
    body = await _read_body()
    if isinstance(body, outcome_module.Refused):
        return body
    return admission.Request(
        request_id=request_id,
        pipeline=pipeline,
        organisation=_read_header("Organisation"),
        kind=_read_header("Kind"),
        body=body,
        budget_ms=budget_ms,
        idempotency_key=key,
        ticket=_read_header("Ticket"),
    )


def _wants_events():
    return EVENT_STREAM in quart.request.headers.get("Accept", "")


def _encode_event(name, body):
    data = msgspec.json.encode(body)
    return b"event: " + name.encode() + b"\ndata: " + data + b"\n\n"


async def _respond_with_result(entry, request):
    outcome = await entry.serve(request, lambda offset, tokens: None)
    if isinstance(outcome, outcome_module.Whole):
        answer = _Answer(
            request.request_id, "whole", msgspec.Raw(outcome.result)
        )
        return _json_response(answer)
    return _problem_response(outcome, request.request_id)


async def _stream_events(entry, request):
    """Yield the events of a request, the last one with its outcome.

    A stream that ends without a `done` or `problem` event is incomplete.
    """
    send, receive = trio.open_memory_channel(EVENT_QUEUE_MAX)

    async def run():
        async with send:
            outcome = await entry.serve(
                request,
                lambda offset, tokens: send.send_nowait(
                    ("tokens", _TokensEvent(offset, tokens))
                ),
            )
            if isinstance(outcome, outcome_module.Whole):
                answer = _Answer(
                    request.request_id, "whole", msgspec.Raw(outcome.result)
                )
                await send.send(("done", answer))
            else:
                problem = problems.new_problem(outcome, request.request_id)
                await send.send(("problem", problem))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        async with receive:
            async for name, body in receive:
                yield _encode_event(name, body)
        nursery.cancel_scope.cancel()


def _add_pipeline_routes(app, entry):
    @app.post("/v1/pipelines/<name>")
    async def run_pipeline(name):
        request_id = secrets.token_hex(8)
        request = await _read_request(name, request_id)
        if isinstance(request, outcome_module.Refused):
            return _problem_response(request, request_id)
        if _wants_events():
            return quart.Response(
                _stream_events(entry, request), 200, content_type=EVENT_STREAM
            )
        return await _respond_with_result(entry, request)

    @app.post("/v1/tickets/<name>")
    async def issue_ticket(name):
        organisation = _read_header("Organisation")
        token = await entry.issue_ticket(name, organisation)
        if isinstance(token, outcome_module.Refused):
            return _problem_response(token, "")
        return _json_response(_TicketAnswer(token), 201)


def _add_health_routes(app, entry):
    @app.get("/healthz")
    async def healthz():
        return quart.Response("ok\n", content_type="text/plain")

    @app.get("/readyz")
    async def readyz():
        if entry.is_ready():
            return quart.Response("ready\n", content_type="text/plain")
        return quart.Response("not ready\n", 503, content_type="text/plain")

    @app.get("/metrics")
    async def metrics():
        accept = quart.request.headers.getlist("Accept")
        body, headers = entry.metrics.render(accept)
        return quart.Response(body, headers=headers)


def _add_error_routes(app):
    @app.errorhandler(413)
    async def body_too_large(_error):
        detail = f"The body is over {BODY_MAX_BYTES} bytes."
        refused = outcome_module.Refused(_Reason.BODY_TOO_LARGE, detail)
        return _problem_response(refused, "")

    @app.errorhandler(408)
    async def body_timed_out(_error):
        detail = f"The body did not come within {BODY_TIMEOUT_S} s."
        refused = outcome_module.Refused(_Reason.BODY_INVALID, detail)
        return _problem_response(refused, "")


def new_app(entry):
    """Return the HTTP application for the callers of `entry`."""
    app = quart_trio.QuartTrio("greengagetrack")
    app.config["MAX_CONTENT_LENGTH"] = BODY_MAX_BYTES
    app.config["BODY_TIMEOUT"] = BODY_TIMEOUT_S
    # The deadline of a request limits the duration of its stream.
    app.config["RESPONSE_TIMEOUT"] = None
    _add_pipeline_routes(app, entry)
    _add_health_routes(app, entry)
    _add_error_routes(app)
    return app
