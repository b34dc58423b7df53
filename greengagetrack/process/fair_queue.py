"""The queue of an agent: priority, fair shares, earliest deadline.

A class of higher priority goes first. Within a class, organisations share
by weight, and the attempts of one organisation go by deadline. A row with
a floor gets that share of the starts even when others are more important.
"""

import heapq
import itertools

import trio

QUEUE_MAX = 512


class QueuedAttempt:
    """An attempt in the queue.

    `latest_s` is the last moment at which starting it is of use.
    """

    __slots__ = ("cost_ms", "deadline_s", "latest_start_s", "record")

    def __init__(self, record, deadline_s, latest_start_s, cost_ms):
        self.record = record
        self.deadline_s = deadline_s
        self.latest_start_s = latest_start_s
        self.cost_ms = cost_ms


class FairQueue:
    """Waiting attempts, handed out in the order described above."""

    __slots__ = (
        "_credit_by_row",
        "_heap_by_group",
        "_numbers",
        "_virtual_by_organisation",
        "_virtual_now",
        "size",
        "size_max",
    )

    def __init__(self, size_max):
        self.size_max = size_max
        self.size = 0
        self._heap_by_group = {}
        self._credit_by_row = {}
        self._virtual_by_organisation = {}
        self._virtual_now = 0.0
        self._numbers = itertools.count()

    def __len__(self):
        return self.size

    def add(self, queued):
        """Add an attempt; return the one shed for it, or None.

        A full queue sheds the least important attempt, which can be the
        new one.
        """
        shed = None
        if self.size >= self.size_max:
            shed = self._take_least_important(queued)
        if shed is not queued:
            self._push(queued)
        return shed

    def _push(self, queued):
        submit = queued.record.submit
        group = (submit.priority, submit.organisation, submit.row)
        heap = self._heap_by_group.setdefault(group, [])
        entry = (queued.deadline_s, next(self._numbers), queued)
        heapq.heappush(heap, entry)
        self.size += 1
        virtual = self._virtual_by_organisation
        virtual[submit.organisation] = max(
            virtual.get(submit.organisation, 0.0), self._virtual_now
        )

    def pop_next(self, priority_min=None):
        """Return the attempt to start next, or None.

        With `priority_min`, classes below it are left in the queue.
        """
        self._drop_ended()
        groups = [
            group
            for group in self._heap_by_group
            if priority_min is None or group[0] >= priority_min
        ]
        if not groups:
            return None
        group = self._find_owed(groups) or self._find_fair(groups)
        queued = self._pop(group)
        self._charge(queued)
        return queued

    def pop_expired(self):
        """Return the attempts that would start too late."""
        now = trio.current_time()
        expired = []
        for group in list(self._heap_by_group):
            heap = self._heap_by_group[group]
            late = [entry for entry in heap if entry[2].latest_start_s <= now]
            if late:
                kept = [
                    entry for entry in heap if entry[2].latest_start_s > now
                ]
                self._replace(group, kept)
                expired += [entry[2] for entry in late]
        return expired

    def get_backlog_ms(self, priority=None):
        """Return the work that waits at or above a priority."""
        return sum(
            entry[2].cost_ms
            for group, heap in self._heap_by_group.items()
            if priority is None or group[0] >= priority
            for entry in heap
        )

    def get_backlog_by_priority(self):
        """Return the work that waits in each class, in milliseconds."""
        backlog = {}
        for group, heap in self._heap_by_group.items():
            waiting_ms = sum(entry[2].cost_ms for entry in heap)
            backlog[group[0]] = backlog.get(group[0], 0.0) + waiting_ms
        return backlog

    def get_next_expiry_s(self):
        """Return when the first attempt becomes useless, or None."""
        moments = (
            entry[2].latest_start_s
            for heap in self._heap_by_group.values()
            for entry in heap
        )
        return min(moments, default=None)

    def _find_owed(self, groups):
        for group in groups:
            if self._credit_by_row.get(group[2], 0.0) >= 1.0:
                return group
        return None

    def _find_fair(self, groups):
        virtual = self._virtual_by_organisation
        return min(
            groups,
            key=lambda group: (
                -group[0],
                virtual[group[1]],
                self._heap_by_group[group][0][0],
            ),
        )

    def _charge(self, queued):
        submit = queued.record.submit
        virtual = self._virtual_by_organisation
        self._virtual_now = max(
            self._virtual_now, virtual[submit.organisation]
        )
        weight = max(submit.weight, 1e-6)
        virtual[submit.organisation] += max(queued.cost_ms, 1.0) / weight
        self._charge_floors(submit.row)
        if not self._heap_by_group:
            # Nobody waits: old shares must not be held against anyone.
            virtual.clear()
            self._virtual_now = 0.0
            self._credit_by_row.clear()

    def _charge_floors(self, started_row):
        credit = self._credit_by_row
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

    def _replace(self, group, entries):
        self.size -= len(self._heap_by_group[group]) - len(entries)
        heapq.heapify(entries)
        self._heap_by_group[group] = entries
        if not entries:
            del self._heap_by_group[group]

    def _drop_ended(self):
        for group in list(self._heap_by_group):
            heap = self._heap_by_group[group]
            while heap and heap[0][2].record.is_final():
                heapq.heappop(heap)
                self.size -= 1
            if not heap:
                del self._heap_by_group[group]

    def _take_least_important(self, newcomer):
        priority = newcomer.record.submit.priority
        group = min(self._heap_by_group, key=lambda group: group[0])
        if group[0] >= priority:
            return newcomer
        heap = self._heap_by_group[group]
        latest = max(heap)
        self._replace(group, [entry for entry in heap if entry != latest])
        return latest[2]


def new_fair_queue(size_max=QUEUE_MAX):
    """Return an empty queue that holds up to `size_max` attempts."""
    return FairQueue(size_max)
