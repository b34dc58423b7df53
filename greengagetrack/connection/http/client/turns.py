"""Turns of connections that have much to parse.

A chunk of one byte costs as much as one of many kilobytes, and so does an
event. Connections with many of them at hand take turns, so that all of them
together leave most of the processor time to the others.
"""

import trio

CHUNKS_PER_TURN = 64
EVENTS_PER_TURN = 256
TURN_PAUSE_S = 0.004


class Turns:
    """The turns of several connections, in the order they ask."""

    __slots__ = ("_lock",)

    def __init__(self):
        self._lock = trio.Lock()

    async def wait(self):
        """Wait until it is this connection's turn to parse more."""
        async with self._lock:
            await trio.sleep(TURN_PAUSE_S)


def new_turns():
    """Return the turns of connections of which none waits."""
    return Turns()
