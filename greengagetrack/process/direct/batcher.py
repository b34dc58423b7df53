"""Gathers pieces of stages into calls of the servers that make them.

A call costs its time before the first piece, so full calls are what the
capacity of a service comes from. Pieces wait in one queue per service;
while a server of the service works for this entry, the queue fills the
next call by itself.
"""

import logging

import trio

from greengagetrack.connection import gateway as gateway_module

CALL_SLACK_S = 0.8
CALL_TIMEOUT_X = 4.0
TRIES_MAX = 3
PRIORITY_STEP_S = 0.1

_log = logging.getLogger(__name__)


class Lane:
    """The calls of this entry to one server."""

    __slots__ = ("busy_until_s", "calls", "server")

    def __init__(self, server):
        self.server = server
        self.calls = 0
        self.busy_until_s = 0.0


class Batcher:
    """The queue of one service."""

    __slots__ = (
        "_budgets",
        "_chooser",
        "_directory",
        "_gateway",
        "_get_catalog",
        "_lane_by_id",
        "_nursery",
        "_peers",
        "_queue",
        "service",
    )

    def __init__(self, service, parts):
        self.service = service
        self._directory = parts.directory
        self._gateway = parts.gateway
        self._chooser = parts.chooser
        self._budgets = parts.budgets
        self._get_catalog = parts.get_catalog
        self._nursery = parts.nursery
        self._peers = parts.peers
        self._queue = []
        self._lane_by_id = {}

    def get_call_s(self, fill):
        """Return how long a call takes that is full to the part `fill`."""
        batching = self._get_batching()
        if batching is None:
            return 0.0
        work_ms = batching.piece_ms * batching.batch_max * fill
        return (batching.call_ms + work_ms) / 1000

    async def make(self, tasks):
        """Make all pieces, at the entry that gathers them or from here.

        Returns when each piece has its result.
        """
        address = self._peers.get_gatherer(self.service)
        if address is not None:
            if await self._peers.make_at(address, self.service, tasks):
                return
        await self.make_here(tasks)

    async def make_here(self, tasks):
        """Make all pieces by calls of this entry."""
        budget = self._budgets.get(self.service)
        for _task in tasks:
            budget.note_first()
        self._queue += tasks
        self._dispatch()
        try:
            for task in tasks:
                await task.done.wait()
        finally:
            # A caller that left wants none of what still waits.
            wanted = set(map(id, tasks))
            self._queue = [
                task for task in self._queue if id(task) not in wanted
            ]

    def _get_batching(self):
        catalog = self._get_catalog()
        if catalog is None:
            return None
        service = catalog.service_by_name.get(self.service)
        return service.batching if service else None

    def _dispatch(self):
        """Hand waiting pieces to servers that are free for this entry."""
        batching = self._get_batching()
        if batching is None:
            self._settle_all(gateway_module.PieceFailure.ERROR)
            return
        self._drop_late()
        for lane in self._get_lanes():
            if not self._queue:
                return
            if self._is_lane_wanted(lane, batching):
                self._send(lane, batching)

    def _settle_all(self, failure):
        queue, self._queue = self._queue, []
        for task in queue:
            task.settle(failure)

    def _drop_late(self):
        for task in self._queue:
            if task.deadline.is_past():
                task.settle(gateway_module.PieceFailure.LATE)
        self._queue = [task for task in self._queue if task.result is None]

    def _get_lanes(self):
        """Return the lanes, the nearest first."""
        lanes = []
        for server in self._directory.get_servers(self.service):
            lane = self._lane_by_id.get(server.server_id)
            if lane is None or lane.server is not server:
                lane = Lane(server)
                self._lane_by_id[server.server_id] = lane
            lanes.append(lane)
        lanes.sort(key=self._get_rank)
        return lanes

    def _get_rank(self, lane):
        server = lane.server
        return (
            server.is_suspect(),
            server.failure_share > 0.3,
            self._chooser.get_distance_ms(server),
            server.server_id,
        )

    def _is_lane_wanted(self, lane, batching):
        if lane.calls >= batching.slots:
            return False
        if self._chooser.is_local(lane.server):
            return True
        return self._is_local_late(batching)

    def _is_local_late(self, batching):
        """Return whether the near servers can't make the aims."""
        near = [
            lane
            for lane in self._lane_by_id.values()
            if self._chooser.is_local(lane.server)
            and lane.server.is_usable()
            and not lane.server.is_suspect()
            and lane.server.server_id in self._directory.server_by_id
        ]
        if not near:
            return True
        free_at_s = min(lane.busy_until_s for lane in near)
        call_s = (
            batching.call_ms + batching.piece_ms * batching.batch_max
        ) / 1000
        if len(self._queue) > batching.batch_max * len(near):
            return True
        urgent = min(task.due_s for task in self._queue)
        start_s = max(free_at_s, trio.current_time())
        return start_s + call_s > urgent

    def _send(self, lane, batching):
        """Start one call with the most urgent pieces."""
        # No await: a piece must be in one call only.
        self._queue.sort(key=_get_urgency)
        batch = self._queue[: batching.batch_max]
        del self._queue[: batching.batch_max]
        lane.calls += 1
        work_s = (batching.call_ms + batching.piece_ms * len(batch)) / 1000
        lane.busy_until_s = trio.current_time() + work_s
        self._nursery.start_soon(self._run_call, lane, batch, work_s)

    async def _run_call(self, lane, batch, work_s):
        server = lane.server
        started_s = trio.current_time()
        server.outstanding += 1
        made = None
        try:
            with trio.move_on_after(work_s * CALL_TIMEOUT_X + CALL_SLACK_S):
                made = await self._gateway.run_pieces(
                    server.published, [task.to_piece() for task in batch]
                )
        finally:
            server.outstanding -= 1
            lane.calls -= 1
        spent_ms = (trio.current_time() - started_s) * 1000
        self._note_call(server, batch, made, spent_ms, work_s)
        if isinstance(made, list):
            for task, result in zip(batch, made, strict=True):
                self._take_result(task, result, server)
        else:
            for task in batch:
                self._take_failure(task, made)
        self._dispatch()

    def _note_call(self, server, batch, made, spent_ms, work_s):
        is_made = isinstance(made, list)
        if is_made:
            server.note_success(spent_ms)
        elif made is None or made.is_server_gone or made.is_other_server:
            server.note_unreachable()
        else:
            server.note_failure()
        failed = 0
        if is_made:
            failed = sum(
                isinstance(each, gateway_module.PieceFailure) for each in made
            )
        _log.info(
            "pieces made" if is_made else "pieces failed",
            extra={
                "decision": "batch",
                "service": self.service,
                "server": server.server_id,
                "data_centre": server.published.data_centre,
                "pieces": len(batch),
                "failed": failed,
                "requests": sorted({task.request_id for task in batch}),
                "spent_ms": round(spent_ms, 1),
                "work_ms": round(work_s * 1000, 1),
                "waiting": len(self._queue),
                "outcome": "made"
                if is_made
                else (made.detail if made else "no answer in time"),
            },
        )

    def _take_result(self, task, result, server):
        if not isinstance(result, gateway_module.PieceFailure):
            task.settle(result, server)
        elif result is gateway_module.PieceFailure.INPUT_GONE:
            task.settle(result)
        elif result is gateway_module.PieceFailure.LATE:
            task.settle(result)
        else:
            self._try_again(task, result)

    def _take_failure(self, task, failure):
        self._try_again(task, gateway_module.PieceFailure.ERROR)

    def _try_again(self, task, failure):
        task.tries += 1
        budget = self._budgets.get(self.service)
        is_over = task.tries >= TRIES_MAX or task.deadline.is_past()
        if is_over or not budget.take():
            task.settle(failure)
        else:
            self._queue.append(task)

    def wake(self):
        """Look at the queue again: servers may have come or gone."""
        if self._queue:
            self._dispatch()


def _get_urgency(task):
    """Return what sorts pieces: those that can be on time go first."""
    is_late = task.due_s < trio.current_time()
    due_s = task.deadline.at_s if is_late else task.due_s
    return (is_late, due_s + PRIORITY_STEP_S * task.priority)


class Batchers:
    """The batchers of all services."""

    __slots__ = (
        "_batcher_by_service",
        "budgets",
        "chooser",
        "directory",
        "gateway",
        "get_catalog",
        "nursery",
        "peers",
    )

    def __init__(
        self,
        directory,
        gateway,
        chooser,
        budgets,
        get_catalog,
        nursery,
        peers,
    ):
        self.directory = directory
        self.gateway = gateway
        self.chooser = chooser
        self.budgets = budgets
        self.get_catalog = get_catalog
        self.nursery = nursery
        self.peers = peers
        self._batcher_by_service = {}

    def get(self, service):
        """Return the batcher of a service."""
        if service not in self._batcher_by_service:
            self._batcher_by_service[service] = Batcher(service, self)
        return self._batcher_by_service[service]

    async def keep(self):
        """Wake the queues whenever the servers change."""
        while True:
            with trio.move_on_after(0.2):
                await self.directory.changed.wait()
            for batcher in self._batcher_by_service.values():
                batcher.wake()

    def free(self, handles_by_address):
        """Give results back that are not needed any more."""
        for address, handles in handles_by_address.items():
            self.nursery.start_soon(
                self.gateway.free_results, address, handles
            )


def new_batchers(
    directory, gateway, chooser, budgets, get_catalog, nursery, peers
):
    """Return empty batchers whose calls run in `nursery`."""
    return Batchers(
        directory, gateway, chooser, budgets, get_catalog, nursery, peers
    )
