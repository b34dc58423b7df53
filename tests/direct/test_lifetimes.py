"""A server that is back under its id may run another software version."""

import trio

from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import lifetime_check
from greengagetrack.process.direct import streams as streams_module
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import fakes

RESUMABLE = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, target_gap_ms=100.0
)
OLD = fakes.new_server("s1", incarnation=1, software_version="v1")
NEW = fakes.new_server("s1", incarnation=2, software_version="v2")
STREAM_ID = streams_module.StreamId("", b"first")
TAKE_UP = {"resume_after": b"1", "resumed_id": b"first"}
UNKNOWN = outcome_module.Ran.UNKNOWN


def _new_stream(*numbers):
    parts = [b"id: %d\ndata: x\n\n" % number for number in numbers]
    return fakes.ScriptedAnswer(parts=parts, is_events=True)


def _play(check, servers, *script, begun="v1"):
    """Run `await check(entry)` on an entry that knows the servers.

    A stream of the version `begun` is known there.
    """

    async def main(nursery):
        gateway = fakes.FakeGateway(script)
        entry = fakes.FakeEntry(nursery, gateway, servers)
        if begun:
            origin = streams_module.Origin(OLD.service, begun)
            entry.streams.begin(STREAM_ID, origin, [OLD.service], 100.0)
        await check(entry)

    fakes.run_with_mock_clock(main)


def test_no_stream_goes_on_at_a_server_that_is_back_with_other_software():
    async def check(entry):
        entry.gateway.incarnation_by_id["s1"] = 2
        outcome, reply = await entry.serve(RESUMABLE, **TAKE_UP)
        assert isinstance(outcome, outcome_module.Refused)
        assert not (reply.is_started or entry.gateway.sent)
        # It is not tried again for this version.
        await entry.serve(RESUMABLE, **TAKE_UP)
        assert entry.gateway.asked == ["s1"]

    _play(check, [OLD])


def test_a_take_up_goes_on_at_another_server_of_its_version():
    async def check(entry):
        entry.gateway.incarnation_by_id["s1"] = 2
        # It is chosen last.
        entry.directory.server_by_id["s2"].outstanding = 5
        outcome, reply = await entry.serve(RESUMABLE, **TAKE_UP)
        assert outcome == direct_outcome.Relayed(200)
        assert reply.body.startswith(b"id: 2\n")
        assert [server_id for server_id, _request in entry.gateway.sent] == [
            "s2"
        ]

    other = fakes.new_server("s2", incarnation=7, software_version="v1")
    _play(check, [OLD, other], _new_stream(2))


def test_the_source_confirms_a_server_that_does_not_say_its_incarnation():
    async def check(entry):
        entry.gateway.incarnation_by_id["s1"] = None
        outcome, _reply = await entry.serve(RESUMABLE, **TAKE_UP)
        assert outcome == direct_outcome.Relayed(200)
        await trio.sleep(1.0)
        entry.source_reader.is_reachable = False
        outcome, _reply = await entry.serve(RESUMABLE, **TAKE_UP)
        assert isinstance(outcome, outcome_module.Refused)
        assert len(entry.gateway.sent) == 1

    _play(check, [OLD], _new_stream(2), _new_stream(2))


def test_many_take_ups_ask_a_server_once():
    async def check(entry):
        async with trio.open_nursery() as nursery:
            for _number in range(8):
                nursery.start_soon(_serve_take_up, entry)
        assert len(entry.gateway.sent) == 8
        assert entry.gateway.asked == ["s1"]

    _play(check, [OLD], *[_new_stream(2) for _number in range(8)])


def test_take_ups_do_not_queue_for_a_server_that_does_not_answer():
    async def check(entry):
        entry.gateway.ask_incarnation = _never_answer
        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                for _number in range(8):
                    nursery.start_soon(_serve_take_up, entry)
        assert not entry.gateway.sent

    _play(check, [OLD])


async def _never_answer(_server):
    await trio.sleep_forever()


async def _serve_take_up(entry):
    await entry.serve(RESUMABLE, **TAKE_UP)


def test_the_version_that_began_a_stream_is_that_of_the_server_that_answers():
    """It was started again before the source was read."""

    async def check(entry):
        entry.directory.server_by_id["s1"].lifetime.doubt()
        entry.gateway.incarnation_by_id["s1"] = 2
        outcome, _reply = await entry.serve(RESUMABLE, request_id=b"first")
        assert outcome == direct_outcome.Relayed(200)
        origin = await entry.streams.find_origin(STREAM_ID, [OLD.service])
        assert origin is None
        entry.directory.apply_update(source_module.Update(2, servers=(NEW,)))
        outcome, _reply = await entry.serve(RESUMABLE, **TAKE_UP)
        assert outcome.reason is (outcome_module.Reason.STREAM_VERSION_UNKNOWN)

    _play(check, [OLD], _new_stream(1), begun=None)


def test_a_stream_that_breaks_off_does_not_go_on_at_the_next_lifetime():
    async def check(entry):
        entry.gateway.incarnation_by_id |= {"s1": 2, "s2": 2}
        outcome, reply = await entry.serve(RESUMABLE)
        assert isinstance(outcome, direct_outcome.Cut)
        assert reply.body.count(b"id: ") == 1
        assert len(entry.gateway.sent) == 1

    broken = fakes.ScriptedAnswer(
        parts=[b"id: 1\ndata: x\n\n", fakes.new_failure(UNKNOWN)],
        is_events=True,
    )
    other = fakes.new_server("s2", incarnation=1, software_version="v1")
    _play(check, [OLD, other], broken, _new_stream(2))


def test_calm_asks_nothing():
    async def check(entry):
        for _number in range(3):
            await entry.serve(RESUMABLE)
        assert entry.gateway.asked == []

    _play(check, [OLD], *[_new_stream(1) for _number in range(3)])


def test_who_leaves_while_asking_leaves_the_question_to_the_next():
    checked = {}

    async def check(entry):
        server = entry.directory.server_by_id["s1"]
        server.lifetime.doubt()
        answers = [fakes.new_failure(UNKNOWN), None, 1]

        async def ask(_published):
            answer = answers.pop(0)
            await trio.sleep(0.2)
            return answer

        entry.gateway.ask_incarnation = ask
        opened_s = trio.current_time()
        await trio.sleep(0.01)
        may_go = lifetime_check.new_lifetime_checks(
            entry.directory, entry.gateway, trio.sleep_forever
        ).get_check(server, is_bound=True)

        async def go(name, patience_s):
            with trio.move_on_after(patience_s):
                checked[name] = await may_go(opened_s)

        async with trio.open_nursery() as nursery:
            for name, patience_s in (
                ("fails", 5),
                ("leaves", 0.25),
                ("stays", 5),
            ):
                nursery.start_soon(go, name, patience_s)
                await trio.sleep(0.01)

    _play(check, [OLD])
    assert checked == {"fails": False, "stays": True}
