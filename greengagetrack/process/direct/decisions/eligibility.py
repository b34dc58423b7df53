"""Whether a backend server may get one request at this moment.

Load pattern: a route or an organisation binds its requests to regions, in
which there is less room, while the servers elsewhere are idle and would look
best to each choice. First attempts, retries, resumed streams and pieces of
stages all ask here, so that none of them goes where another may not.
"""

import collections
import enum

import msgspec


class Exclusion(enum.StrEnum):
    """Why a server may not get a request.

    `REGION` is for good, as far as the request is concerned; all others may
    end while it waits.
    """

    REGION = "region"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    REMOVED = "removed"
    PAUSED = "paused"
    VERSION = "version"


def resolve_regions(route, organisation):
    """Return the regions that a request is bound to, None if it is not.

    Those of the route and of the organisation both bind, so that a request
    may be left without any::

        resolve_regions(route, None)  # a route without regions
        None
    """
    bounds = [route.allowed_regions]
    if organisation is not None:
        bounds.append(organisation.allowed_regions)
    bounds = [regions for regions in bounds if regions]
    return frozenset.intersection(*bounds) if bounds else None


class Eligibility(msgspec.Struct, frozen=True):
    """Which servers may get the requests that are bound to some regions.

    `allowed_regions` is None for requests that may go anywhere. A data
    centre that is not in `region_by_data_centre` is in none of them.
    `evacuated` has the data centres whose servers get nothing; it follows
    what is published.
    """

    allowed_regions: frozenset[str] | None = None
    region_by_data_centre: dict[str, str] = {}
    evacuated: object = frozenset()

    def is_allowed_place(self, data_centre):
        """Return whether a request or its results may lie in a place."""
        if self.allowed_regions is None:
            return True
        region = self.region_by_data_centre.get(data_centre)
        return region in self.allowed_regions

    def find_place_exclusion(self, data_centre):
        """Return why no server of a data centre is eligible, or None."""
        if not self.is_allowed_place(data_centre):
            return Exclusion.REGION
        if data_centre in self.evacuated:
            return Exclusion.EVACUATED
        return None

    def find_exclusion(self, server, software_version=None):
        """Return why a `KnownServer` may not get a request, or None.

        With a `software_version`, the request goes on with a stream that
        servers of this version began.
        """
        # Asked of each server at each choice, so the usual case goes first.
        exclusion = None
        if self.allowed_regions is not None or self.evacuated:
            exclusion = self.find_place_exclusion(server.published.data_centre)
        exclusion = exclusion or server.find_exclusion()
        if exclusion is not None or software_version is None:
            return exclusion
        if server.lifetime.may_go_on(software_version):
            return None
        return Exclusion.VERSION

    def describe(self, servers):
        """Return the regions and the reasons to exclude servers, as text."""
        exclusions = [self.find_exclusion(server) for server in servers]
        count_by_exclusion = collections.Counter(filter(None, exclusions))
        counts = [
            f"{count} {exclusion}"
            for exclusion, count in sorted(count_by_exclusion.items())
        ]
        regions = "any region"
        if self.allowed_regions is not None:
            regions = " ".join(sorted(self.allowed_regions)) or "no region"
        return f"{regions}; excluded: {', '.join(counts) or 'none'}"
