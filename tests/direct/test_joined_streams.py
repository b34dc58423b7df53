"""What of a server's stream reaches a caller, alone and joined to another."""

import msgspec
import pytest

from greengagetrack.connection.http import framing as framing_module
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import fakes

SERVERS = [fakes.new_server(f"s{number}") for number in range(3)]
STREAM = fakes.new_route(repeat=catalog.Repeat.STREAM)
RESUMABLE = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, target_gap_ms=100.0
)
EVENT_1, EVENT_2 = b"id: 1\ndata: x\n\n", b"id: 2\ndata: x\n\n"
ERRORS = [
    b"event: error\ndata: no memory\n\n",
    b"HTTP/1.1 500 Internal Server Error\r\nX-A: 1\r\n\r\n",
]


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


def _break_off(*parts):
    return _new_stream(*parts, fakes.new_failure(outcome_module.Ran.UNKNOWN))


@pytest.mark.parametrize("sent", [b"", EVENT_1])
@pytest.mark.parametrize("framing", list(framing_module.Framing))
@pytest.mark.parametrize("status", [200, 204])
@pytest.mark.parametrize("rest", [b"", b"\n\n", b": begin\n\n"])
def test_resumed_stream_without_an_event_is_not_complete(
    sent, framing, status, rest
):
    """Not even if its end is proven: the first server may have had more."""
    empty = _new_stream(rest, status=status)
    empty.framing = framing
    outcome, reply, _gateway = _serve(RESUMABLE, _break_off(sent), empty)
    assert isinstance(outcome, direct_outcome.Cut)
    assert (reply.body, reply.is_whole) == (sent, False)


@pytest.mark.parametrize("begin", [b"", b": begin\n\n", b"retry: 9\n\n"])
def test_resumed_stream_without_an_event_is_asked_of_another_server(begin):
    script = [_break_off(EVENT_1), _new_stream(), _new_stream(begin, EVENT_2)]
    route = msgspec.structs.replace(RESUMABLE, attempts_max=3)
    outcome, reply, gateway = _serve(route, *script)
    assert outcome == direct_outcome.Relayed(200)
    assert (reply.body, reply.is_whole) == (EVENT_1 + EVENT_2, True)
    assert gateway.sent[2][1].resume_after == b"1"


@pytest.mark.parametrize("body", [b"", b": only a comment\n\n"])
def test_whole_stream_without_an_event_is_relayed(body):
    outcome, reply, _gateway = _serve(RESUMABLE, _new_stream(body))
    assert outcome == direct_outcome.Relayed(200)
    assert (reply.body, reply.is_whole) == (body, True)


def test_caller_that_lacks_only_the_end_of_a_stream_gets_it():
    """What it takes up is one server's whole answer, joined to none."""
    results = []

    async def check(nursery):
        script = [_break_off(EVENT_1), _new_stream()]
        gateway = fakes.FakeGateway(script)
        entry = fakes.FakeEntry(nursery, gateway, SERVERS)
        await entry.serve(
            msgspec.structs.replace(RESUMABLE, attempts_max=1),
            request_id=b"first",
        )
        results.extend(
            await entry.serve(
                RESUMABLE,
                request_id=b"second",
                resumed_id=b"first",
                resume_after=b"1",
            )
        )

    fakes.run_with_mock_clock(check)
    outcome, reply = results
    assert outcome == direct_outcome.Relayed(200)
    assert (reply.body, reply.is_whole) == (b"", True)


@pytest.mark.parametrize("sent", [b"", EVENT_1])
@pytest.mark.parametrize("error", ERRORS)
def test_error_within_a_resumed_stream_does_not_reach_the_caller(sent, error):
    """It came as an event without an id, with status 200."""
    outcome, reply, _gateway = _serve(
        RESUMABLE, _break_off(sent), _new_stream(error)
    )
    assert isinstance(outcome, direct_outcome.Cut)
    assert (reply.body, reply.is_whole) == (sent, False)


@pytest.mark.parametrize("sent", [b"", EVENT_1])
@pytest.mark.parametrize("error", ERRORS)
def test_stream_does_not_go_on_after_an_error_that_was_sent(sent, error):
    """The next server began again, or went on behind the error's text."""
    outcome, reply, gateway = _serve(
        RESUMABLE, _break_off(sent, error), _new_stream(EVENT_1, EVENT_2)
    )
    assert isinstance(outcome, direct_outcome.Cut)
    assert (reply.body, reply.is_whole) == (sent + error, False)
    assert len(gateway.sent) == 1


def test_slow_stream_without_ids_is_not_cut():
    """Nobody could go on with it."""
    parts = (b"data: x\n\n", 2.0, b"data: y\n\n")
    outcome, reply, _gateway = _serve(RESUMABLE, _new_stream(*parts))
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == parts[0] + parts[2]


def test_stream_goes_on_after_a_comment():
    outcome, reply, _gateway = _serve(
        RESUMABLE, _break_off(EVENT_1, b": wait\n\n"), _new_stream(EVENT_2)
    )
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == EVENT_1 + b": wait\n\n" + EVENT_2


@pytest.mark.parametrize("sent", [b"", EVENT_1])
@pytest.mark.parametrize("is_events", [False, True])
@pytest.mark.parametrize("status", [200, 204, 206, 301, 304, 404, 500, 503])
def test_error_in_answer_to_a_resume_leaves_no_byte(sent, is_events, status):
    parts = [bytes([byte]) for byte in ERRORS[0]]
    error = fakes.ScriptedAnswer(status, parts, is_events=is_events)
    outcome, reply, _gateway = _serve(RESUMABLE, _break_off(sent), error)
    assert isinstance(outcome, direct_outcome.Cut)
    assert (reply.body, reply.is_whole) == (sent, False)
