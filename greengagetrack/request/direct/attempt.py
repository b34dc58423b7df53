"""One attempt of a request at one backend server."""

import trio

from greengagetrack.connection import gateway

SERVER_ERROR = 500


class Attempt:
    """One attempt of a request and its share of the server's load.

    `begun_s` is when the head of its answer was received. `is_sound` says
    that the answer went on well after that. `claim` is that of the answer,
    None without one. `connection_use` tells what the request was sent over.
    """

    __slots__ = (
        "_predicted_ms",
        "_prefill_tokens",
        "_started_s",
        "_tokens_ahead",
        "begun_s",
        "claim",
        "connection_use",
        "is_prefilled",
        "is_sound",
        "server",
    )

    def __init__(self, server, choice):
        self.server = server
        self._prefill_tokens = choice.new_tokens
        # Without the slowness that this attempt will update.
        self._predicted_ms = choice.wait_ms / server.slowness
        self._tokens_ahead = choice.tokens_ahead
        self._started_s = trio.current_time()
        self.begun_s = None
        self.claim = None
        self.connection_use = gateway.ConnectionUse()
        self.is_prefilled = False
        self.is_sound = False

    @property
    def has_begun(self):
        """Whether the head of the answer was received."""
        return self.begun_s is not None

    def get_answer_s(self):
        """Return the time since the head of the answer was received."""
        return trio.current_time() - self.begun_s

    def begin(self):
        """Record that the head of the answer was received."""
        self.begun_s = trio.current_time()

    def record_prefill_done(self):
        """Subtract the prompt from the server's tokens to prefill."""
        self.is_prefilled = True
        self.server.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0

    def record_first_event(self, estimate):
        """Update the statistics with the time to the first event.

        `estimate` is that of the service; the server's slowness is what
        its own time differs from it.
        """
        units = self._tokens_ahead + self._prefill_tokens
        self.record_prefill_done()
        spent_ms = (trio.current_time() - self._started_s) * 1000
        self.server.update_slowness(spent_ms, max(self._predicted_ms, 1.0))
        # A warming server says nothing of the others of its service.
        if not self.server.limit.is_warming:
            estimate.record(units, spent_ms)

    def record_answer(self, status):
        """Update the server's statistics after a complete answer."""
        if status < SERVER_ERROR:
            spent_s = trio.current_time() - self._started_s
            self.server.record_success(spent_s * 1000)
        else:
            self.server.record_failure()


def new_attempt(server, choice):
    """Return an attempt at a server, with the predictions of `choice`."""
    return Attempt(server, choice)
