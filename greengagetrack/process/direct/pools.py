"""The pools of stage servers: where pieces are made, and who gathers.

A pool is all servers of a service in one data centre. One living entry
gathers the pieces for it. Pieces stay in the data centre where they are
wanted unless another pool is done so much sooner that crossing pays.
"""

import math

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.process.direct import batcher as batcher_module
from greengagetrack.process.direct import rendezvous

WAKE_S = 0.1
POOLS_MAX = 3
ELSEWHERE = (
    gateway_module.PieceFailure.NO_SERVER,
    gateway_module.PieceFailure.NOT_TAKEN,
)
CROSSING_S = 0.03
MOVING_COST_PER_MB = 0.05
LATE_COST = 1.5
LATE_SPREAD_S = 0.12
WAIT_COST_PER_S = 0.15
WAIT_MAX_S = 30.0
MB = 1_000_000
SENT_DECAY_S = 0.8
WAIT_UNKNOWN_S = 0.15
USUAL_WAIT_MAX_S = 2.0
WAIT_MIN_S = 0.05
TOLD_WAIT_S = 2.0
OWNER_CACHE_S = 0.05
CALL_FILL_RATIO = 0.7


class Pool:
    """One pool as this entry sees it."""

    __slots__ = (
        "batcher",
        "data_centre",
        "heard_s",
        "owner",
        "owner_valid_until_s",
        "reported_wait_s",
        "sent",
        "service",
    )

    def __init__(self, service, data_centre, batcher):
        self.service = service
        self.data_centre = data_centre
        self.batcher = batcher
        self.reported_wait_s = WAIT_UNKNOWN_S
        self.heard_s = -math.inf
        self.sent = []
        self.owner = None
        self.owner_valid_until_s = -math.inf

    def update_wait(self, wait_s, heard_s):
        """Note what the pool's gatherer said of its queue at `heard_s`."""
        if heard_s < self.heard_s:
            return
        self.reported_wait_s = wait_s
        self.heard_s = heard_s
        self.sent = [each for each in self.sent if each[0] > heard_s]

    def get_remaining_wait_s(self):
        """Return what is left of the wait that was told."""
        passed_s = trio.current_time() - self.heard_s
        return max(self.reported_wait_s - passed_s, 0.0)

    def count_sent(self):
        """Return the pieces sent since the gatherer was last heard."""
        start_s = trio.current_time() - SENT_DECAY_S
        self.sent = [each for each in self.sent if each[0] > start_s]
        return sum(count for _at_s, count in self.sent)


class Pools:
    """All pools, and the way of a request's pieces into them."""

    __slots__ = (
        "_data_centre",
        "_directory",
        "_get_catalog",
        "_parts",
        "_peers",
        "_pool_by_key",
    )

    def __init__(self, data_centre, parts, peers):
        self._data_centre = data_centre
        self._parts = parts
        self._directory = parts.directory
        self._get_catalog = parts.get_catalog
        self._peers = peers
        self._pool_by_key = {}

    def get_pool(self, service, data_centre):
        """Return the pool of a service in a data centre."""
        key = (service, data_centre)
        if key not in self._pool_by_key:
            batcher = batcher_module.new_batcher(
                service, data_centre, self._parts
            )
            self._pool_by_key[key] = Pool(service, data_centre, batcher)
        return self._pool_by_key[key]

    def get_batching(self, service):
        """Return how the servers of a service take pieces, or None."""
        catalog = self._get_catalog()
        known = catalog.service_by_name.get(service) if catalog else None
        return known.batching if known else None

    def get_call_s(self, service, fill):
        """Return how long a call takes that is full to the part `fill`."""
        batching = self.get_batching(service)
        if batching is None:
            return 0.0
        return batching.get_call_s(batching.batch_max * fill)

    async def make_pieces(self, service, tasks, inputs, followers, end_s):
        """Make all pieces of one stage; each task has its result then.

        `inputs` are the pieces whose results each of the tasks reads;
        `followers` are the services of the stages that come after, and
        `end_s` is when the last of them should be done.
        """
        services = [service, *followers]
        tried = set()
        left = tasks
        while left and len(tried) < POOLS_MAX:
            pool = self._choose_pool(services, left, inputs, end_s, tried)
            if pool is None:
                break
            tried.add(pool.data_centre)
            await self._make_pieces_in(pool, left)
            left = [task for task in left if task.result in ELSEWHERE]
            if left and len(tried) < POOLS_MAX:
                for task in left:
                    task.reset()
        for task in left:
            task.complete(gateway_module.PieceFailure.NO_SERVER)

    async def _make_pieces_in(self, pool, tasks):
        for task in tasks:
            task.pool = pool
        peer = self.get_owner(pool)
        if peer is not None:
            pool.sent.append((trio.current_time(), len(tasks)))
            if await self._peers.request_pieces(peer, pool, tasks):
                return
        await pool.batcher.make_pieces(tasks)

    def _choose_pool(self, services, tasks, inputs, end_s, tried):
        """Return the pool that costs least.

        Costs are in parts of a usual request's worth.
        """
        service = services[0]
        centres = {
            server.published.data_centre
            for server in self._directory.get_servers(service)
        } - tried
        if self.get_batching(service) is None or not centres:
            return None

        left_s = end_s - trio.current_time()

        def get_cost(centre):
            pool = self.get_pool(service, centre)
            finish_s = self._get_finish_s(services, centre)
            cost = self._get_moving_cost(pool, tasks, inputs)
            if pool.data_centre != self._data_centre:
                finish_s += CROSSING_S
            cost += LATE_COST * get_late_share(finish_s - left_s)
            return cost + WAIT_COST_PER_S * min(finish_s, WAIT_MAX_S)

        return self.get_pool(service, min(sorted(centres), key=get_cost))

    def _get_finish_s(self, services, centre):
        """Return the time that services one after another will take."""
        finish_s = 0.0
        for service in services:
            pool = self.get_pool(service, centre)
            # What comes later finds its queue as it will be then.
            wait_s = max(self._get_wait_s(pool) - finish_s, WAIT_MIN_S)
            finish_s += wait_s + self.get_call_s(service, CALL_FILL_RATIO)
        return finish_s

    def _get_moving_cost(self, pool, tasks, inputs):
        """Return what using a pool costs in bytes moved between centres.

        Each piece reads all inputs, so they move once for each piece.
        """
        far_bytes = sum(
            each.result_bytes
            for each in inputs
            if each.pool.data_centre != pool.data_centre
        )
        moved_bytes = far_bytes * len(tasks)
        if pool.data_centre != self._data_centre:
            moved_bytes += sum(task.result_bytes for task in tasks)
        return moved_bytes / MB * MOVING_COST_PER_MB

    def _get_wait_s(self, pool):
        if self.get_owner(pool) is None:
            return pool.batcher.get_wait_s()
        batching = self.get_batching(pool.service)
        servers = sum(
            server.published.data_centre == pool.data_centre
            for server in self._directory.get_servers(pool.service)
        )
        if batching is None or not servers:
            return math.inf
        each_s = self.get_call_s(pool.service, 1.0) / batching.batch_max
        ahead_s = pool.count_sent() * each_s / servers
        return max(pool.get_remaining_wait_s(), WAIT_MIN_S) + ahead_s

    def get_owner(self, pool):
        """Return the peer that gathers for a pool; None: this entry.

        Entries of the pool's data centre go first. The answer counts for
        a moment: a request asks many times, and who lives changes slowly.
        """
        now = trio.current_time()
        if now >= pool.owner_valid_until_s:
            pool.owner = self._find_owner(pool)
            pool.owner_valid_until_s = now + OWNER_CACHE_S
        return pool.owner

    def _find_owner(self, pool):
        peers, is_own = self._peers.members.get_owner_candidates(
            pool.data_centre
        )
        members = self._peers.members
        peer_by_name = {peer.name: peer for peer in peers}
        weight_by_name = {peer.name: peer.weight for peer in peers}
        if is_own or not peers:
            weight_by_name[members.name] = members.weight
        first = rendezvous.get_winner(pool.service, weight_by_name)
        return peer_by_name.get(first)

    def free_results(self, tasks):
        """Give back the results of pieces that are not needed any more."""
        handles_by_maker = {}
        for task in tasks:
            if task.server is not None:
                key = (task.pool, task.server.server_id)
                handles_by_maker.setdefault(key, []).append(task.result)
        for (pool, server_id), handles in handles_by_maker.items():
            peer = self.get_owner(pool)
            if peer is None:
                pool.batcher.free_results(server_id, handles)
            else:
                self._parts.nursery.start_soon(
                    self._peers.request_free, peer, pool, server_id, handles
                )

    def is_busy(self):
        """Return whether pieces wait or are being made by this entry."""
        return any(
            pool.batcher.is_busy() for pool in self._pool_by_key.values()
        )

    def get_shortest_wait_s(self, service):
        """Return the wait in the pool of a service that is soonest free."""
        centres = {
            server.published.data_centre
            for server in self._directory.get_servers(service)
        }
        waits = [
            self._get_wait_s(self.get_pool(service, centre))
            for centre in centres
        ]
        return min(min(waits, default=0.0), USUAL_WAIT_MAX_S)

    def predict_duration_s(self, services):
        """Return how soon stages one after another could be done."""
        centres = {
            server.published.data_centre
            for server in self._directory.get_servers(services[0])
        }
        times = [self._get_finish_s(services, centre) for centre in centres]
        return min(times, default=math.inf)

    def get_owned_pool_waits(self):
        """Return the waits of the pools that this entry gathers."""
        return [
            (pool.service, pool.batcher.get_wait_s())
            for pool in self._pool_by_key.values()
            if pool.data_centre == self._data_centre
            and self.get_owner(pool) is None
        ]

    def get_local_pool_waits(self):
        """Return the waits of all pools of this data centre."""
        since_s = trio.current_time() - TOLD_WAIT_S
        return self.get_owned_pool_waits() + [
            (pool.service, pool.get_remaining_wait_s())
            for pool in self._pool_by_key.values()
            if pool.data_centre == self._data_centre
            and self.get_owner(pool) is not None
            and pool.heard_s > since_s
        ]

    async def run(self):
        """Wake the queues now and then, and when servers change."""
        while True:
            with trio.move_on_after(WAKE_S):
                await self._directory.changed.wait()
            for pool in self._pool_by_key.values():
                pool.batcher.wake()


def get_late_share(over_s):
    """Return how likely it is to be late when `over_s` too long is told."""
    exponent = min(max(-over_s / LATE_SPREAD_S, -50.0), 50.0)
    return 1 / (1 + math.exp(exponent))


def new_pools(data_centre, parts, peers):
    """Return the pools as seen by an entry in `data_centre`."""
    return Pools(data_centre, parts, peers)
