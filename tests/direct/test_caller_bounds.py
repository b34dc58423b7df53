"""What callers are told when a server has no room for them."""

import pytest
import trio

from greengagetrack.connection.http import closing
from greengagetrack.connection.http import server as server_module
from greengagetrack.process.direct import caller_account
from greengagetrack.process.direct.decisions import shedding
from greengagetrack.version import catalog
from tests.direct import loopback
from tests.direct import test_closed_connections

BODY_BYTES = 1024 * 1024
ANSWER = b"a" * 2 * BODY_BYTES
LIMITS = catalog.CallerLimits(body_max_bytes=BODY_BYTES)
# With `BODIES_MIN` bodies of this size, one large request fits.
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
LARGE = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n" % BODY_BYTES + b"x" * BODY_BYTES
SMALL = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
Reason = closing.CloseReason


class _Site:
    """A server whose account has room for one large request."""

    def __init__(self, answer, connections_max=10, is_for_checks=False):
        self.observer = test_closed_connections.RecordingObserver()
        self.account = caller_account.CallerAccount(0, 0, lambda: LIMITS)
        self.exchanges = []
        self._streams = []
        self._answer = answer
        self.server = server_module.new_server(
            "",
            self._handle,
            lambda: LIMITS,
            self.observer,
            bounds=self.account.new_bounds(connections_max, is_for_checks),
        )

    async def _handle(self, exchange):
        self.exchanges.append(exchange)
        await exchange.answer(200, [], self._answer)

    async def send(self, address, data):
        """Send data on a new connection, which stays open; return it."""
        stream = await loopback.open_stream(address)
        self._streams.append(stream)
        await stream.send_all(data)
        return stream

    async def wait_until_closed(self, reason):
        """Wait for the end of a connection for a reason."""
        with trio.fail_after(loopback.LIMIT_S):
            while reason not in [end.reason for end in self.observer.closed]:
                await trio.sleep(0.01)


def _run(check, answer=b"yes", **options):
    async def main():
        site = _Site(answer, **options)
        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(
                nursery, site.server.serve_connection
            )
            await check(site, address)
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("request_start", [LARGE, CHUNKED + CHUNK[:-1]])
def test_large_request_without_room_is_refused_before_its_body(request_start):
    async def check(site, address):
        await site.send(address, LARGE + b"x")
        await trio.sleep(0.05)
        answer = await loopback.read_all(
            await site.send(address, request_start)
        )
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: 1\r\n" in answer
        assert site.exchanges == []
        await site.wait_until_closed(Reason.NO_ROOM)
        small = await site.send(address, SMALL)
        assert b"yes" in await loopback.read_until(small, b"yes")

    _run(check)


@pytest.mark.parametrize("request_start", [LARGE, CHUNKED + CHUNK[:-1]])
def test_body_that_stands_still_is_refused_for_another(request_start):
    async def check(site, address):
        still = await site.send(address, request_start)
        await trio.sleep(shedding.STILL_S + 0.1)
        whole = await site.send(address, LARGE + b"x" * BODY_BYTES)
        assert b"yes" in await loopback.read_until(whole, b"yes")
        answer = await loopback.read_all(still)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert len(site.exchanges) == 1

    _run(check)


def test_answer_to_a_caller_that_reads_slowly_is_not_cut():
    async def check(site, address):
        slow = await site.send(address, LARGE + b"x" * BODY_BYTES)
        received = b""
        with trio.fail_after(loopback.LIMIT_S):
            while received.partition(b"\r\n\r\n")[2] != ANSWER:
                received += await slow.receive_some(BODY_BYTES // 8)
                await trio.sleep(0.05)
                await site.send(address, LARGE)
        assert received.startswith(b"HTTP/1.1 200 ")

    _run(check, ANSWER, connections_max=100)


def test_answer_that_nobody_reads_gives_its_room_back():
    async def check(site, address):
        # More than the buffers of both sockets take.
        await site.send(address, LARGE + b"x" * BODY_BYTES)
        await trio.sleep(shedding.STILL_S + 0.1)
        await site.send(address, LARGE)
        await site.wait_until_closed(Reason.NO_ROOM)
        assert not site.observer.closed[0].is_answered

    _run(check, ANSWER * 16)


def test_idle_connection_gives_way_to_a_new_one():
    async def check(site, address):
        idle = await site.send(address, SMALL)
        await loopback.read_until(idle, b"yes")
        small = await site.send(address, SMALL)
        assert b"yes" in await loopback.read_until(small, b"yes")
        assert await loopback.read_all(idle) == b""
        assert site.observer.closed[0].reason == Reason.TOO_MANY

    _run(check, connections_max=1)


def test_requests_ahead_end_a_connection_that_may_not_pipeline():
    async def check(site, address):
        answers = await loopback.read_all(await site.send(address, SMALL * 50))
        assert answers.count(b"yes") <= 1
        assert len(site.exchanges) == 1

    _run(check, is_for_checks=True)


def test_room_is_given_back_after_each_request():
    async def check(site, address):
        stream = await loopback.open_stream(address)
        for number in range(10):
            body = CHUNKED + CHUNK + b"\r\n0\r\n\r\n"
            if number % 2:
                body = LARGE + b"x" * BODY_BYTES
            await stream.send_all(body)
            assert b"yes" in await loopback.read_until(stream, b"yes")
        await trio.sleep(0.05)
        assert site.account.get_held_bytes() == 0

    _run(check)


@pytest.mark.parametrize("request_start", [LARGE + b"x", CHUNKED + CHUNK])
def test_room_is_given_back_when_the_caller_leaves(request_start):
    async def check(site, address):
        stream = await site.send(address, request_start)
        with trio.fail_after(loopback.LIMIT_S):
            while not site.account.get_held_bytes():
                await trio.sleep(0.01)
            await stream.aclose()
            while site.account.get_held_bytes():
                await trio.sleep(0.01)

    _run(check)


def test_bodies_give_way_where_only_checks_are_answered():
    """Bodies that move on held all connections of the readiness port."""

    async def check(site, address):
        for request_start in (CHUNKED, HEAD + b"Content-Length: 9\r\n\r\n"):
            body = await site.send(address, request_start)
            await trio.sleep(0.05)
            small = await site.send(address, SMALL)
            assert b"yes" in await loopback.read_until(small, b"yes")
            answer = await loopback.read_all(body)
            assert answer[:13] in (b"", b"HTTP/1.1 503 ")

    _run(check, is_for_checks=True, connections_max=1)


@pytest.mark.parametrize("ahead", [b"", SMALL])
def test_request_in_hand_is_answered_without_room_for_more(ahead, monkeypatch):
    """It was cancelled, though it may have been passed on."""
    account_class = caller_account.CallerAccount
    resize = account_class.resize

    def resize_down(account, share, size):
        return size <= share.size and resize(account, share, size)

    async def answer_late(exchange):
        monkeypatch.setattr(account_class, "resize", resize_down)
        await trio.sleep(0.2)
        await exchange.answer(200, [], b"yes")

    async def check(site, address):
        site.server.handle = answer_late
        stream = await site.send(address, LARGE + b"x" * BODY_BYTES)
        await trio.sleep(0.1)
        await stream.send_all(ahead)
        answers = await loopback.read_until(stream, b"yes")
        assert answers.count(b"yes") == 1

    _run(check)
