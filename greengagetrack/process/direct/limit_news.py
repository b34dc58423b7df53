"""What entries tell each other of the limits of servers."""

import logging

import trio

from greengagetrack.connection import direct_messages
from greengagetrack.process.direct import server_limit

MS = 1000

_log = logging.getLogger(__name__)


def new_message(server, own_name):
    """Return the message about what limits a server."""
    limit = server.limit
    message = direct_messages.ServerLimit(
        server.server_id,
        server.published.incarnation,
        None,
        direct_messages.TIME_MAX_MS,
        own_name,
        direct_messages.NOT_OBSERVED,
    )
    named = limit.named
    if named is not None:
        if named.limit_per_s is not None:
            message.limit_per_s = min(
                named.limit_per_s, direct_messages.LIMIT_MAX_PER_S
            )
        age_s = trio.current_time() - named.observed_s
        message.age_ms = min(max(int(age_s * MS), 0), message.age_ms)
        message.observer = named.observer or own_name
        message.number = named.number
    if limit.spell is not None:
        left_s = limit.spell.until_s - trio.current_time()
        message.warming_left_ms = max(int(left_s * MS), 0)
    return message


def apply(directory, message, own_name):
    """Apply what another entry tells of the limit of a server.

    Return the server, None unless it is known in that incarnation.
    """
    server_id, incarnation = message.server_id, message.incarnation
    server = directory.get_up_to(server_id, incarnation)
    if server is not None:
        directory.warming.record_told(server, message.warming_left_ms / MS)
    server = directory.get_same(server_id, incarnation)
    if server is not None:
        apply_message(server, message, own_name)
    return server


def apply_message(server, message, own_name):
    """Apply what another entry tells of the limit that a server names."""
    if message.observer == own_name:
        return
    if message.number == direct_messages.NOT_OBSERVED:
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
    limit_per_s = server.limit.named_per_s
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
