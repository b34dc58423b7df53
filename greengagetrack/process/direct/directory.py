"""Directory of the known backend servers and their observed state.

The published list says which servers exist. What this entry observes
itself (refused connections, timeouts, failed answers) takes precedence
over the list when a server is chosen.
"""

import logging

import msgspec
import trio

from greengagetrack.connection import gateway
from greengagetrack.connection import source
from greengagetrack.process.direct import announced_parts
from greengagetrack.process.direct.decisions import eligibility
from greengagetrack.process.direct import departures as departures_module
from greengagetrack.process.direct import evacuations as evacuations_module
from greengagetrack.process.direct import known_server
from greengagetrack.process.direct import limit_news
from greengagetrack.process.direct import version_history
from greengagetrack.process.direct import warming_servers

REMOVAL_GRACE_S = 2.3
ANNOUNCED_TOKENS_MIN = 500
ANNOUNCE_INTERVAL_S = 2.0

_log = logging.getLogger(__name__)


class Directory(gateway.ServerObserver):
    """All known servers, by id and by service."""

    __slots__ = (
        "_anywhere",
        "_copied_ids",
        "_era",
        "_on_removed",
        "_removal_grace_until_s",
        "_servers_by_service",
        "announced_parts",
        "changed",
        "departures",
        "evacuations",
        "server_by_id",
        "versions",
        "warming",
    )

    def __init__(self, on_removed, warming):
        self._on_removed = on_removed
        self.warming = warming
        # Those in the first list of an era, and not published since then.
        self._copied_ids = set()
        self._era = source.FIRST_ERA - 1
        self.departures = departures_module.new_departures()
        self.evacuations = evacuations_module.new_evacuations()
        self._anywhere = eligibility.Eligibility(
            evacuated=self.evacuations.data_centres
        )
        self.server_by_id = {}
        self.changed = trio.Event()
        self._removal_grace_until_s = 0.0
        self._servers_by_service = {}
        self.versions = version_history.new_version_history()
        self.announced_parts = announced_parts.new_announced_parts()

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
                self.announced_parts.add(
                    part_id,
                    server.server_id,
                    announced_parts.PartOrigin.OWN,
                )
        server.record_cached_parts(parts)

    def get_own_loads(self):
        """Return this entry's outstanding work for each server."""
        return [
            (server.server_id, server.outstanding, server.prefill_tokens)
            for server in self.server_by_id.values()
            if server.outstanding
        ]

    def get_data_centre_loads(self, local_peers):
        """Return the outstanding work of this entry and its local peers."""
        since_s = trio.current_time() - known_server.REPORTED_LOAD_MAX_AGE_S
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
            origins = announced_parts.PartOrigin
            origin = origins.LOCAL if is_local else origins.REMOTE
            self.announced_parts.add(part_id, server_id, origin)

    def get_servers(self, service, eligibility=None, software_version=None):
        """Return the servers of a service that may get new work.

        With an `Eligibility`, it is that of a request that is bound by it.
        """
        eligibility = eligibility or self._anywhere
        return [
            server
            for server in self._servers_by_service.get(service, ())
            if eligibility.find_exclusion(server, software_version) is None
        ]

    def get_known(self, service):
        """Return all servers of a service, also those that get no work."""
        return self._servers_by_service.get(service, ())

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
        self.evacuations.apply_update(update)
        is_first = update.is_complete and update.era > self._era
        self._record_source(update, is_first)
        # The first list says nothing of when its servers started.
        has_list = bool(self.server_by_id)
        for published in update.servers:
            if not self._is_gone(published, is_first, is_restored):
                self._apply_server(published, has_list)
        for server_id in update.removed:
            self._apply_removal(server_id)
        if update.is_complete:
            listed_ids = {published.server_id for published in update.servers}
            for server_id in set(self.server_by_id) - listed_ids:
                self._apply_removal(server_id)
        self._remove_due()
        self._index_by_service()
        self.versions.record(
            [server.published for server in self.server_by_id.values()],
            trio.current_time(),
        )
        self._announce_change()

    def _announce_change(self):
        event, self.changed = self.changed, trio.Event()
        event.set()

    def apply_evacuations(self, messages):
        """Apply what a peer tells of evacuated data centres."""
        if self.evacuations.apply_messages(messages):
            self._announce_change()

    def _record_source(self, update, is_first):
        """Record the era, and which records may be of an older copy."""
        ids = {published.server_id for published in update.servers}
        if is_first:
            self._copied_ids = ids
        elif not update.is_complete:
            self._copied_ids -= ids
        if is_first and update.era > source.FIRST_ERA:
            self.departures.ask_peers()
        self._era = max(self._era, update.era)

    def _is_gone(self, published, is_first, is_restored):
        """Return whether a record is of a server that was removed before.

        One that said that it leaves is kept as such, unless it has started
        again since.
        """
        server_id, incarnation = published.server_id, published.incarnation
        gone = self.departures.get(server_id, incarnation)
        if gone is None:
            return False
        known = self.server_by_id.get(server_id)
        if known is not None and known.published.incarnation >= incarnation:
            return known.published.incarnation > incarnation
        if gone.is_leaving:
            return False
        return is_restored or (is_first and gone.era < self._era)

    def _apply_server(self, published, has_list):
        gone = self.departures.get(published.server_id, published.incarnation)
        if gone is not None and gone.is_leaving:
            # A server that leaves never comes back in the same incarnation.
            published = _to_leaving(published)
        elif published.is_leaving:
            self._record_departure(published)
        elif gone is not None:
            self.departures.forget(published.server_id, published.incarnation)
        server = self.server_by_id.get(published.server_id)
        if (
            server is None
            or server.published.incarnation != published.incarnation
        ):
            if server is not None:
                self.warming.forget(server)
            server = known_server.KnownServer(published)
            self.server_by_id[published.server_id] = server
            self._log_change("server added", published)
            # One that only lapsed at the source has run all the while.
            has_started = has_list and gone is None
            self.warming.record_published(server, is_new=has_started)
            return
        if server.published.is_leaving:
            # The record of its departure may be forgotten by now.
            published = _to_leaving(published)
        if server.published.is_leaving != published.is_leaving:
            self._log_change("server state changed", published)
        server.published = published
        server.removal_due_s = None
        self.warming.record_published(server, is_new=False)

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
                self._record_departure(server.published)
                self._remove(server)

    def _remove(self, server):
        del self.server_by_id[server.server_id]
        self.warming.forget(server)
        self._on_removed(server)
        self._log_change("server removed", server.published)

    def _record_departure(self, published):
        self.departures.record(
            departures_module.new_departure(published, self._era)
        )

    def apply_departures(self, messages):
        """Apply what a peer tells of servers that left."""
        for message in messages[: departures_module.TOLD_MAX]:
            self._apply_departure(departures_module.from_message(message))
        self._index_by_service()

    def _apply_departure(self, departure):
        server = self.get_same(departure.server_id, departure.incarnation)
        if server is None or departure.is_leaving:
            self.departures.record(departure)
        if server is None:
            return
        if departure.is_leaving:
            self.record_leaving(server.published)
        elif self._is_copied(server) and departure.era < self._era:
            self.departures.record(departure)
            self._remove(server)

    def _is_copied(self, server):
        """Return whether the record of a server may be of an older copy."""
        return server.server_id in self._copied_ids

    def doubt_all(self):
        """Record that any server may have started again unnoticed."""
        for server in self.server_by_id.values():
            server.lifetime.doubt()

    def doubt_address(self, address):
        """Record that the server at an address may have started again."""
        for server in self.server_by_id.values():
            if server.published.address == address:
                server.lifetime.doubt()

    def get_answering_version(self, server, opened_s):
        """Return the software version that answers, None if unknown.

        The answer of the `KnownServer` comes over a connection that was
        opened at `opened_s`. It may have started again since it was chosen.
        """
        current = self.server_by_id.get(server.server_id, server)
        if current is server:
            return server.lifetime.get_answering_version(opened_s)
        if current.lifetime.is_reached_by(opened_s):
            return current.lifetime.software_version
        return None

    def record_leaving(self, published):
        """Record that a server says itself that it is leaving."""
        server = self._get_same(published)
        if server is not None and not server.published.is_leaving:
            server.published = _to_leaving(server.published)
            self._record_departure(server.published)
            self._log_change("server says it leaves", server.published)

    def record_pause(self, published, pause_s):
        """Record that a server wants no requests for `pause_s`."""
        server = self._get_same(published)
        if server is not None:
            server.paused_until_s = trio.current_time() + pause_s

    def record_limit(self, published, limit_per_s):
        """Record the limit that a server names in an answer, or None."""
        server = self._get_same(published)
        if server is not None and server.limit.observe(limit_per_s):
            limit_news.log_change(server)

    def record_warming(self, published, left_s):
        """Record that a server says it is warming for `left_s` longer."""
        server = self._get_same(published)
        if server is not None:
            self.warming.record_answer(server, left_s)

    def record_load(self, published, load, sent_s):
        """Record the load that a server tells in an answer.

        The call that it answers is one of the server's outstanding ones.
        """
        server = self._get_same(published)
        if server is not None:
            server.told_load.record(load, server.outstanding, sent_s)

    def get_limited(self):
        """Return the servers of whose limits peers are told."""
        return [
            server
            for server in self.server_by_id.values()
            if server.limit.is_told()
        ]

    def _get_same(self, published):
        return self.get_same(published.server_id, published.incarnation)

    def get_same(self, server_id, incarnation):
        """Return a server if it has not been restarted since, else None."""
        server = self.server_by_id.get(server_id)
        if server is None:
            return None
        is_same = server.published.incarnation == incarnation
        return server if is_same else None

    def get_up_to(self, server_id, incarnation):
        """Return a server in this incarnation or an earlier one, or None.

        An entry that can't read the source may know only the earlier one,
        and reaches the server all the same.
        """
        server = self.server_by_id.get(server_id)
        if server is None or server.published.incarnation > incarnation:
            return None
        return server

    def _log_change(self, message, published):
        _log.info(
            message,
            extra={
                "decision": "directory",
                "server": published.server_id,
                "service": published.service,
                "address": published.address,
                "software_version": published.software_version,
                "leaving": published.is_leaving,
            },
        )


def _to_leaving(published):
    return msgspec.structs.replace(published, is_leaving=True)


def new_directory(on_removed, warming=None):
    """Return an empty directory; calls `on_removed(server)` on removal.

    `warming` has the `WarmingServers`; without it, none ever are.
    """
    return Directory(
        on_removed, warming or warming_servers.new_warming_servers()
    )
