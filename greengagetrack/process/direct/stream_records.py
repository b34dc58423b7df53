"""The software versions that began streams, in bounded memory."""

import hashlib

import msgspec

KEY_BYTES = 16
RECORDS_MAX = 16_384


class StreamRecord(msgspec.Struct):
    """The version that began a stream, None if unknown, and what is told.

    `is_own` says that this entry relayed its first event.
    """

    service: str
    version: str | None
    begun_s: float
    is_own: bool = False
    is_told: bool = False

    def is_like(self, other):
        """Return whether another record may be of the same stream."""
        return (self.service, self.version) == (other.service, other.version)


class StreamRecords:
    """Records by key, as many per organisation as all others leave.

    When the memory is full, the organisation with most records loses its
    oldest, so that nobody can push out those of the others.
    """

    __slots__ = ("_count", "_records_by_organisation", "_records_max")

    def __init__(self, records_max=RECORDS_MAX):
        self._records_by_organisation = {}
        self._records_max = records_max
        self._count = 0

    def add(self, organisation, key, record):
        """Add a record, or keep the known one; return it.

        Two that differ are of two streams with the same id. Which of them
        one goes on with can't be told, so its version is unknown.
        """
        records = self._records_by_organisation.setdefault(organisation, {})
        known = records.get(key)
        if known is not None:
            if not known.is_like(record):
                known.version = None
            return known
        records[key] = record
        self._count += 1
        while self._count > self._records_max:
            self._drop_oldest()
        return record

    def _drop_oldest(self):
        by_organisation = self._records_by_organisation
        largest = max(by_organisation, key=lambda o: len(by_organisation[o]))
        self._drop(largest, next(iter(by_organisation[largest])))

    def _drop(self, organisation, key):
        records = self._records_by_organisation[organisation]
        del records[key]
        self._count -= 1
        if not records:
            del self._records_by_organisation[organisation]

    def find(self, organisation, key):
        """Return the record of a stream, or None."""
        return self._records_by_organisation.get(organisation, {}).get(key)

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

    def drop_before(self, begun_s):
        """Remove the records of streams that began before a time."""
        for organisation, records in list(
            self._records_by_organisation.items()
        ):
            # They are in the order in which they were added.
            for key, record in list(records.items()):
                if record.begun_s >= begun_s:
                    break
                self._drop(organisation, key)

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
