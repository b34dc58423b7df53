"""Building and applying the digests that entries exchange.

A digest for a local peer has this entry's own state; the delegate adds the
digests that it received from other data centres. A digest for a remote peer
summarises this data centre as a whole, which any of its entries can do.
"""

import msgspec
import trio

from greengagetrack.connection import base
from greengagetrack.connection import direct_messages
from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import limit_news

WAIT_MAX_S = 30.0
LOAD_MAX_PERCENT = 1000
FORWARD_AGE_MAX_S = 4.0
CENTRE_WORK_CACHE_S = 0.2
MS = 1000


class CentreRecord(msgspec.Struct):
    """The last digest of another data centre, and when it was created."""

    digest: direct_messages.CentreDigest
    created_s: float


class CentreWork(msgspec.Struct):
    """The waits of this data centre's pools and its loads at servers."""

    valid_until_s: float
    waits: list = []
    loads: list = []


class Digests:
    """Builds this entry's digests and applies those of its peers."""

    __slots__ = (
        "_catalog_watcher",
        "_centre_by_name",
        "_centre_work",
        "_crash_guard",
        "_directory",
        "_lease",
        "_members",
        "_own_address",
        "observer",
        "pools",
    )

    def __init__(
        self,
        members,
        own_address,
        lease,
        catalog_watcher,
        directory,
        crash_guard,
    ):
        self._members = members
        self._own_address = own_address
        # Another one after each start: what this entry saw before is news.
        self.observer = f"{members.name}/{freshness.get_boot_time_s():.3f}"
        self._lease = lease
        self._catalog_watcher = catalog_watcher
        self._directory = directory
        self._crash_guard = crash_guard
        self._centre_by_name = {}
        self._centre_work = CentreWork(0.0)
        self.pools = None

    def get_created_s(self, data_centre):
        """Return when a data centre's last digest was created, or None."""
        record = self._centre_by_name.get(data_centre)
        return None if record is None else record.created_s

    def new_digest(self, peer):
        """Return the digest for a peer and record its content as sent."""
        digest = self._new_common_digest()
        digest.crash_news = self._crash_guard.new_news(peer.heard_news)
        if (
            peer.last_contact_s is None
            or peer.peers_known < digest.peers_known
        ):
            digest.peers = self._members.get_addresses()
        is_local = self._members.is_local(peer)
        local_parts, remote_parts = self._directory.announced_parts.get_after(
            peer.last_sent_part, is_local
        )
        peer.last_sent_part = self._directory.announced_parts.get_last_number()
        digest.parts, digest.far_parts = local_parts, remote_parts
        if not is_local:
            digest.centres = [self._new_centre()]
            return digest
        digest.waits = _new_pool_waits(self.pools.get_owned_pool_waits())
        digest.loads = self._directory.get_own_loads()
        if self._members.is_delegate():
            digest.centres = self._get_centres_since(peer.centres_sent_s)
            peer.centres_sent_s = trio.current_time()
        return digest

    def _new_common_digest(self):
        now_s = trio.current_time()
        age_s = self._lease.get_age_s()
        newest = self._catalog_watcher.newest
        return direct_messages.EntryDigest(
            name=self._members.name,
            address=self._own_address,
            data_centre=self._members.data_centre,
            catalog_version=self._catalog_watcher.get_version(),
            freshness_age_s=-1.0 if age_s is None else age_s,
            is_leaving=self._members.is_leaving,
            weight=self._members.weight,
            peers_known=len(self._members.get_addresses()),
            limits=[
                limit_news.new_message(server, self.observer)
                for server in self._directory.get_limited()
            ],
            newest_version=newest.version,
            newest_era=newest.era,
            confirmed_era=newest.confirmed_era,
            evacuations=self._directory.evacuations.new_messages(),
            stream_life_ms=int(
                self._catalog_watcher.stream_lives.get_known_s(now_s) * MS
            ),
        )

    def _new_centre(self):
        work = self._get_centre_work()
        return direct_messages.CentreDigest(
            data_centre=self._members.data_centre,
            age_ms=0,
            members=self._members.get_local_members(
                self._catalog_watcher.get_version()
            ),
            waits=work.waits,
            loads=work.loads,
        )

    def _get_centre_work(self):
        """Return the work in this data centre, cached briefly.

        Entries of all other data centres get the same.
        """
        now = trio.current_time()
        if now >= self._centre_work.valid_until_s:
            members = self._members
            names = [
                peer.name
                for peer in members.get_live_peers(members.data_centre)
            ]
            self._centre_work = CentreWork(
                now + CENTRE_WORK_CACHE_S,
                _new_pool_waits(self.pools.get_local_pool_waits()),
                self._directory.get_data_centre_loads(names),
            )
        return self._centre_work

    def _get_centres_since(self, since_s):
        now = trio.current_time()
        centres = []
        for record in self._centre_by_name.values():
            age_s = now - record.created_s
            if record.created_s > since_s and age_s < FORWARD_AGE_MAX_S:
                record.digest.age_ms = int(age_s * 1000)
                centres.append(record.digest)
        return centres

    def apply(self, digest):
        """Apply a peer's digest; return the peer, None if not recorded."""
        if not base.is_address(digest.address):
            return None
        now = trio.current_time()
        peer = self._members.update_peer(digest, digest.data_centre, now)
        if peer is None:
            return None
        peer.peers_known = digest.peers_known
        peer.is_informed = 0 <= digest.freshness_age_s < self._lease.bound_s
        self._catalog_watcher.newest.hear(
            digest.newest_version, digest.newest_era
        )
        for address in filter(base.is_address, digest.peers):
            self._members.get_or_add(address)
        self._apply_parts(peer, digest)
        self._crash_guard.apply_news(digest.crash_news)
        self._apply_limits(digest.limits)
        self._directory.apply_evacuations(digest.evacuations)
        if digest.stream_life_ms:
            self._catalog_watcher.stream_lives.learn_past(
                digest.stream_life_ms / MS, now
            )
        if self._members.is_local(peer):
            self._directory.update_reported_loads(
                digest.name, digest.loads, now
            )
            self._apply_waits(digest.data_centre, digest.waits, now)
        for centre in digest.centres:
            self._apply_centre(centre, now - centre.age_ms / 1000)
        return peer

    def _apply_parts(self, peer, digest):
        is_local = self._members.is_local(peer)
        # Only the delegate forwards the parts that it receives.
        is_forwarded = bool(digest.parts) and self._members.is_delegate()
        for part_id, server_id in digest.parts:
            self._directory.record_reported_part(
                part_id, server_id, is_local, is_forwarded
            )
        for part_id, server_id in digest.far_parts:
            self._directory.record_reported_part(
                part_id, server_id, is_local, False
            )

    def _apply_limits(self, limits):
        for limit in limits:
            limit_news.apply(self._directory, limit, self.observer)

    def _apply_waits(self, data_centre, waits, reported_s):
        for wait in waits:
            pool = self.pools.get_pool(wait.service, data_centre)
            pool.update_waits(to_pool_waits(wait), reported_s)

    def _apply_centre(self, centre, created_s):
        name = centre.data_centre
        members = [
            member
            for member in centre.members
            if base.is_address(member.address)
        ]
        if name == self._members.data_centre:
            # The state of local entries comes from their own digests only;
            # a remote digest contributes no more than their addresses.
            for member in members:
                self._members.get_or_add(member.address)
            return
        for member in members:
            contact_s = created_s - member.age_ms / 1000
            self._members.update_peer(member, name, contact_s)
        last_created_s = self.get_created_s(name)
        if last_created_s is not None and created_s <= last_created_s:
            return
        self._centre_by_name[name] = CentreRecord(centre, created_s)
        self._directory.update_reported_loads(
            f"centre {name}", centre.loads, created_s
        )
        self._apply_waits(name, centre.waits, created_s)


def new_pool_wait(service, waits):
    """Return the message about the `PoolWaits` of a service."""
    return direct_messages.PoolWait(
        service,
        _to_ms(waits.base_s),
        [
            (
                known.priority,
                _to_ms(known.wait_s),
                min(int(known.load * 100), LOAD_MAX_PERCENT),
            )
            for known in waits.by_priority
        ],
        _to_ms(waits.late_s),
        sorted(waits.excess_kinds),
    )


def to_pool_waits(message):
    """Return the `PoolWaits` that a message reports."""
    return forecast.PoolWaits(
        message.wait_ms / 1000,
        tuple(
            forecast.PriorityWait(priority, wait_ms / 1000, percent / 100)
            for priority, wait_ms, percent in message.by_priority
        ),
        max(message.late_ms, message.wait_ms) / 1000,
        frozenset(message.excess_kinds),
    )


def _to_ms(wait_s):
    """Convert a wait to whole milliseconds, at most `WAIT_MAX_S`."""
    return int(min(wait_s, WAIT_MAX_S) * 1000)


def _new_pool_waits(waits):
    return [new_pool_wait(service, wait) for service, wait in waits]


def new_digests(
    members, own_address, lease, catalog_watcher, directory, crash_guard
):
    """Return the digests of an entry; `pools` is set later."""
    return Digests(
        members, own_address, lease, catalog_watcher, directory, crash_guard
    )
