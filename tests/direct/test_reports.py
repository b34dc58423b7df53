"""What engines say of their lifetime, well-formed or not."""

import pytest
import trio

from greengagetrack.connection import gateway
from greengagetrack.connection.http.client import failures
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.platform import reports
from tests.direct import loopback

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"


def _ask(response):
    """Return what is read from an engine that sends `response`."""
    results = []

    async def main():
        async def handle(stream):
            await loopback.read_until(stream, b"\r\n\r\n")
            await stream.send_all(response)
            await stream.aclose()

        async with trio.open_nursery() as nursery:
            pool = pool_module.new_pool(nursery)
            address = await loopback.start_raw_server(nursery, handle)
            with trio.fail_after(loopback.LIMIT_S):
                results.append(
                    await reports.ask_incarnation(pool, address, "s")
                )
            nursery.cancel_scope.cancel()

    trio.run(main)
    return results[0]


def _new_response(body, content_type=b"application/json"):
    return HEAD % (content_type, len(body)) + body


def test_a_report_names_the_incarnation():
    assert _ask(_new_response(b'{"stage":"mixed","born":1764923}')) == 1764923


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[1]",
        b'{"born":"1"}',
        b'{"born":-1}',
        b'{"born":1e3000}',
        b'{"born":%s}' % (b"9" * 5000),
        b'{"born":%s}' % (b"[" * 5000),
        b'{"born":\xff}',
    ],
)
def test_an_odd_report_names_none(body):
    assert _ask(_new_response(body)) is None


def test_an_answer_that_is_no_report_names_none():
    assert _ask(_new_response(b'{"born":1}', b"text/event-stream")) is None
    assert _ask(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n") is None


@pytest.mark.parametrize(
    "response",
    [b"", b"\x00\x00\r\n\r\n", _new_response(b'{"born":1}')[:-1]],
)
def test_a_broken_report_is_a_failure(response):
    assert isinstance(_ask(response), failures.ResponseFailure)


@pytest.mark.parametrize("size", [0, 1, 8, 9])
def test_a_part_of_a_report_without_length_is_a_failure(size):
    """It was one that names no incarnation; the source spoke instead."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
    report = b'{"born":1}'
    assert isinstance(_ask(head + report[:size]), failures.ResponseFailure)
    assert _ask(head + report) == 1


def test_a_report_of_another_server_is_none_of_the_one_that_was_asked():
    answer = _ask(b"HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n")
    assert answer == gateway.OtherServer()


def test_question_over_a_connection_that_just_closed_is_asked_again():
    answers = []
    connections = []

    async def handle(stream):
        connections.append(stream)
        await loopback.read_until(stream, b"\r\n\r\n")
        await stream.send_all(loopback.REPORT)
        await loopback.read_until(stream, b"\r\n\r\n")
        loopback.reset(stream)

    async def main():
        async with trio.open_nursery() as nursery:
            address = await loopback.start_raw_server(nursery, handle)
            pool = pool_module.new_pool(nursery)
            for _number in range(2):
                answers.append(
                    await reports.ask_incarnation(pool, address, "s")
                )
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert answers == [0, 0]
    assert len(connections) == 2
