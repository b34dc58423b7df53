"""A sound server that pauses is given up only if another one takes over.

Streams that paused for over 1.2 s were given up in the hope of another server,
and were cut when there was none, or no retry or no time was left.
"""

import msgspec
import pytest
import trio

from greengagetrack.connection import gateway
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import budget as budget_module
from greengagetrack.process.direct import chooser as chooser_module
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request.direct import patience as patience_module
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import fakes

WHOLE = direct_outcome.Relayed(200)
STREAM = fakes.new_route(
    repeat=catalog.Repeat.STREAM,
    is_resumable=True,
    target_gap_ms=100.0,
    timeout_ms=8000.0,
)
STAGED = msgspec.structs.replace(
    STREAM, stages=(catalog.Stage("pool", result_bytes=10),)
)
SAFE = fakes.new_route(timeout_ms=8000.0)
LEFT_S = 8.0
PAUSE_S = 3.0
# More than a server may have.
FULL_COUNT = 99
# Given up by then, if another server can take over.
GIVEN_UP_S = 2.0
ONE = fakes.new_server("s1")
OTHER = fakes.new_server("s2")
POOL = fakes.new_server("p1", service="pool")


def _new_answer(number, *pauses):
    """Return a stream of one event, pauses, and the next event."""
    parts = [b"id: %d\n\n" % number, *pauses, b"id: %d\n\n" % (number + 1)]
    return fakes.ScriptedAnswer(parts=parts, is_events=True)


def _play(check, servers, *script):
    async def main(nursery):
        gateway = fakes.FakeGateway(script)
        await check(fakes.FakeEntry(nursery, gateway, servers))

    fakes.run_with_mock_clock(main)


def _leave(entry, _monkeypatch):
    """Let the other server leave."""
    entry.directory.apply_update(
        source_module.Update(2, servers=(ONE,), is_complete=True)
    )


def _lose_stages(entry):
    """Let the server of the stages leave."""
    entry.directory.apply_update(
        source_module.Update(2, servers=(ONE, OTHER), is_complete=True)
    )


def _spend_budget(entry, _monkeypatch):
    entry.services.budgets = budget_module.new_retry_budgets(
        0.0, 0.0, 10.0, lambda: 1
    )


def _forget_versions(_entry, monkeypatch):
    monkeypatch.setattr(
        directory_module.Directory,
        "get_answering_version",
        lambda self, server, opened_s: None,
    )


def _expect_slow_begin(_entry, monkeypatch):
    monkeypatch.setattr(
        chooser_module.Chooser,
        "predict_first_event_s",
        lambda self, service, request, eligibility: LEFT_S,
    )


@pytest.mark.parametrize(
    "prepare",
    [_leave, _spend_budget, _forget_versions, _expect_slow_begin],
    ids=["no server", "no retry", "no version", "no time"],
)
def test_pausing_stream_goes_on_if_no_other_server_is_sure(
    monkeypatch, prepare
):
    async def check(entry):
        prepare(entry, monkeypatch)
        outcome, reply = await entry.serve(STREAM, left_s=LEFT_S)
        assert outcome == WHOLE
        assert reply.body == b"id: 1\n\nid: 2\n\n"
        assert len(entry.gateway.sent) == 1

    _play(check, [ONE, OTHER], _new_answer(1, PAUSE_S))


@pytest.mark.parametrize("route", [STREAM, SAFE], ids=["stream", "safe"])
def test_slow_answer_is_waited_for_if_no_other_server_is_there(route):
    async def check(entry):
        outcome, _reply = await entry.serve(route, left_s=LEFT_S)
        assert outcome == WHOLE
        assert len(entry.gateway.sent) == 1

    _play(check, [ONE], (PAUSE_S, _new_answer(1)))


def test_answer_that_comes_as_the_request_ends_is_ended():
    """It was lost, and its connection stayed open."""
    answer = fakes.ScriptedAnswer()

    async def main(nursery):
        entry = fakes.FakeEntry(nursery, fakes.FakeGateway(), [ONE])
        with trio.CancelScope() as scope:

            async def open_answer():
                await trio.lowlevel.checkpoint()
                scope.cancel()
                return answer

            patience = patience_module.Patience(
                entry.admit(SAFE), lambda: False
            )
            await patience.wait_for_answer(open_answer)
        assert answer.is_finished

    fakes.run_with_mock_clock(main)


@pytest.mark.parametrize("attempts_max", [1, 2])
def test_last_attempt_is_not_given_up(attempts_max):
    """There are other servers, but no attempt is left for them."""

    async def check(entry):
        outcome, _reply = await entry.serve(route, left_s=LEFT_S)
        assert outcome == WHOLE
        assert len(entry.gateway.sent) == attempts_max

    route = fakes.new_route(timeout_ms=8000.0, attempts_max=attempts_max)
    script = [(LEFT_S, fakes.ScriptedAnswer())] * (attempts_max - 1)
    servers = [ONE, OTHER, fakes.new_server("s3")]
    _play(check, servers, *script, (PAUSE_S, fakes.ScriptedAnswer()))


def test_slow_first_event_is_waited_for_if_no_other_server_is_there():
    async def check(entry):
        outcome, _reply = await entry.serve(STREAM, left_s=LEFT_S)
        assert outcome == WHOLE

    parts = [PAUSE_S, b"id: 1\n\n"]
    _play(check, [ONE], fakes.ScriptedAnswer(parts=parts, is_events=True))


def test_pausing_stream_that_may_not_be_resumed_is_not_given_up():
    async def check(entry):
        outcome, _reply = await entry.serve(route, left_s=LEFT_S)
        assert outcome == WHOLE
        assert len(entry.gateway.sent) == 1

    route = fakes.new_route(
        repeat=catalog.Repeat.STREAM, timeout_ms=8000.0, attempts_max=3
    )
    _play(check, [ONE, OTHER], _new_answer(1, PAUSE_S))


def test_stalled_stream_goes_on_at_a_server_that_is_sure():
    async def check(entry):
        started_s = trio.current_time()
        outcome, reply = await entry.serve(STREAM, left_s=LEFT_S)
        assert outcome == WHOLE
        assert reply.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
        assert trio.current_time() - started_s < GIVEN_UP_S
        first, second = entry.gateway.sent
        assert first[0] != second[0]
        assert second[1].resume_after == b"1"

    _play(check, [ONE, OTHER], _new_answer(1, PAUSE_S), _new_answer(2))


def test_stalled_stream_goes_on_when_another_server_has_come():
    async def check(entry):
        async with trio.open_nursery() as nursery:

            async def come():
                await trio.sleep(GIVEN_UP_S)
                entry.directory.apply_update(
                    source_module.Update(2, servers=(OTHER,))
                )

            nursery.start_soon(come)
            started_s = trio.current_time()
            outcome, reply = await entry.serve(STREAM, left_s=LEFT_S)
        assert outcome == WHOLE
        assert reply.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
        spent_s = trio.current_time() - started_s
        assert GIVEN_UP_S <= spent_s < PAUSE_S

    _play(check, [ONE], _new_answer(1, PAUSE_S), _new_answer(2))


def test_server_that_never_answers_ends_with_the_deadline():
    async def check(entry):
        started_s = trio.current_time()
        outcome, _reply = await entry.serve(STREAM, left_s=LEFT_S)
        assert isinstance(outcome, direct_outcome.Cut)
        assert trio.current_time() - started_s == pytest.approx(LEFT_S)

    _play(check, [ONE], _new_answer(1, 60.0))


def test_begun_stream_waits_for_its_stages():
    """It was cut, as no server of a stage was there when it went on."""

    async def check(entry):
        async def come_back():
            await trio.sleep(2.0)
            entry.directory.apply_update(
                source_module.Update(3, servers=(POOL,))
            )

        def make(server, pieces):
            if len(entry.gateway.calls) != 2:
                return [f"{server.server_id}/{len(entry.gateway.calls)}"]
            _lose_stages(entry)
            nursery.start_soon(come_back)
            return [gateway.PieceFailure.NOT_TAKEN]

        entry.gateway.call_handler = make
        async with trio.open_nursery() as nursery:
            outcome, reply = await entry.serve(
                STAGED, left_s=LEFT_S, piece_counts=(1,), piece_key="k"
            )
        assert outcome == WHOLE
        assert reply.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"
        assert len(entry.gateway.calls) == 3

    _play(check, [ONE, OTHER, POOL], _new_answer(1, 6.0), _new_answer(2))


def test_stages_made_anew_keep_to_budget():
    """Each new try of a begun stream counted as a first attempt."""
    slack = 2

    async def check(entry):
        def make(server, pieces):
            if len(entry.gateway.calls) == 1:
                return [f"{server.server_id}/1"]
            return [gateway.PieceFailure.NOT_TAKEN]

        entry.gateway.call_handler = make
        # This entry has one of so many shares.
        entry.budgets.set_limits(0.0, slack * budget_module.ENTRIES_MIN, 10.0)
        await entry.serve(
            STAGED, left_s=LEFT_S, piece_counts=(1,), piece_key="k"
        )
        assert 1 < len(entry.gateway.calls) <= 1 + slack

    _play(check, [ONE, OTHER, POOL], _new_answer(1, 6.0))


def test_begun_stream_without_its_stages_ends_once_it_is_too_late():
    async def check(entry):
        def make(server, pieces):
            if len(entry.gateway.calls) == 1:
                return [f"{server.server_id}/1"]
            _lose_stages(entry)
            return [gateway.PieceFailure.NOT_TAKEN]

        entry.gateway.call_handler = make
        started_s = trio.current_time()
        outcome, _reply = await entry.serve(
            STAGED, left_s=LEFT_S, piece_counts=(1,), piece_key="k"
        )
        assert isinstance(outcome, direct_outcome.Cut)
        # While there was time for another server, one could have come.
        spent_s = trio.current_time() - started_s
        assert LEFT_S - GIVEN_UP_S < spent_s <= LEFT_S
        # Nothing is asked for while nobody is there.
        assert len(entry.gateway.calls) == 2

    _play(check, [ONE, OTHER, POOL], _new_answer(1, 6.0))


def test_request_without_its_stages_is_refused_at_once():
    """No part of it was sent, so its caller may come back."""

    async def check(entry):
        entry.gateway.call_handler = lambda server, pieces: [
            gateway.PieceFailure.NOT_TAKEN
        ]
        started_s = trio.current_time()
        outcome, _reply = await entry.serve(
            STAGED, left_s=LEFT_S, piece_counts=(1,), piece_key="k"
        )
        assert isinstance(outcome, outcome_module.Refused)
        assert trio.current_time() - started_s < GIVEN_UP_S

    _play(check, [ONE, OTHER, POOL])


def test_begun_stream_waits_for_a_server_that_is_full():
    """It was cut, as the server had filled up while its stages were made."""

    async def check(entry):
        other = entry.directory.server_by_id["s2"]

        async def fill():
            other.outstanding += FULL_COUNT
            await trio.sleep(1.0)
            other.outstanding -= FULL_COUNT

        def make(server, pieces):
            if len(entry.gateway.calls) == 2:
                nursery.start_soon(fill)
            return [f"{server.server_id}/{len(entry.gateway.calls)}"]

        entry.gateway.call_handler = make
        # So the first server is chosen first.
        other.outstanding += 1
        async with trio.open_nursery() as nursery:
            outcome, reply = await entry.serve(
                STAGED, left_s=LEFT_S, piece_counts=(1,), piece_key="k"
            )
        assert outcome == WHOLE
        assert reply.body == b"id: 1\n\nid: 2\n\nid: 3\n\n"

    _play(check, [ONE, OTHER, POOL], _new_answer(1, 6.0), _new_answer(2))
