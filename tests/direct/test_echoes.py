"""Copies of answers, with ids that a server repeats in many ways.

Whatever comes, a request that ran is not said to have not run, and an answer
that is passed on is its own.
"""

import random

import pytest
import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.platform import engines
from greengagetrack.request import outcome
from tests.direct import fakes
from tests.direct import loopback

Claim = gateway_module.Claim
SEEDS = 3
ROUNDS = 30
# Chosen: an answer that doesn't come in time is as good as a failure here.
TIMEOUT_S = 0.03
ID_MAX_BYTES = 64
# The values of the ids of requests, which come again and again.
IDS = [
    [],
    [b""],
    [b"a"],
    [b"A"],
    [b"a b"],
    [b"a  b"],
    [b"b"],
    [b"a", b"b"],
    [b"a, b"],
    [b"\xe9"],
    [b"x" * ID_MAX_BYTES],
    [b"x" * (ID_MAX_BYTES + 1)],
]
ECHO_BY_NAME = {
    "first": lambda ids, _random: ids[:1],
    "all": lambda ids, _random: ids,
    "last": lambda ids, _random: ids[-1:],
    "joined": lambda ids, _random: [b", ".join(ids)] if ids else [],
    "lowercase": lambda ids, _random: [value.lower() for value in ids[:1]],
    "squeezed": lambda ids, _random: [b" ".join(v.split()) for v in ids[:1]],
    "cut": lambda ids, _random: [value[:ID_MAX_BYTES] for value in ids[:1]],
    "none": lambda _ids, _random: [],
    "sometimes": lambda ids, generator: generator.choice([ids[:1], []]),
}
REFUSAL_STATUSES = (400, 421, 429, 503)
RUN_STATUSES = (200, 200, 408, 500, 503)


class Server:
    """A server that repeats earlier answers before and after its own."""

    def __init__(self, echo, generator):
        self._echo = echo
        self._random = generator
        self.run_names = set()

    async def serve(self, stream):
        """Serve the requests of one connection."""
        sent = []
        try:
            while head := await loopback.read_until(stream, b"\r\n\r\n"):
                own = self._answer(head)
                copies = self._choose_copies(sent)
                sent.append(own)
                await stream.send_all(b"".join(copies) + own)
                if self._random.random() < 0.3:
                    await trio.sleep(self._random.choice((0, 0.002)))
                    await stream.send_all(self._random.choice(sent))
        except trio.BrokenResourceError:
            return

    def _choose_copies(self, sent):
        if not sent or self._random.random() < 0.4:
            return []
        return self._random.sample(sent, self._random.randint(1, len(sent)))

    def _answer(self, head):
        ids = _get_values(head, b"x-request-id")
        [name] = _get_values(head, b"x-name")
        echoed = self._echo(ids, self._random)
        if self._random.random() < 0.4:
            status = self._random.choice(REFUSAL_STATUSES)
            return _new_answer(status, echoed, b"X-Not-Run: 1\r\n", b"")
        self.run_names.add(name)
        status = self._random.choice(RUN_STATUSES)
        return _new_answer(status, echoed, b"", name)


def _get_values(head, name):
    """Return the values of a field of a request."""
    fields = [line.partition(b":") for line in head.split(b"\r\n")]
    return [
        value.strip() for key, _colon, value in fields if key.lower() == name
    ]


def _new_answer(status, ids, mark, body):
    fields = b"".join(b"X-Request-Id: %s\r\n" % value for value in ids) + mark
    return b"HTTP/1.1 %d Any\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        fields,
        len(body),
        body,
    )


async def _ask(gateway, published, server, ids, name):
    """Send a request, check its answer, and return whether it had one."""
    request = gateway_module.ServerRequest(
        ids[0] if ids else b"",
        b"GET",
        b"/",
        [
            (b"Host", b"h"),
            (b"X-Name", name),
            *((b"X-Request-Id", value) for value in ids),
        ],
        b"",
        500,
    )
    with trio.move_on_after(TIMEOUT_S):
        answer = await gateway.open_answer(published, request)
        if isinstance(answer, gateway_module.Failure):
            has_run = answer.ran is not outcome.Ran.NO
            assert has_run or name not in server.run_names
            return False
        body = b""
        try:
            while isinstance(part := await answer.receive_part(), bytes):
                body += part
        finally:
            answer.finish()
        if answer.claim is Claim.NOT_RUN:
            assert name not in server.run_names
        if answer.claim is Claim.RAN and part is None:
            assert body == name
        return True
    return False


@pytest.mark.parametrize("echo", sorted(ECHO_BY_NAME))
@pytest.mark.parametrize("seed", range(SEEDS))
def test_answers_are_told_apart(echo, seed):
    generator = random.Random(seed)
    answered = []

    async def main():
        async with trio.open_nursery() as nursery:
            server = Server(ECHO_BY_NAME[echo], generator)
            address = await loopback.start_raw_server(nursery, server.serve)
            gateway = engines.new_engine_gateway(pool_module.new_pool(nursery))
            published = fakes.new_server("s", address=address)

            async def ask(number):
                ids = generator.choice(IDS)
                name = b"n%d" % number
                answered.append(
                    await _ask(gateway, published, server, ids, name)
                )

            for number in range(ROUNDS):
                async with trio.open_nursery() as requests:
                    for index in range(generator.choice((1, 1, 3))):
                        requests.start_soon(ask, 10 * number + index)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert any(answered)
