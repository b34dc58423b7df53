"""Turns of connections that have much to parse.

A chunk of one byte costs as much as one of many kilobytes. Connections with
many chunks at hand take turns, so that all of them together leave most of
the processor time to the others.
"""

import trio

CHUNKS_PER_TURN = 64
TURN_PAUSE_S = 0.004


class Turns:
    """The turns of all connections of a pool, in the order they ask."""

    __slots__ = ("_lock",)

    def __init__(self):
        self._lock = trio.Lock()

    async def wait(self):
        """Wait until it is this connection's turn to parse more chunks."""
        async with self._lock:
            await trio.sleep(TURN_PAUSE_S)


def new_turns():
    """Return the turns of a pool without waiting connections."""
    return Turns()
