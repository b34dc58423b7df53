"""The attempts that an agent remembers, in bounded memory."""

import collections

import trio

RETENTION_S = 60.0
RECORDS_MAX = 4096
TOMBSTONES_MAX = 16384
ENTRIES_MAX = 4096


class AttemptLog:
    """The records of attempts, and what is left of forgotten ones.

    What is forgotten raises the floor of its entry: an attempt at or
    below the floor is neither run nor denied. So a late copy of a
    forgotten `Submit` can't run a second time.
    """

    __slots__ = (
        "_watermark_by_entry",
        "_tombstone_by_attempt",
        "record_by_attempt",
        "records_max",
    )

    def __init__(self, records_max):
        self.records_max = records_max
        self.record_by_attempt = {}
        self._tombstone_by_attempt = collections.OrderedDict()
        self._watermark_by_entry = collections.OrderedDict()

    def get_record(self, attempt):
        """Return the record of an attempt, or None."""
        return self.record_by_attempt.get(attempt)

    def get_tombstone(self, attempt):
        """Return why an attempt was refused for good, or None."""
        return self._tombstone_by_attempt.get(attempt)

    def is_evicted(self, attempt):
        """Return whether the attempt may be one that was forgotten."""
        return attempt.number <= self._watermark_by_entry.get(
            attempt.entry, -1
        )

    def is_full(self):
        """Return whether no further record may be kept."""
        return len(self.record_by_attempt) >= self.records_max

    def add_record(self, attempt, record):
        """Keep the record of an attempt."""
        self.record_by_attempt[attempt] = record

    def add_tombstone(self, attempt, reason):
        """Refuse every later copy of an attempt's `Submit`."""
        self._tombstone_by_attempt[attempt] = reason
        while len(self._tombstone_by_attempt) > TOMBSTONES_MAX:
            oldest, _reason = self._tombstone_by_attempt.popitem(last=False)
            self._raise_watermark(oldest)

    def evict(self, attempt):
        """Forget a record that its entry has acknowledged."""
        record = self.record_by_attempt.get(attempt)
        if record is not None and record.is_final():
            del self.record_by_attempt[attempt]
            self.add_tombstone(attempt, "")

    def remove_expired(self):
        """Forget the final records whose retention has ended."""
        now = trio.current_time()
        expired = [
            attempt
            for attempt, record in self.record_by_attempt.items()
            if record.is_final() and now - record.finished_at_s > RETENTION_S
        ]
        for attempt in expired:
            self.evict(attempt)

    def _raise_watermark(self, attempt):
        watermark = self._watermark_by_entry.pop(attempt.entry, -1)
        self._watermark_by_entry[attempt.entry] = max(
            watermark, attempt.number
        )
        if len(self._watermark_by_entry) > ENTRIES_MAX:
            self._watermark_by_entry.popitem(last=False)


def new_attempt_log(records_max=RECORDS_MAX):
    """Return an empty log."""
    return AttemptLog(records_max)
