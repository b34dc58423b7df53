"""The limit of one server, as one entry knows it."""

import msgspec
import trio

from greengagetrack.process.direct.decisions import permit_queue

# How long peers are told that a limit has ended.
ENDED_TOLD_S = 10.0


class NamedLimit(msgspec.Struct, frozen=True):
    """What an answer said of its server's limit, None if it named none.

    `observer` is the entry that got the answer, empty for this one, and
    `number` counts its observations of the server. `observed_s` is on the
    clock of this process.
    """

    limit_per_s: float | None
    observed_s: float
    observer: str = ""
    number: int = 0


class ServerLimit:
    """The limit of a server from its start to its end, and its permits.

    The newest observation counts, whoever made it::

        limit = ServerLimit()
        limit.observe(2.0)
        assert limit.per_s == 2.0
    """

    __slots__ = (
        "_due_priority",
        "_due_s",
        "_observations",
        "_unused",
        "_unused_owner",
        "named",
        "queue",
        "turns",
    )

    def __init__(self):
        self.named = None
        self.queue = None
        self.turns = None
        self._observations = 0
        self._due_priority = 0
        self._due_s = 0.0
        self._unused = 0
        self._unused_owner = ""

    @property
    def per_s(self):
        """The requests per second for all entries, None without a limit."""
        return None if self.named is None else self.named.limit_per_s

    def observe(self, limit_per_s):
        """Record what an answer says; return whether the limit changed."""
        if self.named is None and limit_per_s is None:
            return False
        self._observations += 1
        return self.apply(
            NamedLimit(
                limit_per_s,
                trio.current_time(),
                number=self._observations,
            )
        )

    def apply(self, named):
        """Record an observation unless a newer one is known.

        Return whether the limit changed.
        """
        if not self._is_news(named):
            return False
        last_per_s = self.per_s
        self.named = named
        if named.limit_per_s is None:
            self.queue = None
        elif self.queue is not None:
            self.queue.set_limit(named.limit_per_s, trio.current_time())
        return named.limit_per_s != last_per_s

    def _is_news(self, named):
        known = self.named
        if known is None:
            return True
        # Each entry that passes an observation on makes it look newer by
        # the time on the way.
        is_same = (known.observer, known.number) == (
            named.observer,
            named.number,
        )
        return not is_same and named.observed_s >= known.observed_s

    def is_told(self):
        """Return whether peers are told of the last observation."""
        if self.named is None:
            return False
        age_s = trio.current_time() - self.named.observed_s
        return self.per_s is not None or age_s < ENDED_TOLD_S

    def get_queue(self):
        """Return the `PermitQueue` of the owner, begun on first use."""
        if self.queue is None:
            self.queue = permit_queue.PermitQueue(
                self.per_s, trio.current_time()
            )
        return self.queue

    def add_unused(self, owner):
        """Keep a permit that is to be given back to an owner's address.

        The owner learns of it with the next question. What another one gave
        before is dropped: it no longer counts the permits.
        """
        if owner != self._unused_owner:
            self._unused = 0
        self._unused_owner = owner
        self._unused += 1

    def pop_unused(self, owner):
        """Return how many permits to give back to an owner, only once."""
        unused, self._unused = self._unused, 0
        return unused if owner == self._unused_owner else 0

    def record_answer(self, answer):
        """Record when the next permit is to be had, from a `PermitAnswer`."""
        self._due_priority = answer.priority
        self._due_s = trio.current_time() + answer.next_wait_s

    def forget_wait(self):
        """Record that a permit is to be had, as one was not used."""
        self._due_s = 0.0

    def get_wait_s(self, priority):
        """Return how long a request would wait for a permit, 0 if unknown."""
        if self.per_s is None or priority < self._due_priority:
            return 0.0
        return max(self._due_s - trio.current_time(), 0.0)


def new_server_limit():
    """Return the limit of a server that has named none."""
    return ServerLimit()
