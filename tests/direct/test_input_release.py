"""Tests of inputs that are freed in the middle of the call that reads them.

A chain of two stages, with a server each. The results of the first one wait
for the second, and take the memory that its next pieces need.
"""

import trio

from greengagetrack.connection import gateway
from greengagetrack.process.direct import fetch_time
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece as piece_module
from greengagetrack.version import catalog
from tests.direct import fakes

FIRST = fakes.new_server("p1", "first")
SECOND = fakes.new_server("p2", "second")
SERVICES = [
    catalog.Service("first", batching=fakes.BATCHING),
    catalog.Service("second", batching=fakes.BATCHING),
]
HANDLE = "p1/made"
# With one piece a call of the fake gateway takes 0.11 s.
IN_CALL_S = fetch_time.HOLD_START_S + 0.005


def _new_task(name, inputs=None, is_last_reader=True):
    task = piece_module.PieceTask(name, 0, 0, "k", inputs)
    task.due_s = trio.current_time() + 1.0
    task.deadline = deadline_module.new_deadline(5000)
    task.result_bytes = 10
    if inputs and is_last_reader:
        task.input_servers = ("p1",) * len(inputs)
    return task


def _run(check):
    async def main(nursery):
        fake_entry = fakes.FakeEntry(
            nursery,
            fakes.FakeGateway(),
            (FIRST, SECOND),
            fakes.new_catalog(services=SERVICES),
        )
        first = fake_entry.pools.get_pool("first", "dc-a").batcher
        second = fake_entry.pools.get_pool("second", "dc-a").batcher
        async with trio.open_nursery() as inner:
            await check(inner, fake_entry, first, second)

    fakes.run_with_mock_clock(main)


async def _fill(nursery, first):
    """Let more than a call wait for the first stage."""
    for number in range(12):
        nursery.start_soon(first.make_pieces, [_new_task(f"w{number}")])
    await trio.sleep(0)


def test_inputs_are_freed_in_a_call_while_their_pool_has_a_queue():
    async def check(nursery, fake_entry, first, second):
        await _fill(nursery, first)
        task = _new_task("a", (HANDLE,))
        nursery.start_soon(second.make_pieces, [task])
        await trio.sleep(IN_CALL_S)
        assert not task.is_completed()
        await trio.sleep(0.05)
        assert fake_entry.gateway.freed == [HANDLE]

    _run(check)


def test_inputs_stay_in_calm():
    async def check(nursery, fake_entry, _first, second):
        nursery.start_soon(second.make_pieces, [_new_task("a", (HANDLE,))])
        await trio.sleep(0.5)
        assert fake_entry.gateway.freed == []

    _run(check)


def test_inputs_that_are_read_again_stay():
    """Another stage reads them, or more pieces of this one wait."""

    async def check(nursery, fake_entry, first, second):
        for _second in range(2):
            await _fill(nursery, first)
        shared = _new_task("a", ("p1/shared",), is_last_reader=False)
        group = [_new_task("b", (HANDLE,)) for _number in range(6)]
        nursery.start_soon(second.make_pieces, [shared])
        nursery.start_soon(second.make_pieces, group)
        # Two of the group wait for the call after the next one.
        await trio.sleep(0.11 + IN_CALL_S)
        assert fake_entry.gateway.freed == []
        await trio.sleep(0.2)
        assert fake_entry.gateway.freed == [HANDLE]

    _run(check)


def test_a_call_that_misses_its_inputs_lengthens_the_time():
    async def check(nursery, fake_entry, first, second):
        fake_entry.gateway.call_handler = lambda server, pieces: [
            gateway.PieceFailure.INPUT_GONE
            if piece.inputs
            else f"{server.server_id}/{piece.request_id}"
            for piece in pieces
        ]
        await _fill(nursery, first)
        await second.make_pieces([_new_task("a", (HANDLE,))])
        learned = fake_entry.services.fetch_times.get("second")
        assert learned.hold_s == 2 * fetch_time.HOLD_START_S

    _run(check)
