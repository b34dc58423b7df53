"""What entries tell each other of how their last lives ended.

A process without a disk doesn't know how its last life ended. Its peers
heard from that life, and tell the next one when it starts: how long before
the start the last digest came, and whether it said that the entry leaves.
An entry that did not leave was killed, crashed or lost its machine.
"""

import logging
import math

import msgspec
import trio

from greengagetrack.connection import direct_messages

# Digests may get lost, so it is told more than once.
TOLD_S = 5.0

_log = logging.getLogger(__name__)


class PeerLife(msgspec.Struct):
    """A life of a peer, by its start, and how the life before it ended.

    `first_s` and `last_s` are when its first and last digest came.
    """

    started_ms: int
    first_s: float
    last_s: float
    is_leaving: bool
    earlier: direct_messages.EarlierLife | None = None
    earlier_started_ms: int = 0


class Lives:
    """The lives of the peers, and what they know of this entry's last."""

    __slots__ = ("_known_age_ms", "_life_by_address", "started_ms")

    def __init__(self, started_ms):
        self.started_ms = started_ms
        self._life_by_address = {}
        self._known_age_ms = math.inf

    def record(self, digest):
        """Record a digest that its own entry sent to this one.

        Return whether it is the first of a life.
        """
        if digest.earlier_life is not None:
            self._log_own(digest.name, digest.earlier_life)
        if not digest.started_ms:
            return False
        life = self._life_by_address.get(digest.address)
        is_new = life is None or life.started_ms != digest.started_ms
        if is_new:
            if life and digest.started_ms == life.earlier_started_ms:
                # Overtaken by the first digest of the next life.
                return False
            life = self._begin(digest, life)
        life.last_s = trio.current_time()
        life.is_leaving = digest.is_leaving
        return is_new

    def _begin(self, digest, earlier):
        now = trio.current_time()
        life = PeerLife(digest.started_ms, now, now, digest.is_leaving)
        if earlier is not None:
            age_ms = min(
                int((now - earlier.last_s) * 1000), direct_messages.TIME_MAX_MS
            )
            life.earlier = direct_messages.EarlierLife(
                age_ms, earlier.is_leaving
            )
            life.earlier_started_ms = earlier.started_ms
        self._life_by_address[digest.address] = life
        return life

    def get_earlier(self, address):
        """Return the `EarlierLife` to tell a peer that has just started."""
        life = self._life_by_address.get(address)
        if life is None or trio.current_time() - life.first_s > TOLD_S:
            return None
        return life.earlier

    def keep_only(self, addresses):
        """Forget the lives of all other addresses."""
        for address in self._life_by_address.keys() - set(addresses):
            del self._life_by_address[address]

    def _log_own(self, peer_name, earlier):
        """Log how the last life ended, as the best informed peer knows it."""
        if earlier.heard_age_ms >= self._known_age_ms:
            return
        self._known_age_ms = earlier.heard_age_ms
        _log.log(
            logging.INFO if earlier.was_leaving else logging.WARNING,
            "last life ended",
            extra={
                "decision": "start",
                "peer": peer_name,
                "heard_age_s": round(earlier.heard_age_ms / 1000, 2),
                "leaving": earlier.was_leaving,
            },
        )


def new_lives(started_s):
    """Return the lives that an entry knows which started at `started_s`.

    It is the time of a clock that all lives on its machine share.
    """
    return Lives(int(started_s * 1000))
