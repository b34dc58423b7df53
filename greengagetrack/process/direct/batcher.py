"""Batches pieces of stages into calls to the servers that make them.

A call has a fixed cost, so the throughput of a service depends on full
calls. One entry, the pool owner, batches the pieces for all servers of a
service in a data centre; while calls run, its queue fills the next ones.
"""

import logging

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.process.direct.decisions import batch as batch_choice
from greengagetrack.process.direct.decisions import fair_share
from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct.decisions import queue_order
from greengagetrack.process.direct import group as group_module
from greengagetrack.process.direct import result_freer
from greengagetrack.process.direct import server_usage as server_usage_module
from greengagetrack.request import outcome

CALL_TIMEOUT_SLACK_S = 0.8
CALL_TIMEOUT_FACTOR = 4.0
TRIES_MAX = 3
TYPICAL_FILL_RATIO = 0.7
KEEP_MARGIN_S = 0.2
FAILURE_SHARE_MAX = 0.3

_log = logging.getLogger(__name__)


class Batcher:
    """The queue of pieces for one service in one data centre."""

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
        "_rates",
        "_usage_by_id",
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
        self._queue = []
        self._rates = forecast.ArrivalRates()
        self._freer = result_freer.new_result_freer(
            dependencies, self._needs_room, self.wake
        )
        self._usage_by_id = {}

    async def make_pieces(self, tasks):
        """Make all pieces; return when every task is complete."""
        budget = self._budgets.get(self.service)
        for _task in tasks:
            budget.count_first_attempt()
        self._rates.count(tasks[0].flow, len(tasks), trio.current_time())
        self._queue.append(group_module.PieceGroup(list(tasks)))
        self._dispatch()
        try:
            for task in tasks:
                await task.done.wait()
        finally:
            # On cancellation, drop the pieces that still wait.
            for task in tasks:
                task.complete(gateway_module.PieceFailure.LATE)
            self._drop_completed()

    def _get_typical_call_s(self):
        batching = self._get_batching()
        if batching is None:
            return 0.0
        return batching.get_call_s(batching.batch_max * TYPICAL_FILL_RATIO)

    def count_waiting(self):
        """Return the number of pieces that wait for a call."""
        return sum(len(group.tasks) for group in self._queue)

    def is_busy(self):
        """Return whether pieces wait or calls are in flight."""
        calls = sum(
            usage.calls_in_flight for usage in self._usage_by_id.values()
        )
        return bool(self._queue) or calls > 0

    def get_waits(self):
        """Return how long pieces added now would wait for their call."""
        batching = self._get_batching()
        usages = self._get_usages() if batching else []
        if not usages:
            return forecast.NO_SERVER_WAITS
        now = trio.current_time()
        call_s = self._get_typical_call_s()
        on_time_by_flow = {}
        for group in self._queue:
            if not queue_order.is_late(group.tasks[0].due_s, call_s, now):
                count = on_time_by_flow.get(group.flow, 0)
                on_time_by_flow[group.flow] = count + len(group.tasks)
        queue_forecast = self._get_forecast(usages, batching)
        return forecast.get_pool_waits(
            queue_forecast,
            on_time_by_flow,
            self.count_waiting(),
            self._rates,
            now,
            self._find_excess_kinds(queue_forecast),
        )

    def _find_excess_kinds(self, queue_forecast):
        """Return the kinds that ask for more than their share."""
        rate_by_kind = self._rates.get_by_kind(trio.current_time())
        for group in self._queue:
            # What still waits shows a burst sooner than the average does.
            kind = group.flow.kind
            waiting_per_s = len(group.tasks) / forecast.RATE_WINDOW_S
            rate_by_kind[kind] = rate_by_kind.get(kind, 0.0) + waiting_per_s
        return fair_share.find_excess(
            rate_by_kind, queue_forecast.pieces_per_s
        )

    def _get_forecast(self, usages, batching):
        """Return the forecast of the queue from now on."""
        now = trio.current_time()
        round_s = batching.get_call_s(batching.batch_max)
        return forecast.QueueForecast(
            next_free_s=min(usage.get_wait_s(now) for usage in usages),
            pieces_per_round=max(
                sum(usage.count_per_round(round_s) for usage in usages), 1.0
            ),
            round_s=round_s,
            start_s=batching.call_ms / 1000,
        )

    def _get_batching(self):
        catalog = self._get_catalog()
        if catalog is None:
            return None
        service = catalog.service_by_name.get(self.service)
        return service.batching if service else None

    def _dispatch(self):
        """Start calls with waiting pieces at servers with a free slot."""
        batching = self._get_batching()
        usages = self._get_usages()
        if batching is None or not usages:
            queue, self._queue = self._queue, []
            self._fail_groups(queue, gateway_module.PieceFailure.NO_SERVER)
            return
        free_usages = [
            usage for usage in usages if usage.calls_in_flight < batching.slots
        ]
        if not free_usages:
            return
        # The order matters only when a call starts.
        call_s = self._get_typical_call_s()
        now = trio.current_time()
        queue_forecast = self._get_forecast(usages, batching)
        excess_kinds = self._find_excess_kinds(queue_forecast)
        self._queue.sort(
            key=lambda group: queue_order.get_rank(
                group, call_s, now, excess_kinds
            )
        )
        unreachable_groups = queue_order.find_unreachable(
            self._queue,
            queue_forecast,
            self._rates.get_total(now),
            call_s,
            now,
        )
        self._fail_groups(unreachable_groups, gateway_module.PieceFailure.LATE)
        self._drop_completed()
        for usage in free_usages:
            if self._queue:
                self._start_call(usage, batching)

    def _fail_groups(self, groups, failure):
        for group in groups:
            for task in group.tasks:
                task.complete(failure)

    def _drop_completed(self):
        for group in self._queue:
            group.drop_completed()
        self._queue = [group for group in self._queue if group.tasks]

    def _get_usages(self):
        """Return the usage of each server not suspected, best first."""
        usages = [
            self._get_usage(server)
            for server in self._directory.get_servers(self.service)
            if server.published.data_centre == self._data_centre
        ]
        usages = [usage for usage in usages if not usage.server.is_suspect()]
        usages.sort(key=_get_sort_key)
        return usages

    def _get_usage(self, server):
        usage = self._usage_by_id.get(server.server_id)
        if usage is None or usage.server is not server:
            batching = self._get_batching()
            usage = server_usage_module.ServerUsage(
                server, batching.batch_max if batching else 1
            )
            self._usage_by_id[server.server_id] = usage
        return usage

    def _drop_unused(self):
        """Remove the usages of removed servers without calls in flight."""
        server_by_id = self._directory.server_by_id
        for server_id, usage in list(self._usage_by_id.items()):
            if server_id not in server_by_id and not usage.calls_in_flight:
                del self._usage_by_id[server_id]

    def _start_call(self, usage, batching):
        """Start one call with the most urgent pieces that fit."""
        # No await here: a piece must be in one call only.
        usage.release_expired()
        free_bytes = usage.get_free_bytes(batching.result_memory_bytes)
        if not batch_choice.is_any_fitting(self._queue, free_bytes):
            return
        if not self._permits.try_acquire(usage.server):
            return
        batch = self._pop_batch(usage, batching, free_bytes)
        usage.update_typical_batch(
            len(batch), batching.batch_max, bool(self._queue)
        )
        usage.calls_in_flight += 1
        call_s = batching.get_call_s(len(batch))
        usage.busy_until_s = trio.current_time() + call_s
        self._nursery.start_soon(self._run_call, usage, batch, batching)

    def _pop_batch(self, usage, batching, free_bytes):
        """Remove the pieces of the next call from the queue; return them."""
        batch = batch_choice.pop_batch(
            self._queue, batching.batch_max, free_bytes
        )
        usage.used_bytes += sum(task.result_bytes for task in batch)
        self._queue = [group for group in self._queue if group.tasks]
        return batch

    async def _run_call(self, usage, batch, batching):
        work_s = batching.get_call_s(len(batch))
        started_s = trio.current_time()
        usage.server.outstanding += 1
        results = gateway_module.Failure(
            outcome.Reason.AGENT_SILENT,
            outcome.Ran.UNKNOWN,
            "no answer in time",
        )
        error = None
        try:
            with trio.move_on_after(
                work_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_SLACK_S
            ):
                results = await self._gateway.run_pieces(
                    usage.server.published, [task.to_piece() for task in batch]
                )
        except Exception as raised:
            # The pieces still need an end, before the error is logged.
            error = raised
        finally:
            usage.server.outstanding -= 1
            usage.calls_in_flight -= 1
        self._end_call(usage, batching, batch, results, started_s)
        if error is not None:
            raise error

    def _end_call(self, usage, batching, batch, results, started_s):
        """Complete the pieces of a call, or have them made again."""
        spent_ms = (trio.current_time() - started_s) * 1000
        work_s = batching.get_call_s(len(batch))
        usage.busy_until_s = 0.0
        self._record_call(usage.server, batch, results, spent_ms, work_s)
        if not isinstance(results, list):
            failure = gateway_module.PieceFailure.ERROR
            if results.ran is outcome.Ran.NO:
                failure = gateway_module.PieceFailure.NOT_TAKEN
            results = [failure] * len(batch)
        for task, result in zip(batch, results, strict=True):
            self._handle_result(usage, batching, task, result)
        self._dispatch()

    def _record_call(self, server, batch, results, spent_ms, work_s):
        is_made = isinstance(results, list)
        failures = []
        if is_made:
            server.record_success(spent_ms)
            failures = [
                result
                for result in results
                if isinstance(result, gateway_module.PieceFailure)
            ]
        else:
            server.record_failed_call(results)
        _log.info(
            "pieces made" if is_made else "pieces failed",
            extra={
                "decision": "batch",
                "service": self.service,
                "server": server.server_id,
                "data_centre": self._data_centre,
                "pieces": len(batch),
                "failed": len(failures),
                "reasons": sorted(set(failures)),
                "requests": sorted({task.request_id for task in batch}),
                "spent_ms": round(spent_ms, 1),
                "work_ms": round(work_s * 1000, 1),
                "waiting": self.count_waiting(),
                "outcome": "made" if is_made else results.detail,
            },
        )

    def _handle_result(self, usage, batching, task, result):
        failure = gateway_module.PieceFailure
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
        group = group_module.PieceGroup([task])
        group.is_started = True
        self._queue.append(group)

    def free_results(self, server_id, handles):
        """Release results that are no longer needed.

        Results of calls by an earlier owner of the pool are not recorded
        here; their server frees them all the same.
        """
        server = self._directory.server_by_id.get(server_id)
        if server is None:
            return
        self._freer.free(self._get_usage(server), handles)

    def _needs_room(self, usage):
        """Return whether there is no memory for the next call at a server."""
        batching = self._get_batching()
        if batching is None or not self._queue:
            return True
        call_bytes = self._queue[0].tasks[0].result_bytes * min(
            self.count_waiting(), batching.batch_max
        )
        free_bytes = usage.get_free_bytes(batching.result_memory_bytes)
        return free_bytes < call_bytes

    def wake(self):
        """Dispatch again after a possible change of servers or memory."""
        self._drop_unused()
        if self._queue:
            self._dispatch()


def _get_sort_key(usage):
    server = usage.server
    return (
        server.failure_share > FAILURE_SHARE_MAX,
        usage.used_bytes,
        server.server_id,
    )


class BatcherDependencies:
    """The objects that all batchers of an entry share."""

    __slots__ = (
        "budgets",
        "directory",
        "gateway",
        "get_catalog",
        "nursery",
        "permits",
    )

    def __init__(
        self, directory, gateway, budgets, get_catalog, nursery, permits
    ):
        self.directory = directory
        self.gateway = gateway
        self.budgets = budgets
        self.get_catalog = get_catalog
        self.nursery = nursery
        self.permits = permits


def new_batcher(service, data_centre, dependencies):
    """Return the batcher of a service in a data centre."""
    return Batcher(service, data_centre, dependencies)
