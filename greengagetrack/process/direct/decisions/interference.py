"""What a long prompt does to the streams that already run on a server.

Load pattern: long prompts arrive beside short ones. A server reads a prompt
in chunks between the tokens of its streams, so each of them pauses while a
long prompt is read. To the long prompt servers with few and with many
streams look alike; it goes to one with few, unless it would wait longer
there than it spares the others. No server is set aside: what is long follows
from the prompts of the last seconds, and while all are of one size there is
nothing to choose by.
"""

# Of the streams that pause, those that have no slack left for it.
DUE_RATIO = 0.07
HALF_LIFE_S = 2.0


class RecentPrompts:
    """The mean of the prompt tokens that requests of a service had read.

    Requests count half after each `HALF_LIFE_S`::

        prompts = RecentPrompts()
        prompts.record(1000, now_s=0.0)
        prompts.record(3000, now_s=0.0)
        assert prompts.get_mean_tokens() == 2000
    """

    __slots__ = ("_requests", "_tokens", "_updated_s")

    def __init__(self):
        self._requests = 0.0
        self._tokens = 0.0
        self._updated_s = 0.0

    def record(self, tokens, now_s):
        """Record a request of which a server reads `tokens`."""
        decay = 0.5 ** ((now_s - self._updated_s) / HALF_LIFE_S)
        self._requests = self._requests * decay + 1
        self._tokens = self._tokens * decay + tokens
        self._updated_s = now_s

    def get_mean_tokens(self):
        """Return the mean, infinite before the first request."""
        if not self._requests:
            return float("inf")
        return self._tokens / self._requests


def get_inflicted_ms(tokens, mean_tokens, streams, ms_per_token):
    """Return the delay of due events that reading a prompt would cause.

    It is the sum over all `streams` of a server. A prompt of no more than
    the mean causes none that another one wouldn't::

        assert get_inflicted_ms(1000, 1000, streams=20, ms_per_token=0.02) == 0
        assert get_inflicted_ms(3000, 1000, streams=0, ms_per_token=0.02) == 0
    """
    excess_tokens = max(tokens - mean_tokens, 0.0)
    return excess_tokens * ms_per_token * streams * DUE_RATIO
