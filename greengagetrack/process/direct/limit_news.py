"""What entries tell each other of the limits that servers name."""

import logging

import trio

from greengagetrack.connection import direct_messages
from greengagetrack.process.direct import server_limit

MS = 1000

_log = logging.getLogger(__name__)


def new_message(server, own_name):
    """Return the message about the last observation of a server's limit."""
    named = server.limit.named
    limit_per_s = named.limit_per_s
    if limit_per_s is not None:
        limit_per_s = min(limit_per_s, direct_messages.LIMIT_MAX_PER_S)
    return direct_messages.ServerLimit(
        server.server_id,
        server.published.incarnation,
        limit_per_s,
        max(int((trio.current_time() - named.observed_s) * MS), 0),
        named.observer or own_name,
        named.number,
    )


def apply_message(server, message, own_name):
    """Apply what another entry tells of the limit of a server."""
    if message.observer == own_name:
        return
    named = server_limit.NamedLimit(
        message.limit_per_s,
        trio.current_time() - message.age_ms / MS,
        message.observer,
        message.number,
    )
    if server.limit.apply(named):
        log_change(server, message.observer)


def log_change(server, observer=""):
    """Log that the limit of a server has changed or ended."""
    limit_per_s = server.limit.per_s
    _log.info(
        "server limit ended"
        if limit_per_s is None
        else "server names a limit",
        extra={
            "decision": "limit",
            "server": server.server_id,
            "incarnation": server.published.incarnation,
            "limit_per_s": limit_per_s,
            "observer": observer,
        },
    )
