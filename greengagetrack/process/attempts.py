"""Bounded in-memory log of an agent's attempts, for deduplication."""

import collections

import trio

RETENTION_S = 60.0
RECORDS_MAX = 4096
TOMBSTONES_MAX = 16384
ENTRIES_MAX = 4096


class AttemptLog:
    """Records of attempts, tombstones and the watermark of each entry.

    Evicting a tombstone raises the watermark of its entry to the attempt's
    number. An attempt at or below the watermark is neither run nor reported
    as not run, so a late copy of its `Submit` can't run a second time.
    """

    __slots__ = (
        "_tombstone_by_attempt",
        "_watermark_by_entry",
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
        """Return the reason of a tombstone, which may be "", or None."""
        return self._tombstone_by_attempt.get(attempt)

    def is_evicted(self, attempt):
        """Return whether the attempt may have been evicted."""
        return attempt.number <= self._watermark_by_entry.get(
            attempt.entry, -1
        )

    def is_full(self):
        """Return whether the maximum number of records is reached."""
        return len(self.record_by_attempt) >= self.records_max

    def add_record(self, attempt, record):
        """Store the record of an attempt."""
        self.record_by_attempt[attempt] = record

    def add_tombstone(self, attempt, reason):
        """Refuse every later copy of an attempt's `Submit`."""
        self._tombstone_by_attempt[attempt] = reason
        while len(self._tombstone_by_attempt) > TOMBSTONES_MAX:
            oldest, _reason = self._tombstone_by_attempt.popitem(last=False)
            self._raise_watermark(oldest)

    def evict(self, attempt):
        """Replace the final record of an attempt by a tombstone."""
        record = self.record_by_attempt.get(attempt)
        if record is not None and record.is_final():
            del self.record_by_attempt[attempt]
            self.add_tombstone(attempt, "")

    def remove_expired(self):
        """Evict final records after their retention time."""
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
