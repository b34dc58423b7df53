"""What entries tell one another, written and read.

A near peer is told what this entry has itself, and by the speaker also
what other data centres said. A far one is told of this data centre as a
whole, which any of its entries can do.
"""

import msgspec
import trio

from greengagetrack.connection import messages

WAIT_MAX_S = 30.0
CENTRE_AGE_MAX_S = 4.0


class HeardCentre(msgspec.Struct):
    """The last digest of another data centre, and when it was true."""

    digest: messages.CentreDigest
    heard_s: float


class Digests:
    """Writes this entry's digests, and takes those of others."""

    __slots__ = (
        "_catalog_watcher",
        "_centre_by_name",
        "_directory",
        "_lease",
        "_members",
        "_own_address",
        "pools",
    )

    def __init__(
        self, members, own_address, lease, catalog_watcher, directory
    ):
        self._members = members
        self._own_address = own_address
        self._lease = lease
        self._catalog_watcher = catalog_watcher
        self._directory = directory
        self._centre_by_name = {}
        self.pools = None

    def get_heard_s(self, data_centre):
        """Return when another data centre was last heard of, or None."""
        heard = self._centre_by_name.get(data_centre)
        return None if heard is None else heard.heard_s

    def write(self, peer):
        """Return the digest for a peer; it counts as told from now on."""
        digest = self._new_digest()
        if (
            peer.last_contact_s is None
            or peer.peers_known < digest.peers_known
        ):
            digest.peers = self._members.get_addresses()
        is_local = self._members.is_local(peer)
        own, far = self._directory.get_announced_parts(
            peer.last_sent_part, is_local
        )
        peer.last_sent_part = self._directory.get_last_announced_number()
        digest.parts, digest.far_parts = own, far
        if not is_local:
            digest.centres = [self._new_centre()]
            return digest
        digest.waits = _to_waits(self.pools.get_owned_pool_waits())
        digest.loads = self._directory.get_own_loads()
        if self._members.is_delegate():
            digest.centres = self._get_centres_since(peer.centres_sent_s)
            peer.centres_sent_s = trio.current_time()
        return digest

    def _new_digest(self):
        age_s = self._lease.get_age_s()
        return messages.EntryDigest(
            name=self._members.name,
            address=self._own_address,
            data_centre=self._members.data_centre,
            catalog_version=self._catalog_watcher.get_version(),
            freshness_age_s=-1.0 if age_s is None else age_s,
            is_leaving=self._members.is_leaving,
            weight=self._members.weight,
            peers_known=len(self._members.get_addresses()),
        )

    def _new_centre(self):
        local_names = [
            peer.name
            for peer in self._members.get_live_peers(self._members.data_centre)
        ]
        return messages.CentreDigest(
            data_centre=self._members.data_centre,
            age_ms=0,
            members=self._members.get_local_members(
                self._catalog_watcher.get_version()
            ),
            waits=_to_waits(self.pools.get_local_pool_waits()),
            loads=self._directory.get_data_centre_loads(local_names),
        )

    def _get_centres_since(self, since_s):
        now = trio.current_time()
        centres = []
        for heard in self._centre_by_name.values():
            age_s = now - heard.heard_s
            if heard.heard_s > since_s and age_s < CENTRE_AGE_MAX_S:
                heard.digest.age_ms = int(age_s * 1000)
                centres.append(heard.digest)
        return centres

    def take(self, digest):
        """Believe what a peer says; return the peer, None for oneself."""
        now = trio.current_time()
        peer = self._members.update_peer(digest, digest.data_centre, now)
        if peer is None:
            return None
        peer.peers_known = digest.peers_known
        for address in digest.peers:
            self._members.get_or_add(address)
        self._take_parts(peer, digest)
        if self._members.is_local(peer):
            self._directory.update_reported_loads(
                digest.name, digest.loads, now
            )
            self._take_waits(digest.data_centre, digest.waits, now)
        for centre in digest.centres:
            self._take_centre(centre, now - centre.age_ms / 1000)
        return peer

    def _take_parts(self, peer, digest):
        is_local = self._members.is_local(peer)
        # Only the speaker tells on what it heard.
        is_told_on = bool(digest.parts) and self._members.is_delegate()
        for part_id, server_id in digest.parts:
            self._directory.record_reported_part(
                part_id, server_id, is_local, is_told_on
            )
        for part_id, server_id in digest.far_parts:
            self._directory.record_reported_part(
                part_id, server_id, is_local, False
            )

    def _take_waits(self, data_centre, waits, heard_s):
        for wait in waits:
            pool = self.pools.get_pool(wait.service, data_centre)
            pool.update_wait(wait.wait_ms / 1000, heard_s)

    def _take_centre(self, centre, heard_s):
        name = centre.data_centre
        if name == self._members.data_centre:
            # Of its own data centre an entry believes only what it hears.
            for member in centre.members:
                self._members.get_or_add(member.address)
            return
        for member in centre.members:
            seen_s = heard_s - member.age_ms / 1000
            self._members.update_peer(member, name, seen_s)
        known_s = self.get_heard_s(name)
        if known_s is not None and heard_s <= known_s:
            return
        self._centre_by_name[name] = HeardCentre(centre, heard_s)
        self._directory.update_reported_loads(
            f"centre {name}", centre.loads, heard_s
        )
        self._take_waits(name, centre.waits, heard_s)


def to_ms(wait_s):
    """Return a wait in whole milliseconds, bounded."""
    return int(min(wait_s, WAIT_MAX_S) * 1000)


def _to_waits(waits):
    return [
        messages.PoolWait(service, to_ms(wait_s)) for service, wait_s in waits
    ]


def new_digests(members, own_address, lease, catalog_watcher, directory):
    """Return the digests of an entry; its pools are set later."""
    return Digests(members, own_address, lease, catalog_watcher, directory)
