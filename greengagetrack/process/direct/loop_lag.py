"""Measures how late tasks are woken for want of processor time."""

import logging

import trio

PERIOD_S = 0.25
LOGGED_LAG_S = 0.1

_log = logging.getLogger(__name__)


async def watch(metrics):
    """Record how late this task is woken, until cancelled."""
    while True:
        due_s = trio.current_time() + PERIOD_S
        await trio.sleep_until(due_s)
        lag_s = trio.current_time() - due_s
        metrics.record_loop_lag(lag_s)
        if lag_s > LOGGED_LAG_S:
            _log.warning(
                "entry is late",
                extra={"decision": "loop_lag", "lag_s": round(lag_s, 3)},
            )
