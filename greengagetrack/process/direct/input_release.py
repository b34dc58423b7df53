"""Frees the inputs of calls for pieces as soon as their server has them.

A server fetches all inputs when a call begins, and works for long after
that. Results that only wait for the end of such a call take the memory that
the next pieces of the stage before need, so where that is short they are
freed in the middle of the call.
"""

import trio

from greengagetrack.connection import gateway as gateway_module

# Of a call: its server may begin late, behind a call of another entry.
HOLD_CALL_SHARE = 0.5


class InputRelease:
    """Frees the inputs of the pieces of one service.

    `fetch_time` is the learned `FetchTime` of the service,
    `is_waiting(inputs)` returns whether more pieces wait that read the same
    inputs, and `free(handles, server_ids)` frees results and returns whether
    it did.
    """

    __slots__ = ("_fetch_time", "_free", "_is_waiting", "_nursery")

    def __init__(self, fetch_time, is_waiting, free, nursery):
        self._fetch_time = fetch_time
        self._is_waiting = is_waiting
        self._free = free
        self._nursery = nursery

    def start(self, batch, call_s):
        """Free the inputs of a call that begins now, once it has them.

        The call is to take `call_s`.
        """
        if any(task.input_servers for task in batch):
            self._nursery.start_soon(self._release, batch, call_s)

    async def _release(self, batch, call_s):
        hold_s = max(self._fetch_time.hold_s, call_s * HOLD_CALL_SHARE)
        await trio.sleep(hold_s)
        tasks_by_inputs = {}
        for task in batch:
            if task.input_servers:
                tasks_by_inputs.setdefault(task.inputs, []).append(task)
        for inputs, tasks in tasks_by_inputs.items():
            if self._is_waiting(inputs) or any(map(_has_failed, tasks)):
                continue
            if self._free(inputs, tasks[0].input_servers):
                for task in tasks:
                    task.are_inputs_freed = True

    def record(self, task, result):
        """Record what became of a piece, which shows if it had its inputs."""
        if not task.are_inputs_freed:
            return
        if result is gateway_module.PieceFailure.INPUT_GONE:
            self._fetch_time.record_missing()
        elif not isinstance(result, gateway_module.PieceFailure):
            self._fetch_time.record_fetched()


def _has_failed(task):
    return isinstance(task.result, gateway_module.PieceFailure)


def new_input_release(fetch_time, is_waiting, free, nursery):
    """Return what frees the inputs of one service early."""
    return InputRelease(fetch_time, is_waiting, free, nursery)
