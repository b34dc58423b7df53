"""One attempt in the race for a stage's result, and its pace."""

import collections

import trio

PACE_WINDOW_S = 0.75


class Leg:
    """One attempt of a stage: its agent, its end, and how fast it is."""

    __slots__ = ("_progress", "choice", "end", "run", "scope", "started_s")

    def __init__(self, choice):
        self.choice = choice
        self.run = None
        self.end = None
        self.scope = trio.CancelScope()
        self.started_s = trio.current_time()
        self._progress = collections.deque()

    def note_tokens(self, count):
        """Note tokens that came now."""
        self._progress.append((trio.current_time(), count))

    def get_pace_s(self):
        """Return the recent time of one token, or None if not known yet.

        What lies further back than the window does not count: a server
        can have become slow in the middle of a stream.
        """
        now = trio.current_time()
        progress = self._progress
        while len(progress) > 1 and now - progress[1][0] >= PACE_WINDOW_S:
            progress.popleft()
        if not progress or now - progress[0][0] < PACE_WINDOW_S:
            return None
        # The first batch marks the beginning of the window.
        tokens = sum(count for _at_s, count in progress) - progress[0][1]
        return (now - progress[0][0]) / max(tokens, 1)


def new_leg(choice):
    """Return a leg that starts now; its run is set by the caller."""
    return Leg(choice)
