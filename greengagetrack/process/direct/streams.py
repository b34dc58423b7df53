"""Finds the software version that began a stream, from any entry.

What two versions of a server write does not fit together, so a stream may
only go on at the version that began it. Its caller may take it up at another
entry, and the one that began it may be gone. Where a service may have had
several versions, an entry tells two others of each stream before it passes
on the first event. Where there was one version only, nothing is told.
"""

import enum
import logging
import math

import msgspec
import trio

from greengagetrack.connection import direct_messages
from greengagetrack.process.direct import containment as containment_module
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import stream_lives
from greengagetrack.process.direct import stream_records
from greengagetrack.process.direct import stream_replicas

# Others may rank first by now than when the stream began.
ASKED_MAX = 4
LEAVING_ASKED_MAX = 4
TIMEOUT_S = 0.4
# The history of the source may be incomplete; asked again it is the same.
PAST_PERIOD_S = 5.0
MS = 1000

_log = logging.getLogger(__name__)


class StreamId(msgspec.Struct, frozen=True):
    """What identifies a stream to all entries.

    `request_id` is that of the attempt that brought its first event, empty
    if its caller does not name it.
    """

    organisation: str
    request_id: bytes

    @property
    def key(self):
        """The key of its record."""
        return stream_records.get_key(self.organisation, self.request_id)


class Origin(msgspec.Struct, frozen=True):
    """The service and the software version that began a stream.

    The version is None if it is unknown which one has answered.
    """

    service: str
    version: str | None


class Evidence(enum.StrEnum):
    """What tells where a stream began, as it is logged."""

    OWN_RECORD = "own_record"
    PEER_RECORD = "peer_record"
    HISTORY = "history"


class Streams:
    """The versions of streams: records, what is told and what is asked."""

    __slots__ = (
        "_containment",
        "_directory",
        "_links",
        "_lives",
        "_members",
        "_past_due_s",
        "_past_lock",
        "_records",
        "_replicas",
        "_source_reader",
    )

    def __init__(
        self,
        members,
        links,
        directory,
        lives,
        source_reader,
        nursery,
        containment,
    ):
        self._containment = containment
        self._members = members
        self._links = links
        self._directory = directory
        self._lives = lives
        self._source_reader = source_reader
        self._past_lock = trio.Lock()
        self._past_due_s = -math.inf
        self._records = stream_records.new_stream_records()
        self._replicas = stream_replicas.new_stream_replicas(
            self._records, members, links, nursery, containment
        )

    def begin(self, stream_id, origin, services, end_s):
        """Record a stream whose next event is passed on soon.

        It begins here, or its caller takes it up here, and its caller may
        take it up again until `end_s`. Others are told at once, if there are
        several `services` or versions that it could be of: this entry may
        end any time. A stream without an id has no record, which would be
        that of all others without one.
        """
        if not stream_id.request_id:
            return
        record = stream_records.StreamRecord(
            origin.service, origin.version, end_s, is_own=True
        )
        organisation = stream_id.organisation
        self._records.drop_ended(trio.current_time())
        record = self._records.add(organisation, stream_id.key, record)
        is_unknown = record.version is None
        if is_unknown or len(services) > 1 or self._is_told(origin.service):
            self._replicas.tell(organisation, stream_id.key, record)

    def _is_told(self, service):
        """Return whether several versions may have served of late."""
        seen = self._get_seen(service)
        return len(seen.versions) > 1 or not seen.is_complete

    def _get_seen(self, service):
        """Return the `StreamVersion` that any stream of a service gets."""
        versions = self._directory.versions
        now_s = trio.current_time()
        since_s = now_s - self._lives.get_longest_s(now_s)
        return direct_messages.StreamVersion(
            versions=sorted(versions.get_versions(service, since_s)),
            is_complete=versions.known_since_s <= since_s,
        )

    async def _request(self, address, message):
        link = self._links.get_link(address)
        return await link.request(message, TIMEOUT_S)

    def _get_asked(self, key):
        """Return the addresses of those who may know a stream.

        One that leaves has its records until it ends, and may still be
        handing them over.
        """
        peers = self._members.rank_by_key(key.hex(), ASKED_MAX)
        leaving = members_module.rank_by_key(
            self._members.get_leaving(), key.hex(), LEAVING_ASKED_MAX
        )
        return [peer.address for peer in [*peers, *leaving]]

    async def run(self):
        """Keep others informed of running streams, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._replicas.run)
            nursery.start_soon(self._watch_versions)

    async def _watch_versions(self):
        """Tell of running streams when a second version appears."""
        while True:
            await self._directory.changed.wait()
            for service in self._directory.versions.get_services():
                with self._containment.contain("stream"):
                    self._tell_running(service)

    def _tell_running(self, service):
        if not self._is_told(service):
            return
        for untold in self._records.get_untold(service):
            # One that fails stays untold, until the servers change again.
            with self._containment.contain("stream"):
                self._replicas.tell(*untold)

    async def find_origin(self, stream_id, services):
        """Return the `Origin` of a stream, or None if it is unknown.

        A record decides. Only without one anywhere it counts that of the
        `services` that the stream may be of there is one, and that a single
        version of it has served for as long as a stream may last.
        """
        record = self._records.find(stream_id.organisation, stream_id.key)
        if record is not None:
            evidence = Evidence.OWN_RECORD
            origins = {Origin(record.service, record.version)}
        else:
            evidence = Evidence.PEER_RECORD
            answers = await self._ask(stream_id, services)
            origins = {
                Origin(answer.service, answer.recorded)
                for answer in answers
                if answer.is_recorded
            }
            if not origins:
                evidence = Evidence.HISTORY
                origins = await self._infer(services, answers)
        self._log_lookup(stream_id, evidence, origins)
        # Two requests with the same id are nothing that can be told apart.
        origin = origins.pop() if len(origins) == 1 else None
        if origin is None or origin.version is None:
            return None
        return origin if origin.service in services else None

    def _log_lookup(self, stream_id, evidence, origins):
        _log.info(
            "stream looked up",
            extra={
                "decision": "stream_origin",
                "resumed": stream_id.request_id.decode("latin-1"),
                "evidence": evidence,
                "software_versions": sorted(
                    str(origin.version) for origin in origins
                ),
                "life_s": self._lives.get_longest_s(trio.current_time()),
                "records": len(self._records),
            },
        )

    async def _infer(self, services, answers):
        """Return the origins that are possible, none if that is unknown."""
        if len(services) > 1:
            return set()
        # The stream has begun by now. An entry that was cut off or stood
        # still may not have heard of the version that began it.
        if not (await self._source_reader.refresh() or answers):
            return set()
        seen = self._get_seen(services[0])
        if not (seen.is_complete or any(a.is_complete for a in answers)):
            await self._learn_past()
            seen = self._get_seen(services[0])
        answers = [*answers, seen]
        if not any(answer.is_complete for answer in answers):
            return set()
        return {
            Origin(services[0], version)
            for answer in answers
            for version in answer.versions
        }

    async def _learn_past(self):
        """Read what served before this entry started, not again too soon."""
        async with self._past_lock:
            if trio.current_time() >= self._past_due_s:
                await self._source_reader.read_past()
                self._past_due_s = trio.current_time() + PAST_PERIOD_S

    async def _ask(self, stream_id, services):
        """Return the answers of peers; one with a record is enough."""
        answers = []
        key = stream_id.key
        message = direct_messages.FindStream(
            stream_id.organisation, key, services[0]
        )

        async def ask(address):
            reply = await self._request(address, message)
            if isinstance(reply, direct_messages.StreamVersion):
                answers.append(reply)
                if reply.is_recorded:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address in self._get_asked(key):
                nursery.start_soon(ask, address)
        return answers

    def handle(self, message):
        """Return the reply to a message of a peer about streams."""
        if isinstance(message, direct_messages.FindStream):
            return self._answer(message)
        now = trio.current_time()
        self._records.drop_ended(now)
        for stream in message.streams:
            left_s = min(stream.left_ms / MS, stream_lives.LIFE_MAX_S)
            record = stream_records.StreamRecord(
                stream.service,
                stream.version,
                now + left_s,
                is_told=True,
                holders=None,
            )
            self._records.add(stream.organisation, stream.key, record)
        return direct_messages.StreamVersion()

    def _answer(self, message):
        record = self._records.find(message.organisation, message.key)
        if record is None:
            return self._get_seen(message.service)
        return direct_messages.StreamVersion(
            recorded=record.version, service=record.service
        )


def new_streams(
    members,
    links,
    directory,
    lives,
    source_reader,
    nursery,
    containment=None,
):
    """Return the streams of an entry that has begun none.

    `lives` are the `StreamLives` of its catalogs. The `source_reader` is a
    `CatalogWatcher`: `read_past()` and `refresh()` complete what the
    directory knows of versions, until now.
    """
    return Streams(
        members,
        links,
        directory,
        lives,
        source_reader,
        nursery,
        containment or containment_module.new_containment(),
    )
