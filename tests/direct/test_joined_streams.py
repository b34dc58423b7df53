"""What of a server's stream reaches a caller, alone and joined to another."""

import pytest

from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.version import catalog
from tests.direct import fakes

SERVERS = [fakes.new_server(f"s{number}") for number in range(3)]
STREAM = fakes.new_route(repeat=catalog.Repeat.STREAM)


def _serve(route, *script, **fields):
    """Return the outcome, the reply and the gateway of one request."""
    results = []

    async def check(nursery):
        fake_gateway = fakes.FakeGateway(script)
        entry = fakes.FakeEntry(nursery, fake_gateway, SERVERS)
        results.extend(await entry.serve(route, **fields))
        results.append(fake_gateway)

    fakes.run_with_mock_clock(check)
    return results


def _new_stream(*parts, status=200):
    return fakes.ScriptedAnswer(status, parts, is_events=True)


@pytest.mark.parametrize(
    "parts",
    [
        (b"id: 1\r\ndata: x\r\n\r", b"\n"),
        (b"id: 1\r\n\r", b"\nid: 2\r\n\r", b"\n"),
        (b"id: 1\n\n\n",),
        (b"id: 1\n\n", b"\r\n"),
    ],
)
def test_line_ends_after_the_last_event_reach_the_caller(parts):
    """A CR ended the last event, and its LF came in a segment of its own."""
    outcome, reply, _gateway = _serve(STREAM, _new_stream(*parts))
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == b"".join(parts)
    assert reply.is_whole
