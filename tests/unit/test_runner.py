"""A runner tolerates some late load reports of its backend server."""

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


def _get_slots_after_polls(loads):
    """Return the slots that the runner reports after each poll."""
    slots = []

    async def run():
        backend = _Backend()
        backend_runner = runner.new_runner(backend, 1, lambda record: None)
        for backend.load in loads:
            await backend_runner.poll_backend()
            slots.append(backend_runner.get_load().slots)

    trio.run(run, clock=trio.testing.MockClock())
    return slots


def test_some_late_reports_in_a_row_keep_slots():
    good, late = base.BackendLoad(slots=4), base.LoadTimeout()
    assert _get_slots_after_polls([good, late, late, good]) == [4, 4, 4, 4]


def test_many_late_reports_in_a_row_remove_slots():
    good, late = base.BackendLoad(slots=4), base.LoadTimeout()
    loads = [good] + [late] * runner.LATE_POLLS_MAX
    assert _get_slots_after_polls(loads)[-2:] == [4, 0]


def test_unreachable_backend_server_has_no_slots_at_once():
    good = base.BackendLoad(slots=4)
    assert _get_slots_after_polls([good, None, good]) == [4, 0, 4]
