"""Requests over a link to a peer that takes its time."""

import socket

import trio

from greengagetrack.connection import direct_messages
from greengagetrack.connection import nng
from tests.direct import fakes

# The time that pieces may take where many wait.
WORK_S = 3.5
LIMIT_S = 10.0


def _find_free_address():
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % free.getsockname()[1]


def test_request_that_takes_long_is_made_once():
    """It was sent again while the reply was under way."""
    received = []

    async def make(message):
        received.append(message)
        await trio.sleep(WORK_S)
        return direct_messages.MakePiecesReply([])

    async def main():
        address = _find_free_address()
        async with trio.open_nursery() as nursery:
            server = nng.new_server(address, fakes.KEYS)
            await nursery.start(server.serve, make)
            link = nng.new_link_factory(fakes.KEYS).open_link(address)
            message = direct_messages.MakePieces("s", "a", "r", 0, [0], 1, 1)
            with trio.fail_after(LIMIT_S):
                while not link.is_up():
                    await trio.sleep(0.01)
                reply = await link.request(message, LIMIT_S)
            nursery.cancel_scope.cancel()
            link.close()
        assert reply == direct_messages.MakePiecesReply([])

    trio.run(main)
    assert len(received) == 1
