"""Tests of batching: groups, result memory, retries and completion."""

import trio

from greengagetrack.connection import gateway
from greengagetrack.connection import source as source_module
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import graph as graph_module
from greengagetrack.request.direct import piece as piece_module
from greengagetrack.version import catalog
from tests.direct import fakes

LOCAL_SERVER = fakes.new_server("p1", "pool")
REMOTE_SERVER = fakes.new_server("p2", "pool", "dc-b")


def _new_tasks(request_id, count, size=10, due_s=1.0, left_s=5.0):
    tasks = []
    for number in range(count):
        task = piece_module.PieceTask(request_id, 0, number, "k", None)
        task.due_s = trio.current_time() + due_s
        task.deadline = deadline_module.new_deadline(left_s * 1000)
        task.result_bytes = size
        tasks.append(task)
    return tasks


def _run(check, servers=(LOCAL_SERVER,), call_handler=None):
    async def main(nursery):
        fake_gateway = fakes.FakeGateway()
        fake_gateway.call_handler = call_handler
        fake_entry = fakes.FakeEntry(nursery, fake_gateway, servers)
        batcher = fake_entry.pools.get_pool("pool", "dc-a").batcher
        await check(nursery, fake_entry, batcher)

    fakes.run_with_mock_clock(main)


def test_waiting_pieces_share_the_next_call():
    async def check(nursery, fake_entry, batcher):
        async with trio.open_nursery() as inner:
            for name in ("a", "b", "c", "d", "e"):
                inner.start_soon(batcher.make_pieces, _new_tasks(name, 1))
        sizes = [len(pieces) for _server, pieces in fake_entry.gateway.calls]
        assert sizes == [1, 4]

    _run(check)


def test_a_group_that_fits_into_one_call_is_not_split():
    async def check(nursery, fake_entry, batcher):
        async with trio.open_nursery() as inner:
            inner.start_soon(batcher.make_pieces, _new_tasks("first", 1))
            await trio.sleep(0.01)
            inner.start_soon(
                batcher.make_pieces, _new_tasks("a", 3, due_s=1.0)
            )
            inner.start_soon(
                batcher.make_pieces, _new_tasks("b", 2, due_s=2.0)
            )
            inner.start_soon(
                batcher.make_pieces, _new_tasks("c", 1, due_s=3.0)
            )
        names = [
            [piece.request_id for piece in pieces]
            for _server, pieces in fake_entry.gateway.calls
        ]
        assert names == [["first"], ["a", "a", "a", "c"], ["b", "b"]]

    _run(check)


def test_groups_are_split_to_fill_calls_when_much_waits():
    """Groups of 8 filled 8 of 15 places while 216 pieces waited."""

    async def check(nursery, fake_entry, batcher):
        async with trio.open_nursery() as inner:
            inner.start_soon(batcher.make_pieces, _new_tasks("first", 1))
            await trio.sleep(0.01)
            for index, name in enumerate("abcd"):
                tasks = _new_tasks(name, 3, due_s=1.0 + index)
                inner.start_soon(batcher.make_pieces, tasks)
        names = [
            "".join(piece.request_id for piece in pieces)
            for _server, pieces in fake_entry.gateway.calls[1:]
        ]
        assert names == ["aaab", "bbcc", "cddd"]

    _run(check)


def test_full_result_memory_delays_the_next_call_until_freed():
    async def check(nursery, fake_entry, batcher):
        large = _new_tasks("large", 3, size=300)
        await batcher.make_pieces(large)
        waiting = _new_tasks("next", 1, size=300)
        nursery.start_soon(batcher.make_pieces, waiting)
        await trio.sleep(1.0)
        assert len(fake_entry.gateway.calls) == 1
        batcher.free_results("p1", [task.result for task in large])
        await trio.sleep(0.2)
        assert waiting[0].is_completed()
        assert sorted(fake_entry.gateway.freed) == sorted(
            task.result for task in large
        )

    _run(check)


def test_a_call_waits_until_the_server_confirms_freed_memory():
    async def check(nursery, fake_entry, batcher):
        fake_entry.gateway.free_s = 0.5
        large = _new_tasks("large", 3, size=300)
        await batcher.make_pieces(large)
        waiting = _new_tasks("next", 1, size=300)
        nursery.start_soon(batcher.make_pieces, waiting)
        batcher.free_results("p1", [large[0].result])
        await trio.sleep(0.4)
        assert len(fake_entry.gateway.calls) == 1
        await trio.sleep(0.4)
        assert waiting[0].is_completed()

    _run(check)


def test_results_that_could_not_be_freed_use_memory_until_they_expire():
    async def check(nursery, fake_entry, batcher):
        fake_entry.gateway.is_free_lost = True
        large = _new_tasks("large", 3, size=300)
        await batcher.make_pieces(large)
        waiting = _new_tasks("next", 1, size=300, left_s=20.0)
        nursery.start_soon(batcher.make_pieces, waiting)
        batcher.free_results("p1", [large[0].result])
        await trio.sleep(1.0)
        batcher.wake()
        assert len(fake_entry.gateway.calls) == 1
        await trio.sleep(5.0)
        batcher.wake()
        await trio.sleep(0.5)
        assert waiting[0].is_completed()

    _run(check)


def test_pieces_wait_for_memory_that_an_earlier_owner_uses():
    """After a restart of an owner, 76 pieces found no room in 2 s."""
    failure = gateway.PieceFailure.NO_ROOM

    async def check(nursery, fake_entry, batcher):
        tasks = _new_tasks("a", 4, size=200)
        nursery.start_soon(batcher.make_pieces, tasks)
        for _round in range(40):
            await trio.sleep(0.1)
            batcher.wake()
        assert [task.result for task in tasks] == ["a0", "a1", "a2", "a3"]

    def call_handler(_server, pieces):
        if trio.current_time() < 1.5:
            return [failure] * len(pieces)
        return [f"a{piece.number}" for piece in pieces]

    _run(check, call_handler=call_handler)


def test_small_results_overtake_large_ones_that_wait_for_memory():
    async def check(nursery, fake_entry, batcher):
        await batcher.make_pieces(_new_tasks("held", 3, size=300))
        nursery.start_soon(
            batcher.make_pieces, _new_tasks("large", 1, size=300, due_s=0.1)
        )
        small = _new_tasks("small", 1, size=1, due_s=2.0)
        await batcher.make_pieces(small)
        assert isinstance(small[0].result, str)

    _run(check)


def test_results_of_an_earlier_pool_owner_are_freed():
    async def check(nursery, fake_entry, batcher):
        batcher.free_results("p1", ["p1/unknown"])
        await trio.sleep(0.1)
        assert fake_entry.gateway.freed == ["p1/unknown"]

    _run(check)


def test_a_failed_call_is_retried_and_each_piece_completes_once():
    answers = iter([False, True])

    def answer_call(server, pieces):
        if next(answers):
            return [f"h{piece.number}" for piece in pieces]
        return fakes.new_failure("unknown")

    async def check(nursery, fake_entry, batcher):
        tasks = _new_tasks("a", 3)
        await batcher.make_pieces(tasks)
        assert [task.result for task in tasks] == ["h0", "h1", "h2"]
        assert len(fake_entry.gateway.calls) == 2

    _run(check, call_handler=answer_call)


def test_results_of_a_shared_call_go_to_their_own_pieces():
    async def check(nursery, fake_entry, batcher):
        first = _new_tasks("first", 1)
        groups = [_new_tasks(name, 2) for name in ("a", "b")]
        async with trio.open_nursery() as inner:
            for tasks in (first, *groups):
                inner.start_soon(batcher.make_pieces, tasks)
                await trio.sleep(0.001)
        for name, tasks in zip(("a", "b"), groups, strict=True):
            assert [task.result for task in tasks] == [
                f"p1/{name}.0.0",
                f"p1/{name}.0.1",
            ]

    _run(check)


def test_pieces_of_a_resumed_answer_go_first():
    """A resumed answer must not wait behind all other work.

    In the kitamura deployment, run scale-1, request 884469436056d12a was cut
    after event 16. Its stages ran again as late work, and the caller left
    before they ended.
    """

    async def check(nursery, fake_entry, batcher):
        nursery.start_soon(batcher.make_pieces, _new_tasks("first", 1))
        await trio.sleep(0.01)
        for number in range(3):
            nursery.start_soon(
                batcher.make_pieces, _new_tasks(f"new{number}", 4, due_s=1.0)
            )
        resumed = _new_tasks("resumed", 4, due_s=-3.0)
        for task in resumed:
            task.is_resumed = True
        nursery.start_soon(batcher.make_pieces, resumed)
        await trio.sleep(0.3)
        names = [
            pieces[0].request_id for _id, pieces in fake_entry.gateway.calls
        ]
        assert names[:2] == ["first", "resumed"]

    _run(check)


def test_pieces_past_their_deadline_are_not_sent():
    async def check(nursery, fake_entry, batcher):
        nursery.start_soon(batcher.make_pieces, _new_tasks("first", 1))
        await trio.sleep(0.01)
        late = _new_tasks("late", 1, left_s=0.05)
        await batcher.make_pieces(late)
        assert late[0].result is gateway.PieceFailure.LATE
        assert len(fake_entry.gateway.calls) == 1

    _run(check)


def test_waiting_pieces_are_dropped_when_their_caller_leaves():
    async def check(nursery, fake_entry, batcher):
        nursery.start_soon(batcher.make_pieces, _new_tasks("first", 1))
        await trio.sleep(0.01)
        with trio.move_on_after(0.02):
            await batcher.make_pieces(_new_tasks("left", 2))
        await trio.sleep(1.0)
        assert len(fake_entry.gateway.calls) == 1
        assert not batcher.is_busy()

    _run(check)


def test_a_result_whose_caller_has_left_is_freed():
    async def check(nursery, fake_entry, batcher):
        with trio.move_on_after(0.05):
            await batcher.make_pieces(_new_tasks("left", 1))
        await trio.sleep(1.0)
        assert fake_entry.gateway.freed == ["p1/left.0.0"]

    _run(check)


def test_pieces_fail_at_once_without_servers():
    async def check(nursery, fake_entry, batcher):
        tasks = _new_tasks("a", 1)
        await batcher.make_pieces(tasks)
        assert tasks[0].result is gateway.PieceFailure.NO_SERVER
        assert trio.current_time() < 1000

    _run(check, servers=())


def test_a_remote_pool_is_used_only_to_avoid_lateness():
    async def check(nursery, fake_entry, batcher):
        relaxed = _new_tasks("relaxed", 1, size=900, due_s=5.0)
        end_s = trio.current_time() + 5.0
        await fake_entry.pools.make_pieces("pool", relaxed, [], [], end_s)
        assert relaxed[0].server.server_id == "p1"
        for number in range(8):
            nursery.start_soon(
                batcher.make_pieces, _new_tasks(f"b{number}", 4, size=1)
            )
        await trio.sleep(0.01)
        urgent = _new_tasks("urgent", 1, size=900, due_s=0.3)
        end_s = trio.current_time() + 0.3
        await fake_entry.pools.make_pieces("pool", urgent, [], [], end_s)
        assert urgent[0].server.server_id == "p2"

    _run(check, servers=(LOCAL_SERVER, REMOTE_SERVER))


def test_a_piece_expires_with_its_inputs():
    """Pieces whose inputs have expired must not be sent in calls.

    In the larger federation deployment, run scale-1, they were a tenth of the
    pieces in full calls.
    """
    route = fakes.new_route(
        stages=(
            catalog.Stage("pool", result_bytes=10),
            catalog.Stage("pool", after=(0,), result_bytes=10),
        ),
        timeout_ms=60_000.0,
    )

    async def check(nursery, fake_entry, _batcher):
        admitted = fake_entry.admit(route, left_s=30.0, piece_counts=(1, 2))
        graph = graph_module.new_stage_graph(admitted, fake_entry.pools, 0.15)
        assert len(await graph.run()) == 2
        first, second = (
            pieces for _server, pieces in fake_entry.gateway.calls
        )
        assert first[0].left_ms > 20_000
        ttl_ms = fakes.BATCHING.result_ttl_s * 1000
        assert all(piece.left_ms < ttl_ms for piece in second)

    _run(check)


def test_a_server_that_asked_for_a_pause_gets_no_free_request_before():
    async def check(nursery, fake_entry, batcher):
        tasks = _new_tasks("a", 1)
        await batcher.make_pieces(tasks)
        fake_entry.directory.record_pause(LOCAL_SERVER, 2.0)
        batcher.free_results("p1", [tasks[0].result])
        await trio.sleep(1.9)
        assert not fake_entry.gateway.freed
        await trio.sleep(0.2)
        assert fake_entry.gateway.freed == [tasks[0].result]

    _run(check)


def test_a_service_may_leave_the_catalog_during_a_call():
    async def check(nursery, fake_entry, batcher):
        tasks = _new_tasks("a", 1)
        nursery.start_soon(batcher.make_pieces, tasks)
        await trio.sleep(0.05)
        fake_entry.catalog = fakes.new_catalog(
            2, services=[catalog.Service("svc")]
        )
        await trio.sleep(0.2)
        assert tasks[0].result == "p1/a.0.0"

    _run(check)


def test_usages_of_removed_servers_are_dropped():
    async def check(_nursery, fake_entry, batcher):
        await batcher.make_pieces(_new_tasks("a", 1))
        assert list(batcher._usages.usage_by_id) == ["p1"]
        fake_entry.directory.apply_update(
            source_module.Update(2, servers=(), is_complete=True)
        )
        batcher.wake()
        assert not batcher._usages.usage_by_id

    _run(check)
