"""Tests of attempts, retries and resumption in direct mode."""

import hypothesis
from hypothesis import strategies
import pytest
import trio

from greengagetrack.connection import gateway
from greengagetrack.process.direct import budget as budget_module
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import fakes

NO = outcome_module.Ran.NO
UNKNOWN = outcome_module.Ran.UNKNOWN
SERVERS = [fakes.new_server(name) for name in ("s1", "s2", "s3")]
UNSAFE = fakes.new_route(repeat=catalog.Repeat.UNSAFE, attempts_max=2)
SAFE = fakes.new_route(attempts_max=2)
RESUMABLE = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, target_gap_ms=100.0
)
NOT_RESUMABLE = fakes.new_route(repeat=catalog.Repeat.STREAM, attempts_max=2)


def _new_event(number):
    return b"id: %d\ndata: x\n\n" % number


def _new_stream(*parts, status=200):
    return fakes.ScriptedAnswer(status, parts, is_events=True)


def _new_rejection(**flags):
    return fakes.ScriptedAnswer(503, (b"",), is_not_run=True, **flags)


def _serve(route, *script, **fields):
    """Return the outcome, the reply and the gateway of one request."""
    results = {}

    async def check(nursery):
        fake_entry = fakes.FakeEntry(
            nursery, fakes.FakeGateway(script), SERVERS
        )
        results["outcome"], results["reply"] = await fake_entry.serve(
            route, **fields
        )
        results["gateway"] = fake_entry.gateway
        results["servers"] = fake_entry.directory.server_by_id

    fakes.run_with_mock_clock(check)
    return results["outcome"], results["reply"], results["gateway"]


def test_an_answer_is_relayed_completely():
    outcome, reply, fake_gateway = _serve(SAFE)
    assert outcome == direct_outcome.Relayed(200)
    assert (reply.status, reply.body, reply.is_whole) == (200, b"ok", True)
    assert len(fake_gateway.sent) == 1


def test_an_unsafe_request_that_may_have_run_is_never_sent_again():
    outcome, reply, fake_gateway = _serve(UNSAFE, fakes.new_failure(UNKNOWN))
    assert isinstance(outcome, outcome_module.Unknown)
    assert len(fake_gateway.sent) == 1
    assert not reply.is_started


@pytest.mark.parametrize(
    "first",
    [
        fakes.new_failure(NO, is_connection_failure=True),
        _new_rejection(),
        _new_rejection(is_other_server=True),
    ],
)
def test_an_unsafe_request_that_did_not_run_is_sent_to_another_server(first):
    outcome, _reply, fake_gateway = _serve(UNSAFE, first)
    assert outcome == direct_outcome.Relayed(200)
    first_id, second_id = (
        server_id for server_id, _request in fake_gateway.sent
    )
    assert first_id != second_id


def test_an_incomplete_answer_counts_as_run():
    incomplete = fakes.ScriptedAnswer(200, (b"ha", fakes.new_failure(UNKNOWN)))
    outcome, reply, fake_gateway = _serve(UNSAFE, incomplete)
    assert isinstance(outcome, outcome_module.Unknown)
    assert not reply.is_started
    assert len(fake_gateway.sent) == 1


def test_a_safe_request_is_repeated_after_an_incomplete_answer():
    incomplete = fakes.ScriptedAnswer(200, (b"ha", fakes.new_failure(UNKNOWN)))
    outcome, reply, fake_gateway = _serve(SAFE, incomplete)
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == b"ok"
    assert len(fake_gateway.sent) == 2


def test_attempts_limit_the_servers_that_may_run_a_request():
    script = [fakes.ScriptedAnswer(500, (b"no",)) for _try in range(5)]
    outcome, reply, fake_gateway = _serve(SAFE, *script)
    assert outcome == direct_outcome.Relayed(500)
    assert reply.body == b"no"
    assert len(fake_gateway.sent) == SAFE.attempts_max


def test_refused_means_not_run():
    all_reject = [_new_rejection() for _server in SERVERS]
    outcome, _reply, _fake = _serve(UNSAFE, *all_reject)
    assert isinstance(outcome, outcome_module.Refused)
    all_reject = [_new_rejection() for _server in SERVERS]
    outcome, _reply, _fake = _serve(
        SAFE, fakes.new_failure(UNKNOWN), *all_reject
    )
    assert isinstance(outcome, outcome_module.Unknown)


def test_an_unsafe_request_to_a_silent_server_is_unknown_at_its_deadline():
    outcome, _reply, fake_gateway = _serve(
        UNSAFE, (60.0, fakes.ScriptedAnswer()), left_s=0.8
    )
    assert isinstance(outcome, outcome_module.Unknown)
    assert outcome.reason is outcome_module.Reason.DEADLINE_PASSED
    assert len(fake_gateway.sent) == 1


def test_a_server_receives_the_time_left():
    _outcome, _reply, fake_gateway = _serve(
        SAFE, (0.5, fakes.new_failure(UNKNOWN)), left_s=2.0
    )
    times_left_ms = [
        request.left_ms for _server_id, request in fake_gateway.sent
    ]
    assert times_left_ms[0] <= 2000
    assert times_left_ms[1] <= 1500


def test_a_stream_is_resumed_after_the_last_complete_event():
    incomplete = _new_stream(
        _new_event(1) + _new_event(2) + b"id: 3\nda",
        fakes.new_failure(UNKNOWN),
    )
    outcome, reply, fake_gateway = _serve(
        RESUMABLE, incomplete, _new_stream(_new_event(3), _new_event(4))
    )
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == b"".join(
        _new_event(number) for number in (1, 2, 3, 4)
    )
    assert reply.is_whole
    assert fake_gateway.sent[1][1].resume_after == b"2"


def test_a_stream_that_may_not_be_resumed_is_cut():
    incomplete = _new_stream(_new_event(1), fakes.new_failure(UNKNOWN))
    outcome, reply, fake_gateway = _serve(NOT_RESUMABLE, incomplete)
    assert isinstance(outcome, direct_outcome.Cut)
    assert reply.body == _new_event(1)
    assert not reply.is_whole
    assert len(fake_gateway.sent) == 1


def test_an_event_out_of_order_is_not_forwarded():
    out_of_order = _new_stream(_new_event(1), _new_event(3))
    outcome, reply, fake_gateway = _serve(
        RESUMABLE, out_of_order, _new_stream(_new_event(2))
    )
    assert reply.body == _new_event(1) + _new_event(2)
    assert outcome == direct_outcome.Relayed(200)
    assert fake_gateway.sent[1][1].resume_after == b"1"


def test_an_incomplete_answer_is_counted_as_one_send():
    incomplete = fakes.ScriptedAnswer(200, (b"ha", fakes.new_failure(UNKNOWN)))
    route = fakes.new_route(attempts_max=3)
    incomplete_again = fakes.ScriptedAnswer(
        200, (b"ha", fakes.new_failure(UNKNOWN))
    )
    outcome, reply, fake_gateway = _serve(route, incomplete, incomplete_again)
    assert outcome == direct_outcome.Relayed(200)
    assert len(fake_gateway.sent) == 3


def test_a_stalled_stream_is_resumed_at_another_server():
    stalled = _new_stream(_new_event(1), 60.0)
    outcome, reply, fake_gateway = _serve(
        RESUMABLE, stalled, _new_stream(_new_event(2))
    )
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == _new_event(1) + _new_event(2)
    assert stalled.is_finished
    assert len(fake_gateway.sent) == 2


def test_a_request_is_cancelled_when_its_caller_leaves():
    async def check(nursery):
        answer = _new_stream(_new_event(1), 60.0)
        fake_entry = fakes.FakeEntry(
            nursery, fakes.FakeGateway([answer]), SERVERS
        )
        with trio.move_on_after(0.5):
            await fake_entry.serve(RESUMABLE)
        assert answer.is_finished
        assert all(
            server.outstanding == 0
            for server in fake_entry.directory.server_by_id.values()
        )

    fakes.run_with_mock_clock(check)


ANSWER_FACTORIES = strategies.sampled_from(
    [
        lambda: fakes.new_failure(NO, is_connection_failure=True),
        lambda: fakes.new_failure(UNKNOWN),
        lambda: (9.0, fakes.new_failure(UNKNOWN)),
        lambda: _new_rejection(),
        lambda: _new_rejection(is_other_server=True),
        lambda: fakes.ScriptedAnswer(500, (b"no",)),
        lambda: fakes.ScriptedAnswer(503, claim=gateway.Claim.UNMARKED),
        lambda: fakes.ScriptedAnswer(503, claim=gateway.Claim.UNNAMED),
        lambda: fakes.ScriptedAnswer(200, claim=gateway.Claim.UNNAMED),
        lambda: fakes.ScriptedAnswer(200, (b"a", fakes.new_failure(UNKNOWN))),
        lambda: fakes.ScriptedAnswer(),
    ]
)


def _may_have_run(answer):
    if isinstance(answer, tuple):
        return True
    if isinstance(answer, gateway.Failure):
        return answer.ran is UNKNOWN
    return answer.claim is not gateway.Claim.NOT_RUN


@hypothesis.given(
    script=strategies.lists(ANSWER_FACTORIES, max_size=6),
    route=strategies.sampled_from([UNSAFE, SAFE, NOT_RESUMABLE]),
)
def test_invariants_hold_for_any_server_answers(script, route):
    answers = [new_answer() for new_answer in script]
    outcome, reply, fake_gateway = _serve(route, *answers, left_s=2.0)
    given_answers = answers[: len(fake_gateway.sent)]
    given_answers += [fakes.ScriptedAnswer()] * (
        len(fake_gateway.sent) - len(given_answers)
    )
    runs = sum(_may_have_run(answer) for answer in given_answers)
    if not route.is_idempotent:
        assert runs <= 1
    assert runs <= route.attempts_max
    if isinstance(outcome, outcome_module.Refused):
        assert runs == 0
    if isinstance(outcome, direct_outcome.Relayed):
        assert reply.is_whole
        assert given_answers[-1].claim is gateway.Claim.RAN
    else:
        assert not reply.is_whole


def test_a_stream_of_bytes_that_end_no_event_is_resumed_elsewhere():
    """A stalled server that sent a byte now and then never ended."""
    trickle = [b": ", *([0.5, b"x"] * 40)]
    stalled = _new_stream(_new_event(1), *trickle)
    outcome, reply, fake_gateway = _serve(
        RESUMABLE, stalled, _new_stream(_new_event(2)), left_s=8.0
    )
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == _new_event(1) + _new_event(2)
    assert fake_gateway.sent[1][1].resume_after == b"1"


def test_a_slow_stream_that_goes_on_is_not_cut():
    parts = []
    for number in range(1, 7):
        parts += [1.0, _new_event(number)[:4], 0.1, _new_event(number)[4:]]
    outcome, _reply, fake_gateway = _serve(
        RESUMABLE, _new_stream(*parts), left_s=20.0
    )
    assert outcome == direct_outcome.Relayed(200)
    assert len(fake_gateway.sent) == 1


def test_a_slow_stream_without_event_ids_is_not_cut():
    parts = [1.0, b"data: x\n\n"] * 6
    outcome, _reply, fake_gateway = _serve(
        RESUMABLE, _new_stream(*parts), left_s=20.0
    )
    assert outcome == direct_outcome.Relayed(200)
    assert len(fake_gateway.sent) == 1


def test_an_event_without_end_is_given_up_before_it_fills_the_memory():
    endless = _new_stream(_new_event(1), *([b"x" * 65536] * 1000))
    outcome, reply, fake_gateway = _serve(
        RESUMABLE, endless, _new_stream(_new_event(2)), left_s=8.0
    )
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == _new_event(1) + _new_event(2)
    assert len(fake_gateway.sent) == 2


def test_a_stream_that_no_other_server_can_resume_lasts_until_its_deadline():
    parts = [_new_event(1), b": ", 2.0, b"x", 2.5, b"y\n\n", _new_event(2)]
    outcome, reply, _fake_gateway = _serve(
        NOT_RESUMABLE, _new_stream(*parts), left_s=5.0
    )
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body.endswith(_new_event(2))


def test_retry_of_a_server_error_is_charged_once():
    """A retry that the budget allowed was charged twice, and refused."""
    script = [
        fakes.ScriptedAnswer(500, [b"error"]),
        fakes.ScriptedAnswer(200, [b"ok"]),
    ]
    results = []

    async def check(nursery):
        fake_entry = fakes.FakeEntry(
            nursery, fakes.FakeGateway(script), SERVERS
        )
        # One retry for this entry, one of eight.
        fake_entry.services.budgets = budget_module.new_retry_budgets(
            0.0, 8.0, 10.0, lambda: 8
        )
        results.append(await fake_entry.serve(SAFE))

    fakes.run_with_mock_clock(check)
    outcome, reply = results[0]
    assert outcome == direct_outcome.Relayed(200)
    assert reply.body == b"ok"
