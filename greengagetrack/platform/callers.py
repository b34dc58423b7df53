"""The callers' HTTP interface: requests, responses and statuses."""

from greengagetrack.connection.http import fields
from greengagetrack.connection.http import numbers
from greengagetrack.platform import names
from greengagetrack.request.direct import reply as reply_module
from greengagetrack.request.direct import request as request_module
from greengagetrack.request import outcome as outcome_module

RETRY_AFTER = b"Retry-After"

# Beyond these, values in the head of a request are not read.
DEADLINE_MAX_MS = 86_400_000
TOKENS_MAX = 1_000_000_000
PIECES_MAX = 4096

_Reason = outcome_module.Reason

_STATUS_BY_REASON = {
    _Reason.PIPELINE_UNKNOWN: 404,
    _Reason.ORGANISATION_UNKNOWN: 401,
    _Reason.BODY_INVALID: 400,
}


class HttpReply(reply_module.Reply):
    """A `Reply` that responds to one HTTP exchange."""

    __slots__ = ("_exchange",)

    def __init__(self, exchange):
        self._exchange = exchange

    @property
    def is_started(self):
        """Whether part of the response was sent."""
        return self._exchange.is_started

    def record_passed_on(self):
        """Record that the request may be sent to a server from now on."""
        self._exchange.is_passed_on = True

    async def send_whole(self, status, headers, body, framing):
        """Send a complete response."""
        await self._exchange.answer(status, headers, body, framing)

    async def start(self, status, headers, framing):
        """Send the status and headers of a stream."""
        await self._exchange.start(status, headers, framing)

    async def send_part(self, data):
        """Send bytes of the stream."""
        await self._exchange.send(data)

    async def finish(self):
        """Mark the stream as complete."""
        await self._exchange.finish()


async def serve_exchange(entry, exchange):
    """Serve one HTTP exchange of a caller with `entry`."""
    request = read_request(exchange)
    exchange.request_id = request.log_id
    outcome = await entry.serve(request, HttpReply(exchange))
    if exchange.is_started:
        return
    status, headers = get_error_response(outcome)
    await exchange.answer(status, [*_new_id_header(request), *headers])


def _new_id_header(request):
    return [(names.REQUEST_ID, request.request_id)]


def get_error_response(outcome):
    """Return the status and headers for the outcome of a failed request."""
    if isinstance(outcome, outcome_module.Refused):
        status = _STATUS_BY_REASON.get(outcome.reason, 503)
        if status != 503 or outcome.retry_after_ms is None:
            return status, []
        seconds = f"{outcome.retry_after_ms / 1000:.3f}".encode()
        return status, [(RETRY_AFTER, seconds)]
    if outcome.reason in (_Reason.DEADLINE_PASSED, _Reason.AGENT_SILENT):
        return 504, []
    return 502, []


def read_request(exchange):
    """Return the `DirectRequest` of an exchange."""
    headers = exchange.headers
    host = _get_text(headers, b"host").partition(":")[0].lower()
    parts = _read_parts(_get_text(headers, names.PROMPT_PREFIX.lower()))
    tokens = _read_counts(headers, names.TOKEN_COUNTS, TOKENS_MAX) or ()
    return request_module.DirectRequest(
        request_id=fields.get_value(headers, names.REQUEST_ID.lower(), b""),
        method=exchange.method,
        target=exchange.target,
        host=host,
        headers=fields.keep_end_to_end(
            headers, names.NOT_FORWARDED, names.ALWAYS_FORWARDED
        ),
        body=exchange.body,
        received_s=exchange.received_s,
        deadline_ms=_read_deadline(headers),
        api_key=_get_text(headers, names.API_KEY.lower()) or None,
        parts=parts,
        prompt_tokens=tokens[0] if tokens else 0,
        output_tokens=tokens[1] if len(tokens) > 1 else 0,
        piece_counts=_read_counts(headers, names.PIECES, PIECES_MAX),
        piece_key=_get_text(headers, names.PIECE_KEY.lower()),
        resume_after=fields.get_value(headers, names.LAST_EVENT_ID.lower()),
        resumed_id=fields.get_value(headers, names.RESUMES.lower(), b""),
    )


def _get_text(headers, name):
    return fields.get_value(headers, name, b"").decode("latin-1").strip()


def _read_deadline(headers):
    text = _get_text(headers, names.DEADLINE_MS.lower())
    deadline_ms = numbers.read_count(text, DEADLINE_MAX_MS)
    return None if deadline_ms is None else float(deadline_ms)


def _read_counts(headers, name, maximum):
    """Return the numbers of a list, or None if one can't be read."""
    text = _get_text(headers, name.lower())
    if not text:
        return ()
    counts = [
        numbers.read_count(word.strip(), maximum) for word in text.split(",")
    ]
    return None if None in counts else tuple(counts)


def _read_parts(text):
    parts = []
    for word in text.split(","):
        part_id, _separator, tokens_text = word.strip().partition(":")
        tokens = numbers.read_count(tokens_text, TOKENS_MAX)
        if tokens is None:
            return ()
        parts.append((part_id, tokens))
    return tuple(parts)
