"""The limit of one server, as one entry knows it.

Two things limit a server: a rate that it names in its answers, and a spell
of warming, see `decisions.warming`. The lower rate holds.
"""

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
        "pace",
        "queue",
        "spell",
        "turns",
    )

    def __init__(self):
        self.named = None
        # That of the spell at its last update, None if the server is warm.
        self.pace = None
        self.queue = None
        self.spell = None
        self.turns = None
        self._observations = 0
        self._due_priority = 0
        self._due_s = 0.0
        self._unused = 0
        self._unused_owner = ""

    @property
    def per_s(self):
        """The requests per second for all entries, None without a limit."""
        named_per_s = self.named_per_s
        if self.pace is None:
            return named_per_s
        if named_per_s is None:
            return self.pace.per_s
        return min(self.pace.per_s, named_per_s)

    @property
    def named_per_s(self):
        """The requests per second that the server names, or None."""
        return None if self.named is None else self.named.limit_per_s

    @property
    def is_warming(self):
        """Whether the server is warming, or is led back from it."""
        return self.pace is not None

    @property
    def turn_share(self):
        """The part of the limit that entries without an owner may use."""
        if self.pace is None:
            return permit_queue.TURN_SHARE
        return self.pace.get_turn_share()

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
        last_per_s = self.named_per_s
        self.named = named
        self._update_queue()
        return named.limit_per_s != last_per_s

    def _update_queue(self):
        """Give the queue the limit that holds now, or drop it."""
        if self.per_s is None:
            self.queue = None
        elif self.queue is not None:
            self.queue.set_limit(
                self.per_s, trio.current_time(), self._get_burst()
            )

    def _get_burst(self):
        return None if self.pace is None else self.pace.burst

    def set_spell(self, spell):
        """Set the `Spell` of warming; return whether the server was warm."""
        was_warm = self.spell is None
        self.spell = spell
        self.update_spell()
        return was_warm

    def update_spell(self):
        """Apply the time that has passed; return whether the spell is over.

        Until it is called the last limit holds, so that it can't end
        between two steps of a request.
        """
        if self.spell is None:
            return True
        self.pace = self.spell.get_pace(trio.current_time())
        self._update_queue()
        if self.pace is None:
            self.spell = None
        return self.spell is None

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
        """Return whether peers are told of the limit."""
        if self.spell is not None:
            return True
        if self.named is None:
            return False
        age_s = trio.current_time() - self.named.observed_s
        return self.named_per_s is not None or age_s < ENDED_TOLD_S

    def get_queue(self):
        """Return the `PermitQueue` of the owner, begun on first use."""
        if self.queue is None:
            self.queue = permit_queue.PermitQueue(
                self.per_s, trio.current_time(), self._get_burst()
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
        if self.named is None and self.pace is None:
            return 0.0
        if self.per_s is None or priority < self._due_priority:
            return 0.0
        due_s = self._due_s
        if self.spell is not None and self.named_per_s is None:
            due_s = min(due_s, self.spell.until_s)
        return max(due_s - trio.current_time(), 0.0)


def new_server_limit():
    """Return the limit of a server that has none."""
    return ServerLimit()
