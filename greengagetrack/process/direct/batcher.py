"""Batches pieces of stages into calls to the servers that make them.

A call has a fixed cost, so the throughput of a service depends on full
calls. One entry, the pool owner, batches the pieces for all servers of a
service in a data centre; while calls run, its queue fills the next ones.
"""

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct import input_release
from greengagetrack.process.direct import piece_call
from greengagetrack.process.direct import piece_queue
from greengagetrack.process.direct import result_freer
from greengagetrack.process.direct import server_usages

TRIES_MAX = 3
TYPICAL_FILL_RATIO = 0.7
KEEP_MARGIN_S = 0.2


class Batcher:
    """Has the pieces of one service in one data centre made."""

    __slots__ = (
        "_budgets",
        "_data_centre",
        "_directory",
        "_freer",
        "_gateway",
        "_get_catalog",
        "_nursery",
        "_permits",
        "_queue",
        "_release",
        "_usages",
        "service",
    )

    def __init__(self, service, data_centre, dependencies):
        self.service = service
        self._data_centre = data_centre
        self._directory = dependencies.directory
        self._gateway = dependencies.gateway
        self._budgets = dependencies.budgets
        self._get_catalog = dependencies.get_catalog
        self._nursery = dependencies.nursery
        self._permits = dependencies.permits
        self._queue = piece_queue.new_piece_queue()
        self._release = input_release.new_input_release(
            dependencies.fetch_times.get(service),
            self._queue.has_inputs,
            dependencies.free_inputs,
            dependencies.nursery,
        )
        self._freer = result_freer.new_result_freer(
            dependencies, self._needs_room, self.wake
        )
        self._usages = server_usages.new_server_usages(
            service, data_centre, self._directory, self._get_batch_max
        )

    async def make_pieces(self, tasks):
        """Make all pieces; return when every task is complete."""
        budget = self._budgets.get(self.service)
        for _task in tasks:
            budget.count_first_attempt()
        self._queue.add(tasks)
        try:
            self._dispatch()
            for task in tasks:
                await task.done.wait()
        finally:
            # On cancellation, drop the pieces that still wait.
            self._complete(tasks, gateway_module.PieceFailure.LATE)

    def _complete(self, tasks, failure):
        """End the pieces that have no end yet."""
        for task in tasks:
            task.complete(failure)
        self._queue.drop_completed()

    def _get_typical_call_s(self):
        batching = self._get_batching()
        if batching is None:
            return 0.0
        return batching.get_call_s(batching.batch_max * TYPICAL_FILL_RATIO)

    def count_waiting(self):
        """Return the number of pieces that wait for a call."""
        return self._queue.count_pieces()

    def is_busy(self):
        """Return whether pieces wait or calls are in flight."""
        return not self._queue.is_empty() or self._usages.count_calls() > 0

    def get_waits(self):
        """Return how long pieces added now would wait for their call."""
        batching = self._get_batching()
        usages = self._usages.get_unsuspected() if batching else []
        if not usages:
            return forecast.NO_SERVER_WAITS
        return self._queue.get_waits(
            server_usages.get_forecast(usages, batching),
            self._get_typical_call_s(),
        )

    def _get_batching(self):
        catalog = self._get_catalog()
        if catalog is None:
            return None
        service = catalog.service_by_name.get(self.service)
        return service.batching if service else None

    def _get_batch_max(self):
        batching = self._get_batching()
        return batching.batch_max if batching else 1

    def _dispatch(self):
        """Start calls with waiting pieces at servers with a free slot."""
        self._queue.fail_misplaced(self._data_centre)
        batching = self._get_batching()
        usages = self._usages.get_unsuspected()
        if batching is None or not usages:
            self._queue.fail_all(gateway_module.PieceFailure.NO_SERVER)
            return
        free_usages = [
            usage for usage in usages if usage.is_free(batching.slots)
        ]
        if not free_usages:
            return
        # The order matters only when a call starts.
        self._queue.sort(
            server_usages.get_forecast(usages, batching),
            self._get_typical_call_s(),
        )
        for usage in free_usages:
            if not self._queue.is_empty():
                self._start_call(usage, batching)

    def _start_call(self, usage, batching):
        """Start one call with the most urgent pieces that fit."""
        # No await here: a piece must be in one call only.
        usage.release_expired()
        free_bytes = usage.get_free_bytes(batching.result_memory_bytes)
        if not self._queue.is_any_fitting(free_bytes):
            return
        if not self._permits.try_acquire(usage.server):
            return
        batch = self._queue.pop_batch(batching.batch_max, free_bytes)
        usage.used_bytes += sum(task.result_bytes for task in batch)
        usage.update_typical_batch(
            len(batch), batching.batch_max, not self._queue.is_empty()
        )
        usage.calls_in_flight += 1
        call_s = batching.get_call_s(len(batch))
        usage.busy_until_s = trio.current_time() + call_s
        call = piece_call.new_piece_call(usage, batch, batching)
        self._nursery.start_soon(self._run_call, call)
        self._release.start(batch, call_s)

    async def _run_call(self, call):
        error = await call.run(self._gateway)
        is_ended = False
        try:
            self._end_call(call)
            is_ended = True
        finally:
            if not is_ended:
                self._complete(call.batch, gateway_module.PieceFailure.ERROR)
        if error is not None:
            raise error

    def _end_call(self, call):
        """Complete the pieces of a call, or have them made again."""
        call.usage.busy_until_s = 0.0
        call.record(self.service, self._data_centre, self.count_waiting())
        for task, result in zip(
            call.batch, call.get_result_by_piece(), strict=True
        ):
            self._handle_result(call.usage, call.batching, task, result)
        self._dispatch()

    def _handle_result(self, usage, batching, task, result):
        failure = gateway_module.PieceFailure
        self._release.record(task, result)
        if not isinstance(result, failure):
            keep_s = batching.result_ttl_s + KEEP_MARGIN_S
            until_s = trio.current_time() + keep_s
            usage.record_result(result, task.result_bytes, until_s)
            if task.is_completed():
                # The caller has left, so the result is not needed.
                self.free_results(usage.server.server_id, [result])
            task.complete(result, usage.server)
            return
        usage.used_bytes -= task.result_bytes
        if task.is_completed():
            return
        if result in (failure.INPUT_GONE, failure.LATE):
            task.complete(result)
            return
        if result is failure.NO_ROOM:
            usage.record_full(batching.result_memory_bytes)
        self._retry(task, result)

    def _retry(self, task, failure):
        if failure is gateway_module.PieceFailure.NO_ROOM:
            # Nothing was tried; it waits for memory in a later call.
            may_retry = not task.deadline.is_past()
        else:
            if failure is not gateway_module.PieceFailure.NOT_TAKEN:
                task.tries += 1
            is_exhausted = task.tries >= TRIES_MAX or task.deadline.is_past()
            budget = self._budgets.get(self.service)
            may_retry = not is_exhausted and budget.try_acquire()
        if not may_retry:
            task.complete(failure)
            return
        self._queue.add_again(task)

    def drop_pieces(self, request_id, stage):
        """Make no piece any more of those that a peer has requested."""
        failure = gateway_module.PieceFailure.NO_SERVER
        self._queue.fail_stage(request_id, stage, failure)

    def free_results(self, server_id, handles):
        """Release results that are no longer needed.

        Results of calls by an earlier owner of the pool are not recorded
        here; their server frees them all the same.
        """
        server = self._directory.server_by_id.get(server_id)
        if server is None:
            return
        self._freer.free(self._usages.get(server), handles)

    def _needs_room(self, usage):
        """Return whether there is no memory for the next call at a server."""
        batching = self._get_batching()
        if batching is None or self._queue.is_empty():
            return True
        call_bytes = self._queue.get_first_bytes() * min(
            self.count_waiting(), batching.batch_max
        )
        free_bytes = usage.get_free_bytes(batching.result_memory_bytes)
        return free_bytes < call_bytes

    def wake(self):
        """Dispatch again after a possible change of servers or memory."""
        self._usages.drop_unused()
        if not self._queue.is_empty():
            self._dispatch()


class BatcherDependencies:
    """The objects that all batchers of an entry share.

    `free_inputs(handles, server_ids)` frees results that were read, where
    their servers are short of memory, and returns whether it did.
    """

    __slots__ = (
        "budgets",
        "directory",
        "fetch_times",
        "free_inputs",
        "gateway",
        "get_catalog",
        "nursery",
        "permits",
    )

    def __init__(
        self,
        directory,
        gateway,
        budgets,
        get_catalog,
        nursery,
        permits,
        fetch_times,
    ):
        self.directory = directory
        self.gateway = gateway
        self.budgets = budgets
        self.get_catalog = get_catalog
        self.nursery = nursery
        self.permits = permits
        self.fetch_times = fetch_times
        self.free_inputs = None


def new_batcher(service, data_centre, dependencies):
    """Return the batcher of a service in a data centre."""
    return Batcher(service, data_centre, dependencies)
