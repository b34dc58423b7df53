"""The pieces that wait for a call, in the order in which they go."""

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.process.direct.decisions import batch as batch_choice
from greengagetrack.process.direct.decisions import fair_share
from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct.decisions import queue_order
from greengagetrack.process.direct import group as group_module


class PieceQueue:
    """The waiting groups of pieces, and how fast new ones arrive.

    `call_s` is the duration of a typical call, in seconds.
    """

    __slots__ = ("_groups", "_rates")

    def __init__(self):
        self._groups = []
        self._rates = forecast.ArrivalRates()

    def is_empty(self):
        """Return whether no piece waits."""
        return not self._groups

    def count_pieces(self):
        """Return the number of pieces that wait."""
        return sum(len(group.tasks) for group in self._groups)

    def has_inputs(self, inputs):
        """Return whether a piece waits that reads these inputs."""
        return any(group.tasks[0].inputs == inputs for group in self._groups)

    def get_first_bytes(self):
        """Return the size of a result of the first group, in bytes."""
        return self._groups[0].tasks[0].result_bytes

    def add(self, tasks):
        """Add the pieces of a stage, which arrive now."""
        self._rates.count(tasks[0].flow, len(tasks), trio.current_time())
        self._groups.append(group_module.PieceGroup(list(tasks)))

    def add_again(self, task):
        """Add a piece that a call has not made."""
        group = group_module.PieceGroup([task])
        group.is_started = True
        self._groups.append(group)

    def sort(self, queue_forecast, call_s):
        """Sort the pieces, and fail those that can't be in time."""
        now = trio.current_time()
        excess_kinds = self._find_excess_kinds(queue_forecast)
        self._groups.sort(
            key=lambda group: queue_order.get_rank(
                group, call_s, now, excess_kinds
            )
        )
        unreachable_groups = queue_order.find_unreachable(
            self._groups,
            queue_forecast,
            self._rates.get_total(now),
            call_s,
            now,
        )
        _fail_groups(unreachable_groups, gateway_module.PieceFailure.LATE)
        self.drop_completed()

    def fail_all(self, failure):
        """Complete all pieces with a `PieceFailure`."""
        groups, self._groups = self._groups, []
        _fail_groups(groups, failure)

    def fail_misplaced(self, data_centre):
        """Fail the pieces that may not lie in a data centre any more.

        All pieces of a group are of one request.
        """
        misplaced = [
            group
            for group in self._groups
            if not group.tasks[0].is_allowed_place(data_centre)
        ]
        if misplaced:
            _fail_groups(misplaced, gateway_module.PieceFailure.NO_SERVER)
            self.drop_completed()

    def fail_stage(self, request_id, stage, failure):
        """Fail the pieces of one stage of a request."""
        found = [
            group
            for group in self._groups
            if group.tasks[0].request_id == request_id
            and group.tasks[0].stage == stage
        ]
        _fail_groups(found, failure)
        self.drop_completed()

    def drop_completed(self):
        """Remove the pieces that were completed while they waited."""
        for group in self._groups:
            group.drop_completed()
        self._drop_empty_groups()

    def _drop_empty_groups(self):
        self._groups = [group for group in self._groups if group.tasks]

    def is_any_fitting(self, free_bytes):
        """Return whether any result fits into `free_bytes`."""
        return batch_choice.is_any_fitting(self._groups, free_bytes)

    def pop_batch(self, batch_max, free_bytes):
        """Remove the pieces of the next call; return them."""
        batch = batch_choice.pop_batch(self._groups, batch_max, free_bytes)
        self._drop_empty_groups()
        return batch

    def get_waits(self, queue_forecast, call_s):
        """Return how long pieces added now would wait for their call."""
        now = trio.current_time()
        on_time_by_flow = {}
        for group in self._groups:
            if not queue_order.is_late(group.tasks[0].due_s, call_s, now):
                count = on_time_by_flow.get(group.flow, 0)
                on_time_by_flow[group.flow] = count + len(group.tasks)
        return forecast.get_pool_waits(
            queue_forecast,
            on_time_by_flow,
            self.count_pieces(),
            self._rates,
            now,
            self._find_excess_kinds(queue_forecast),
        )

    def _find_excess_kinds(self, queue_forecast):
        """Return the kinds that ask for more than their share."""
        rate_by_kind = self._rates.get_by_kind(trio.current_time())
        for group in self._groups:
            # What still waits shows a burst sooner than the average does.
            kind = group.flow.kind
            waiting_per_s = len(group.tasks) / forecast.RATE_WINDOW_S
            rate_by_kind[kind] = rate_by_kind.get(kind, 0.0) + waiting_per_s
        return fair_share.find_excess(
            rate_by_kind, queue_forecast.pieces_per_s
        )


def _fail_groups(groups, failure):
    for group in groups:
        for task in group.tasks:
            task.complete(failure)


def new_piece_queue():
    """Return a queue without pieces."""
    return PieceQueue()
