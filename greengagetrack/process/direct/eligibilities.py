"""The eligibility of each request, by the newest catalog.

A request keeps the route that it was admitted with, but the regions that it
may go to are those of the newest catalog: a request that still waits when
they change is bound by the change.
"""

from greengagetrack.process.direct.decisions import eligibility


class RequestEligibility:
    """Where one request may go.

    A request whose route or key is in the catalog no more is bound by what
    it was admitted with.
    """

    __slots__ = (
        "_catalog",
        "_current",
        "_organisation",
        "_request",
        "_route",
        "_shared",
    )

    def __init__(self, shared, request, route, organisation):
        self._shared = shared
        self._request = request
        self._route = route
        self._organisation = organisation
        self._catalog = shared.get_catalog()
        self._current = shared.get(route, organisation)

    def get(self):
        """Return the `Eligibility` that is in force now."""
        catalog = self._shared.get_catalog()
        if catalog is not self._catalog:
            self._catalog = catalog
            self._update(catalog)
        return self._current

    def _update(self, catalog):
        request = self._request
        route = catalog.find_route(request.host, request.path)
        if route is not None:
            self._route = route
        if self._organisation is not None:
            organisation = catalog.find_organisation(request.api_key)
            self._organisation = organisation or self._organisation
        self._current = self._shared.get(self._route, self._organisation)


class Eligibilities:
    """Hands out the eligibility of requests.

    Requests that are bound to the same regions share an `Eligibility`.
    """

    __slots__ = (
        "_eligibility_by_regions",
        "_evacuated",
        "_region_by_data_centre",
        "get_catalog",
    )

    def __init__(self, get_catalog, region_by_data_centre, evacuated):
        self.get_catalog = get_catalog
        self._region_by_data_centre = region_by_data_centre
        self._evacuated = evacuated
        self._eligibility_by_regions = {}

    def get(self, route, organisation):
        """Return the `Eligibility` of requests of a route."""
        regions = eligibility.resolve_regions(route, organisation)
        if regions not in self._eligibility_by_regions:
            self._eligibility_by_regions[regions] = eligibility.Eligibility(
                regions, self._region_by_data_centre, self._evacuated
            )
        return self._eligibility_by_regions[regions]

    def new_request_eligibility(self, request, route, organisation):
        """Return the eligibility of a request that is admitted now."""
        return RequestEligibility(self, request, route, organisation)


def new_eligibilities(get_catalog, region_by_data_centre, evacuated):
    """Return what hands out the eligibility of the requests of an entry.

    `evacuated` has the data centres that are evacuated at each moment.
    """
    return Eligibilities(get_catalog, region_by_data_centre, evacuated)
