"""Replays of entries that call the same server of a stage.

The server runs one call at a time and lets two wait; it tells its load.
Several entries have lost sight of the pool's owner, and each makes its pieces
itself, together more than the server can do.
"""

import msgspec
import pytest
import trio

from greengagetrack.connection import gateway
from greengagetrack.platform import loads
from greengagetrack.process.direct.decisions import told_load
from greengagetrack.process.direct import told_load as told_load_state
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece as piece_module
from greengagetrack.request import outcome
from tests.direct import fakes

# Entries, and the time between two requests of each.
LOADS = ((4, 0.3), (4, 0.15), (6, 0.15), (6, 0.1))
REQUESTS = 24
QUEUE_MAX = 2
SERVER = fakes.new_server("p1", "pool")


class Machine:
    """The server that all entries call."""

    def __init__(self, pace):
        self.pace = pace
        self.lock = trio.Lock()
        self.refused = 0

    def get_load(self):
        statistics = self.lock.statistics()
        return gateway.ServerLoad(
            int(statistics.locked), statistics.tasks_waiting, 1, self.pace
        )


class SharedGateway(fakes.FakeGateway):
    """Calls the machine, and tells the observer of its load."""

    def __init__(self, machine, is_told):
        super().__init__()
        self.machine = machine
        self.is_told = is_told
        self.observer = None

    async def run_pieces(self, server, pieces):
        sent_s = trio.current_time()
        load = self.machine.get_load()
        if load.waiting >= QUEUE_MAX:
            self.machine.refused += 1
            self._observe(server, load, sent_s)
            return gateway.Failure(
                outcome.Reason.BACKEND_REFUSED,
                outcome.Ran.NO,
                "status 503",
                is_full=self.is_told,
            )
        async with self.machine.lock:
            results = await super().run_pieces(server, pieces)
            await trio.sleep(0.05 * (self.machine.pace - 1))
        self._observe(server, self.machine.get_load(), sent_s)
        return results

    def _observe(self, server, load, sent_s):
        if self.is_told:
            self.observer.record_load(server, load, sent_s)


class Result(msgspec.Struct):
    """What the entries got, and how often the server was full."""

    made: int = 0
    refused: int = 0
    suspected: int = 0


def _new_tasks(request_id, count):
    tasks = []
    for number in range(count):
        task = piece_module.PieceTask(request_id, 0, number, "k", None)
        task.due_s = trio.current_time() + 2.0
        task.deadline = deadline_module.new_deadline(3000)
        tasks.append(task)
    return tasks


def _replay(is_told, entries=4, period_s=0.3, pace=1.0):
    """Return the `Result` of `entries` that send every `period_s`."""
    result = Result()

    async def send(batcher, name):
        tasks = _new_tasks(name, 2)
        await batcher.make_pieces(tasks)
        result.made += sum(
            not isinstance(task.result, gateway.PieceFailure) for task in tasks
        )

    async def run_entry(nursery, number, machine):
        shared = SharedGateway(machine, is_told)
        entry = fakes.FakeEntry(nursery, shared, (SERVER,))
        shared.observer = entry.directory
        nursery.start_soon(entry.pools.run)
        batcher = entry.pools.get_pool("pool", "dc-a").batcher
        await trio.sleep(number * 0.02)
        async with trio.open_nursery() as requests:
            for index in range(REQUESTS):
                requests.start_soon(send, batcher, f"{number}-{index}")
                await trio.sleep(period_s)
                server = entry.directory.server_by_id["p1"]
                result.suspected += server.is_suspect()

    async def main(nursery):
        machine = Machine(pace)
        async with trio.open_nursery() as sending:
            for number in range(entries):
                sending.start_soon(run_entry, nursery, number, machine)
        result.refused = machine.refused

    fakes.run_with_mock_clock(main)
    return result


@pytest.fixture(scope="module")
def told():
    """Return the results of several loads where the server tells its own."""
    return [_replay(True, *load) for load in LOADS]


def test_a_full_server_that_tells_it_is_not_suspected(told):
    assert all(result.suspected == 0 for result in told)


def test_entries_that_share_a_server_have_more_pieces_made(told):
    untold = [_replay(False, *load) for load in LOADS]
    made = sum(result.made for result in told)
    assert made > 1.03 * sum(result.made for result in untold)
    refused = sum(result.refused for result in told)
    assert refused < 1.2 * sum(result.refused for result in untold)


def test_the_pace_of_a_server_that_works_slowly_is_no_reason_to_suspect_it():
    assert _replay(is_told=True, pace=4.0).suspected == 0


def test_each_further_refusal_is_waited_for_longer():
    waits = [
        told_load.get_full_s(0.1, 0.2, refusals) for refusals in (1, 2, 9)
    ]
    assert waits == sorted(waits)
    assert waits[-1] == told_load.FULL_MAX_S
    assert told_load.get_full_s(0.1, 0.0, 10**9) == told_load.FULL_MAX_S


def test_old_reports_say_nothing():
    load = gateway.ServerLoad(1, 1, 1)
    others = told_load.count_others(load, own_calls=0)
    waits = [
        told_load.get_others_wait_s(others, 1, age_s, call_s=0.2)
        for age_s in (0.0, 0.1, 0.5)
    ]
    assert waits == pytest.approx([0.3, 0.2, 0.0])


def test_the_pace_is_the_median_of_a_few_reports():
    told = told_load_state.ToldLoad()
    for pace in (1.0, 9.0, 1.2, 0.9, 1.1):
        told.record(gateway.ServerLoad(0, 0, 1, pace), 0, 1.0)
    assert told.pace == 1.1


def test_an_answer_that_was_overtaken_tells_no_load():
    async def main(nursery):
        told = told_load_state.ToldLoad()
        told.record(gateway.ServerLoad(1, 3, 1), 0, sent_s=2.0)
        told.record(gateway.ServerLoad(0, 0, 1), 0, sent_s=1.0)
        assert told.get_others_wait_s(10.0) > 0

    fakes.run_with_mock_clock(main)


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,8", gateway.ServerLoad(3, 1, 8)),
        ("3, 1, 8, 250", gateway.ServerLoad(3, 1, 8, 2.5)),
        ("", None),
        ("3,1", None),
        ("3,1,8,100,7", None),
        ("3,-1,8", None),
        ("3,1,8,fast", None),
        ("3,1,99999999999999999999", None),
    ],
)
def test_loads_are_read_or_ignored(text, load):
    assert loads.read_load(text) == load
