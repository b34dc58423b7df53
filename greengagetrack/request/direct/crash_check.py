"""Whether a request is refused because it crashes servers."""

from greengagetrack.process.direct.decisions import blame
from greengagetrack.request import outcome

_Reason = outcome.Reason


def check(guard, request, servers):
    """Return `Refused` if a request must not reach a server, else None.

    `servers` are those of its service that may get new work. The caller is
    told no return time: nobody knows one.
    """
    part = guard.find_held(request)
    if part is not None and not blame.is_identity(part):
        return outcome.Refused(
            _Reason.PART_CRASHES_SERVERS, f"part {part}", retry_after_ms=None
        )
    if part is None and not guard.is_last_at_risk(request, servers):
        return None
    return outcome.Refused(
        _Reason.REQUEST_CRASHES_SERVERS,
        "held" if part else "one server is left",
        retry_after_ms=None,
    )
