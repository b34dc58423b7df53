"""Which connections of callers give way where a process has no room.

Load pattern: callers that nobody controls send many large bodies of legal
size at once and stop just short of their end, or send requests and read no
answer. Each alone keeps to the limits; together they take the memory or the
descriptors of the process, and ordinary callers get nothing.
"""

from greengagetrack.connection.http import bounds

# Of a small request, for which a body that moves gives way too.
SMALL_BYTES = 64 * 1024
# Without progress for this time, a body or an answer stands still.
STILL_S = 1.0
# Connections that give way at once where there are too many of them.
SHED_MAX = 16

_Wait = bounds.Wait


def _is_still(share, now_s):
    return now_s - share.moved_s >= STILL_S


def _may_give_way(share, now_s):
    """Return whether closing a connection cuts nothing that goes on.

    A request that has been passed on is not ended, unless its caller
    doesn't read the answer.
    """
    if share.wait is _Wait.READER:
        return _is_still(share, now_s)
    return share.wait is not None


def choose_for_room(shares, size, now_s):
    """Return the share that gives way to one of `size`, or None.

    Of those that stand still the largest goes first. One that moves gives
    way to small requests only, so that of large bodies the first are served.
    """
    candidates = [
        share for share in shares if share.size and _may_give_way(share, now_s)
    ]
    if not candidates:
        return None
    chosen = max(
        candidates, key=lambda share: (_is_still(share, now_s), share.size)
    )
    if _is_still(chosen, now_s) or size <= SMALL_BYTES < chosen.size:
        return chosen
    return None


def choose_for_connection(shares, now_s):
    """Return the shares that give way to new connections, stillest first.

    These have begun a request; connections without one go before them.
    """
    candidates = [
        share
        for share in shares
        if _may_give_way(share, now_s) and _is_still(share, now_s)
    ]
    candidates.sort(key=lambda share: share.moved_s)
    return candidates[:SHED_MAX]
