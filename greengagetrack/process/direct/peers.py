"""The other entries: who lives, and who gathers which pieces.

Entries find one another through the seeds and then by what peers tell.
A peer that is lost costs nothing but its help: whatever it was asked is
done here instead.
"""

import hashlib
import logging

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.connection import messages
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece as piece_module

NEAR_PERIOD_S = 0.4
FAR_ROUNDS = 4
ASK_TIMEOUT_S = 0.6
SILENCE_S = 1.3
FORGET_S = 30.0
WATCH_S = 0.1
PEERS_MAX = 2000

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
    )

    def __init__(self, address):
        self.address = address
        self.name = ""
        self.data_centre = ""
        self.heard_s = None
        self.is_leaving = False
        self.catalog_version = 0

    def is_alive(self):
        """Return whether the peer was heard lately and stays."""
        if self.heard_s is None or self.is_leaving:
            return False
        return trio.current_time() - self.heard_s < SILENCE_S * FAR_ROUNDS

    def is_near_alive(self):
        """Return whether a peer of this data centre may be relied on."""
        if not self.is_alive():
            return False
        return trio.current_time() - self.heard_s < SILENCE_S


class Peers:
    """The entries that this one knows of, and what it asks of them."""

    __slots__ = (
        "_data_centre",
        "_directory",
        "_keeper",
        "_lease",
        "_links",
        "_name",
        "_own_address",
        "_peer_by_address",
        "_round",
        "batchers",
        "is_leaving",
    )

    def __init__(self, settings, links, lease, keeper, directory):
        self._name = settings.name
        self._data_centre = settings.data_centre
        self._own_address = settings.peer_address
        self._links = links
        self._lease = lease
        self._keeper = keeper
        self._directory = directory
        self._peer_by_address = {}
        self._round = 0
        self.batchers = None
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

    def _new_digest(self):
        age_s = self._lease.get_age_s()
        return messages.EntryDigest(
            name=self._name,
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
        )

    async def handle(self, message):
        """Return the reply to one message of a peer."""
        if isinstance(message, messages.EntryDigest):
            self._hear(message)
            return messages.EntryHeard(self._new_digest())
        if isinstance(message, messages.MakePieces):
            return await self._make_for_peer(message)
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

    async def keep(self):
        """Tell the others of this entry until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for peer in list(self._peer_by_address.values()):
                    if self._is_due(peer):
                        nursery.start_soon(self._tell, peer)
                self._forget_silent()
                self._round += 1
                await trio.sleep(NEAR_PERIOD_S)

    def _is_due(self, peer):
        if peer.data_centre == self._data_centre:
            return True
        return self._round % FAR_ROUNDS == 0

    async def _tell(self, peer):
        sent_s = self._lease.now_s()
        link = self._links.get_link(peer.address)
        reply = await link.ask(self._new_digest(), ASK_TIMEOUT_S)
        if not isinstance(reply, messages.EntryHeard):
            return
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

    def get_gatherer(self, service):
        """Return the address of who gathers a service's pieces here.

        None means this entry itself.
        """
        candidates = {
            peer.name: peer.address
            for peer in self._peer_by_address.values()
            if peer.data_centre == self._data_centre
            and peer.is_near_alive()
            and peer.catalog_version
        }
        if not self.is_leaving:
            candidates[self._name] = None
        if not candidates:
            return None

        def get_score(name):
            text = f"{service}|{name}".encode()
            return hashlib.blake2b(text, digest_size=8).digest()

        return candidates[max(candidates, key=get_score)]

    async def make_at(self, address, service, tasks):
        """Have a peer make pieces; return whether all are settled."""
        peer = self._peer_by_address[address]
        reply = None
        async with trio.open_nursery() as nursery:

            async def ask():
                nonlocal reply
                left_s = max(task.deadline.get_left_s() for task in tasks)
                link = self._links.get_link(address)
                message = _new_message(service, tasks)
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
                    "service": service,
                    "requests": sorted({task.request_id for task in tasks}),
                },
            )
            return False
        self._settle(tasks, reply)
        return True

    def _is_reachable(self, peer):
        if peer.heard_s is None:
            return False
        if trio.current_time() - peer.heard_s > SILENCE_S:
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
        await self.batchers.get(message.service).make_here(tasks)
        return messages.PiecesMade([_new_made(task) for task in tasks])


def _new_message(service, tasks):
    now = trio.current_time()
    return messages.MakePieces(
        service,
        [
            messages.WantedPiece(
                request_id=task.request_id,
                stage=task.stage,
                number=task.number,
                due_ms=int((task.due_s - now) * 1000),
                left_ms=task.deadline.get_left_ms(),
                priority=task.priority,
                key=task.key,
                inputs=task.inputs,
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
