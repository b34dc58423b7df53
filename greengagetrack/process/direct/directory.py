"""Directory of the known backend servers and their observed state.

The published list says which servers exist. What this entry observes
itself (refused connections, timeouts, failed answers) takes precedence
over the list when a server is chosen.
"""

import collections
import enum
import logging

import msgspec
import trio

from greengagetrack.connection import gateway

SUSPECT_STEP_S = 1.0
SUSPECT_MAX_S = 4.0
FAILURE_WEIGHT = 0.2
EJECT_FAILURE_SHARE = 0.45
EJECT_S = 2.5
LATENCY_WEIGHT = 0.2
REMOVAL_GRACE_S = 2.3
REPORTED_LOAD_MAX_AGE_S = 2.6
SLOWNESS_MIN = 0.5
SLOWNESS_MAX = 6.0
CACHED_PARTS_MAX = 2000
GONE_SERVERS_MAX = 2000
ANNOUNCED_PARTS_MAX = 256
ANNOUNCED_TOKENS_MIN = 500
ANNOUNCE_INTERVAL_S = 2.0

_log = logging.getLogger(__name__)


class PartOrigin(enum.Enum):
    """The entry that reported a prompt part on a server.

    `OWN` is this entry, `LOCAL` a peer in the same data centre, `REMOTE`
    one in another data centre.
    """

    OWN = enum.auto()
    LOCAL = enum.auto()
    REMOTE = enum.auto()


class AnnouncedPart(msgspec.Struct, frozen=True):
    """A large prompt part on a server, to be announced to peers."""

    number: int
    part_id: str
    server_id: str
    origin: PartOrigin


class KnownServer:
    """One server: its published record and its observed state."""

    __slots__ = (
        "failure_share",
        "cached_part_times",
        "is_seen_leaving",
        "latency_ms",
        "outstanding",
        "paused_until_s",
        "prefill_tokens",
        "published",
        "removal_due_s",
        "reported_loads",
        "slowness",
        "suspect_until_s",
        "unreachable_count",
    )

    def __init__(self, published):
        self.published = published
        self.outstanding = 0
        self.prefill_tokens = 0
        self.failure_share = 0.0
        self.latency_ms = None
        self.slowness = 1.0
        self.suspect_until_s = 0.0
        self.is_seen_leaving = False
        self.paused_until_s = 0.0
        self.unreachable_count = 0
        self.removal_due_s = None
        self.cached_part_times = {}
        self.reported_loads = {}

    @property
    def server_id(self):
        """Return the id under which the server is published."""
        return self.published.server_id

    def is_usable(self):
        """Return whether the server may get new work."""
        if self.published.is_leaving or self.is_seen_leaving:
            return False
        now = trio.current_time()
        is_there = self.removal_due_s is None or self.removal_due_s > now
        return is_there and now >= self.paused_until_s

    def is_suspect(self):
        """Return whether other servers are preferred at present."""
        return trio.current_time() < self.suspect_until_s

    def update_reported_load(
        self, reporter, running, prefill_tokens, reported_s
    ):
        """Record the load that a peer or a data centre reports."""
        self.reported_loads[reporter] = (reported_s, running, prefill_tokens)

    def count_running(self):
        """Return the number of outstanding requests of all entries."""
        since_s = trio.current_time() - REPORTED_LOAD_MAX_AGE_S
        return self.outstanding + sum(
            running
            for reported_s, running, _tokens in self.reported_loads.values()
            if reported_s > since_s
        )

    def count_prefill_tokens(self, tokens_per_s):
        """Return the number of prompt tokens still to be prefilled.

        Reported tokens are assumed to be processed at `tokens_per_s`.
        """
        now = trio.current_time()
        total = self.prefill_tokens
        for reported_s, _running, tokens in self.reported_loads.values():
            total += max(tokens - (now - reported_s) * tokens_per_s, 0)
        return total

    def update_slowness(self, spent_ms, predicted_ms):
        """Update the ratio of the observed to the predicted latency."""
        ratio = min(max(spent_ms / predicted_ms, SLOWNESS_MIN), SLOWNESS_MAX)
        self.slowness += (ratio - self.slowness) * LATENCY_WEIGHT

    def record_success(self, spent_ms):
        """Record a complete answer."""
        self.unreachable_count = 0
        self.failure_share *= 1 - FAILURE_WEIGHT
        if self.latency_ms is None:
            self.latency_ms = spent_ms
        change = (spent_ms - self.latency_ms) * LATENCY_WEIGHT
        self.latency_ms += change

    def record_failure(self):
        """Record an answer that failed or broke off."""
        self.failure_share += (1 - self.failure_share) * FAILURE_WEIGHT
        if self.failure_share > EJECT_FAILURE_SHARE:
            self._mark_suspect(EJECT_S)
            # Below the threshold, so that the next answers decide whether
            # it is ejected again.
            self.failure_share = EJECT_FAILURE_SHARE * 0.7

    def record_failed_call(self, failure):
        """Record a call that returned no usable answer."""
        if failure.is_unreachable():
            self.record_unreachable()
        else:
            self.record_failure()

    def record_unreachable(self):
        """Record that the server can't be reached."""
        self.unreachable_count += 1
        pause_s = min(SUSPECT_STEP_S * self.unreachable_count, SUSPECT_MAX_S)
        self._mark_suspect(pause_s)

    def _mark_suspect(self, pause_s):
        self.suspect_until_s = trio.current_time() + pause_s
        _log.info(
            "server suspected",
            extra={
                "decision": "suspect",
                "server": self.server_id,
                "pause_s": pause_s,
                "failure_share": round(self.failure_share, 2),
            },
        )

    def record_cached_parts(self, parts):
        """Record the prompt parts that the server has cached from now on."""
        for part_id, _tokens in parts:
            self.record_cached_part(part_id)

    def record_cached_part(self, part_id):
        """Record a prompt part that the server has cached from now on."""
        self.cached_part_times.pop(part_id, None)
        self.cached_part_times[part_id] = trio.current_time()
        while len(self.cached_part_times) > CACHED_PARTS_MAX:
            self.cached_part_times.pop(next(iter(self.cached_part_times)))

    def count_cached_tokens(self, parts, since_s=0.0):
        """Return the number of leading tokens cached since `since_s`."""
        cached_tokens = 0
        for part_id, tokens in parts:
            if self.cached_part_times.get(part_id, -1.0) < since_s:
                break
            cached_tokens += tokens
        return cached_tokens


class Directory(gateway.ServerObserver):
    """All known servers, by id and by service."""

    __slots__ = (
        "_gone_by_id",
        "_on_removed",
        "_removal_grace_until_s",
        "_servers_by_service",
        "announced_parts",
        "changed",
        "server_by_id",
    )

    def __init__(self, on_removed):
        self._on_removed = on_removed
        self._gone_by_id = {}
        self.server_by_id = {}
        self.changed = trio.Event()
        self._removal_grace_until_s = 0.0
        self._servers_by_service = {}
        self.announced_parts = collections.deque(maxlen=ANNOUNCED_PARTS_MAX)

    def start_removal_grace(self):
        """Delay removals, since a source outage may have expired records."""
        self._removal_grace_until_s = trio.current_time() + REMOVAL_GRACE_S

    def record_cached_parts(self, server, parts):
        """Record the parts cached on a server; announce the large ones."""
        recent_s = trio.current_time() - ANNOUNCE_INTERVAL_S
        # The last part is specific to the request.
        for part_id, tokens in parts[:-1]:
            is_recent = server.cached_part_times.get(part_id, -1.0) > recent_s
            if tokens >= ANNOUNCED_TOKENS_MIN and not is_recent:
                self._announce_part(part_id, server.server_id, PartOrigin.OWN)
        server.record_cached_parts(parts)

    def _announce_part(self, part_id, server_id, origin):
        number = self.get_last_announced_number() + 1
        self.announced_parts.append(
            AnnouncedPart(number, part_id, server_id, origin)
        )

    def get_last_announced_number(self):
        """Return the number of the last announced part, 0 if none."""
        return self.announced_parts[-1].number if self.announced_parts else 0

    def get_announced_parts(self, after, is_local):
        """Return the parts announced after the one numbered `after`.

        The first list has the parts recorded in this data centre, the
        second those from other data centres, only for local peers.
        """
        local_parts, remote_parts = [], []
        for announced in self.announced_parts:
            pair = (announced.part_id, announced.server_id)
            if announced.number <= after:
                continue
            if announced.origin is PartOrigin.OWN:
                local_parts.append(pair)
            elif announced.origin is PartOrigin.LOCAL and not is_local:
                local_parts.append(pair)
            elif announced.origin is PartOrigin.REMOTE and is_local:
                remote_parts.append(pair)
        return local_parts, remote_parts

    def get_own_loads(self):
        """Return this entry's outstanding work for each server."""
        return [
            (server.server_id, server.outstanding, server.prefill_tokens)
            for server in self.server_by_id.values()
            if server.outstanding
        ]

    def get_data_centre_loads(self, local_peers):
        """Return the outstanding work of this entry and its local peers."""
        since_s = trio.current_time() - REPORTED_LOAD_MAX_AGE_S
        loads = []
        for server in self.server_by_id.values():
            running, tokens = server.outstanding, server.prefill_tokens
            for name in local_peers:
                reported = server.reported_loads.get(name)
                if reported is not None and reported[0] > since_s:
                    running += reported[1]
                    tokens += reported[2]
            if running:
                loads.append((server.server_id, running, tokens))
        return loads

    def update_reported_loads(self, reporter, loads, reported_s):
        """Record what a peer or a data centre has outstanding everywhere."""
        load_by_id = {server_id: load for server_id, *load in loads}
        for server in self.server_by_id.values():
            running, tokens = load_by_id.get(server.server_id, (0, 0))
            if running or reporter in server.reported_loads:
                server.update_reported_load(
                    reporter, running, tokens, reported_s
                )

    def record_reported_part(self, part_id, server_id, is_local, is_forwarded):
        """Record a prompt part that a peer reports on a server."""
        server = self.server_by_id.get(server_id)
        if server is None:
            return
        server.record_cached_part(part_id)
        if is_forwarded:
            origin = PartOrigin.LOCAL if is_local else PartOrigin.REMOTE
            self._announce_part(part_id, server_id, origin)

    def get_servers(self, service):
        """Return the servers of a service that may get new work."""
        return [
            server
            for server in self._servers_by_service.get(service, ())
            if server.is_usable()
        ]

    def _index_by_service(self):
        """Rebuild the lists of servers by service."""
        servers_by_service = {}
        for server in self.server_by_id.values():
            service = server.published.service
            servers_by_service.setdefault(service, []).append(server)
        self._servers_by_service = servers_by_service

    def apply_update(self, update, is_restored=False):
        """Apply an update from the source.

        `is_restored` says that the source came back from an older copy.
        Servers that are gone by then may be in it; those that live publish
        their records again.
        """
        for published in update.servers:
            if not self._is_gone(published, is_restored):
                self._apply_server(published)
        for server_id in update.removed:
            self._apply_removal(server_id)
        if update.is_complete:
            listed_ids = {published.server_id for published in update.servers}
            for server_id in set(self.server_by_id) - listed_ids:
                self._apply_removal(server_id)
        self._remove_due()
        self._index_by_service()
        event, self.changed = self.changed, trio.Event()
        event.set()

    def _is_gone(self, published, is_restored):
        """Return whether a record is of a server that has left before."""
        gone = self._gone_by_id.get(published.server_id)
        if gone is None or gone.incarnation != published.incarnation:
            return False
        return is_restored or gone.is_leaving

    def _apply_server(self, published):
        server = self.server_by_id.get(published.server_id)
        if (
            server is None
            or server.published.incarnation != published.incarnation
        ):
            self.server_by_id[published.server_id] = KnownServer(published)
            self._log_change("server added", published)
            return
        if server.published.is_leaving != published.is_leaving:
            self._log_change("server state changed", published)
        if server.published.is_leaving and not published.is_leaving:
            # A server that leaves never comes back in the same incarnation.
            published = msgspec.structs.replace(published, is_leaving=True)
        server.published = published
        server.removal_due_s = None

    def _apply_removal(self, server_id):
        server = self.server_by_id.get(server_id)
        if server is None:
            return
        if server.removal_due_s is None:
            # Records expire while the source is down; running servers
            # publish theirs again soon after it is back.
            server.removal_due_s = max(
                trio.current_time(), self._removal_grace_until_s
            )

    def _remove_due(self):
        now = trio.current_time()
        for server_id, server in list(self.server_by_id.items()):
            if (
                server.removal_due_s is not None
                and server.removal_due_s <= now
            ):
                del self.server_by_id[server_id]
                self._record_gone(server)
                self._on_removed(server)
                self._log_change("server removed", server.published)

    def _record_gone(self, server):
        is_leaving = server.published.is_leaving or server.is_seen_leaving
        self._gone_by_id.pop(server.server_id, None)
        self._gone_by_id[server.server_id] = msgspec.structs.replace(
            server.published, is_leaving=is_leaving
        )
        while len(self._gone_by_id) > GONE_SERVERS_MAX:
            self._gone_by_id.pop(next(iter(self._gone_by_id)))

    def record_leaving(self, published):
        """Record that a server says itself that it is leaving."""
        server = self._get_same(published)
        if server is not None and not server.is_seen_leaving:
            server.is_seen_leaving = True
            self._log_change("server says it leaves", published)

    def record_pause(self, published, pause_s):
        """Record that a server wants no requests for `pause_s`."""
        server = self._get_same(published)
        if server is not None:
            server.paused_until_s = trio.current_time() + pause_s

    def _get_same(self, published):
        server = self.server_by_id.get(published.server_id)
        if server is None:
            return None
        is_same = server.published.incarnation == published.incarnation
        return server if is_same else None

    def _log_change(self, message, published):
        _log.info(
            message,
            extra={
                "decision": "directory",
                "server": published.server_id,
                "service": published.service,
                "address": published.address,
                "leaving": published.is_leaving,
            },
        )


def new_directory(on_removed):
    """Return an empty directory; calls `on_removed(server)` on removal."""
    return Directory(on_removed)
