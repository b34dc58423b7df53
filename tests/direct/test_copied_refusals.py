"""Answers that a server writes once more where their request comes again.

Such a copy names the request that is under way, so its id tells nothing.
"""

import pytest
import trio

from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import loopback
from tests.direct import raw_entry

ROUTE_BY_NAME = {
    "order": fakes.new_route(repeat=catalog.Repeat.UNSAFE),
    "note": fakes.new_route(repeat=catalog.Repeat.STREAM),
    "draft": fakes.new_route(repeat=catalog.Repeat.STREAM, is_resumable=True),
    "stock": fakes.new_route(),
}
REQUEST_COUNT = 8
ANSWER = (
    b"HTTP/1.1 %d Any\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s"
)
MARK = b"X-Not-Run: 1\r\n"
SEAL = b"X-Engine-Seal: s\r\n"


def new_refusal(status, request_id):
    """Return the refusal of a request that did not run."""
    return ANSWER % (status, request_id, 0, MARK, b"")


class CopyingServer:
    """A server that keeps each first answer to a request on a connection.

    It writes that once more if the request comes again over the connection.
    A request that is for another id than its own is refused, and told of by
    `on_misdirected`. While `is_full`, each request is refused.
    """

    def __init__(self):
        self.server_id = "s"
        self.is_full = False
        self.on_misdirected = None
        self.runs_by_request = {}

    async def serve(self, stream):
        """Serve the requests of one connection."""
        first_by_request = {}
        while head := await loopback.read_until(stream, b"\r\n\r\n"):
            if b"/api/report" in head:
                await stream.send_all(loopback.REPORT)
                continue
            request_id = head.partition(b"X-Request-Id: ")[2].split()[0]
            copy = first_by_request.get(request_id, b"")
            answer = self._answer(head, request_id)
            first_by_request.setdefault(request_id, answer)
            await stream.send_all(copy + answer)

    def _answer(self, head, request_id):
        expected_id = head.partition(b"X-Expect-Instance: ")[2].split()[0]
        if expected_id != self.server_id.encode():
            self.on_misdirected()
            return new_refusal(421, request_id)
        if self.is_full:
            return new_refusal(503, request_id)
        runs = self.runs_by_request.get(request_id, 0) + 1
        self.runs_by_request[request_id] = runs
        body = b"run %d" % runs
        return ANSWER % (200, request_id, len(body), SEAL, body)


def run(check):
    """Run `await check(entry, server)`; the entry knows the server."""

    async def main():
        async with trio.open_nursery() as nursery:
            server = CopyingServer()
            address = await loopback.start_raw_server(nursery, server.serve)
            entry = raw_entry.new_raw_entry(
                nursery, [fakes.new_server(server.server_id, address=address)]
            )

            def publish():
                entry.publish(
                    fakes.new_server(server.server_id, address=address)
                )

            server.on_misdirected = publish
            with trio.fail_after(loopback.LIMIT_S):
                await check(entry, server)
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("route_name", sorted(ROUTE_BY_NAME))
def test_copied_refusal_is_not_believed_of_a_renamed_server(route_name):
    """The server ran what callers were told had not run.

    The entry learns of its new id while its refusal is under way.
    """

    async def check(entry, server):
        route = ROUTE_BY_NAME[route_name]
        for number in range(REQUEST_COUNT):
            server.server_id = f"s{number}"
            exchange = await entry.ask(route, b"r%d" % number)
            assert (exchange.status, exchange.body) == (200, b"run 1")

    run(check)


@pytest.mark.parametrize("route_name", sorted(ROUTE_BY_NAME))
def test_copied_refusal_is_not_believed_of_a_repeated_id(route_name):
    """A caller came back with the id that had been refused."""

    async def check(entry, server):
        route = ROUTE_BY_NAME[route_name]
        for number in range(REQUEST_COUNT):
            request_id = b"r%d" % number
            server.is_full = True
            assert (await entry.ask(route, request_id)).status == 503
            server.is_full = False
            exchange = await entry.ask(route, request_id)
            assert (exchange.status, exchange.body) == (200, b"run 1")

    run(check)


@pytest.mark.parametrize("route_name", sorted(ROUTE_BY_NAME))
def test_copied_answer_is_not_given_to_a_repeated_id(route_name):
    """A caller got the answer to an earlier request with its id."""

    async def check(entry, _server):
        route = ROUTE_BY_NAME[route_name]
        bodies = [(await entry.ask(route, b"r")).body for _send in range(3)]
        assert bodies == [b"run 1", b"run 2", b"run 3"]

    run(check)
