"""The pools of stage servers, their owners and the choice among them.

A pool is all servers of a service in one data centre. One live entry, the
pool owner, batches all pieces for it. Pieces stay in the data centre of
their request unless another pool's earlier finish outweighs the transfer.
"""

import math

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.process.direct import batcher as batcher_module
from greengagetrack.process.direct import containment as containment_module
from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct.decisions import placement
from greengagetrack.process.direct import distance

WAKE_INTERVAL_S = 0.1
POOLS_TRIED_MAX = 3
RETRIABLE_FAILURES = (
    gateway_module.PieceFailure.NO_SERVER,
    gateway_module.PieceFailure.NOT_TAKEN,
)
# Of the pieces of a stage: the way to the pool, and that of its inputs.
DELAY_S_BY_DISTANCE = {
    distance.Distance.SAME: 0.0,
    distance.Distance.REGION: 0.005,
    distance.Distance.OTHER_REGION: 0.03,
}
SENT_WINDOW_S = 0.8
WAIT_DEFAULT_S = 0.15
SHORTEST_WAIT_MAX_S = 2.0
WAIT_MIN_S = 0.05
REPORTED_WAIT_MAX_AGE_S = 2.0
OWNER_CACHE_S = 0.05
WAITS_CACHE_S = 0.03
CALL_FILL_RATIO = 0.7


class Pool:
    """The state that this entry keeps about one pool."""

    __slots__ = (
        "batcher",
        "data_centre",
        "last_report_s",
        "owner",
        "owner_valid_until_s",
        "reported_waits",
        "sent_batches",
        "service",
        "waits",
        "waits_valid_until_s",
    )

    def __init__(self, service, data_centre, batcher):
        self.service = service
        self.data_centre = data_centre
        self.batcher = batcher
        self.reported_waits = forecast.PoolWaits(WAIT_DEFAULT_S)
        self.last_report_s = -math.inf
        self.sent_batches = []
        self.owner = None
        self.owner_valid_until_s = -math.inf
        self.waits = forecast.NO_SERVER_WAITS
        self.waits_valid_until_s = -math.inf

    def update_waits(self, waits, reported_s):
        """Store the waits that the owner reported, unless outdated."""
        if reported_s < self.last_report_s:
            return
        self.reported_waits = waits
        self.waits_valid_until_s = -math.inf
        self.last_report_s = reported_s
        self.sent_batches = [
            batch for batch in self.sent_batches if batch[0] > reported_s
        ]

    def get_remaining_waits(self):
        """Return the reported waits less the time since the report."""
        elapsed_s = trio.current_time() - self.last_report_s
        return self.reported_waits.less(elapsed_s)

    def count_sent_pieces(self):
        """Return the pieces recently sent that no report covers yet."""
        start_s = trio.current_time() - SENT_WINDOW_S
        self.sent_batches = [
            batch for batch in self.sent_batches if batch[0] > start_s
        ]
        return sum(count for _at_s, count in self.sent_batches)


class Pools:
    """All pools; routes the pieces of requests to them."""

    __slots__ = (
        "_containment",
        "_data_centre",
        "_dependencies",
        "_directory",
        "_distances",
        "_get_catalog",
        "_peers",
        "_pool_by_key",
        "generator",
    )

    def __init__(
        self,
        data_centre,
        dependencies,
        peers,
        generator,
        containment,
        distances,
    ):
        self._containment = containment
        self._distances = distances
        self._data_centre = data_centre
        self._dependencies = dependencies
        dependencies.free_inputs = self.free_inputs
        self._directory = dependencies.directory
        self._get_catalog = dependencies.get_catalog
        self._peers = peers
        self._pool_by_key = {}
        self.generator = generator

    def get_pool(self, service, data_centre):
        """Return the pool of a service in a data centre."""
        key = (service, data_centre)
        if key not in self._pool_by_key:
            batcher = batcher_module.new_batcher(
                service, data_centre, self._dependencies
            )
            self._pool_by_key[key] = Pool(service, data_centre, batcher)
        return self._pool_by_key[key]

    def get_batching(self, service):
        """Return the `Batching` of a service, or None."""
        catalog = self._get_catalog()
        definition = catalog.service_by_name.get(service) if catalog else None
        return definition.batching if definition else None

    def get_call_s(self, service, fill_ratio):
        """Return the duration of a call filled to `fill_ratio`."""
        batching = self.get_batching(service)
        if batching is None:
            return 0.0
        return batching.get_call_s(batching.batch_max * fill_ratio)

    async def make_pieces(self, service, tasks, inputs, downstream, end_s):
        """Make all pieces of one stage; return when every task is complete.

        `inputs` are the pieces whose results each of the tasks reads;
        `downstream` are the services of the stages that follow, and
        `end_s` is when the last of them should be done.
        """
        services = [service, *downstream]
        tried_centres = set()
        remaining = tasks
        while remaining and len(tried_centres) < POOLS_TRIED_MAX:
            pool = self._choose_pool(
                services, remaining, inputs, end_s, tried_centres
            )
            if pool is None:
                break
            tried_centres.add(pool.data_centre)
            await self._make_pieces_in(pool, remaining)
            remaining = [
                task for task in remaining if task.result in RETRIABLE_FAILURES
            ]
            if remaining and len(tried_centres) < POOLS_TRIED_MAX:
                for task in remaining:
                    task.reset()
        for task in remaining:
            task.complete(gateway_module.PieceFailure.NO_SERVER)

    async def _make_pieces_in(self, pool, tasks):
        for task in tasks:
            task.pool = pool
        peer = self.get_owner(pool)
        # Pieces that may not lie where the owner is are batched here.
        if peer is not None and tasks[0].is_allowed_place(peer.data_centre):
            pool.sent_batches.append((trio.current_time(), len(tasks)))
            pool.waits_valid_until_s = -math.inf
            if await self._peers.request_pieces(peer, pool, tasks):
                return
            if not tasks[0].is_allowed_place(pool.data_centre):
                self.start_task(self._peers.request_drop, peer, pool, tasks)
        await pool.batcher.make_pieces(tasks)

    def _choose_pool(self, services, tasks, inputs, end_s, tried_centres):
        """Return the pool of lowest cost, or None without servers."""
        service = services[0]
        eligibility = tasks[0].eligibility and tasks[0].eligibility.get()
        centres = self._get_centres(service, eligibility) - tried_centres
        if self.get_batching(service) is None or not centres:
            return None

        left_s = end_s - trio.current_time()
        flow = tasks[0].flow

        def get_cost(centre):
            pool = self.get_pool(service, centre)
            finish_s = self._get_finish_s(services, centre, flow, eligibility)
            far = self._distances.get(centre)
            finish_s += DELAY_S_BY_DISTANCE[far]
            moved_bytes = self._count_moved_bytes(pool, tasks, inputs)
            return placement.get_cost(
                finish_s,
                left_s,
                moved_bytes,
                far is distance.Distance.OTHER_REGION,
            )

        return self.get_pool(service, min(sorted(centres), key=get_cost))

    def _get_finish_s(self, services, centre, flow, eligibility):
        """Return the time that services in sequence will take."""
        finish_s = 0.0
        for service in services:
            pool = self.get_pool(service, centre)
            # A later stage sees the queue after the time of earlier stages.
            wait_s = self._get_waits(pool).get_later(flow, finish_s)
            if wait_s == math.inf:
                # The data centre has no server: another one takes the stage.
                wait_s = self._get_shortest_wait_s(service, flow, eligibility)
                finish_s += DELAY_S_BY_DISTANCE[distance.Distance.OTHER_REGION]
            finish_s += max(wait_s, WAIT_MIN_S) + self.get_call_s(
                service, CALL_FILL_RATIO
            )
        return finish_s

    def _count_moved_bytes(self, pool, tasks, inputs):
        """Return the bytes that would move between data centres.

        Each piece reads all inputs, so they are transferred once per piece.
        """
        remote_bytes = sum(
            input_task.result_bytes
            for input_task in inputs
            if input_task.pool.data_centre != pool.data_centre
        )
        transferred_bytes = remote_bytes * len(tasks)
        if pool.data_centre != self._data_centre:
            transferred_bytes += sum(task.result_bytes for task in tasks)
        return transferred_bytes

    def _get_centres(self, service, eligibility):
        """Return the data centres that have eligible servers."""
        return {
            server.published.data_centre
            for server in self._directory.get_servers(service, eligibility)
        }

    def _get_waits(self, pool):
        """Return the `PoolWaits`, cached briefly: a request asks often."""
        now = trio.current_time()
        if now >= pool.waits_valid_until_s:
            pool.waits = self._find_waits(pool)
            pool.waits_valid_until_s = now + WAITS_CACHE_S
        return pool.waits

    def _find_waits(self, pool):
        if self.get_owner(pool) is None:
            return pool.batcher.get_waits()
        batching = self.get_batching(pool.service)
        servers = sum(
            server.published.data_centre == pool.data_centre
            for server in self._directory.get_servers(pool.service)
        )
        if batching is None or not servers:
            return forecast.NO_SERVER_WAITS
        piece_s = self.get_call_s(pool.service, 1.0) / batching.batch_max
        queued_s = pool.count_sent_pieces() * piece_s / servers
        return pool.get_remaining_waits().more(queued_s)

    def get_owner(self, pool):
        """Return the peer that owns a pool, or None if this entry does.

        The owner is cached
        briefly: a request needs it many times, and membership changes slowly.
        """
        now = trio.current_time()
        if now >= pool.owner_valid_until_s:
            pool.owner = self._peers.members.find_owner(
                pool.service, pool.data_centre
            )
            pool.owner_valid_until_s = now + OWNER_CACHE_S
        return pool.owner

    def free_results(self, tasks):
        """Release the results of pieces that are no longer needed."""
        handles_by_server = {}
        for task in tasks:
            if task.server is not None:
                key = (task.pool, task.server.server_id)
                handles_by_server.setdefault(key, []).append(task.result)
        for (pool, server_id), handles in handles_by_server.items():
            self._free_at(pool, server_id, handles)

    def _free_at(self, pool, server_id, handles):
        peer = self.get_owner(pool)
        if peer is None:
            pool.batcher.free_results(server_id, handles)
        else:
            self._dependencies.nursery.start_soon(
                self._peers.request_free, peer, pool, server_id, handles
            )

    def free_inputs(self, handles, server_ids):
        """Free results that were read, where memory is short.

        That is where more than a call waits in the pool of their server.
        Return whether any are freed.
        """
        handles_by_server_id = {}
        for handle, server_id in zip(handles, server_ids, strict=True):
            handles_by_server_id.setdefault(server_id, []).append(handle)
        is_any_freed = False
        for server_id, server_handles in handles_by_server_id.items():
            server = self._directory.server_by_id.get(server_id)
            if server is None:
                continue
            published = server.published
            pool = self.get_pool(published.service, published.data_centre)
            if self._is_short_of_room(pool):
                self._free_at(pool, server_id, server_handles)
                is_any_freed = True
        return is_any_freed

    def _is_short_of_room(self, pool):
        call_s = self.get_call_s(pool.service, 1.0)
        return self._get_waits(pool).late_s > call_s

    def start_task(self, function, *arguments):
        """Start a task that may outlive the request that it is for."""
        self._dependencies.nursery.start_soon(function, *arguments)

    def is_busy(self):
        """Return whether a batcher here has pieces waiting or in calls."""
        return any(
            pool.batcher.is_busy() for pool in self._pool_by_key.values()
        )

    def get_shortest_wait_s(self, service, flow, eligibility=None):
        """Return the shortest wait among the pools of a service, capped."""
        wait_s = self._get_shortest_wait_s(service, flow, eligibility)
        return min(0.0 if wait_s == math.inf else wait_s, SHORTEST_WAIT_MAX_S)

    def _get_shortest_wait_s(self, service, flow, eligibility):
        waits = [
            self._get_waits(self.get_pool(service, centre)).get(flow)
            for centre in self._get_centres(service, eligibility)
        ]
        return min(waits, default=math.inf)

    def predict_duration_s(self, services, flow, eligibility=None):
        """Return the shortest time that services in sequence may take.

        For `forecast.LATE` it is that of work that takes what others leave.
        """
        durations = [
            self._get_finish_s(services, centre, flow, eligibility)
            for centre in self._get_centres(services[0], eligibility)
        ]
        return min(durations, default=math.inf)

    def predict_by_centre(self, service, flow, eligibility):
        """Return the seconds that pieces take in each data centre."""
        return {
            centre: DELAY_S_BY_DISTANCE[self._distances.get(centre)]
            + self._get_finish_s([service], centre, flow, eligibility)
            for centre in sorted(self._get_centres(service, eligibility))
        }

    def get_owned_pool_waits(self):
        """Return the waits of the local pools that this entry owns."""
        return [
            (pool.service, self._get_waits(pool))
            for pool in self._pool_by_key.values()
            if pool.data_centre == self._data_centre
            and self.get_owner(pool) is None
        ]

    def get_local_pool_waits(self):
        """Return the waits of local pools, owned or recently reported."""
        since_s = trio.current_time() - REPORTED_WAIT_MAX_AGE_S
        return self.get_owned_pool_waits() + [
            (pool.service, pool.get_remaining_waits())
            for pool in self._pool_by_key.values()
            if pool.data_centre == self._data_centre
            and self.get_owner(pool) is not None
            and pool.last_report_s > since_s
        ]

    async def run(self):
        """Wake the batchers periodically and when the servers change."""
        while True:
            with trio.move_on_after(WAKE_INTERVAL_S):
                await self._directory.changed.wait()
            for pool in self._pool_by_key.values():
                with self._containment.contain("pool"):
                    pool.batcher.wake()


def new_pools(
    data_centre,
    dependencies,
    peers,
    generator,
    containment=None,
    region_by_data_centre=None,
):
    """Return the pools of an entry in `data_centre`."""
    return Pools(
        data_centre,
        dependencies,
        peers,
        generator,
        containment or containment_module.new_containment(),
        distance.Distances(data_centre, region_by_data_centre or {}),
    )
