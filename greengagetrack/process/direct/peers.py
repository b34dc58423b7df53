"""Exchange of digests and pieces with the other entries.

Entries discover one another through the seeds and the addresses in digests.
If a peer is lost, the pieces requested from it are made by this entry.
"""

import functools
import logging
import math

import trio

from greengagetrack.connection import direct_messages
from greengagetrack.connection import gateway as gateway_module
from greengagetrack.connection import handles as handles_module
from greengagetrack.connection import messages
from greengagetrack.process.direct import containment as containment_module
from greengagetrack.process.direct import crash_guard as crash_guard_module
from greengagetrack.process.direct import digests as digests_module
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import greeting
from greengagetrack.process.direct import inquiry
from greengagetrack.process.direct import lives as lives_module
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import permits as permits_module
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece as piece_module

LOCAL_PERIOD_S = 0.4
REMOTE_ROUNDS = 2
SEED_ROUNDS = 10
# An exchange updates both sides, so a peer is skipped if its last exchange
# is more recent than this part of the period.
PERIOD_FACTOR = 0.45
CENTRE_DIGEST_STALE_S = 2.4
RECENT_USE_S = 3.0
# The part of the lease after which a peer is asked in each round.
LEASE_AGING_RATIO = 0.6
REQUEST_TIMEOUT_S = 0.6
# A reply that comes late over a congested link is news all the same.
EXCHANGE_TIMEOUT_S = 2.0
MISSED_REPLIES_MAX = 3
LINK_CHECK_S = 0.1

_log = logging.getLogger(__name__)


class Peers:
    """Exchanges digests with other entries and makes pieces for them."""

    __slots__ = (
        "_catalog_watcher",
        "_digests",
        "_directory",
        "_exchange_now",
        "_containment",
        "_lease",
        "_links",
        "_lives",
        "_round",
        "members",
        "permits",
        "pools",
        "streams",
    )

    def __init__(
        self,
        settings,
        links,
        lease,
        catalog_watcher,
        directory,
        crash_guard,
        generator,
        containment,
    ):
        self._containment = containment
        self._lives = lives_module.new_lives(freshness.get_boot_time_s())
        self.members = members_module.new_members(
            settings.name,
            settings.peer_address,
            settings.data_centre,
            settings.cores,
            settings.seeds,
        )
        self._digests = digests_module.new_digests(
            self.members,
            settings.peer_address,
            lease,
            catalog_watcher,
            directory,
            crash_guard,
        )
        self.permits = permits_module.new_permits(
            self.members,
            links,
            directory,
            self._digests.observer,
            generator,
        )
        self._links = links
        self._lease = lease
        self._catalog_watcher = catalog_watcher
        self._directory = directory
        self._round = 0
        self._exchange_now = trio.Event()
        self.pools = None
        # Set by the entry; answers what peers ask of streams.
        self.streams = None

    def set_pools(self, pools):
        """Set the pools whose waits the digests contain."""
        self.pools = pools
        self._digests.pools = pools

    async def handle(self, message):
        """Handle a message from a peer and return the reply."""
        if isinstance(message, direct_messages.EntryDigest):
            return self._handle_digest(message)
        if isinstance(message, direct_messages.MakePieces):
            return await self._make_pieces(message)
        if isinstance(message, direct_messages.FreeResults):
            return self._free_results(message)
        if isinstance(message, direct_messages.DropPieces):
            return self._drop_pieces(message)
        if isinstance(message, direct_messages.AcquirePermit):
            return await self.permits.handle(message)
        if isinstance(
            message, direct_messages.TellStreams | direct_messages.FindStream
        ):
            return self.streams.handle(message)
        return messages.Rejected("an entry does not answer this message")

    def _handle_digest(self, digest):
        peer = self._digests.apply(digest)
        if peer is None:
            return messages.Rejected("an entry does not ask itself")
        self._record_life(peer, digest)
        # A peer that was unknown so far needs all addresses in the reply.
        reply = direct_messages.EntryDigestReply(self._new_digest(peer))
        if digest.asks_departures:
            reply.departures = self._directory.departures.new_messages()
        peer.last_exchange_s = trio.current_time()
        return reply

    def _record_life(self, peer, digest):
        if self._lives.record(digest):
            peer.life += 1
            peer.heard_news = crash_guard_module.NOTHING_HEARD

    def _new_digest(self, peer):
        digest = self._digests.new_digest(peer)
        digest.started_ms = self._lives.started_ms
        digest.earlier_life = self._lives.get_earlier(peer.address)
        return digest

    async def run(self):
        """Exchange digests with the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                inquiry.run_whenever_due,
                self._catalog_watcher.newest,
                self.members,
                self._links,
                functools.partial(
                    self._containment.run, "peer_exchange", self._exchange
                ),
                self._containment,
            )
            exchanges = containment_module.new_contained_nursery(
                nursery, self._containment, "peer_exchange"
            )
            nursery.start_soon(
                greeting.run,
                self.members,
                self._links,
                functools.partial(exchanges.start_soon, self._exchange),
                self._containment,
            )
            while True:
                self._start_round(exchanges)
                with self._contain_step():
                    self._drop_lost_peers()
                self._round += 1
                with trio.move_on_after(LOCAL_PERIOD_S):
                    await self._exchange_now.wait()
                    self._exchange_now = trio.Event()

    def _contain_step(self):
        return self._containment.contain("peer_round")

    def _start_round(self, exchanges):
        """Start the exchanges of a round; `exchanges` is a nursery."""
        chosen = set()
        with self._contain_step():
            chosen = self._choose_remote()
        for peer in list(self.members.peer_by_address.values()):
            with self._contain_step():
                if self._is_due(peer, chosen):
                    exchanges.start_soon(self._exchange, peer)

    def _drop_lost_peers(self):
        self.members.log_changes()
        self.members.remove_expired()
        self._links.keep_only(self.members.peer_by_address)
        self._lives.keep_only(self.members.peer_by_address)

    def announce_leaving(self):
        """Announce at once to local peers that no new work is taken."""
        self.members.is_leaving = True
        self.exchange_now()

    def exchange_now(self):
        """Exchange digests at once with those who pass news on."""
        for peer in self.members.peer_by_address.values():
            peer.last_exchange_s = -math.inf
        self._exchange_now.set()

    def _is_due(self, peer, chosen):
        """Return whether to exchange digests with a peer in this round.

        `chosen` has the addresses that are polled for whole remote data
        centres.
        """
        now = trio.current_time()
        since_s = now - peer.last_exchange_s
        if peer.last_contact_s is None:
            return self._round % REMOTE_ROUNDS == 0
        if self.members.is_local(peer):
            if self._directory.departures.is_open(peer.told_sent_s):
                return True
            aging_s = self._lease.bound_s * LEASE_AGING_RATIO
            is_aging = (self._lease.get_age_s() or 0.0) > aging_s
            return is_aging or since_s > LOCAL_PERIOD_S * PERIOD_FACTOR
        if since_s < LOCAL_PERIOD_S * REMOTE_ROUNDS * PERIOD_FACTOR:
            return False
        if peer.address in self.members.seeds:
            # Seeds connect entries that have no other common peer.
            if self._round % SEED_ROUNDS == 0:
                return True
        return now - peer.last_used_s < RECENT_USE_S or peer.address in chosen

    def _choose_remote(self):
        """Return the addresses to poll this round for remote data centres."""
        now = trio.current_time()
        is_delegate = self.members.is_delegate()
        cycle, phase = divmod(self._round, REMOTE_ROUNDS)
        chosen = set()
        centres = self.members.get_addresses_by_remote_centre()
        for centre, addresses in centres.items():
            created_s = self._digests.get_created_s(centre)
            if created_s is None or now - created_s > CENTRE_DIGEST_STALE_S:
                # The delegates fail: poll the entries in turn directly.
                if phase == 0:
                    chosen.add(addresses[cycle % len(addresses)])
            elif is_delegate:
                delegate = self.members.get_delegate(centre)
                if delegate is not None:
                    chosen.add(delegate.address)
        return chosen

    async def _exchange(self, peer):
        sent_s = self._lease.now_s()
        asked_s = trio.current_time()
        link = self._links.get_link(peer.address)
        digest = self._new_digest(peer)
        digest.asks_departures = self._directory.departures.is_open(
            peer.told_sent_s
        )
        reply = await link.request(digest, EXCHANGE_TIMEOUT_S)
        if not isinstance(reply, direct_messages.EntryDigestReply):
            self._count_missed_reply(peer)
            return
        peer.missed_replies = 0
        peer.last_exchange_s = trio.current_time()
        if digest.asks_departures:
            peer.told_sent_s = asked_s
            self._directory.apply_departures(reply.departures)
        # First: a life that has just begun was not told what came before.
        if digest.crash_news is not None:
            peer.heard_news = crash_guard_module.HeardNews(
                digest.crash_news.last_number, asked_s
            )
        if self._digests.apply(reply.digest) is not None:
            self._record_life(peer, reply.digest)
        self._open_links()
        age_s = reply.digest.freshness_age_s
        version = self._catalog_watcher.get_version()
        if age_s >= 0 and version >= max(reply.digest.catalog_version, 1):
            # The peer computed its age after this request was sent, so this
            # time is never later than the confirmation that it reports.
            self._catalog_watcher.newest.confirm(
                sent_s - age_s,
                reply.digest.confirmed_era,
                reply.digest.catalog_version,
            )

    def _count_missed_reply(self, peer):
        """Open a new link to a peer after several missed replies."""
        peer.missed_replies += 1
        if peer.missed_replies >= MISSED_REPLIES_MAX:
            _log.info(
                "peer does not reply",
                extra={
                    "decision": "open a new link",
                    "peer": peer.name or peer.address,
                    "missed": peer.missed_replies,
                },
            )
            peer.missed_replies = 0
            self._links.drop(peer.address)

    def _open_links(self):
        # Links are opened before the first pieces are sent over them.
        for peer in self.members.peer_by_address.values():
            self._links.get_link(peer.address)

    async def request_pieces(self, peer, pool, tasks):
        """Request pieces from a peer; return whether all are completed.

        They are not, if the peer is lost, or if the results may not lie in
        the pool's data centre any more.
        """
        reply = None
        peer.last_used_s = trio.current_time()
        async with trio.open_nursery() as nursery:

            async def send_request():
                nonlocal reply
                left_s = max(task.deadline.get_left_s() for task in tasks)
                link = self._links.get_link(peer.address)
                message = _new_make_pieces(pool, tasks)
                reply = await link.request(message, left_s + LINK_CHECK_S)
                nursery.cancel_scope.cancel()

            nursery.start_soon(send_request)
            while self._is_reachable(peer) and _is_in_place(pool, tasks):
                await trio.sleep(LINK_CHECK_S)
            nursery.cancel_scope.cancel()
        if not isinstance(reply, direct_messages.MakePiecesReply):
            _log_unmade(peer, pool, tasks)
            return False
        self._apply_reply(tasks, reply)
        if reply.wait is not None:
            waits = digests_module.to_pool_waits(reply.wait)
            pool.update_waits(waits, trio.current_time())
        return True

    async def request_free(self, peer, pool, server_id, handles):
        """Request the owner of a pool to free results."""
        message = direct_messages.FreeResults(
            pool.service, pool.data_centre, server_id, handles
        )
        link = self._links.get_link(peer.address)
        await link.request(message, REQUEST_TIMEOUT_S)

    async def request_drop(self, peer, pool, tasks):
        """Request the owner of a pool to make some pieces no more."""
        message = direct_messages.DropPieces(
            pool.service,
            pool.data_centre,
            tasks[0].request_id,
            tasks[0].stage,
        )
        link = self._links.get_link(peer.address)
        await link.request(message, REQUEST_TIMEOUT_S)

    def _is_reachable(self, peer):
        """Return whether work that a peer has begun may still end there.

        New work goes to the next in rank sooner; what has begun would only
        be done twice.
        """
        if peer.get_silence_s() >= members_module.WORK_SILENCE_MAX_S:
            return False
        return self._links.get_link(peer.address).is_up()

    def _apply_reply(self, tasks, reply):
        for task, piece in zip(tasks, reply.pieces, strict=False):
            if piece.failure or not handles_module.is_handle(piece.handle):
                task.complete(_parse_failure(piece.failure))
            else:
                server = self._directory.server_by_id.get(piece.server_id)
                task.complete(piece.handle, server)
        for task in tasks:
            if not task.done.is_set():
                task.complete(gateway_module.PieceFailure.ERROR)

    async def _make_pieces(self, message):
        tasks = _new_tasks(message)
        pool = self.pools.get_pool(message.service, message.data_centre)
        await pool.batcher.make_pieces(tasks)
        return direct_messages.MakePiecesReply(
            [_new_piece_result(task) for task in tasks],
            wait=digests_module.new_pool_wait(
                message.service, pool.batcher.get_waits()
            ),
        )

    def _drop_pieces(self, message):
        pool = self.pools.get_pool(message.service, message.data_centre)
        pool.batcher.drop_pieces(message.request_id, message.stage)
        return direct_messages.MakePiecesReply([])

    def _free_results(self, message):
        pool = self.pools.get_pool(message.service, message.data_centre)
        pool.batcher.free_results(message.server_id, message.handles)
        return direct_messages.MakePiecesReply([])


def _is_in_place(pool, tasks):
    """Return whether the results may lie in a pool's data centre."""
    return tasks[0].is_allowed_place(pool.data_centre)


def _log_unmade(peer, pool, tasks):
    is_lost = _is_in_place(pool, tasks)
    _log.warning(
        "pool owner lost" if is_lost else "regions of pieces changed",
        extra={
            "decision": "gather here" if is_lost else "choose again",
            "peer": peer.name,
            "service": pool.service,
            "data_centre": pool.data_centre,
            "requests": sorted({task.request_id for task in tasks}),
        },
    )


def _new_make_pieces(pool, tasks):
    """Return the message that requests pieces of one stage."""
    first = tasks[0]
    return direct_messages.MakePieces(
        pool.service,
        pool.data_centre,
        request_id=first.request_id,
        stage=first.stage,
        numbers=[task.number for task in tasks],
        due_ms=int((first.due_s - trio.current_time()) * 1000),
        left_ms=first.deadline.get_left_ms(),
        priority=first.priority,
        result_bytes=first.result_bytes,
        key=first.key,
        inputs=first.inputs,
        is_first=first.is_resumed,
        kind=first.kind,
        input_servers=first.input_servers,
    )


def _new_tasks(message):
    """Return the tasks for the pieces that a peer requests."""
    due_s = trio.current_time() + message.due_ms / 1000
    deadline = deadline_module.new_deadline(message.left_ms)
    tasks = []
    for number in message.numbers:
        task = piece_module.PieceTask(
            message.request_id,
            message.stage,
            number,
            message.key,
            message.inputs,
        )
        task.due_s = due_s
        task.deadline = deadline
        task.kind = message.kind
        if len(message.input_servers) == len(message.inputs or ()):
            task.input_servers = message.input_servers
        task.priority = message.priority
        task.result_bytes = message.result_bytes
        task.is_resumed = message.is_first
        tasks.append(task)
    return tasks


def _new_piece_result(task):
    if isinstance(task.result, gateway_module.PieceFailure):
        return direct_messages.PieceResult(failure=str(task.result))
    server_id = task.server.server_id if task.server else ""
    return direct_messages.PieceResult(handle=task.result, server_id=server_id)


def _parse_failure(text):
    try:
        return gateway_module.PieceFailure(text)
    except ValueError:
        return gateway_module.PieceFailure.ERROR


def new_peers(
    settings,
    links,
    lease,
    catalog_watcher,
    directory,
    crash_guard,
    generator,
    containment=None,
):
    """Return the peers of an entry: at first only its seeds."""
    return Peers(
        settings,
        links,
        lease,
        catalog_watcher,
        directory,
        crash_guard,
        generator,
        containment or containment_module.new_containment(),
    )
