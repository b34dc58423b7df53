"""The runner's view of its backend server."""

import trio
import trio.testing

from greengagetrack.connection.backend import base
from greengagetrack.process import runner


class _Backend(base.Backend):
    def __init__(self):
        self.load = base.BackendLoad(slots=4)

    async def run(self, call):
        yield base.Result(b"{}")

    async def get_load(self):
        await trio.lowlevel.checkpoint()
        return self.load

    async def load_model(self, model, fencing):
        return False


def _poll(loads):
    """Return the slots that are reported after each of some polls."""
    slots = []

    async def run():
        backend = _Backend()
        work = runner.new_runner(backend, 1, lambda record: None)
        for backend.load in loads:
            await work.poll_backend()
            slots.append(work.get_load().slots)

    trio.run(run, clock=trio.testing.MockClock())
    return slots


def test_a_late_report_takes_no_slots_away():
    good, late = base.BackendLoad(slots=4), base.LoadTimeout()
    assert _poll([good, late, late, good]) == [4, 4, 4, 4]


def test_many_late_reports_in_a_row_do():
    good, late = base.BackendLoad(slots=4), base.LoadTimeout()
    polls = [good] + [late] * runner.LATE_POLLS_MAX
    assert _poll(polls)[-2:] == [4, 0]


def test_a_dead_backend_server_has_no_slots_at_once():
    good = base.BackendLoad(slots=4)
    assert _poll([good, None, good]) == [4, 0, 4]
