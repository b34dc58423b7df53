"""Weighted fair queue of an agent, with priorities and deadlines.

Higher priorities are started first. Within a priority, organisations share
by weight, and the attempts of one organisation start by earliest deadline.
A row with a floor gets that share of the starts even if attempts of a higher
priority are queued.
"""

import heapq
import itertools

import trio

QUEUE_MAX = 512


class QueuedAttempt:
    """An attempt in the queue.

    `latest_start_s` is the time after which it is too late to start it.
    """

    __slots__ = ("cost_ms", "deadline_s", "latest_start_s", "record")

    def __init__(self, record, deadline_s, latest_start_s, cost_ms):
        self.record = record
        self.deadline_s = deadline_s
        self.latest_start_s = latest_start_s
        self.cost_ms = cost_ms


class FairQueue:
    """Queued attempts, popped in the order described above."""

    __slots__ = (
        "_floor_credit_by_row",
        "_heap_by_group",
        "_sequence",
        "_virtual_time",
        "_virtual_time_by_organisation",
        "size",
        "size_max",
    )

    def __init__(self, size_max):
        self.size_max = size_max
        self.size = 0
        self._heap_by_group = {}
        self._floor_credit_by_row = {}
        self._virtual_time_by_organisation = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def __len__(self):
        return self.size

    def add(self, queued):
        """Add an attempt; return the attempt shed for it, or None.

        A full queue sheds an attempt of the lowest priority, which can be
        the new one.
        """
        shed = None
        if self.size >= self.size_max:
            shed = self._shed_lowest_priority(queued)
        if shed is not queued:
            self._push(queued)
        return shed

    def _push(self, queued):
        submit = queued.record.submit
        group = (submit.priority, submit.organisation, submit.row)
        heap = self._heap_by_group.setdefault(group, [])
        entry = (queued.deadline_s, next(self._sequence), queued)
        heapq.heappush(heap, entry)
        self.size += 1
        time_by_organisation = self._virtual_time_by_organisation
        time_by_organisation[submit.organisation] = max(
            time_by_organisation.get(submit.organisation, 0.0),
            self._virtual_time,
        )

    def pop_next(self, priority_min=None):
        """Remove and return the attempt to start next, or None.

        With `priority_min`, lower priorities stay in the queue.
        """
        self._drop_finished()
        groups = [
            group
            for group in self._heap_by_group
            if priority_min is None or group[0] >= priority_min
        ]
        if not groups:
            return None
        group = self._find_floor_group(groups) or self._find_fair_group(groups)
        queued = self._pop(group)
        self._charge(queued)
        return queued

    def pop_expired(self):
        """Remove and return the attempts that would start too late."""
        now = trio.current_time()
        expired = []
        for group in list(self._heap_by_group):
            heap = self._heap_by_group[group]
            expired_entries = [
                entry for entry in heap if entry[2].latest_start_s <= now
            ]
            if expired_entries:
                remaining = [
                    entry for entry in heap if entry[2].latest_start_s > now
                ]
                self._replace_heap(group, remaining)
                expired += [entry[2] for entry in expired_entries]
        return expired

    def get_backlog_ms(self, priority=None):
        """Return the queued work at or above a priority, in milliseconds."""
        return sum(
            entry[2].cost_ms
            for group, heap in self._heap_by_group.items()
            if priority is None or group[0] >= priority
            for entry in heap
        )

    def get_backlog_by_priority(self):
        """Return the queued work of each priority, in milliseconds."""
        backlog = {}
        for group, heap in self._heap_by_group.items():
            queued_ms = sum(entry[2].cost_ms for entry in heap)
            backlog[group[0]] = backlog.get(group[0], 0.0) + queued_ms
        return backlog

    def get_next_expiry_s(self):
        """Return when the next attempt expires, or None."""
        expiries_s = (
            entry[2].latest_start_s
            for heap in self._heap_by_group.values()
            for entry in heap
        )
        return min(expiries_s, default=None)

    def _find_floor_group(self, groups):
        for group in groups:
            if self._floor_credit_by_row.get(group[2], 0.0) >= 1.0:
                return group
        return None

    def _find_fair_group(self, groups):
        time_by_organisation = self._virtual_time_by_organisation
        return min(
            groups,
            key=lambda group: (
                -group[0],
                time_by_organisation[group[1]],
                self._heap_by_group[group][0][0],
            ),
        )

    def _charge(self, queued):
        submit = queued.record.submit
        time_by_organisation = self._virtual_time_by_organisation
        self._virtual_time = max(
            self._virtual_time, time_by_organisation[submit.organisation]
        )
        weight = max(submit.weight, 1e-6)
        time_by_organisation[submit.organisation] += (
            max(queued.cost_ms, 1.0) / weight
        )
        self._charge_floors(submit.row)
        if not self._heap_by_group:
            # The queue is empty: past usage must not affect later shares.
            time_by_organisation.clear()
            self._virtual_time = 0.0
            self._floor_credit_by_row.clear()

    def _charge_floors(self, started_row):
        credit = self._floor_credit_by_row
        floor_by_row = {
            group[2]: heap[0][2].record.submit.floor
            for group, heap in self._heap_by_group.items()
        }
        for row, floor in floor_by_row.items():
            credit[row] = min(credit.get(row, 0.0) + floor, 2.0)
        if credit.get(started_row, 0.0) >= 1.0:
            credit[started_row] -= 1.0

    def _pop(self, group):
        heap = self._heap_by_group[group]
        _deadline, _number, queued = heapq.heappop(heap)
        self.size -= 1
        if not heap:
            del self._heap_by_group[group]
        return queued

    def _replace_heap(self, group, entries):
        self.size -= len(self._heap_by_group[group]) - len(entries)
        heapq.heapify(entries)
        self._heap_by_group[group] = entries
        if not entries:
            del self._heap_by_group[group]

    def _drop_finished(self):
        for group in list(self._heap_by_group):
            heap = self._heap_by_group[group]
            while heap and heap[0][2].record.is_final():
                heapq.heappop(heap)
                self.size -= 1
            if not heap:
                del self._heap_by_group[group]

    def _shed_lowest_priority(self, added):
        priority = added.record.submit.priority
        group = min(self._heap_by_group, key=lambda group: group[0])
        if group[0] >= priority:
            return added
        heap = self._heap_by_group[group]
        last_entry = max(heap)
        self._replace_heap(
            group, [entry for entry in heap if entry != last_entry]
        )
        return last_entry[2]


def new_fair_queue(size_max=QUEUE_MAX):
    """Return an empty queue that holds up to `size_max` attempts."""
    return FairQueue(size_max)
