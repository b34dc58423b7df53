"""One attempt of a request at one backend server."""

import trio

SERVER_ERROR = 500


class Attempt:
    """One attempt of a request: its server, and what it holds there."""

    __slots__ = (
        "_predicted_ms",
        "_prefill",
        "_started_s",
        "is_prefilled",
        "server",
    )

    def __init__(self, server, choice):
        self.server = server
        self._prefill = choice.new_tokens
        self._predicted_ms = choice.wait_ms
        self._started_s = trio.current_time()
        self.is_prefilled = False

    def note_prefilled(self):
        """Note that the server has read the prompt."""
        self.is_prefilled = True
        self.server.prefill_tokens -= self._prefill
        self._prefill = 0

    def note_first_event(self):
        """Learn from the time of the first event."""
        self.note_prefilled()
        spent_ms = (trio.current_time() - self._started_s) * 1000
        self.server.update_slowness(spent_ms, max(self._predicted_ms, 1.0))

    def note_whole(self, status):
        """Learn from a whole answer."""
        if status < SERVER_ERROR:
            spent_s = trio.current_time() - self._started_s
            self.server.record_success(spent_s * 1000)
        else:
            self.server.record_failure()


def new_attempt(server, choice):
    """Return an attempt at a server, as it was predicted by `choice`."""
    return Attempt(server, choice)
