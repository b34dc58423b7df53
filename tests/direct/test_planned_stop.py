"""A planned stop: what is taken ends whole, or is refused at once."""

import types

import pytest
import trio
import trio.testing

from bench.standins import site as site_module
from greengagetrack.process.direct import daemon
from greengagetrack.process.direct.decisions import drain_plan
from tests.direct import test_site

# That of the stand-in's node files.
GRACE_S = 4.0
# An engine that is at work then excuses a cut.
LAST_PART_S = GRACE_S * 5 / 6


async def _wait_for_exit(node):
    while node.exit_code is None:
        await trio.sleep(0.01)


def test_no_answer_is_cut_before_the_last_part_of_a_short_grace(tmp_path):
    """Streams of a grace of 4 s were cut at 3.3 s, with 0.7 s left."""

    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        for number in (1, 2):
            engine = site.engine_by_id[f"model-{number}"]
            engine.event_count, engine.event_interval_s = 20, 0.3
        stopped_s = trio.current_time()
        nodes[0].stop.request()
        await trio.sleep(1.6)
        status, _headers, _body = await consumer.send("/draft/1", b"r1")
        assert status == 0
        cut_s = trio.current_time() - stopped_s
        await _wait_for_exit(nodes[0])
        exit_s = trio.current_time() - stopped_s
        assert LAST_PART_S <= cut_s < exit_s < GRACE_S

    test_site.run_with_nodes(tmp_path, check)


def test_request_that_will_not_end_in_the_grace_is_refused(tmp_path):
    """Orders were taken 1 s before the end, and ran into it."""

    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        for number in (1, 2):
            site.engine_by_id[f"desk-{number}"].work_s = 1.5
        assert (await consumer.send("/order/1", b"r1"))[0] == 200
        nodes[0].stop.request()
        await trio.sleep(2.3)
        assert (await consumer.send("/order/1", b"r2"))[0] == 503
        assert site.count_runs(b"r2") == 0
        # Of another kind, which takes less.
        assert (await consumer.send("/draft/1", b"r3"))[0] == 200

    test_site.run_with_nodes(tmp_path, check)


def test_callers_that_are_refused_and_come_back_do_not_hold_the_exit(
    tmp_path,
):
    """The exit came late, with the code of a drain that is incomplete."""

    async def check(site, nodes, nursery):
        async def come_back(number):
            consumer = site_module.Consumer(nursery, nodes[0].address)
            while nodes[0].exit_code is None:
                await consumer.send("/open/1", b"c%d" % number, key="")

        async with trio.open_nursery() as callers:
            for number in range(16):
                callers.start_soon(come_back, number)
            stopped_s = trio.current_time()
            nodes[0].stop.request()
            await _wait_for_exit(nodes[0])
        assert nodes[0].exit_code == daemon.EXIT_OK
        assert trio.current_time() - stopped_s < LAST_PART_S

    test_site.run_with_nodes(tmp_path, check)


class ComingBack:
    """A server of callers who are refused and come back at once.

    Each is refused within `REFUSAL_S`, as long as it can connect.
    """

    REFUSAL_S = 0.05
    CALLERS = 16

    def __init__(self, nursery):
        self._is_listening = True
        self.is_draining = self.is_closing = False
        self.in_progress = 0
        for _caller in range(self.CALLERS):
            nursery.start_soon(self._come_back)

    async def _come_back(self):
        while self._is_listening:
            self.in_progress += 1
            await trio.sleep(self.REFUSAL_S)
            self.in_progress -= 1

    def stop_listening(self):
        """Take no connection any more."""
        self._is_listening = False


class BusyEntry:
    """An entry that has something in hand until all answers are ended."""

    plan = None

    def start_draining(self, plan):
        """Note the plan."""
        self.plan = plan

    def is_busy(self):
        """Return whether requests run."""
        return trio.current_time() < self.plan.answer_until_s


@pytest.mark.parametrize("grace_s", [1.0, 2.0, GRACE_S, 8.0])
def test_drain_ends_in_its_grace_though_refused_callers_come_back(grace_s):
    """The exit came late, with the code of a drain that is incomplete."""

    async def main():
        stop = types.SimpleNamespace(exit_requested=trio.Event())
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            server = ComingBack(nursery)
            left = await daemon._drain(BusyEntry(), server, grace_s, stop)
            assert left == 0
            assert server.is_closing
            plan = drain_plan.new_drain_plan(started_s, grace_s)
            # What makes the exit code that of a whole drain.
            assert trio.current_time() < plan.exit_by_s
            assert trio.current_time() - started_s < grace_s

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
