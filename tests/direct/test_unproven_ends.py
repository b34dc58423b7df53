"""An answer without a length or chunks may end with its server."""

import pytest
import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.connection.http import framing
from greengagetrack.connection import source as source_module
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import fakes

STREAM = fakes.new_route(repeat=catalog.Repeat.STREAM)
SAFE = fakes.new_route(attempts_max=1)
WHOLE = direct_outcome.Relayed(200)
SERVER = fakes.new_server("s1", incarnation=1)
FAILURE = fakes.new_failure(outcome_module.Ran.UNKNOWN)
# More than a question may take.
LONG_S = 0.5


def _new_answer(route, end_s=0.0, end=framing.Framing.CONNECTION):
    parts = [b"id: 1\ndata: x\n\n", end_s]
    return fakes.ScriptedAnswer(
        parts=parts, is_events=route is STREAM, framing=end
    )


def _play(check, *script):
    """Run `await check(entry)` on an entry that knows one server."""

    async def main(nursery):
        gateway = fakes.FakeGateway(script)
        await check(fakes.FakeEntry(nursery, gateway, [SERVER]))

    fakes.run_with_mock_clock(main)


async def _is_whole(entry, route=STREAM):
    outcome, reply = await entry.serve(route)
    assert reply.is_whole is (outcome == WHOLE)
    return reply.is_whole


def _say_later(entry, *answers):
    """Let the server answer questions, each with (seconds, answer)."""
    remaining = list(answers)

    async def ask(_published):
        pause_s, answer = remaining.pop(0)
        await trio.sleep(pause_s)
        return answer

    entry.gateway.ask_incarnation = ask


@pytest.mark.parametrize("route", [STREAM, SAFE], ids=["stream", "body"])
@pytest.mark.parametrize("said", [2, gateway_module.OtherServer(), FAILURE])
def test_end_is_that_of_a_crash_unless_the_same_lifetime_answers(said, route):
    async def check(entry):
        entry.gateway.incarnation_by_id["s1"] = said
        assert not await _is_whole(entry, route)

    _play(check, _new_answer(route))


@pytest.mark.parametrize("route", [STREAM, SAFE], ids=["stream", "body"])
def test_answer_of_a_server_that_goes_on_is_whole(route):
    async def check(entry):
        assert await _is_whole(entry, route)
        assert entry.gateway.asked == ["s1"]
        assert await _is_whole(entry, route)
        assert entry.gateway.asked == ["s1"]

    _play(
        check,
        _new_answer(route),
        _new_answer(route, end=framing.Framing.CHUNKS),
    )


def test_entry_that_stood_still_and_read_the_source_first_is_not_misled():
    async def check(entry):
        back = fakes.new_server("s1", incarnation=2)
        update = source_module.Update(2, servers=(back,))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_serve, entry, seen := [])
            await trio.sleep(0.1)
            entry.directory.apply_update(update)
            entry.gateway.incarnation_by_id["s1"] = 2
        assert seen == [False]

    _play(check, _new_answer(STREAM, 0.2))


async def _serve(entry, seen):
    seen.append(await _is_whole(entry))


@pytest.mark.parametrize(
    ("said", "is_whole"), [(1, True), (2, False), (FAILURE, False)]
)
def test_question_that_was_asked_before_an_end_proves_nothing(said, is_whole):
    """The server may start again while the first question is under way."""

    async def check(entry):
        _say_later(entry, (0.3, 1), (0.0, said))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_serve, entry, seen := [])
            nursery.start_soon(_serve, entry, seen)
        assert seen == [True, is_whole]

    _play(check, _new_answer(STREAM, 0.1), _new_answer(STREAM, 0.2))


@pytest.mark.parametrize(("pause_s", "is_whole"), [(0.3, 1), (LONG_S, 0)])
def test_slow_question_proves_an_end_only_in_time(pause_s, is_whole):
    async def check(entry):
        _say_later(entry, (pause_s, 1))
        assert await _is_whole(entry) is bool(is_whole)

    _play(check, _new_answer(STREAM))


def test_answers_that_end_together_ask_once():
    async def check(entry):
        async with trio.open_nursery() as nursery:
            seen = []
            for _number in range(8):
                nursery.start_soon(_serve, entry, seen)
        assert seen == [True] * 8
        assert entry.gateway.asked == ["s1"]

    _play(check, *[_new_answer(STREAM, 0.1) for _number in range(8)])


@pytest.mark.parametrize("is_reachable", [True, False])
def test_source_speaks_for_a_server_that_accepts_its_id_only(is_reachable):
    async def check(entry):
        entry.gateway.incarnation_by_id["s1"] = None
        entry.source_reader.is_reachable = is_reachable
        assert await _is_whole(entry) is is_reachable

    _play(check, _new_answer(STREAM))
