"""What servers' answers prove, and what callers are told of it."""

import pytest
import trio

from greengagetrack.connection import gateway
from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import loopback
from tests.direct import raw_entry

ORDER = fakes.new_route(repeat=catalog.Repeat.UNSAFE, attempts_max=2)
NOTE = fakes.new_route(repeat=catalog.Repeat.STREAM, attempts_max=2)
STOCK = fakes.new_route(attempts_max=2)
ROUTE_BY_NAME = {"order": ORDER, "note": NOTE, "stock": STOCK}
MARK = b"X-Not-Run: 1\r\n"
SEAL = b"X-Engine-Seal: s\r\n"
BODY = b"an error"
Claim = gateway.Claim


def new_answer(status, request_id=b"", fields=b""):
    """Return an answer; without `request_id` it names no request."""
    if request_id:
        fields += b"X-Request-Id: %s\r\n" % request_id
    length = b"Content-Length: %d\r\n" % len(BODY)
    head = b"HTTP/1.1 %d Any\r\n" % status + length + fields + b"\r\n"
    return head + BODY


STRAY = new_answer(503, fields=MARK)
INTERIM = b"HTTP/1.1 103 Early Hints\r\n" + MARK + b"\r\n"


class Site:
    """An entry, and raw servers that record requests."""

    def __init__(self, nursery, answer):
        self._nursery = nursery
        self._answer = answer
        # One for each request that reached a server.
        self.received_ids = []
        self.servers = []
        self.entry = None

    async def start(self, server_count):
        """Start servers and the entry."""
        for number in range(server_count):
            address = await loopback.start_raw_server(
                self._nursery, self._serve
            )
            server = fakes.new_server(f"s{number}", address=address)
            self.servers.append(server)
        self.entry = raw_entry.new_raw_entry(self._nursery, self.servers)

    async def _serve(self, stream):
        number = 0
        while head := await loopback.read_until(stream, b"\r\n\r\n"):
            request_id = head.partition(b"X-Request-Id: ")[2].split()[0]
            self.received_ids.append(request_id)
            await stream.send_all(self._answer(number, request_id))
            number += 1


def run(check, answer, server_count=1):
    """Run `await check(site)`.

    `answer(number, request_id)` returns what a server writes for the request
    with that number on its connection.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            site = Site(nursery, answer)
            await site.start(server_count)
            with trio.fail_after(loopback.LIMIT_S):
                await check(site)
            nursery.cancel_scope.cancel()

    trio.run(main)


async def open_answer(site, request_id):
    """Return the answer of the first server to a request."""
    headers = [(b"Host", b"h"), (b"X-Request-Id", request_id)]
    request = gateway.ServerRequest(
        request_id, b"GET", b"/", headers, b"", 500
    )
    answer = await site.entry.gateway.open_answer(site.servers[0], request)
    while await answer.receive_part():
        pass
    answer.finish()
    return answer


@pytest.mark.parametrize(
    ("status", "fields", "claim"),
    [
        (200, b"", Claim.RAN),
        (500, b"", Claim.RAN),
        (504, b"", Claim.RAN),
        (404, b"", Claim.RAN),
        (408, b"", Claim.UNMARKED),
        (429, b"", Claim.UNMARKED),
        (503, b"", Claim.UNMARKED),
        (503, b"Retry-After: 1\r\n", Claim.UNMARKED),
        (421, b"", Claim.NOT_RUN),
        (503, MARK, Claim.NOT_RUN),
        (429, MARK, Claim.NOT_RUN),
        (400, MARK, Claim.NOT_RUN),
    ],
)
@pytest.mark.parametrize("request_id", [b"mine", b""])
def test_claim_of_the_first_answer_on_a_connection(
    status, fields, claim, request_id
):
    async def check(site):
        answer = await open_answer(site, b"mine")
        assert answer.claim is claim

    run(check, lambda *_call: new_answer(status, request_id, fields))


def test_mark_of_an_interim_answer_is_none_of_the_last():
    async def check(site):
        answer = await open_answer(site, b"mine")
        assert answer.claim is Claim.UNMARKED

    run(check, lambda _number, request_id: INTERIM + new_answer(503, b"mine"))


def answer_after_a_stray(number, request_id):
    """Return an answer, on a used connection behind a refusal of nobody."""
    own = new_answer(200, request_id, SEAL)
    return STRAY + own if number else own


def find_untrue(route, new_failure):
    """Return the statuses that are answered with more than a plain 502."""
    untrue = []

    async def check(site):
        exchange = await site.entry.ask(route, b"mine")
        plain = (502, [], b"")
        if plain != (exchange.status, exchange.headers, exchange.body):
            untrue.append(exchange.status)

    for status in (408, 429, 503):
        answer = new_failure(status)
        run(check, lambda *_call, answer=answer: answer)
    return untrue


@pytest.mark.parametrize("route_name", sorted(ROUTE_BY_NAME))
def test_status_without_a_mark_is_not_passed_on(route_name):
    """A server ran a request, and its 503 told the caller that it hadn't."""
    route = ROUTE_BY_NAME[route_name]
    own = find_untrue(route, lambda n: new_answer(n, b"mine", SEAL))
    unnamed = find_untrue(route, lambda n: new_answer(n, b"", SEAL))
    interim = find_untrue(route, lambda n: INTERIM + new_answer(n, b"mine"))
    assert (own, unnamed, interim) == ([], [], [])


@pytest.mark.parametrize("route_name", ["note", "order"])
def test_refusal_of_no_request_is_not_believed(route_name):
    """It came where the answer was due, and the request ran twice."""

    async def check(site):
        statuses = set()
        for number in range(8):
            request_id = b"r%d" % number
            exchange = await site.entry.ask(
                ROUTE_BY_NAME[route_name], request_id
            )
            statuses.add(exchange.status)
            assert site.received_ids.count(request_id) == 1
        assert statuses == {200, 502}

    run(check, answer_after_a_stray, server_count=2)


@pytest.mark.parametrize("status", [400, 404, 422, 500, 502, 504, 507])
@pytest.mark.parametrize("route", [ORDER, NOTE])
def test_failure_that_promises_nothing_is_passed_on_unchanged(route, status):
    async def check(site):
        exchange = await site.entry.ask(route, b"mine")
        assert (exchange.status, exchange.body) == (status, BODY)
        assert (b"X-Engine-Seal", b"s") in exchange.headers

    run(check, lambda *_call: new_answer(status, b"mine", SEAL))


def test_request_that_provably_did_not_run_goes_to_another_server():
    refusals = [new_answer(503, b"mine", MARK)]

    def answer(_number, request_id):
        own = new_answer(200, request_id, SEAL)
        return refusals.pop() if refusals else own

    async def check(site):
        assert (await site.entry.ask(ORDER, b"mine")).status == 200
        assert site.received_ids == [b"mine", b"mine"]

    run(check, answer, server_count=2)


def test_log_tells_over_which_connection_a_request_was_sent(caplog):
    async def check(site):
        for number in range(2):
            await site.entry.ask(ORDER, b"r%d" % number)

    caplog.set_level("INFO", "greengagetrack")
    run(check, lambda _number, request_id: new_answer(200, request_id, SEAL))
    uses = [
        (record.connection, record.connection_request)
        for record in caplog.records
        if record.getMessage() == "request ended"
    ]
    assert uses == [(1, 1), (1, 2)]
