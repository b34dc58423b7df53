"""The other entries: who lives, and who gathers which pieces.

Entries find one another through the seeds and then by what peers tell.
A peer that is lost costs nothing but its help: whatever it was asked is
done here instead.
"""

import logging
import math

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.connection import messages
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece as piece_module

NEAR_PERIOD_S = 0.4
FAR_ROUNDS = 2
ASK_TIMEOUT_S = 0.6
SILENCE_S = 1.3
FAR_SILENCE_S = 2.6
FORGET_S = 30.0
WATCH_S = 0.1
PEERS_MAX = 2000
WAIT_MAX_S = 30.0
# How many entries there may be: of those heard, and before any is heard.
ENTRIES_X = 1.25
ENTRIES_UNHEARD = 32

_log = logging.getLogger(__name__)


class Peer:
    """One other entry, as far as it has been heard."""

    __slots__ = (
        "address",
        "catalog_version",
        "data_centre",
        "heard_s",
        "is_leaving",
        "name",
        "told_number",
    )

    def __init__(self, address):
        self.address = address
        self.name = ""
        self.data_centre = ""
        self.heard_s = None
        self.is_leaving = False
        self.catalog_version = 0
        self.told_number = 0

    def is_alive(self, is_near):
        """Return whether the peer was heard lately and stays."""
        if self.heard_s is None or self.is_leaving:
            return False
        limit_s = SILENCE_S if is_near else FAR_SILENCE_S
        return trio.current_time() - self.heard_s < limit_s


class Peers:
    """The entries that this one knows of, and what it asks of them."""

    __slots__ = (
        "_data_centre",
        "_directory",
        "_hurry",
        "_keeper",
        "_lease",
        "_links",
        "_most_heard",
        "_own_address",
        "_peer_by_address",
        "_round",
        "name",
        "pools",
        "is_leaving",
    )

    def __init__(self, settings, links, lease, keeper, directory):
        self.name = settings.name
        self._data_centre = settings.data_centre
        self._own_address = settings.peer_address
        self._links = links
        self._lease = lease
        self._keeper = keeper
        self._directory = directory
        self._peer_by_address = {}
        self._most_heard = 0
        self._round = 0
        self._hurry = trio.Event()
        self.pools = None
        self.is_leaving = False
        for address in settings.seeds:
            self._learn(address)

    def _learn(self, address):
        """Return the peer at an address, known from now on."""
        if address == self._own_address:
            return None
        peer = self._peer_by_address.get(address)
        if peer is None and len(self._peer_by_address) < PEERS_MAX:
            peer = Peer(address)
            self._peer_by_address[address] = peer
        return peer

    def _new_digest(self, parts=()):
        age_s = self._lease.get_age_s()
        return messages.EntryDigest(
            name=self.name,
            address=self._own_address,
            data_centre=self._data_centre,
            catalog_version=self._keeper.get_version(),
            freshness_age_s=-1.0 if age_s is None else age_s,
            is_leaving=self.is_leaving,
            peers=[
                peer.address
                for peer in self._peer_by_address.values()
                if peer.heard_s is not None
            ],
            waits=[
                messages.PoolWait(service, centre, _to_ms(wait_s))
                for service, centre, wait_s in self.pools.get_told_waits()
            ],
            parts=[(part_id, server_id) for _n, part_id, server_id in parts],
            loads=self._directory.get_loads(),
        )

    async def handle(self, message):
        """Return the reply to one message of a peer."""
        if isinstance(message, messages.EntryDigest):
            self._hear(message)
            return messages.EntryHeard(self._new_digest())
        if isinstance(message, messages.MakePieces):
            return await self._make_for_peer(message)
        if isinstance(message, messages.FreeResults):
            return self._free_for_peer(message)
        return messages.Rejected("an entry does not answer this message")

    def _hear(self, digest):
        peer = self._learn(digest.address)
        if peer is None:
            return
        if peer.heard_s is None:
            _log.info(
                "peer found",
                extra={"decision": "peer", "peer": digest.name},
            )
        peer.name = digest.name
        peer.data_centre = digest.data_centre
        peer.is_leaving = digest.is_leaving
        peer.catalog_version = digest.catalog_version
        peer.heard_s = trio.current_time()
        for address in digest.peers:
            self._learn(address)
        # An entry that is cut off must not forget how many others there
        # are, so the most that were ever heard of count.
        self._most_heard = max(
            self._most_heard, len(self._peer_by_address), len(digest.peers)
        )
        self._directory.hear_loads(digest.name, digest.loads)
        for part_id, server_id in digest.parts:
            self._directory.hear_part(part_id, server_id)
        for wait in digest.waits:
            pool = self.pools.get_pool(wait.service, wait.data_centre)
            pool.hear_wait(wait.wait_ms / 1000)

    async def keep(self):
        """Tell the others of this entry until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for peer in list(self._peer_by_address.values()):
                    if self._is_due(peer):
                        nursery.start_soon(self._tell, peer)
                self._forget_silent()
                self._round += 1
                with trio.move_on_after(NEAR_PERIOD_S):
                    await self._hurry.wait()
                    self._hurry = trio.Event()

    def count_entries(self):
        """Return the most entries that may be there, with this one."""
        if not self._most_heard:
            return ENTRIES_UNHEARD
        return math.ceil((self._most_heard + 1) * ENTRIES_X)

    def leave(self):
        """Tell all peers at once that this entry takes no more work."""
        self.is_leaving = True
        self._round = 0
        self._hurry.set()

    def _is_due(self, peer):
        if peer.data_centre == self._data_centre:
            return True
        return self._round % FAR_ROUNDS == 0

    async def _tell(self, peer):
        sent_s = self._lease.now_s()
        link = self._links.get_link(peer.address)
        parts = self._directory.get_told_parts(peer.told_number)
        reply = await link.ask(self._new_digest(parts), ASK_TIMEOUT_S)
        if not isinstance(reply, messages.EntryHeard):
            return
        if parts:
            peer.told_number = parts[-1][0]
        self._hear(reply.digest)
        age_s = reply.digest.freshness_age_s
        is_known = reply.digest.catalog_version <= self._keeper.get_version()
        if age_s >= 0 and is_known and self._keeper.get_version():
            # The peer's age was counted after this question was sent, so
            # the moment that it confirms is no later than this.
            self._lease.confirm(sent_s - age_s)

    def _forget_silent(self):
        now = trio.current_time()
        for peer in list(self._peer_by_address.values()):
            if peer.heard_s is not None and now - peer.heard_s > FORGET_S:
                del self._peer_by_address[peer.address]

    def get_living(self, data_centre):
        """Return the peers that may gather for a data centre.

        The second value says whether this entry is one of them. Where a
        data centre has no living entry, all entries may.
        """
        is_own = data_centre == self._data_centre
        peers = [
            peer
            for peer in self._peer_by_address.values()
            if peer.is_alive(is_own) and peer.catalog_version
        ]
        near = [peer for peer in peers if peer.data_centre == data_centre]
        if near or is_own:
            return near, is_own and not self.is_leaving
        return peers, not self.is_leaving

    async def make_at(self, peer, pool, tasks):
        """Have a peer make pieces; return whether all are settled."""
        reply = None
        async with trio.open_nursery() as nursery:

            async def ask():
                nonlocal reply
                left_s = max(task.deadline.get_left_s() for task in tasks)
                link = self._links.get_link(peer.address)
                message = _new_message(pool, tasks)
                reply = await link.ask(message, left_s + WATCH_S)
                nursery.cancel_scope.cancel()

            nursery.start_soon(ask)
            while self._is_reachable(peer):
                await trio.sleep(WATCH_S)
            nursery.cancel_scope.cancel()
        if not isinstance(reply, messages.PiecesMade):
            _log.warning(
                "gatherer lost",
                extra={
                    "decision": "gather here",
                    "peer": peer.name,
                    "service": pool.service,
                    "data_centre": pool.data_centre,
                    "requests": sorted({task.request_id for task in tasks}),
                },
            )
            return False
        self._settle(tasks, reply)
        pool.hear_wait(reply.wait_ms / 1000)
        return True

    async def free_at(self, peer, pool, server_id, handles):
        """Have the gatherer of a pool give results back."""
        message = messages.FreeResults(
            pool.service, pool.data_centre, server_id, handles
        )
        link = self._links.get_link(peer.address)
        await link.ask(message, ASK_TIMEOUT_S)

    def _is_reachable(self, peer):
        is_near = peer.data_centre == self._data_centre
        if not peer.is_alive(is_near) and not peer.is_leaving:
            return False
        return self._links.get_link(peer.address).is_up()

    def _settle(self, tasks, reply):
        for task, made in zip(tasks, reply.pieces, strict=False):
            if made.failure or not made.handle:
                task.settle(_read_failure(made.failure))
            else:
                maker = self._directory.server_by_id.get(made.server_id)
                task.settle(made.handle, maker)
        for task in tasks:
            if not task.done.is_set():
                task.settle(gateway_module.PieceFailure.ERROR)

    async def _make_for_peer(self, message):
        tasks = [_new_task(wanted) for wanted in message.pieces]
        pool = self.pools.get_pool(message.service, message.data_centre)
        await pool.batcher.make(tasks)
        return messages.PiecesMade(
            [_new_made(task) for task in tasks],
            _to_ms(pool.batcher.get_wait_s()),
        )

    def _free_for_peer(self, message):
        pool = self.pools.get_pool(message.service, message.data_centre)
        pool.batcher.free(message.server_id, message.handles)
        return messages.EntryHeard(self._new_digest())


def _to_ms(wait_s):
    return int(min(wait_s, WAIT_MAX_S) * 1000)


def _new_message(pool, tasks):
    now = trio.current_time()
    return messages.MakePieces(
        pool.service,
        pool.data_centre,
        [
            messages.WantedPiece(
                request_id=task.request_id,
                stage=task.stage,
                number=task.number,
                due_ms=int((task.due_s - now) * 1000),
                left_ms=task.deadline.get_left_ms(),
                priority=task.priority,
                result_bytes=task.result_bytes,
                key=task.key,
                inputs=task.inputs,
                is_first=task.is_first,
            )
            for task in tasks
        ],
    )


def _new_task(wanted):
    task = piece_module.PieceTask(
        wanted.request_id,
        wanted.stage,
        wanted.number,
        wanted.key,
        wanted.inputs,
    )
    task.priority = wanted.priority
    task.result_bytes = wanted.result_bytes
    task.is_first = wanted.is_first
    task.due_s = trio.current_time() + wanted.due_ms / 1000
    task.deadline = deadline_module.new_deadline(wanted.left_ms)
    return task


def _new_made(task):
    if isinstance(task.result, gateway_module.PieceFailure):
        return messages.MadePiece(failure=str(task.result))
    server_id = task.maker.server_id if task.maker else ""
    return messages.MadePiece(handle=task.result, server_id=server_id)


def _read_failure(text):
    try:
        return gateway_module.PieceFailure(text)
    except ValueError:
        return gateway_module.PieceFailure.ERROR


def new_peers(settings, links, lease, keeper, directory):
    """Return the peers of an entry; it knows its seeds only."""
    return Peers(settings, links, lease, keeper, directory)
