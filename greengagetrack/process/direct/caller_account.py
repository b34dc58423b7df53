"""The account of what callers take of an entry, at all of its servers.

The HTTP servers of a process share one account of bytes, and each has a
bound on its connections. What gives way is chosen in
`decisions.shedding`; this module keeps the books and tells of it.
"""

import collections
import logging
import os

import trio

from greengagetrack.connection.http import bounds as bounds_module
from greengagetrack.process.direct.decisions import shedding
from greengagetrack.process.direct import held_bytes

# Files, pipes and listening sockets.
RESERVED_DESCRIPTORS = 200
# Of the other ones: a request in hand needs one to a server as well.
CALLER_DESCRIPTOR_SHARE = 1 / 2
CALLER_CONNECTIONS_MIN = 64
READINESS_CONNECTIONS = 64
METRICS_CONNECTIONS = 16
# What a process grows by in work: the catalog, peers and servers.
GROWTH_BYTES = 16e6
# Of what is left: a body that is passed on is in memory twice.
COUNTED_SHARE = 1 / 2
# Small requests and large ones leave each other a quarter.
OWNER_SHARE = 3 / 4
# Room for a body of the longest length, in calm.
BODIES_MIN = 2
RECEIVE_BUFFER_BYTES = 64 * 1024
# After a search in vain, and between two lines of one cause.
SEARCH_PAUSE_S = 0.1
LOG_PERIOD_S = 1.0

_SMALL = "small"
_LARGE = "large"
_Cause = bounds_module.Cause
_log = logging.getLogger(__name__)


def read_process_bytes():
    """Return the memory that this process has, 0 if it can't be told."""
    try:
        with open("/proc/self/statm") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def get_caller_bytes(memory_bytes, process_bytes):
    """Return the bytes of callers that are held on a machine at most."""
    left_bytes = (
        memory_bytes
        - process_bytes
        - GROWTH_BYTES
        - held_bytes.get_max_bytes(memory_bytes)
    )
    return max(left_bytes, 0) * COUNTED_SHARE


def get_caller_connections(descriptors_max):
    """Return how many connections callers may have open."""
    free = descriptors_max - RESERVED_DESCRIPTORS
    return max(int(free * CALLER_DESCRIPTOR_SHARE), CALLER_CONNECTIONS_MIN)


def _get_owner(size):
    return _SMALL if size <= shedding.SMALL_BYTES else _LARGE


class CallerAccount:
    """The bytes that callers take at all servers of a process.

    Example::

        account = new_caller_account(settings, get_limits)
        server = new_server(..., bounds=account.new_bounds(100))
    """

    __slots__ = (
        "_get_limits",
        "_held",
        "_log_from_s",
        "_max_bytes",
        "_process_bytes",
        "_search_from_s",
        "_shares",
        "_shed_counts",
    )

    def __init__(self, memory_bytes, process_bytes, get_limits):
        self._get_limits = get_limits
        self._process_bytes = process_bytes
        self._held = held_bytes.HeldBytes(0, OWNER_SHARE)
        self._log_from_s = {}
        self._search_from_s = {}
        # Those that hold bytes which are counted.
        self._shares = set()
        self._shed_counts = collections.Counter()
        self.set_memory(memory_bytes)

    def set_memory(self, memory_bytes):
        """Set the memory of the machine, in bytes."""
        self._max_bytes = get_caller_bytes(memory_bytes, self._process_bytes)

    def new_bounds(self, connections_max, is_for_checks=False):
        """Return the `ConnectionBounds` of one server.

        One `is_for_checks` answers short requests, one after the other; what
        takes longer gives way to new connections.
        """
        return ServerBounds(self, connections_max, is_for_checks)

    def get_held_bytes(self):
        """Return the number of bytes that are counted now."""
        return self._held.get_total()

    def resize(self, share, size):
        """Set the bytes of a share; return whether there is room.

        Others may have to give way. No await: what is free stays free until
        it is taken.
        """
        while not self._try_resize(share, size):
            victim = self._find_victim(share, size)
            if victim is None:
                self.record_shed(_Cause.NO_ROOM)
                return False
            victim.resize(0)
            victim.shed(_Cause.NO_ROOM)
            self.record_shed(_Cause.NO_ROOM)
        return True

    def _try_resize(self, share, size):
        if size > share.size and not self._take(share, size):
            return False
        if size < share.size:
            self._held.remove(share.owner, share.size - size)
        share.size = size
        if size:
            self._shares.add(share)
        else:
            self._shares.discard(share)
        return True

    def _take(self, share, size):
        """Take room to grow to `size`; return whether there is some."""
        held = self._held
        held.max_bytes = max(
            self._max_bytes, BODIES_MIN * self._get_limits().body_max_bytes
        )
        owner = _get_owner(size)
        if owner == share.owner:
            return held.add(owner, size - share.size)
        if not held.add(owner, size):
            return False
        held.remove(share.owner, share.size)
        share.owner = owner
        return True

    def _find_victim(self, share, size):
        """Return the share that gives way, or None.

        A search in vain isn't repeated at once: a crowd would cause many.
        """
        now_s = trio.current_time()
        owner = _get_owner(size)
        if now_s < self._search_from_s.get(owner, 0.0):
            return None
        # Bytes of the other owner make no room where this one has its share.
        is_owner_full = not self._held.has_owner_room(owner, size)
        others = [
            other
            for other in self._shares
            if other is not share
            and not (is_owner_full and other.owner != owner)
        ]
        victim = shedding.choose_for_room(others, size, now_s)
        if victim is None:
            self._search_from_s[owner] = now_s + SEARCH_PAUSE_S
        return victim

    def record_shed(self, cause):
        """Count a refusal or a close; log one line a second at most."""
        self._shed_counts[cause] += 1
        now_s = trio.current_time()
        if now_s < self._log_from_s.get(cause, 0.0):
            return
        self._log_from_s[cause] = now_s + LOG_PERIOD_S
        _log.warning(
            "callers shed",
            extra={
                "decision": "shed",
                "cause": cause,
                "count": self._shed_counts.pop(cause),
                "held_bytes": self._held.get_total(),
                "held_max_bytes": round(self._held.max_bytes),
            },
        )


class ServerBounds(bounds_module.ConnectionBounds):
    """The bounds of one server: its connections, and the common account."""

    receive_buffer_bytes = RECEIVE_BUFFER_BYTES

    def __init__(self, account, connections_max, is_for_checks):
        self.account = account
        self.allows_pipelining = not is_for_checks
        self._connections_max = connections_max
        self._search_from_s = 0.0
        self._shares = set()
        # Without a whole head of a request, the longest idle first. Where
        # only checks are answered, also those with one.
        self.idle_shares = {}

    def open(self):
        """Return the share of a new connection, None if it must close.

        The connection that has been idle for longest gives way to it.
        """
        if len(self._shares) >= self._connections_max:
            self._make_way()
        if len(self._shares) >= self._connections_max:
            self.account.record_shed(_Cause.TOO_MANY)
            return None
        share = _AccountedShare(self)
        self._shares.add(share)
        self.idle_shares[share] = None
        return share

    def _make_way(self):
        idlest = next(iter(self.idle_shares), None)
        if idlest is not None:
            self._shed(idlest)
            return
        now_s = trio.current_time()
        if now_s < self._search_from_s:
            return
        self._search_from_s = now_s + SEARCH_PAUSE_S
        for share in shedding.choose_for_connection(self._shares, now_s):
            self._shed(share)

    def _shed(self, share):
        # It closes at its next step, and gives its bytes back then.
        self._shares.discard(share)
        self.idle_shares.pop(share, None)
        share.shed(_Cause.TOO_MANY)
        self.account.record_shed(_Cause.TOO_MANY)

    def close(self, share):
        """Record that a connection has ended."""
        self._shares.discard(share)
        self.idle_shares.pop(share, None)
        share.resize(0)


class _AccountedShare(bounds_module.ConnectionShare):
    """A share of the account of a process."""

    __slots__ = ("_bounds", "owner")

    def __init__(self, bounds):
        super().__init__()
        self._bounds = bounds
        # Of the bytes that are counted.
        self.owner = _SMALL

    def resize(self, size):
        """Set the bytes that are counted; return whether there is room."""
        if size <= bounds_module.FREE_BYTES:
            size = 0
        if size == self.size:
            return True
        if self.shed_for is not None and size > self.size:
            return False
        return self._bounds.account.resize(self, size)

    def begin_request(self):
        """Record that the head of a request was read."""
        if self._bounds.allows_pipelining:
            self._bounds.idle_shares.pop(self, None)

    def end_request(self, buffered_bytes):
        """Record that the answer was sent, and give room back."""
        self._bounds.idle_shares.pop(self, None)
        self._bounds.idle_shares[self] = None
        self.resize(min(buffered_bytes, self.size))


def new_caller_account(memory_bytes, get_limits):
    """Return an empty account, with what this process leaves of a machine.

    `get_limits()` returns the `catalog.CallerLimits` in force.
    """
    return CallerAccount(memory_bytes, read_process_bytes(), get_limits)
