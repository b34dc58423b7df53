"""Proofs that are taken from a name which two things share."""

import pytest
import trio

from tests.direct import fakes
from tests.direct import loopback
from tests.direct import raw_entry

ANSWER = b"HTTP/1.1 %d Any\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
REFUSALS = 8


def _run(check, answer):
    """Run `await check(entry)` with an entry that knows one server, `s`.

    `answer(head, request_id)` returns what the server writes for a request.
    """

    async def main():
        async def serve(stream):
            while head := await loopback.read_until(stream, b"\r\n\r\n"):
                request_id = head.partition(b"X-Request-Id: ")[2].split()[0]
                await stream.send_all(answer(head, request_id))

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

    _run(check, lambda _head, request_id: ANSWER % (421, request_id))
