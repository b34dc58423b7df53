"""Measures how late tasks are woken for want of processor time."""

import logging

import trio

PERIOD_S = 0.25
LOGGED_LAG_S = 0.1
# Standing still for so long, a process may have missed another's restart.
LOST_S = 0.5

_log = logging.getLogger(__name__)


async def watch(metrics, on_lost, containment):
    """Record how late this task is woken, until cancelled.

    `on_lost()` is called when the process has stood still.
    """
    while True:
        due_s = trio.current_time() + PERIOD_S
        await trio.sleep_until(due_s)
        with containment.contain("loop_lag"):
            _record(trio.current_time() - due_s, metrics, on_lost)


def _record(lag_s, metrics, on_lost):
    metrics.record_loop_lag(lag_s)
    if lag_s > LOST_S:
        on_lost()
    if lag_s > LOGGED_LAG_S:
        _log.warning(
            "entry is late",
            extra={"decision": "loop_lag", "lag_s": round(lag_s, 3)},
        )
