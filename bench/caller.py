"""An HTTP client for load runs, which checks the answers it receives."""

import secrets

import httpx
import msgspec
import trio

from bench.standins import records as records_module

TIMEOUT_MARGIN_S = 3.0


class PlannedRequest(msgspec.Struct, frozen=True):
    """A request to send: its pipeline, organisation, region and time."""

    pipeline: str
    organisation: str
    region: str
    at_s: float = 0.0
    deadline_ms: int = 5000
    tokens: int = 0
    is_order: bool = False
    kind: str = "night"


class Answer(msgspec.Struct):
    """The outcome of one request as the caller saw it."""

    plan: PlannedRequest
    marker: str
    outcome: str = "lost"
    ran: str = ""
    reason: str = ""
    latency_s: float = 0.0
    first_token_s: float | None = None
    is_misdelivered: bool = False
    is_cut: bool = False
    retry_after_ms: int = 0
    request_id: str = ""
    sent_s: float = 0.0
    identity: str = "neither"  # or "ticket" or "key"
    url: str = ""

    def is_in_time(self):
        """Return whether a whole answer arrived within the deadline."""
        overdue_s = self.latency_s - self.plan.deadline_ms / 1000
        return self.outcome == "whole" and overdue_s <= 0


class _Tokens(msgspec.Struct):
    offset: int
    tokens: list[str]


class _Body(msgspec.Struct):
    request_id: str = ""
    result: dict = {}
    outcome: str = ""
    reason: str = ""
    ran: str = ""
    retry_after_ms: int = 0


def new_marker():
    """Return a random text that identifies one request."""
    return secrets.token_hex(6)


class Caller:
    """Sends requests to entries and checks their answers."""

    def __init__(self, client, on_tokens=None):
        self._client = client
        self._on_tokens = on_tokens

    async def get_ticket(self, url, plan):
        """Return a ticket for an order, or an empty string on failure."""
        headers = {"Greengagetrack-Organisation": plan.organisation}
        try:
            response = await self._client.post(
                f"{url}/v1/tickets/{plan.pipeline}",
                headers=headers,
                timeout=TIMEOUT_MARGIN_S,
            )
        except httpx.HTTPError:
            return ""
        if response.status_code != httpx.codes.CREATED:
            return ""
        return response.json()["ticket"]

    async def send(self, url, plan, marker, ticket="", key=""):
        """Send one request and return its `Answer`."""
        answer = Answer(plan, marker, sent_s=trio.current_time(), url=url)
        headers = {
            "Greengagetrack-Organisation": plan.organisation,
            "Greengagetrack-Kind": plan.kind,
            "Greengagetrack-Deadline-Ms": str(plan.deadline_ms),
        }
        if ticket or key:
            answer.identity = "ticket" if ticket else "key"
        if ticket:
            headers["Greengagetrack-Ticket"] = ticket
        if key:
            headers["Idempotency-Key"] = key
        if plan.tokens:
            headers["Accept"] = "text/event-stream"
        timeout_s = plan.deadline_ms / 1000 + TIMEOUT_MARGIN_S
        request = self._client.build_request(
            "POST",
            f"{url}/v1/pipelines/{plan.pipeline}",
            json={"marker": marker, "text": "night"},
            headers=headers,
            timeout=timeout_s,
        )
        with trio.move_on_after(timeout_s):
            try:
                await self._receive(request, plan, answer)
            except httpx.ConnectError:
                answer.outcome = "refused"
                answer.ran = "no"
                answer.reason = "not_connected"
            except httpx.HTTPError as error:
                answer.reason = type(error).__name__
                answer.is_cut = answer.first_token_s is not None
        answer.latency_s = trio.current_time() - answer.sent_s
        return answer

    async def _receive(self, request, plan, answer):
        response = await self._client.send(request, stream=True)
        try:
            content_type = response.headers.get("Content-Type", "")
            if content_type.startswith("text/event-stream"):
                await self._read_events(response, plan, answer)
            else:
                body = await response.aread()
                self._read_body(body, plan, answer)
        finally:
            await response.aclose()

    def _read_body(self, body, plan, answer):
        decoded = msgspec.json.decode(body, type=_Body)
        answer.request_id = decoded.request_id
        if decoded.outcome == "whole":
            self._check_result(decoded.result, plan, answer)
        else:
            self._record_problem(decoded, answer)

    def _record_problem(self, problem, answer):
        answer.request_id = problem.request_id
        answer.outcome = problem.outcome or "lost"
        answer.reason = problem.reason
        answer.ran = problem.ran
        answer.retry_after_ms = problem.retry_after_ms

    def _check_result(self, result, plan, answer):
        if plan.tokens:
            text = records_module.get_text(answer.marker, plan.tokens)
            is_correct = result.get("text") == text
        else:
            is_correct = result.get("marker") == answer.marker
        answer.is_misdelivered = not is_correct
        answer.outcome = "whole" if is_correct else "wrong"

    async def _read_events(self, response, plan, answer):
        name = ""
        tokens = []
        async for line in response.aiter_lines():
            if line.startswith("event: "):
                name = line.removeprefix("event: ")
            elif line.startswith("data: "):
                data = line.removeprefix("data: ").encode()
                self._handle_event(name, data, tokens, plan, answer)
        if answer.outcome == "lost":
            answer.is_cut = True
        expected = [
            records_module.get_token(answer.marker, index)
            for index in range(len(tokens))
        ]
        if tokens != expected:
            answer.is_misdelivered = True
            answer.outcome = "wrong"

    def _handle_event(self, name, data, tokens, plan, answer):
        if name == "tokens":
            event = msgspec.json.decode(data, type=_Tokens)
            if answer.first_token_s is None:
                answer.first_token_s = trio.current_time() - answer.sent_s
            if event.offset != len(tokens):
                answer.is_misdelivered = True
            tokens += event.tokens
            if self._on_tokens is not None:
                self._on_tokens(event.tokens)
        elif name == "done":
            body = msgspec.json.decode(data, type=_Body)
            answer.request_id = body.request_id
            self._check_result(body.result, plan, answer)
            if len(tokens) != plan.tokens:
                answer.is_misdelivered = True
        else:
            body = msgspec.json.decode(data, type=_Body)
            self._record_problem(body, answer)


def new_caller(on_tokens=None):
    """Return a caller; `on_tokens` is called with streamed tokens."""
    limits = httpx.Limits(max_connections=2000, max_keepalive_connections=200)
    client = httpx.AsyncClient(limits=limits, trust_env=False)
    return Caller(client, on_tokens)
