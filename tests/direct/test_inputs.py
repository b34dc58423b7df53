"""Tests of when the inputs of a request are freed."""

import trio

from greengagetrack.process.direct import fetch_time as fetch_time_module
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import fakes

SERVERS = (
    fakes.new_server("s1"),
    fakes.new_server("s2"),
    fakes.new_server("p1", "pool"),
)
ROUTE = fakes.new_route(
    repeat=catalog.Repeat.STREAM,
    is_resumable=True,
    stages=(catalog.Stage("pool", result_bytes=10),),
)
FIRST_EVENT = b"id: 1\ndata: x\n\n"
HOLD_S = fetch_time_module.HOLD_START_S


def _new_stream(*parts):
    return fakes.ScriptedAnswer(200, parts, is_events=True)


def _run(check, *script):
    async def main(nursery):
        fake_gateway = fakes.FakeGateway(script)
        await check(nursery, fakes.FakeEntry(nursery, fake_gateway, SERVERS))

    fakes.run_with_mock_clock(main)


async def _serve(fake_entry, results):
    results.append(await fake_entry.serve(ROUTE, piece_counts=(2,)))


async def _check_made_again(nursery, fake_entry):
    """Serve a request whose stage is made twice."""
    results = []
    nursery.start_soon(_serve, fake_entry, results)
    await trio.sleep(3.0)
    assert results[0][0] == direct_outcome.Relayed(200)
    assert len(fake_entry.gateway.calls) == 2


def test_inputs_are_freed_before_the_first_event_of_a_long_prompt():
    """A prompt of 20,000 tokens takes 0.8 s; its inputs blocked a pool."""

    async def check(nursery, fake_entry):
        results = []
        nursery.start_soon(_serve, fake_entry, results)
        # The stage takes 120 ms, the request is sent right after it.
        await trio.sleep(0.12 + HOLD_S + 0.05)
        assert len(fake_entry.gateway.freed) == 2
        await trio.sleep(1.0)
        assert results[0][0] == direct_outcome.Relayed(200)
        fetch_time = fake_entry.services.fetch_times.get("svc")
        assert fetch_time.hold_s < HOLD_S

    _run(check, _new_stream(0.8, FIRST_EVENT))


def test_inputs_are_kept_while_a_rejected_request_is_sent_again():
    async def check(nursery, fake_entry):
        results = []
        nursery.start_soon(_serve, fake_entry, results)
        await trio.sleep(0.12 + HOLD_S * 1.1)
        # The second server got the request half of the time ago.
        assert not fake_entry.gateway.freed
        await trio.sleep(2.0)
        assert results[0][0] == direct_outcome.Relayed(200)
        assert len(fake_entry.gateway.calls) == 1

    rejection = fakes.ScriptedAnswer(503, (b"",), is_not_run=True)
    _run(check, (HOLD_S / 2, rejection), _new_stream(0.8, FIRST_EVENT))


def test_inputs_that_were_freed_too_early_are_made_again_and_held_longer():
    async def check(nursery, fake_entry):
        await _check_made_again(nursery, fake_entry)
        fetch_time = fake_entry.services.fetch_times.get("svc")
        assert fetch_time.hold_s > 1.9 * HOLD_S

    gone = fakes.ScriptedAnswer(
        409, (b"",), is_not_run=True, is_input_gone=True
    )
    _run(check, (HOLD_S * 1.5, gone), _new_stream(0.3, FIRST_EVENT))


def test_an_attempt_that_broke_off_late_makes_its_inputs_again():
    async def check(nursery, fake_entry):
        await _check_made_again(nursery, fake_entry)

    broken = fakes.new_failure(outcome_module.Ran.UNKNOWN)
    _run(check, (HOLD_S * 2, broken), _new_stream(0.3, FIRST_EVENT))
