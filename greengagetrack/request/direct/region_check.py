"""Whether a request is refused because no server is where it may go."""

from greengagetrack.request import outcome

_Reason = outcome.Reason


def check(admitted, directory, services):
    """Return `Refused` if one of the services can't serve a request.

    That is one without any server in the regions that the request is bound
    to. The caller is told no return time: nobody knows one.
    """
    eligibility = admitted.eligibility.get()
    if eligibility.allowed_regions is None:
        return None
    for service in services:
        servers = directory.get_known(service)
        if not _is_any_in_place(eligibility, servers):
            return outcome.Refused(
                _Reason.REGION_UNAVAILABLE,
                f"{service}: {eligibility.describe(servers)}",
                retry_after_ms=None,
            )
    return None


def _is_any_in_place(eligibility, servers):
    """Return whether a server, maybe a busy one, is where it may serve."""
    return any(
        eligibility.find_place_exclusion(server.published.data_centre) is None
        for server in servers
    )
