"""The pools of stage servers: where pieces are made, and who gathers.

A pool is all servers of a service in one data centre. One living entry
gathers the pieces for it. Pieces stay in the data centre where they are
wanted unless another pool is done so much sooner that crossing pays.
"""

import hashlib
import logging
import math

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.process.direct import batcher as batcher_module

WAKE_S = 0.1
CROSSING_S = 0.06
LARGE_BYTES = 1_000_000
LARGE_CROSSING_S = 0.12
SENT_DECAY_S = 0.8
WAIT_UNKNOWN_S = 0.15

_log = logging.getLogger(__name__)


class Pool:
    """One pool as this entry sees it."""

    __slots__ = (
        "batcher",
        "data_centre",
        "heard_s",
        "sent",
        "service",
        "told_wait_s",
    )

    def __init__(self, service, data_centre, batcher):
        self.service = service
        self.data_centre = data_centre
        self.batcher = batcher
        self.told_wait_s = WAIT_UNKNOWN_S
        self.heard_s = -math.inf
        self.sent = []

    def hear_wait(self, wait_s):
        """Note what the pool's gatherer says of its queue."""
        self.told_wait_s = wait_s
        self.heard_s = trio.current_time()
        self.sent = []

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
        work_ms = batching.piece_ms * batching.batch_max * fill
        return (batching.call_ms + work_ms) / 1000

    async def make(self, service, tasks):
        """Make all pieces of one stage; each task has its result then."""
        pool = self._choose_pool(service, tasks)
        if pool is None:
            for task in tasks:
                task.settle(gateway_module.PieceFailure.NO_SERVER)
            return
        for task in tasks:
            task.pool = pool
        peer = self.get_gatherer(pool)
        if peer is not None:
            pool.sent.append((trio.current_time(), len(tasks)))
            if await self._peers.make_at(peer, pool, tasks):
                return
        await pool.batcher.make(tasks)

    def _choose_pool(self, service, tasks):
        """Return the pool that is predicted to be done first, or None."""
        batching = self.get_batching(service)
        centres = {
            server.published.data_centre
            for server in self._directory.get_servers(service)
        }
        if batching is None or not centres:
            return None
        pools = [self.get_pool(service, centre) for centre in sorted(centres)]
        sizes = sum(task.result_bytes for task in tasks)
        return min(pools, key=lambda pool: self._get_cost_s(pool, sizes))

    def _get_cost_s(self, pool, result_bytes):
        cost_s = self._get_wait_s(pool)
        if pool.data_centre != self._data_centre:
            cost_s += CROSSING_S
            if result_bytes > LARGE_BYTES:
                cost_s += LARGE_CROSSING_S
        return cost_s

    def _get_wait_s(self, pool):
        if self.get_gatherer(pool) is None:
            return pool.batcher.get_wait_s()
        batching = self.get_batching(pool.service)
        servers = sum(
            server.published.data_centre == pool.data_centre
            for server in self._directory.get_servers(pool.service)
        )
        each_s = self.get_call_s(pool.service, 1.0) / batching.batch_max
        ahead_s = pool.count_sent() * each_s / max(servers, 1)
        return pool.told_wait_s + ahead_s

    def get_gatherer(self, pool):
        """Return the peer that gathers for a pool; None: this entry.

        Entries of the pool's data centre go first.
        """
        peers, is_own = self._peers.get_living(pool.data_centre)
        candidates = {peer.name: peer for peer in peers}
        if is_own or not candidates:
            candidates[self._peers.name] = None

        def get_score(name):
            text = f"{pool.service}|{name}".encode()
            return hashlib.blake2b(text, digest_size=8).digest()

        return candidates[max(candidates, key=get_score)]

    def free(self, tasks):
        """Give back the results of pieces that are not needed any more."""
        handles_by_maker = {}
        for task in tasks:
            if task.maker is not None:
                key = (task.pool, task.maker.server_id)
                handles_by_maker.setdefault(key, []).append(task.result)
        for (pool, server_id), handles in handles_by_maker.items():
            peer = self.get_gatherer(pool)
            if peer is None:
                pool.batcher.free(server_id, handles)
            else:
                self._parts.nursery.start_soon(
                    self._peers.free_at, peer, pool, server_id, handles
                )

    def get_told_waits(self):
        """Return the waits of the pools that this entry gathers."""
        return [
            (pool.service, pool.data_centre, pool.batcher.get_wait_s())
            for pool in self._pool_by_key.values()
            if pool.data_centre == self._data_centre
            and self.get_gatherer(pool) is None
        ]

    async def keep(self):
        """Wake the queues now and then, and when servers change."""
        while True:
            with trio.move_on_after(WAKE_S):
                await self._directory.changed.wait()
            for pool in self._pool_by_key.values():
                pool.batcher.wake()


def new_pools(data_centre, parts, peers):
    """Return the pools as seen by an entry in `data_centre`."""
    return Pools(data_centre, parts, peers)
