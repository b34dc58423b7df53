"""Who may send the next request to a server that names a limit.

Load pattern: a server in need takes few requests a second from all entries
together, often far fewer than arrive. One entry owns its limit and gives a
permit for each request. A request that waits for one takes the place of
another, so the most urgent goes first, and one that would wait for too long
is refused at once. An entry that does not reach the owner keeps to a share
that is safe without one::

    queue = PermitQueue(limit_per_s=2.0, now_s=0.0)
    ticket = queue.add(priority=1, last_s=0.8, now_s=0.1)
    queue.update(0.5)
    assert ticket.state is TicketState.GRANTED
"""

import enum

import msgspec

# How long a server may be without requests before permits are lost. Less
# than the server allows for, since two entries may own a limit for a while.
BURST_S = 0.5
BURST_MIN = 2.0
# How long a turn of an entry without an owner lasts, and which part of the
# limit all turns take: at times that are drawn, some fall together.
TURN_MAX_S = 0.5
TURN_SHARE = 0.5
PERIOD_MIN_S = 1e-6
# With a limit of nothing there is no next permit.
NEXT_MAX_S = 1.0
# Added to times that are reckoned, so that rounding moves no grant.
TOLERANCE = 1e-9


class TicketState(enum.Enum):
    """What has become of a request for a permit."""

    WAITING = enum.auto()
    GRANTED = enum.auto()
    REFUSED = enum.auto()


class Ticket:
    """A request for a permit that is of use until `last_s`."""

    __slots__ = ("last_s", "number", "priority", "state")

    def __init__(self, priority, last_s, number):
        self.priority = priority
        self.last_s = last_s
        self.number = number
        self.state = TicketState.WAITING

    def get_rank(self):
        """Return the sort key among the tickets that wait."""
        return self.priority, self.number


class PermitQueue:
    """The permits of one server, at the owner of its limit.

    It begins without any: whoever owned the limit before may just have
    given some. `burst` is how many are saved up, by default what a server
    allows for. Times are seconds on the clock of the process.
    """

    __slots__ = (
        "_burst",
        "_level",
        "_limit_per_s",
        "_next_number",
        "_updated_s",
        "_waiting",
    )

    def __init__(self, limit_per_s, now_s, burst=None):
        self._limit_per_s = limit_per_s
        self._burst = burst
        self._level = 0.0
        self._updated_s = now_s
        self._next_number = 0
        self._waiting = []

    def set_limit(self, limit_per_s, now_s, burst=None):
        """Change the limit; permits already saved up are kept within it."""
        if (limit_per_s, burst) != (self._limit_per_s, self._burst):
            self._refill(now_s)
            self._limit_per_s = limit_per_s
            self._burst = burst

    def add(self, priority, last_s, now_s):
        """Add a request; return its `Ticket`, which may be decided already."""
        ticket = Ticket(priority, last_s, self._next_number)
        self._next_number += 1
        self._waiting.append(ticket)
        self._waiting.sort(key=Ticket.get_rank)
        self.update(now_s)
        return ticket

    def give_back(self, count, now_s):
        """Take back permits that were given and not used.

        They are saved up like new ones, and within the same bound.
        """
        self._refill(now_s)
        self._level += count
        self.update(now_s)

    def remove(self, ticket):
        """Remove a ticket whose request has ended."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def update(self, now_s):
        """Give the permits that are due; refuse what would wait too long."""
        self._refill(now_s)
        while self._waiting and self._level >= 1 - TOLERANCE:
            ticket = self._waiting.pop(0)
            if ticket.last_s >= now_s:
                self._level -= 1
                ticket.state = TicketState.GRANTED
            else:
                ticket.state = TicketState.REFUSED
        self._refuse_late(now_s)

    def _refuse_late(self, now_s):
        kept = []
        for ticket in self._waiting:
            if self._get_wait_s(len(kept)) > ticket.last_s - now_s + TOLERANCE:
                ticket.state = TicketState.REFUSED
            else:
                kept.append(ticket)
        self._waiting = kept

    def _refill(self, now_s):
        capacity = self._burst
        if capacity is None:
            capacity = max(BURST_MIN, self._limit_per_s * BURST_S)
        grown = (now_s - self._updated_s) * self._limit_per_s
        self._level = min(self._level + max(grown, 0.0), capacity)
        self._updated_s = max(now_s, self._updated_s)

    def _get_wait_s(self, ahead):
        """Return the wait of a request with `ahead` requests before it."""
        missing = ahead + 1 - self._level
        if missing <= 0:
            return 0.0
        return missing / max(self._limit_per_s, TOLERANCE)

    def get_wait_s(self, priority, now_s):
        """Return how long one more request of a priority would wait."""
        self._refill(now_s)
        ahead = sum(ticket.priority <= priority for ticket in self._waiting)
        return self._get_wait_s(ahead)

    def get_next_s(self, now_s):
        """Return the time until the next permit."""
        self._refill(now_s)
        return min(self._get_wait_s(0), NEXT_MAX_S)

    def try_acquire(self, now_s):
        """Return whether a permit is there now for one that can't wait."""
        self.update(now_s)
        if self._waiting or self._level < 1 - TOLERANCE:
            return False
        self._level -= 1
        return True


class Turns:
    """What an entry may send that does not reach the owner of a limit.

    Each of all entries has a short turn in which it may send one request;
    for all together, turns come at a share of the limit, at times that
    are drawn. What is not used is not saved up: else all entries could send
    at the same moment.
    """

    __slots__ = ("_draw", "_next_s")

    def __init__(self, draw):
        self._draw = draw
        self._next_s = None

    def try_acquire(self, limit_per_s, entry_count, now_s, share=TURN_SHARE):
        """Return whether a request may be sent now.

        All turns together take `share` of the limit.
        """
        if limit_per_s <= 0:
            return False
        turns_per_s = max(limit_per_s * share, TOLERANCE)
        period_s = max(entry_count / turns_per_s, PERIOD_MIN_S)
        turn_s = min(TURN_MAX_S, period_s)
        if self._next_s is None:
            self._next_s = now_s + self._draw() * period_s
        missed_s = now_s - turn_s - self._next_s
        if missed_s >= 0:
            # A server may name a limit with millions of turns between.
            self._next_s += (missed_s // period_s + 1) * period_s
        if now_s < self._next_s:
            return False
        self._next_s += period_s
        return True


class PermitAnswer(msgspec.Struct, frozen=True):
    """Whether a permit was given, and how long the next would be waited for.

    `priority` is that of the request that asked.
    """

    is_granted: bool
    next_wait_s: float
    priority: int = 0
