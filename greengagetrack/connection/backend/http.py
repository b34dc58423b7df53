"""Backend servers over HTTP; see docs/ref/backends.md."""

import contextlib

import httpx
import msgspec

from greengagetrack.connection.backend import base
from greengagetrack.connection import http_client
from greengagetrack.request import outcome

CONNECT_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 30.0
LINE_MAX_BYTES = 1024 * 1024
RESULT_MAX_BYTES = 1024 * 1024
# Others promise nothing, whatever they say.
REFUSAL_STATUSES = range(400, 600)


class _Line(msgspec.Struct):
    """One line of an engine's stream."""

    offset: int = 0
    tokens: list[str] = []
    done: bool = False
    engine_ms: float = 0.0
    reused_tokens: int = 0


class _Answer(msgspec.Struct):
    """The response of a pool or of a plain service."""

    result: msgspec.Raw
    engine_ms: float = 0.0


class _Problem(msgspec.Struct):
    """The body of an error response."""

    ran: outcome.Ran = outcome.Ran.UNKNOWN
    detail: str = ""
    retry_after_ms: int = 0


_line_decoder = msgspec.json.Decoder(_Line)
_answer_decoder = msgspec.json.Decoder(_Answer)
_problem_decoder = msgspec.json.Decoder(_Problem)
_load_decoder = msgspec.json.Decoder(base.BackendLoad)


def decode_line(line):
    """Return a decoded line of an engine's stream, or None if invalid."""
    if len(line) > LINE_MAX_BYTES:
        return None
    try:
        return _line_decoder.decode(line)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return None


def _decode_failure(response):
    if response.status_code not in REFUSAL_STATUSES:
        return _new_unknown_failure(
            ValueError(f"odd status {response.status_code}")
        )
    try:
        problem = _problem_decoder.decode(response.content)
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        problem = _Problem()
    return base.Failure(
        outcome.Reason.BACKEND_REFUSED,
        problem.ran,
        problem.detail or f"status {response.status_code}",
        problem.retry_after_ms,
    )


def _new_unknown_failure(error):
    detail = f"{type(error).__name__}: {error}"
    return base.Failure(
        outcome.Reason.BACKEND_FAILED, outcome.Ran.UNKNOWN, detail
    )


def _new_not_run_failure(error):
    detail = f"{type(error).__name__}: {error}"
    return base.Failure(outcome.Reason.BACKEND_FAILED, outcome.Ran.NO, detail)


class _HttpBackend(base.Backend):
    """Base class of the HTTP implementations."""

    __slots__ = ("_client", "_url")

    def __init__(self, client, url):
        self._client = client
        self._url = url

    async def get_load(self):
        """Return the `BackendLoad`, `LoadTimeout`, or None if it is down."""
        try:
            response = await self._client.get(
                f"{self._url}/v1/load", timeout=LOAD_TIMEOUT_S
            )
            response.raise_for_status()
            return _load_decoder.decode(response.content)
        except httpx.ReadTimeout:
            return base.LoadTimeout()
        except (httpx.HTTPError, msgspec.MsgspecError):
            return None

    async def load_model(self, model, fencing):
        """Make the engine load `model`; return whether it accepted."""
        body = {"action": "load", "model": model, "fencing": fencing}
        try:
            response = await self._client.post(
                f"{self._url}/v1/orders", json=body, timeout=ORDER_TIMEOUT_S
            )
        except httpx.HTTPError:
            return False
        return response.is_success

    async def close(self):
        """Close the connections."""
        await self._client.aclose()

    def _get_timeout(self, call):
        return httpx.Timeout(call.budget_s, connect=CONNECT_TIMEOUT_S)


class HttpEngine(_HttpBackend):
    """A model engine, which streams completions as JSON lines."""

    __slots__ = ()

    async def run(self, call):
        """Yield the events of a streamed completion."""
        body = {
            "request_id": call.call_id,
            "priority": call.priority,
            "resume_from": call.resume_from,
            "budget_ms": int(call.budget_s * 1000),
            "input": msgspec.Raw(call.payload),
        }
        request = self._client.build_request(
            "POST",
            f"{self._url}/v1/completions",
            content=msgspec.json.encode(body),
            timeout=self._get_timeout(call),
        )
        try:
            response = await self._client.send(request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            yield _new_not_run_failure(error)
            return
        except httpx.HTTPError as error:
            yield _new_unknown_failure(error)
            return
        async with contextlib.aclosing(response):
            async for event in self._read_events(call, response):
                yield event

    async def _read_events(self, call, response):
        try:
            if not response.is_success:
                await response.aread()
                yield _decode_failure(response)
                return
            expected = call.resume_from
            async for text in response.aiter_lines():
                line = decode_line(text)
                if line is None or line.offset != expected:
                    yield _new_unknown_failure(
                        ValueError("invalid line in the stream")
                    )
                    return
                expected += len(line.tokens)
                if line.tokens:
                    yield base.Tokens(line.tokens)
                if line.done:
                    result = msgspec.json.encode({"tokens": expected})
                    yield base.Result(
                        result, line.engine_ms, line.reused_tokens
                    )
                    return
        except httpx.HTTPError as error:
            yield _new_unknown_failure(error)
            return
        yield _new_unknown_failure(ValueError("the stream ended early"))


class HttpService(_HttpBackend):
    """A pool or a plain service, which returns one JSON response."""

    __slots__ = ()

    async def run(self, call):
        """Yield the single event of a call."""
        body = {
            "request_id": call.call_id,
            "priority": call.priority,
            "budget_ms": int(call.budget_s * 1000),
            "input": msgspec.Raw(call.payload),
        }
        try:
            response = await self._client.post(
                f"{self._url}/v1/call",
                content=msgspec.json.encode(body),
                timeout=self._get_timeout(call),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            yield _new_not_run_failure(error)
            return
        except httpx.HTTPError as error:
            yield _new_unknown_failure(error)
            return
        yield self._decode_response(response)

    def _decode_response(self, response):
        if not response.is_success:
            return _decode_failure(response)
        if len(response.content) > RESULT_MAX_BYTES:
            return _new_unknown_failure(ValueError("the result is too large"))
        try:
            answer = _answer_decoder.decode(response.content)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            return _new_unknown_failure(error)
        return base.Result(bytes(answer.result), answer.engine_ms)


def new_backend(kind, url):
    """Return the connection for a service kind: engine, pool or plain."""
    client = http_client.new_http_client(url)
    backend_class = HttpEngine if kind == "engine" else HttpService
    return backend_class(client, url.rstrip("/"))
