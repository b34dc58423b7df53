"""Membership of the fleet: the known entries and which of them are alive.

Entries of one data centre exchange digests with one another. One of them,
the delegate, also exchanges digests with the delegates of other data centres
and forwards theirs locally, so that an entry's traffic does not grow with
the fleet.
"""

import logging
import math

import trio

from greengagetrack.connection import direct_messages
from greengagetrack.process.direct import crash_guard
from greengagetrack.process.direct import rendezvous

LOCAL_SILENCE_MAX_S = 1.3
REMOTE_SILENCE_MAX_S = 3.2
# A peer that is slow to report may still be at work for this entry.
WORK_SILENCE_MAX_S = 3.2
PEER_EXPIRY_S = 30.0
# More than the time between two contacts.
HEARD_SINCE_LOSS_S = 1.0
PEERS_MAX = 2000
# How long a peer that is gone without a word may be cut off, and live.
MISSING_S = 600.0
DELEGATE_KEY = "speaker"  # hashed: must be the same on all entries
# Estimate of the fleet size: a margin over the most entries ever known, and
# the size assumed before any peer is known.
ENTRIES_FACTOR = 1.25
ENTRIES_DEFAULT = 32

_log = logging.getLogger(__name__)


class Peer:
    """The state of another entry, from its own or other entries' digests.

    `last_contact_s` is when it was last known to be alive, `last_exchange_s`
    when the last exchange of digests with it ended, and `last_used_s` when it
    last made pieces for this entry. `last_sent_part` is the number of the
    last announced prompt part that was sent to it. `is_informed` says that
    its last digest had a recent confirmation of its catalog. `told_sent_s` is
    when it was sent the last question, which it answered, for servers that
    left. `was_connected` says whether its link was up when last checked,
    `life` counts its starts as far as they were seen, `heard_news` is what its
    present life has replied to.
    """

    __slots__ = (
        "address",
        "catalog_version",
        "centres_sent_s",
        "data_centre",
        "heard_news",
        "is_informed",
        "is_leaving",
        "last_contact_s",
        "last_exchange_s",
        "last_sent_part",
        "last_used_s",
        "life",
        "missed_replies",
        "name",
        "peers_known",
        "told_sent_s",
        "was_connected",
        "was_lost",
        "weight",
    )

    def __init__(self, address):
        self.address = address
        self.name = ""
        self.data_centre = ""
        self.last_contact_s = None
        self.last_exchange_s = -math.inf
        self.last_used_s = -math.inf
        self.missed_replies = 0
        self.is_informed = False
        self.is_leaving = False
        self.was_connected = False
        self.was_lost = False
        self.catalog_version = 0
        self.weight = 1.0
        self.peers_known = 0
        self.centres_sent_s = -math.inf
        self.last_sent_part = 0
        self.told_sent_s = None
        self.life = 0
        self.heard_news = crash_guard.NOTHING_HEARD

    def is_alive(self, is_local):
        """Return whether the peer had recent contact and is not leaving."""
        if self.last_contact_s is None or self.is_leaving:
            return False
        limit_s = LOCAL_SILENCE_MAX_S if is_local else REMOTE_SILENCE_MAX_S
        return self.get_silence_s() < limit_s

    def get_silence_s(self):
        """Return the time since the last contact."""
        if self.last_contact_s is None:
            return math.inf
        return trio.current_time() - self.last_contact_s


def rank_by_key(peers, key, count):
    """Return up to `count` of some peers, which all entries rank alike.

    The first are of different data centres, as far as there are some, so
    that none of these takes all of them with it.
    """
    ranked = sorted(
        peers, key=lambda peer: rendezvous.get_score(key, peer.name)
    )
    data_centres = set()
    first, others = [], []
    for peer in ranked:
        is_new = peer.data_centre not in data_centres
        data_centres.add(peer.data_centre)
        (first if is_new else others).append(peer)
    return (first + others)[:count]


class Members:
    """The peers of this entry, and what it announces of itself."""

    __slots__ = (
        "_missing_since_s_by_address",
        "_most_peers",
        "_own_address",
        "data_centre",
        "is_leaving",
        "name",
        "peer_by_address",
        "seeds",
        "was_delegate",
        "weight",
    )

    def __init__(self, name, address, data_centre, weight, seeds):
        self.name = name
        self.data_centre = data_centre
        self.weight = weight
        self.is_leaving = False
        self.was_delegate = False
        self.peer_by_address = {}
        self.seeds = set(seeds)
        self._own_address = address
        self._most_peers = 0
        self._missing_since_s_by_address = {}
        for seed in seeds:
            self.get_or_add(seed)

    def get_or_add(self, address):
        """Return the peer at an address, added if new, or None.

        The result is None for this entry's own address, and for a new peer
        when `PEERS_MAX` is reached. Who reads an address checks that it is
        one.
        """
        if address == self._own_address:
            return None
        peer = self.peer_by_address.get(address)
        if peer is None and len(self.peer_by_address) < PEERS_MAX:
            peer = Peer(address)
            self.peer_by_address[address] = peer
        return peer

    def update_peer(self, member, data_centre, contact_s):
        """Update a peer from a newer report; return the peer or None."""
        peer = self.get_or_add(member.address)
        if peer is None:
            return None
        if peer.last_contact_s is not None and contact_s < peer.last_contact_s:
            return peer
        if peer.last_contact_s is None:
            _log.info(
                "peer found",
                extra={"decision": "peer", "peer": member.name},
            )
        peer.name = member.name
        peer.data_centre = data_centre
        peer.is_leaving = member.is_leaving
        peer.catalog_version = member.catalog_version
        peer.weight = member.weight
        peer.last_contact_s = contact_s
        self._most_peers = max(self._most_peers, len(self.peer_by_address))
        return peer

    def count_entries(self):
        """Return an upper estimate of the fleet size, this entry included.

        It is based on the most entries ever known, since an entry that is
        cut off must still count the others.
        """
        if not self._most_peers:
            return ENTRIES_DEFAULT
        return math.ceil((self._most_peers + 1) * ENTRIES_FACTOR)

    def sees_majority(self):
        """Return whether more than half of the known entries are alive.

        Of groups of entries that are cut off from each other, one at most
        does. Those that said that they leave are no part of any. Of those
        that are taken for alive, only those count that were heard well
        after the last one was lost: silence is noticed sooner in the own
        data centre than in others.
        """
        alive, silent = [], []
        for peer in self.peer_by_address.values():
            if peer.is_alive(self.is_local(peer)):
                alive.append(peer)
            elif not peer.is_leaving:
                silent.append(peer)
        lost_s = max(
            (
                peer.last_contact_s
                for peer in silent
                if peer.last_contact_s is not None
            ),
            default=-math.inf,
        )
        heard = sum(
            peer.last_contact_s > lost_s + HEARD_SINCE_LOSS_S for peer in alive
        )
        others = len(alive) + len(silent) + self._count_missing()
        # This entry is one of both.
        return 2 * (heard + 1) > others + 1

    def _count_missing(self):
        """Return how many peers were forgotten lately that may still live."""
        now = trio.current_time()
        since_s_by_address = self._missing_since_s_by_address
        for address, since_s in list(since_s_by_address.items()):
            if now - since_s >= MISSING_S or address in self.peer_by_address:
                del since_s_by_address[address]
        return len(since_s_by_address)

    def is_local(self, peer):
        """Return whether a peer is in this entry's data centre."""
        return peer.data_centre == self.data_centre

    def get_live_peers(self, data_centre):
        """Return the peers of a data centre that are alive."""
        is_local_centre = data_centre == self.data_centre
        return [
            peer
            for peer in self.peer_by_address.values()
            if peer.data_centre == data_centre
            and peer.is_alive(is_local_centre)
        ]

    def get_addresses_by_remote_centre(self):
        """Return the sorted peer addresses of each remote data centre."""
        addresses_by_centre = {}
        for peer in self.peer_by_address.values():
            if peer.last_contact_s is not None and not self.is_local(peer):
                addresses = addresses_by_centre.setdefault(
                    peer.data_centre, []
                )
                addresses.append(peer.address)
        for addresses in addresses_by_centre.values():
            addresses.sort()
        return addresses_by_centre

    def get_owner_candidates(self, data_centre):
        """Return the peers that may own pools of a data centre.

        The second value says whether this entry is one of them. Where a
        remote data centre has no live entry, all entries are candidates.
        """
        is_local_centre = data_centre == self.data_centre
        centre_peers = [
            peer
            for peer in self.get_live_peers(data_centre)
            if peer.catalog_version
        ]
        if centre_peers or is_local_centre:
            return centre_peers, is_local_centre and not self.is_leaving
        peers = [
            peer
            for peer in self.peer_by_address.values()
            if peer.is_alive(self.is_local(peer)) and peer.catalog_version
        ]
        return peers, not self.is_leaving

    def find_owner(self, service, data_centre):
        """Return the peer that owns a service's pool in a data centre.

        Return None if this entry does. Entries of the pool's data centre
        are preferred.
        """
        peers, is_candidate = self.get_owner_candidates(data_centre)
        peer_by_name = {peer.name: peer for peer in peers}
        weight_by_name = {peer.name: peer.weight for peer in peers}
        if is_candidate or not peers:
            weight_by_name[self.name] = self.weight
        owner_name = rendezvous.get_winner(service, weight_by_name)
        return peer_by_name.get(owner_name)

    def get_alive(self):
        """Return the peers that are alive and not leaving."""
        return [
            peer
            for peer in self.peer_by_address.values()
            if peer.is_alive(self.is_local(peer))
        ]

    def get_leaving(self):
        """Return the peers that leave and were heard a moment ago."""
        return [
            peer
            for peer in self.peer_by_address.values()
            if peer.is_leaving and peer.get_silence_s() < LOCAL_SILENCE_MAX_S
        ]

    def rank_by_key(self, key, count):
        """Return up to `count` live peers that all entries rank alike."""
        return rank_by_key(self.get_alive(), key, count)

    def is_delegate(self):
        """Return whether this entry is the delegate of its data centre."""
        if self.is_leaving:
            return False
        return self._get_delegate_name(self.data_centre) == self.name

    def get_delegate(self, data_centre):
        """Return the delegate of another data centre, or None."""
        name = self._get_delegate_name(data_centre)
        for peer in self.get_live_peers(data_centre):
            if peer.name == name:
                return peer
        return None

    def _get_delegate_name(self, data_centre):
        weight_by_name = {
            peer.name: peer.weight for peer in self.get_live_peers(data_centre)
        }
        if data_centre == self.data_centre and not self.is_leaving:
            weight_by_name[self.name] = self.weight
        return rendezvous.get_winner(DELEGATE_KEY, weight_by_name)

    def get_local_members(self, catalog_version):
        """Return the entries of this data centre, this one included.

        Peers are included if they had recent contact, even if they leave.
        """
        now = trio.current_time()
        own_member = direct_messages.Member(
            name=self.name,
            address=self._own_address,
            catalog_version=catalog_version,
            is_leaving=self.is_leaving,
            weight=self.weight,
        )
        return [own_member] + [
            direct_messages.Member(
                name=peer.name,
                address=peer.address,
                age_ms=int((now - peer.last_contact_s) * 1000),
                catalog_version=peer.catalog_version,
                is_leaving=peer.is_leaving,
                weight=peer.weight,
            )
            for peer in self.peer_by_address.values()
            if self.is_local(peer)
            and peer.last_contact_s is not None
            and now - peer.last_contact_s < LOCAL_SILENCE_MAX_S
        ]

    def get_addresses(self):
        """Return the addresses of all peers with a recorded contact."""
        return [
            peer.address
            for peer in self.peer_by_address.values()
            if peer.last_contact_s is not None
        ]

    def log_changes(self):
        """Log peers that were lost or regained, and a change of delegate."""
        for peer in self.peer_by_address.values():
            if peer.last_contact_s is None:
                continue
            is_lost = not peer.is_alive(self.is_local(peer))
            if is_lost != peer.was_lost:
                peer.was_lost = is_lost
                _log_peer("peer lost" if is_lost else "peer regained", peer)
        is_delegate = self.is_delegate()
        if is_delegate != self.was_delegate:
            self.was_delegate = is_delegate
            _log.info(
                "became delegate" if is_delegate else "no longer delegate",
                extra={
                    "decision": "speaker",
                    "data_centre": self.data_centre,
                    "near": len(self.get_live_peers(self.data_centre)),
                },
            )

    def remove_expired(self):
        """Remove peers without recent contact; seeds stay as addresses."""
        now = trio.current_time()
        for peer in list(self.peer_by_address.values()):
            if (
                peer.last_contact_s is None
                or now - peer.last_contact_s <= PEER_EXPIRY_S
            ):
                continue
            del self.peer_by_address[peer.address]
            if not peer.is_leaving:
                self._record_missing(peer.address, now)
            if peer.address in self.seeds:
                self.get_or_add(peer.address)

    def _record_missing(self, address, now_s):
        """Record a peer that is forgotten without having said a word."""
        since_s_by_address = self._missing_since_s_by_address
        since_s_by_address[address] = now_s
        if len(since_s_by_address) > PEERS_MAX:
            del since_s_by_address[next(iter(since_s_by_address))]


def _log_peer(message, peer):
    _log.info(
        message,
        extra={
            "decision": "peer",
            "peer": peer.name,
            "data_centre": peer.data_centre,
            "heard_age_s": round(trio.current_time() - peer.last_contact_s, 2),
            "leaving": peer.is_leaving,
        },
    )


def new_members(name, address, data_centre, weight, seeds):
    """Return the members of a starting entry: only its seeds."""
    return Members(name, address, data_centre, weight, seeds)
