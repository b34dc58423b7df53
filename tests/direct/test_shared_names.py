"""Proofs that are taken from a name which two things share."""

import pytest
import trio

from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import loopback
from tests.direct import raw_entry

ANSWER = b"HTTP/1.1 %d Any\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
REFUSALS = 8


def _run(check, answer):
    """Run `await check(entry)` with an entry that knows one server, `s`.

    `answer(number, request_id)` returns what the server writes for the
    request with that number on its connection.
    """

    async def main():
        async def serve(stream):
            number = 0
            while head := await loopback.read_until(stream, b"\r\n\r\n"):
                value = head.partition(b"X-Request-Id:")[2]
                request_id = value.partition(b"\r\n")[0].strip() or b"none"
                await stream.send_all(answer(number, request_id))
                number += 1

        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(nursery, serve)
            server = fakes.new_server("s", address=address)
            entry = raw_entry.new_raw_entry(nursery, [server])
            with trio.fail_after(loopback.LIMIT_S):
                await check(entry)
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    ("header", "is_suspect"),
    [((b"X-Expect-Version", b"7"), False), ((b"X-Other", b"7"), True)],
)
def test_version_that_a_caller_expects_tells_nothing_of_the_server(
    header, is_suspect
):
    """A 421 is for a server of another id, or of another version."""

    async def check(entry):
        server = entry.get_server("s")
        for number in range(REFUSALS):
            exchange = await entry.ask(
                fakes.new_route(), b"r%d" % number, more_headers=[header]
            )
            assert exchange.status == 503
            assert server.is_suspect() is is_suspect
            assert server.lifetime.is_doubted() is is_suspect

    _run(check, lambda _number, request_id: ANSWER % (421, request_id))


def _new_copier(request_id, status, fields):
    """Return the answers of a server that writes one more before each.

    The first ones on their connections are sound. The one more names
    `request_id`, which is None if it names no request.
    """
    stray = b"HTTP/1.1 %d Any\r\n%sContent-Length: 0\r\n" % (status, fields)
    if request_id is not None:
        stray += b"X-Request-Id: %s\r\n" % request_id

    def answer(number, own_id):
        own = ANSWER % (200, own_id)
        return stray + b"\r\n" + own if number else own

    return answer


def test_answer_that_names_no_request_tells_nothing_of_the_server():
    """It is written over a used connection, and may be an old one."""

    async def check(entry):
        server = entry.get_server("s")
        route = fakes.new_route(attempts_max=1)
        for number in range(2):
            await entry.ask(route, b"r%d" % number)
        assert server.find_exclusion() is None
        assert not server.published.is_leaving
        assert server.limit.per_s is None

    fields = b"Retry-After: 9\r\nServer-Leaving: 1\r\nServer-Limit: 2\r\n"
    _run(check, _new_copier(None, 503, fields))


def test_answer_to_a_request_that_comes_later_is_not_its_own():
    """An answer was skipped by its id, and written again for that id."""

    async def check(entry):
        statuses = [
            (await entry.ask(fakes.new_route(), request_id)).status
            for request_id in (b"r0", b"r1", b"later")
        ]
        assert statuses == [200, 200, 200]

    _run(check, _new_copier(b"later", 503, b"X-Not-Run: 1\r\n"))


@pytest.mark.parametrize("status", [200, 503])
def test_request_without_an_id_is_answered_over_a_connection_of_its_own(
    status,
):
    """Only the first answer on a connection is known to be its own."""
    nameless = b"HTTP/1.1 %d Any\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    sound = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

    def answer(_number, request_id):
        if request_id != b"none":
            return ANSWER % (200, request_id)
        return sound if status == 200 else nameless % status

    async def check(entry):
        route = fakes.new_route(repeat=catalog.Repeat.UNSAFE, attempts_max=1)
        for _request in range(2):
            assert (await entry.ask(route, b"named")).status == 200
            exchange = await entry.ask(route, b"")
            assert exchange.status == status

    _run(check, answer)
