"""Gathers pieces of stages into calls of the servers that make them.

A call costs its time before the first piece, so full calls are what the
capacity of a service comes from. One entry gathers the pieces for all
servers of a service in a data centre; while they work, its queue fills
the next call by itself.
"""

import logging
import math

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.process.direct import group as group_module
from greengagetrack.process.direct import server_usage as server_usage_module
from greengagetrack.request import outcome

CALL_SLACK_S = 0.8
CALL_TIMEOUT_X = 4.0
TRIES_MAX = 3
USUAL_FILL = 0.7
FREE_DELAY_S = 0.01
KEEP_MARGIN_S = 0.2
FAILURE_SHARE_MAX = 0.3

_log = logging.getLogger(__name__)


class Batcher:
    """The queue of one service in one data centre."""

    __slots__ = (
        "_budgets",
        "_data_centre",
        "_directory",
        "_gateway",
        "_get_catalog",
        "_nursery",
        "_queue",
        "_usage_by_id",
        "service",
    )

    def __init__(self, service, data_centre, parts):
        self.service = service
        self._data_centre = data_centre
        self._directory = parts.directory
        self._gateway = parts.gateway
        self._budgets = parts.budgets
        self._get_catalog = parts.get_catalog
        self._nursery = parts.nursery
        self._queue = []
        self._usage_by_id = {}

    async def make_pieces(self, tasks):
        """Make all pieces; return when each has its result."""
        budget = self._budgets.get(self.service)
        for _task in tasks:
            budget.count_first_attempt()
        group = group_module.Group(list(tasks), self._get_usual_call_s())
        self._queue.append(group)
        self._dispatch()
        try:
            for task in tasks:
                await task.done.wait()
        finally:
            # A caller that left wants none of what still waits.
            for task in tasks:
                task.complete(gateway_module.PieceFailure.LATE)
            self._drop_settled()

    def _get_usual_call_s(self):
        batching = self._get_batching()
        if batching is None:
            return 0.0
        return batching.get_call_s(batching.batch_max * USUAL_FILL)

    def count_waiting(self):
        """Return the pieces that wait for a call."""
        return sum(len(group.tasks) for group in self._queue)

    def is_busy(self):
        """Return whether pieces wait or are being made."""
        calls = sum(
            usage.calls_in_flight for usage in self._usage_by_id.values()
        )
        return bool(self._queue) or calls > 0

    def get_wait_s(self):
        """Return how long a piece that came now would wait for its call.

        Groups that are late already go last and are not in its way.
        """
        batching = self._get_batching()
        usages = self._get_usages() if batching else []
        if not usages:
            return math.inf
        ahead = sum(
            len(group.tasks) for group in self._queue if not group.is_late()
        )
        return self._get_pace(usages, batching).get_wait_s(ahead)

    def _get_pace(self, usages, batching):
        """Return how the queue goes on from this moment."""
        now = trio.current_time()
        return group_module.Pace(
            free_s=min(max(usage.busy_until_s - now, 0.0) for usage in usages),
            each_round=max(sum(usage.typical_batch for usage in usages), 1.0),
            round_s=batching.get_call_s(batching.batch_max),
        )

    def _get_batching(self):
        catalog = self._get_catalog()
        if catalog is None:
            return None
        service = catalog.service_by_name.get(self.service)
        return service.batching if service else None

    def _dispatch(self):
        """Hand waiting pieces to servers that are free for this entry."""
        batching = self._get_batching()
        usages = self._get_usages()
        if batching is None or not usages:
            self._settle_all(gateway_module.PieceFailure.NO_SERVER)
            return
        free = [
            usage for usage in usages if usage.calls_in_flight < batching.slots
        ]
        if not free:
            return
        # The order is needed only where a call starts.
        self._queue.sort(key=group_module.Group.get_urgency)
        self._drop_hopeless(usages, batching)
        for usage in free:
            if self._queue:
                self._send(usage, batching)

    def _settle_all(self, failure):
        queue, self._queue = self._queue, []
        for group in queue:
            for task in group.tasks:
                task.complete(failure)

    def _drop_hopeless(self, usages, batching):
        """Give up what can't be made in time behind what goes before it."""
        now = trio.current_time()
        pace = self._get_pace(usages, batching)
        ahead = 0
        for group in self._queue:
            start_s = now + pace.get_wait_s(ahead) + batching.call_ms / 1000
            if start_s > group.tasks[0].deadline.at_s:
                for task in group.tasks:
                    task.complete(gateway_module.PieceFailure.LATE)
            else:
                ahead += len(group.tasks)
        self._drop_settled()

    def _drop_settled(self):
        for group in self._queue:
            group.drop_settled()
        self._queue = [group for group in self._queue if group.tasks]

    def _get_usages(self):
        """Return the usages that may be used now, the soundest first."""
        usages = [
            self._get_usage(server)
            for server in self._directory.get_servers(self.service)
            if server.published.data_centre == self._data_centre
        ]
        usages = [usage for usage in usages if not usage.server.is_suspect()]
        usages.sort(key=_get_rank)
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
        """Forget the usages of servers that are gone and owe nothing."""
        server_by_id = self._directory.server_by_id
        for server_id, usage in list(self._usage_by_id.items()):
            if server_id not in server_by_id and not usage.calls_in_flight:
                del self._usage_by_id[server_id]

    def _send(self, usage, batching):
        """Start one call with the most urgent pieces that have room."""
        # No await: a piece must be in one call only.
        batch = self._take_batch(usage, batching)
        if not batch:
            return
        usage.update_typical_batch(
            len(batch), batching.batch_max, bool(self._queue)
        )
        usage.calls_in_flight += 1
        work_s = batching.get_call_s(len(batch))
        usage.busy_until_s = trio.current_time() + work_s
        self._nursery.start_soon(self._run_call, usage, batch, work_s)

    def _take_batch(self, usage, batching):
        """Return the pieces of the next call, taken from the queue."""
        usage.release_expired()
        batch = []
        for group in self._queue:
            free = batching.batch_max - len(batch)
            if free <= 0:
                break
            fitting = min(self._count_room(usage, group, batching), free)
            # Only what can't go whole, or has begun, is split. Small
            # results pass by large ones that wait for room.
            is_split = group.is_begun or len(group.tasks) > batching.batch_max
            is_whole = fitting == len(group.tasks)
            if not fitting or not (is_whole or is_split or not batch):
                continue
            taken = group.tasks[:fitting]
            del group.tasks[:fitting]
            group.is_begun = True
            batch += taken
            usage.used_bytes += sum(task.result_bytes for task in taken)
        self._queue = [group for group in self._queue if group.tasks]
        return batch

    def _count_room(self, usage, group, batching):
        """Return how many pieces of a group have room at a server."""
        count = len(group.tasks)
        each = group.tasks[0].result_bytes
        if not (batching.room_bytes and each):
            return count
        free_bytes = batching.room_bytes - usage.used_bytes
        return min(max(int(free_bytes / each), 0), count)

    async def _run_call(self, usage, batch, work_s):
        server = usage.server
        started_s = trio.current_time()
        server.outstanding += 1
        made = gateway_module.Failure(
            outcome.Reason.AGENT_SILENT,
            outcome.Ran.UNKNOWN,
            "no answer in time",
        )
        try:
            with trio.move_on_after(work_s * CALL_TIMEOUT_X + CALL_SLACK_S):
                made = await self._gateway.run_pieces(
                    server.published, [task.to_piece() for task in batch]
                )
        finally:
            server.outstanding -= 1
            usage.calls_in_flight -= 1
        spent_ms = (trio.current_time() - started_s) * 1000
        usage.busy_until_s = 0.0
        self._note_call(server, batch, made, spent_ms, work_s)
        if not isinstance(made, list):
            failure = gateway_module.PieceFailure.ERROR
            if made.ran is outcome.Ran.NO:
                failure = gateway_module.PieceFailure.NOT_TAKEN
            made = [failure] * len(batch)
        for task, result in zip(batch, made, strict=True):
            self._take_result(usage, task, result)
        self._dispatch()

    def _note_call(self, server, batch, made, spent_ms, work_s):
        is_made = isinstance(made, list)
        failed = 0
        if is_made:
            server.record_success(spent_ms)
            failed = sum(
                isinstance(each, gateway_module.PieceFailure) for each in made
            )
        else:
            server.record_failed_call(made)
        _log.info(
            "pieces made" if is_made else "pieces failed",
            extra={
                "decision": "batch",
                "service": self.service,
                "server": server.server_id,
                "data_centre": self._data_centre,
                "pieces": len(batch),
                "failed": failed,
                "requests": sorted({task.request_id for task in batch}),
                "spent_ms": round(spent_ms, 1),
                "work_ms": round(work_s * 1000, 1),
                "waiting": self.count_waiting(),
                "outcome": "made" if is_made else made.detail,
            },
        )

    def _take_result(self, usage, task, result):
        failure = gateway_module.PieceFailure
        if not isinstance(result, failure):
            keep_s = self._get_batching().keep_s + KEEP_MARGIN_S
            until_s = trio.current_time() + keep_s
            usage.record_result(result, task.result_bytes, until_s)
            if task.is_completed():
                # Nobody waits for it any more.
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
            # Something that this entry does not know of takes the room.
            usage.assume_used(task.result_bytes)
        self._try_again(task, result)

    def _try_again(self, task, failure):
        if failure is not gateway_module.PieceFailure.NOT_TAKEN:
            task.tries += 1
        budget = self._budgets.get(self.service)
        is_over = task.tries >= TRIES_MAX or task.deadline.is_past()
        if is_over or not budget.try_acquire():
            task.complete(failure)
        else:
            group = group_module.Group([task], self._get_usual_call_s())
            group.is_begun = True
            self._queue.append(group)

    def free_results(self, server_id, handles):
        """Give back results that are not needed any more.

        Some may be of calls that another entry made before this one came
        to gather: their maker frees them all the same.
        """
        server = self._directory.server_by_id.get(server_id)
        if server is None:
            return
        usage = self._get_usage(server)
        for handle in handles:
            usage.release(handle)
        is_flush_due = not usage.pending_frees
        usage.pending_frees += handles
        if is_flush_due:
            self._nursery.start_soon(self._flush_freed, usage)
        self.wake()

    async def _flush_freed(self, usage):
        # A moment later one call frees the results of many requests.
        await trio.sleep(FREE_DELAY_S)
        handles, usage.pending_frees = usage.pending_frees, []
        await self._gateway.free_results(
            usage.server.published.address, handles
        )

    def wake(self):
        """Look at the queue again: something may have changed."""
        self._drop_unused()
        if self._queue:
            self._dispatch()


def _get_rank(usage):
    server = usage.server
    return (
        server.failure_share > FAILURE_SHARE_MAX,
        usage.used_bytes,
        server.server_id,
    )


class BatcherDependencies:
    """What all batchers of an entry share."""

    __slots__ = ("budgets", "directory", "gateway", "get_catalog", "nursery")

    def __init__(self, directory, gateway, budgets, get_catalog, nursery):
        self.directory = directory
        self.gateway = gateway
        self.budgets = budgets
        self.get_catalog = get_catalog
        self.nursery = nursery


def new_batcher(service, data_centre, parts):
    """Return the batcher of a service in a data centre."""
    return Batcher(service, data_centre, parts)
