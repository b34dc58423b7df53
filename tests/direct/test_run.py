"""What happens to a request whose first attempt fails."""

import hypothesis
from hypothesis import strategies
import pytest
import trio

from greengagetrack.connection import gateway
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome
from greengagetrack.version import catalog
from tests.direct import fakes

NO = outcome.Ran.NO
MAYBE = outcome.Ran.UNKNOWN
SERVERS = [fakes.new_server(name) for name in ("s1", "s2", "s3")]
UNSAFE = fakes.new_route(repeat=catalog.Repeat.UNSAFE, attempts=2)
SAFE = fakes.new_route(attempts=2)
RESUMABLE = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, gap_aim_ms=100.0
)
ONCE = fakes.new_route(repeat=catalog.Repeat.STREAM, attempts=2)


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


def _events(*parts, status=200):
    return fakes.ScriptedAnswer(status, parts, is_events=True)


def _rejection(**flags):
    return fakes.ScriptedAnswer(503, (b"",), is_not_run=True, **flags)


def _play(route, *script, **fields):
    """Return the end, the reply and the gateway of one request."""
    kept = {}

    async def check(nursery):
        world = fakes.World(nursery, fakes.FakeGateway(script), SERVERS)
        kept["end"], kept["reply"] = await world.serve(route, **fields)
        kept["gateway"] = world.gateway
        kept["known"] = world.directory.server_by_id

    fakes.run_paused(check)
    return kept["end"], kept["reply"], kept["gateway"]


def test_an_answer_is_relayed_whole():
    end, reply, fake = _play(SAFE)
    assert end == direct_outcome.Relayed(200)
    assert (reply.status, reply.body, reply.is_whole) == (200, b"ok", True)
    assert len(fake.sent) == 1


def test_an_unsafe_request_that_may_have_run_is_never_sent_again():
    end, reply, fake = _play(UNSAFE, fakes.new_failure(MAYBE))
    assert isinstance(end, outcome.Unknown)
    assert len(fake.sent) == 1
    assert not reply.is_started


@pytest.mark.parametrize(
    "first",
    [
        fakes.new_failure(NO, is_server_gone=True),
        _rejection(),
        _rejection(is_other_server=True),
    ],
)
def test_an_unsafe_request_that_did_not_run_goes_to_another(first):
    end, _reply, fake = _play(UNSAFE, first)
    assert end == direct_outcome.Relayed(200)
    first_id, second_id = (server_id for server_id, _request in fake.sent)
    assert first_id != second_id


def test_an_answer_cut_midway_counts_as_run():
    cut = fakes.ScriptedAnswer(200, (b"ha", fakes.new_failure(MAYBE)))
    end, reply, fake = _play(UNSAFE, cut)
    assert isinstance(end, outcome.Unknown)
    assert not reply.is_started
    assert len(fake.sent) == 1


def test_a_safe_request_is_repeated_after_a_cut_answer():
    cut = fakes.ScriptedAnswer(200, (b"ha", fakes.new_failure(MAYBE)))
    end, reply, fake = _play(SAFE, cut)
    assert end == direct_outcome.Relayed(200)
    assert reply.body == b"ok"
    assert len(fake.sent) == 2


def test_attempts_bound_the_servers_that_may_run_a_request():
    script = [fakes.ScriptedAnswer(500, (b"no",)) for _try in range(5)]
    end, reply, fake = _play(SAFE, *script)
    assert end == direct_outcome.Relayed(500)
    assert reply.body == b"no"
    assert len(fake.sent) == SAFE.attempts


def test_refused_means_not_run():
    all_reject = [_rejection() for _server in SERVERS]
    end, _reply, _fake = _play(UNSAFE, *all_reject)
    assert isinstance(end, outcome.Refused)
    all_reject = [_rejection() for _server in SERVERS]
    end, _reply, _fake = _play(SAFE, fakes.new_failure(MAYBE), *all_reject)
    assert isinstance(end, outcome.Unknown)


def test_a_silent_server_ends_an_unsafe_request_at_its_limit_as_unknown():
    end, _reply, fake = _play(
        UNSAFE, (60.0, fakes.ScriptedAnswer()), left_s=0.8
    )
    assert isinstance(end, outcome.Unknown)
    assert end.reason is outcome.Reason.DEADLINE_PASSED
    assert len(fake.sent) == 1


def test_a_server_is_given_the_time_that_is_left():
    _end, _reply, fake = _play(
        SAFE, (0.5, fakes.new_failure(MAYBE)), left_s=2.0
    )
    lefts = [request.left_ms for _server_id, request in fake.sent]
    assert lefts[0] <= 2000
    assert lefts[1] <= 1500


def test_a_stream_goes_on_after_the_last_whole_event():
    cut = _events(
        _event(1) + _event(2) + b"id: 3\nda", fakes.new_failure(MAYBE)
    )
    end, reply, fake = _play(RESUMABLE, cut, _events(_event(3), _event(4)))
    assert end == direct_outcome.Relayed(200)
    assert reply.body == b"".join(_event(number) for number in (1, 2, 3, 4))
    assert reply.is_whole
    assert fake.sent[1][1].resume_after == b"2"


def test_a_stream_that_may_not_be_resumed_is_cut():
    cut = _events(_event(1), fakes.new_failure(MAYBE))
    end, reply, fake = _play(ONCE, cut)
    assert isinstance(end, direct_outcome.Cut)
    assert reply.body == _event(1)
    assert not reply.is_whole
    assert len(fake.sent) == 1


def test_an_event_out_of_turn_reaches_nobody():
    wrong = _events(_event(1), _event(3))
    end, reply, fake = _play(RESUMABLE, wrong, _events(_event(2)))
    assert reply.body == _event(1) + _event(2)
    assert end == direct_outcome.Relayed(200)
    assert fake.sent[1][1].resume_after == b"1"


def test_a_cut_answer_is_counted_as_one_send():
    cut = fakes.ScriptedAnswer(200, (b"ha", fakes.new_failure(MAYBE)))
    route = fakes.new_route(attempts=3)
    again = fakes.ScriptedAnswer(200, (b"ha", fakes.new_failure(MAYBE)))
    end, reply, fake = _play(route, cut, again)
    assert end == direct_outcome.Relayed(200)
    assert len(fake.sent) == 3


def test_a_stalled_stream_goes_on_elsewhere():
    stalled = _events(_event(1), 60.0)
    end, reply, fake = _play(RESUMABLE, stalled, _events(_event(2)))
    assert end == direct_outcome.Relayed(200)
    assert reply.body == _event(1) + _event(2)
    assert stalled.is_finished
    assert len(fake.sent) == 2


def test_a_caller_that_leaves_stops_the_work():
    async def check(nursery):
        answer = _events(_event(1), 60.0)
        world = fakes.World(nursery, fakes.FakeGateway([answer]), SERVERS)
        with trio.move_on_after(0.5):
            await world.serve(RESUMABLE)
        assert answer.is_finished
        assert all(
            known.outstanding == 0
            for known in world.directory.server_by_id.values()
        )

    fakes.run_paused(check)


ANSWERS = strategies.sampled_from(
    [
        lambda: fakes.new_failure(NO, is_server_gone=True),
        lambda: fakes.new_failure(MAYBE),
        lambda: (9.0, fakes.new_failure(MAYBE)),
        lambda: _rejection(),
        lambda: _rejection(is_other_server=True),
        lambda: fakes.ScriptedAnswer(500, (b"no",)),
        lambda: fakes.ScriptedAnswer(200, (b"a", fakes.new_failure(MAYBE))),
        lambda: fakes.ScriptedAnswer(),
    ]
)


def _may_have_run(answer):
    if isinstance(answer, tuple):
        return True
    if isinstance(answer, gateway.Failure):
        return answer.ran is MAYBE
    return not answer.is_not_run


@hypothesis.given(
    script=strategies.lists(ANSWERS, max_size=6),
    route=strategies.sampled_from([UNSAFE, SAFE, ONCE]),
)
def test_promises_hold_whatever_servers_answer(script, route):
    answers = [new() for new in script]
    end, reply, fake = _play(route, *answers, left_s=2.0)
    used = answers[: len(fake.sent)]
    used += [fakes.ScriptedAnswer()] * (len(fake.sent) - len(used))
    runs = sum(_may_have_run(answer) for answer in used)
    if not route.is_idempotent:
        assert runs <= 1
    assert runs <= route.attempts
    if isinstance(end, outcome.Refused):
        assert runs == 0
    if isinstance(end, direct_outcome.Relayed):
        assert reply.is_whole
    else:
        assert not reply.is_whole
