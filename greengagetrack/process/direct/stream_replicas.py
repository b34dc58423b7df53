"""Keeps the records of streams at entries that will be there to be asked.

An entry may end any time, and those of a fleet are restarted in turn. So a
record is held by the two live entries that rank first for its key, of
different data centres if there are some. Whoever has a record looks whether
they have it when entries come and go: the entry that relays the stream, and
one that was told of it, since the other one may be gone. An entry that leaves
no longer counts, and tells two others of all that it has, its own streams and
those that it was told of (hinted hand-off)::

    replicas.tell("org", key, record)   # it begins here
    nursery.start_soon(replicas.run)    # told anew as entries come and go
"""

import msgspec
import trio

from greengagetrack.connection import direct_messages
from greengagetrack.process.direct import containment as containment_module
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import stream_records

OWNERS = 2
TIMEOUT_S = 0.4
TOLD_MAX = 256
# How often is looked whether entries have come or gone.
CHECK_PERIOD_S = 0.25
# Records that are looked at before other tasks run.
RECORDS_PER_TURN = 32
MS = 1000


class Replica(msgspec.Struct, frozen=True):
    """A record to tell, and the message that tells it."""

    stream: direct_messages.BegunStream
    record: stream_records.StreamRecord


class LivePeer(msgspec.Struct, frozen=True):
    """A live peer, with a number that changes when it starts anew."""

    number: int
    peer: members_module.Peer


class StreamReplicas:
    """Which peers hold the records of an entry, and which are to."""

    __slots__ = (
        "_containment",
        "_count",
        "_is_incomplete",
        "_links",
        "_live_by_address",
        "_lives_by_address",
        "_members",
        "_nursery",
        "_records",
        "_unsent",
    )

    def __init__(self, records, members, links, nursery, containment):
        self._records = records
        self._members = members
        self._links = links
        self._nursery = nursery
        self._containment = containment
        self._live_by_address = {}
        self._lives_by_address = {}
        self._count = 0
        self._is_incomplete = False
        self._unsent = []

    def tell(self, organisation, key, record):
        """Tell the owners of a stream of it, soon."""
        replica = _new_replica(organisation, key, record)
        if not self._unsent:
            self._nursery.start_soon(self._send_unsent)
        self._unsent.append(replica)
        record.is_told = True

    async def _send_unsent(self):
        """Tell of all streams that began in this moment."""
        unsent, self._unsent = self._unsent, []
        replicas_by_address = {}
        for replica in unsent:
            with self._containment.contain("stream"):
                key = replica.stream.key.hex()
                for peer in self._members.rank_by_key(key, OWNERS):
                    replicas_by_address.setdefault(peer.address, []).append(
                        replica
                    )
        await self._send(replicas_by_address)

    async def _send(self, replicas_by_address):
        async with trio.open_nursery() as nursery:
            for address, replicas in replicas_by_address.items():
                for start in range(0, len(replicas), TOLD_MAX):
                    nursery.start_soon(
                        self._send_to,
                        address,
                        replicas[start : start + TOLD_MAX],
                    )

    async def _send_to(self, address, replicas):
        live = self._live_by_address.get(address)
        with self._containment.contain("stream"):
            streams = [replica.stream for replica in replicas]
            reply = await self._request(
                address, direct_messages.TellStreams(streams)
            )
            if not isinstance(reply, direct_messages.StreamVersion):
                self._is_incomplete = True
            elif live is not None:
                for replica in replicas:
                    _add_holder(replica.record, live.number)

    async def _request(self, address, message):
        return await self._links.get_link(address).request(message, TIMEOUT_S)

    async def run(self):
        """Tell of streams anew as entries come and go, until cancelled."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            with self._containment.contain("stream"):
                if self._is_due():
                    await self._replicate()

    def _is_due(self):
        if self._members.is_leaving or self._is_incomplete:
            return True
        live = self._find_live()
        return live.keys() != self._live_by_address.keys() or any(
            self._is_new(peer) for peer in live.values()
        )

    def _find_live(self):
        return {peer.address: peer for peer in self._members.get_alive()}

    def _is_new(self, peer):
        live = self._live_by_address.get(peer.address)
        known_life = self._lives_by_address.get(peer.address)
        return live is None or known_life != peer.life

    def _update_live(self):
        """Number the peers that live now; return those that are new."""
        peer_by_address = self._find_live()
        added = []
        live_by_address = {}
        for address, peer in peer_by_address.items():
            live = self._live_by_address.get(address)
            if self._is_new(peer):
                self._count += 1
                live = LivePeer(self._count, peer)
                added.append(live)
            live_by_address[address] = live
        self._live_by_address = live_by_address
        self._lives_by_address = {
            address: peer.life for address, peer in peer_by_address.items()
        }
        return added

    async def _replicate(self):
        """Tell those who are to hold a record and don't."""
        before = list(self._live_by_address.values())
        added = self._update_live()
        live = list(self._live_by_address.values())
        self._is_incomplete = False
        replicas_by_address = {}
        for index, told in enumerate(self._records.get_told()):
            if index % RECORDS_PER_TURN == 0:
                await trio.lowlevel.checkpoint()
            with self._containment.contain("stream"):
                replica = _new_replica(*told)
                for owner in self._find_missing(replica, before, added, live):
                    replicas_by_address.setdefault(
                        owner.peer.address, []
                    ).append(replica)
        await self._send(replicas_by_address)

    def _find_missing(self, replica, before, added, live):
        """Return the live peers that are to hold a record and don't.

        Those who hold it still rank before all who were there before, so
        that only new ones are compared with them.
        """
        record = replica.record
        key = replica.stream.key.hex()
        count = OWNERS
        if not record.is_own and not self._members.is_leaving:
            # This entry holds it as well.
            count -= 1
        if record.holders is None:
            # It was told of by another entry, which told the others too.
            record.holders = _get_numbers(_rank(key, before, OWNERS - 1))
        holders = [peer for peer in live if peer.number in record.holders]
        is_held = len(holders) >= count
        candidates = {*holders, *added} if is_held else live
        owners = _rank(key, candidates, count)
        record.holders = _get_numbers(holders)
        return [peer for peer in owners if peer.number not in record.holders]


def _add_holder(record, number):
    holders = record.holders or ()
    if number not in holders:
        record.holders = (*holders, number)


def _rank(key, live_peers, count):
    live_by_address = {live.peer.address: live for live in live_peers}
    ranked = members_module.rank_by_key(
        [live.peer for live in live_peers], key, count
    )
    return [live_by_address[peer.address] for peer in ranked]


def _get_numbers(live_peers):
    return tuple(live.number for live in live_peers)


def _new_replica(organisation, key, record):
    left_s = record.end_s - trio.current_time()
    stream = direct_messages.BegunStream(
        organisation,
        key,
        record.service,
        record.version,
        max(int(left_s * MS), 0),
    )
    return Replica(stream, record)


def new_stream_replicas(records, members, links, nursery, containment=None):
    """Return the replicas of `StreamRecords` that nobody else holds yet."""
    return StreamReplicas(
        records,
        members,
        links,
        nursery,
        containment or containment_module.new_containment(),
    )
