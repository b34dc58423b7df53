"""Forecasts of how long new work waits in the queue of a pool.

Load pattern: a burst in which urgent work keeps arriving. What waits behind
it waits for more than the queue of now, and what is late already may wait
for as long as the burst lasts.
"""

import math

import msgspec

LOAD_MAX = 0.95
RATE_WINDOW_S = 1.5
WAIT_MIN_S = 0.05
FLOWS_MAX = 128
# Of kinds that ask for no more than their share of a pool, new ones too.
FIRST_PRIORITY = -1


class Flow(msgspec.Struct, frozen=True):
    """The work of one kind of requests with one priority, 0 is the first."""

    kind: str
    priority: float


# Work of any kind that can't be in time any more.
LATE = Flow("", math.inf)


class ArrivalRates:
    """The pieces a second that arrive at a queue, by `Flow`.

    Each is an average that forgets with `RATE_WINDOW_S`.
    """

    __slots__ = ("_rate_by_flow",)

    def __init__(self):
        self._rate_by_flow = {}

    def count(self, flow, pieces, now_s):
        """Count pieces that arrive now."""
        rate = self.get_rate(flow, now_s) + pieces / RATE_WINDOW_S
        # The flow that has been idle for longest is the first.
        self._rate_by_flow.pop(flow, None)
        self._rate_by_flow[flow] = (rate, now_s)
        if len(self._rate_by_flow) > FLOWS_MAX:
            del self._rate_by_flow[next(iter(self._rate_by_flow))]

    def get_rate(self, flow, now_s):
        """Return the pieces a second that arrive of a flow."""
        rate, at_s = self._rate_by_flow.get(flow, (0.0, now_s))
        return rate * math.exp((at_s - now_s) / RATE_WINDOW_S)

    def get_by_kind(self, now_s):
        """Return the pieces a second that arrive of each kind."""
        rate_by_kind = {}
        for flow in self._rate_by_flow:
            rate = rate_by_kind.get(flow.kind, 0.0)
            rate_by_kind[flow.kind] = rate + self.get_rate(flow, now_s)
        return rate_by_kind

    def get_flows(self):
        """Return the flows of all work so far."""
        return list(self._rate_by_flow)

    def get_total(self, now_s):
        """Return the pieces a second that arrive of all flows."""
        return sum(self.get_rate(flow, now_s) for flow in self._rate_by_flow)


class QueueForecast(msgspec.Struct, frozen=True):
    """When the next server is free, and how fast the queue drains.

    A round is one full call at each server. The first piece of a call
    begins `start_s` after the turn of the call.
    """

    next_free_s: float
    pieces_per_round: float
    round_s: float
    start_s: float = 0.0

    @property
    def pieces_per_s(self):
        """The pieces that full calls make in a second."""
        return self.pieces_per_round / self.round_s

    def get_wait_s(self, ahead, arrivals_per_s=0.0):
        """Return the time until a call with `ahead` pieces before it.

        `arrivals_per_s` pieces will arrive and go before it meanwhile.
        """
        load = min(arrivals_per_s / self.pieces_per_s, LOAD_MAX)
        # Pieces that fit into the current round wait for no later one.
        rounds = int(ahead / self.pieces_per_round)
        return self.next_free_s + rounds * self.round_s / (1 - load)


class PriorityWait(msgspec.Struct, frozen=True):
    """The wait of one priority, in seconds.

    `load` is the share of the capacity that is taken by work of this and
    of better priorities as it arrives; above 1 the wait grows.
    """

    priority: int
    wait_s: float
    load: float = 0.0


class PoolWaits(msgspec.Struct, frozen=True):
    """The waits of a pool by priority, in seconds.

    `base_s` holds for a priority before all known ones, `late_s` for work
    that can't be in time any more. Of the `excess_kinds`, which ask for more
    than their share, each priority has its wait; all others go before::

        waits = PoolWaits(0.1, (PriorityWait(0, 0.9),), 2.0, {"draft"})
        assert waits.get(Flow("draft", 0)) == 0.9
        assert waits.get(Flow("query", 1)) == 0.1
    """

    base_s: float
    by_priority: tuple[PriorityWait, ...] = ()
    late_s: float = 0.0
    excess_kinds: frozenset[str] = frozenset()

    def get(self, flow):
        """Return the wait of a `Flow`, or of late work with `LATE`."""
        return self.get_later(flow, 0.0)

    def get_later(self, flow, elapsed_s):
        """Return the wait that new work will see after `elapsed_s`."""
        if flow == LATE:
            return self.late_s
        priority = get_priority(flow, self.excess_kinds)
        wait_s, load = self.base_s, 0.0
        for known in self.by_priority:
            if known.priority <= priority:
                wait_s, load = known.wait_s, known.load
        return max(wait_s + (load - 1) * elapsed_s, 0.0)

    def less(self, elapsed_s):
        """Return the waits that are left after `elapsed_s`."""
        return self._map(lambda wait_s: max(wait_s - elapsed_s, 0.0))

    def more(self, added_s):
        """Return the waits with `added_s` more work before them."""
        return self._map(lambda wait_s: max(wait_s, WAIT_MIN_S) + added_s)

    def _map(self, change):
        return PoolWaits(
            change(self.base_s),
            tuple(
                PriorityWait(known.priority, change(known.wait_s), known.load)
                for known in self.by_priority
            ),
            change(self.late_s),
            self.excess_kinds,
        )


def get_priority(flow, excess_kinds):
    """Return the priority of a flow in a queue, given the excess kinds."""
    return flow.priority if flow.kind in excess_kinds else FIRST_PRIORITY


NO_SERVER_WAITS = PoolWaits(math.inf, (), math.inf)


def get_pool_waits(
    forecast, on_time_by_flow, waiting, rates, now_s, excess_kinds
):
    """Return the `PoolWaits` of a queue.

    `on_time_by_flow` are the waiting pieces that can still be in time,
    `waiting` is the number of all waiting pieces.
    """
    flows_by_priority = {}
    for flow in {*rates.get_flows(), *on_time_by_flow}:
        priority = get_priority(flow, excess_kinds)
        flows_by_priority.setdefault(priority, []).append(flow)
    ahead = 0
    arrivals = 0.0
    waits = []
    for priority, flows in sorted(flows_by_priority.items()):
        ahead += sum(on_time_by_flow.get(flow, 0) for flow in flows)
        # Of the same priority, later work goes after this.
        wait_s = forecast.get_wait_s(ahead, arrivals)
        arrivals += sum(rates.get_rate(flow, now_s) for flow in flows)
        load = arrivals / forecast.pieces_per_s
        waits.append(PriorityWait(priority, wait_s, load))
    return PoolWaits(
        forecast.next_free_s,
        tuple(waits),
        forecast.get_wait_s(waiting, arrivals),
        excess_kinds,
    )
