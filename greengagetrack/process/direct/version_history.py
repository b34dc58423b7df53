"""Which software versions of each service have served, and until when."""

import math

from greengagetrack.process.direct import stream_lives

AGE_MAX_S = stream_lives.LIFE_MAX_S + stream_lives.LIFE_MARGIN_S


class VersionHistory:
    """The versions that this entry has seen published, by service.

    Before `known_since_s` other versions may have served as well. Times are
    seconds on the clock of the process.
    """

    __slots__ = ("_seen_s_by_service", "known_since_s")

    def __init__(self):
        self._seen_s_by_service = {}
        self.known_since_s = math.inf

    def record(self, servers, now_s):
        """Record the servers that are published now, all of them."""
        self.known_since_s = min(self.known_since_s, now_s)
        for published in servers:
            seen_s_by_version = self._seen_s_by_service.setdefault(
                published.service, {}
            )
            seen_s_by_version[published.software_version] = now_s
        for service, seen_s_by_version in list(
            self._seen_s_by_service.items()
        ):
            for version, seen_s in list(seen_s_by_version.items()):
                if now_s - seen_s > AGE_MAX_S:
                    del seen_s_by_version[version]
            if not seen_s_by_version:
                del self._seen_s_by_service[service]

    def record_past(self, servers, now_s):
        """Record all servers that were published before the first ones."""
        for published in servers:
            seen_s_by_version = self._seen_s_by_service.setdefault(
                published.service, {}
            )
            seen_s_by_version.setdefault(published.software_version, now_s)
        self.known_since_s = -math.inf

    def get_services(self):
        """Return the services of which servers were seen."""
        return list(self._seen_s_by_service)

    def get_versions(self, service, since_s):
        """Return the versions of a service that served since a time."""
        seen_s_by_version = self._seen_s_by_service.get(service, {})
        return {
            version
            for version, seen_s in seen_s_by_version.items()
            if seen_s >= since_s
        }


def new_version_history():
    """Return the history of an entry that has seen no server."""
    return VersionHistory()
