"""The software versions that began streams, in bounded memory."""

import hashlib
import heapq
import itertools

import msgspec

KEY_BYTES = 16
RECORDS_MAX = 16_384
# Ends of records that are gone are dropped when they outnumber the others.
STALE_ENDS_MIN = 1024


class StreamRecord(msgspec.Struct):
    """The version that began a stream, None if unknown, and what is told.

    It is kept until `end_s`, by the terms under which the stream was
    admitted. `is_own` says that this entry relayed events of it, `holders`
    has the numbers of the peers that have it too, None if others know that.
    """

    service: str
    version: str | None
    end_s: float
    is_own: bool = False
    is_told: bool = False
    holders: tuple[int, ...] | None = ()

    def is_like(self, other):
        """Return whether another record may be of the same stream."""
        return (self.service, self.version) == (other.service, other.version)


class _End(msgspec.Struct, order=True):
    """The end that a record had when it was last looked at.

    Ends at the same time are in the order of their numbers.
    """

    end_s: float
    number: int
    organisation: str
    key: bytes


class StreamRecords:
    """Records by key, as many per organisation as all others leave.

    When the memory is full, the organisation with most records loses its
    oldest, so that nobody can push out those of the others.
    """

    __slots__ = (
        "_count",
        "_ends",
        "_numbers",
        "_records_by_organisation",
        "_records_max",
    )

    def __init__(self, records_max=RECORDS_MAX):
        self._records_by_organisation = {}
        self._records_max = records_max
        self._count = 0
        # A heap; streams don't end in the order in which they began.
        self._ends = []
        self._numbers = itertools.count()

    def add(self, organisation, key, record):
        """Add a record, or extend the known one; return it.

        Two that differ are of two streams with the same id. Which of them
        one goes on with can't be told, so its version is unknown.
        """
        records = self._records_by_organisation.setdefault(organisation, {})
        known = records.get(key)
        if known is not None:
            if not known.is_like(record):
                known.version = None
            known.end_s = max(known.end_s, record.end_s)
            known.is_own |= record.is_own
            return known
        records[key] = record
        self._count += 1
        self._push_end(organisation, key, record.end_s)
        while self._count > self._records_max:
            self._drop_oldest()
        return record

    def _push_end(self, organisation, key, end_s):
        end = _End(end_s, next(self._numbers), organisation, key)
        heapq.heappush(self._ends, end)

    def _drop_oldest(self):
        by_organisation = self._records_by_organisation
        largest = max(by_organisation, key=lambda o: len(by_organisation[o]))
        self._drop(largest, next(iter(by_organisation[largest])))
        if len(self._ends) > 2 * self._count + STALE_ENDS_MIN:
            self._rebuild_ends()

    def _rebuild_ends(self):
        """Rebuild the heap, which has ends of records that are gone."""
        self._ends.clear()
        for organisation, records in self._records_by_organisation.items():
            for key, record in records.items():
                self._push_end(organisation, key, record.end_s)

    def _drop(self, organisation, key):
        records = self._records_by_organisation[organisation]
        del records[key]
        self._count -= 1
        if not records:
            del self._records_by_organisation[organisation]

    def find(self, organisation, key):
        """Return the record of a stream, or None."""
        return self._records_by_organisation.get(organisation, {}).get(key)

    def get_told(self):
        """Return `(organisation, key, record)` of streams that are told."""
        return [
            (organisation, key, record)
            for organisation, records in self._records_by_organisation.items()
            for key, record in records.items()
            if record.is_told
        ]

    def get_untold(self, service):
        """Return `(organisation, key, record)` of own untold streams."""
        return [
            (organisation, key, record)
            for organisation, records in self._records_by_organisation.items()
            for key, record in records.items()
            if record.is_own
            and not record.is_told
            and record.service == service
        ]

    def drop_ended(self, now_s):
        """Remove the records of streams that have ended by now."""
        while self._ends and self._ends[0].end_s < now_s:
            end = heapq.heappop(self._ends)
            record = self.find(end.organisation, end.key)
            if record is None:
                continue
            if record.end_s < now_s:
                self._drop(end.organisation, end.key)
            else:
                # It was taken up meanwhile.
                self._push_end(end.organisation, end.key, record.end_s)

    def __len__(self):
        return self._count


def get_key(organisation, request_id):
    """Return the key of the stream that a request of a caller began."""
    digest = hashlib.blake2b(request_id, digest_size=KEY_BYTES)
    digest.update(b"/" + organisation.encode())
    return digest.digest()


def new_stream_records():
    """Return the records of an entry that knows of no stream."""
    return StreamRecords()
