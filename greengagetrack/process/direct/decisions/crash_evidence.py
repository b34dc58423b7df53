"""Which parts of prompts, or whole requests, crash servers.

Load pattern: a few requests share one part that crashes each server which
begins an answer on it. Their other parts are sound, requests of all kinds
break off with the server, and servers crash for other reasons as well. Or
one request does so and comes again and again: its identity is then one more
part, which copies of it share.

A crash blames the parts of the requests whose answer was due to begin. An
answer that goes well on a living server clears its parts. A part is held if
several crashes blame it, one after the other, and no answer clears it. What
a held part explains blames no other part::

    evidence.record_crash("s1/7", [Suspect("r1", ("a", "b"), True)], 1.0)
    evidence.record_sound(("a",), 1.5)   # "a" is no longer blamed
    evidence.find_held(("a", "b"), 9.0)  # "b" once more crashes blame it
"""

import enum
import hashlib
import math

import msgspec

from greengagetrack.process.direct.decisions import blame as blame_module

# Time for news of answers that clear a part to arrive from other entries.
CLEARING_S = 1.2
CRASH_AGE_MAX_S = 60.0
HOLD_IDLE_S = 300.0
HOLD_AGE_MAX_S = 3600.0
CRASHED_REQUESTS_MAX = 128
HOLDS_MAX = 64
# Found in one update; the others wait for the next one.
HOLDS_PER_UPDATE_MAX = 8
SOUND_PARTS_MAX = 4096
# Callers may list as many parts as a head has room for.
REQUEST_PARTS_MAX = 64
PART_ID_MAX_CHARS = 64
PART_DIGEST_BYTES = 16


class Hold(msgspec.Struct):
    """A part with which no request is sent to a server.

    `since_s` is when it was found harmful, `seen_s` when a request last had
    it. A hold without requests ends, and one crash brings it back.
    """

    since_s: float
    seen_s: float

    def is_active(self, now_s):
        """Return whether requests with the part are refused."""
        return now_s - self.seen_s < HOLD_IDLE_S


class ChangeKind(enum.StrEnum):
    """What changed about a part, as it is logged."""

    BLAMED = "part_blame"
    CLEARED = "part_clear"
    HELD = "part_hold"
    RELEASED = "part_release"


class Change(msgspec.Struct, frozen=True):
    """A change of what is known of parts, with its evidence."""

    kind: ChangeKind
    parts: tuple[str, ...]
    lifetimes: tuple[str, ...] = ()


class CrashEvidence:
    """What one entry knows of crashes and of the parts of prompts.

    Times are seconds on the clock of the process. Each method that changes
    something returns the `Change`s.
    """

    __slots__ = (
        "_answer_times",
        "_blame_by_part",
        "_count",
        "_crashed_by_key",
        "_hold_by_part",
        "_is_changed",
        "_keys_by_part",
        "_runner_up_since_s_by_part",
        "_sound_s_by_part",
    )

    def __init__(self):
        self._crashed_by_key = {}
        # An index of the line above; the inner maps are ordered sets.
        self._keys_by_part = {}
        # As last weighed, before `_is_changed`.
        self._blame_by_part = {}
        self._is_changed = False
        self._count = 0
        self._runner_up_since_s_by_part = {}
        self._hold_by_part = {}
        self._sound_s_by_part = {}
        self._answer_times = []

    def is_empty(self):
        """Return whether no part is blamed or held."""
        return not (self._crashed_by_key or self._hold_by_part)

    def record_crash(self, lifetime, suspects, now_s):
        """Record that a server has crashed under these requests."""
        changes = []
        for suspect in suspects:
            changes += self.add_crashed(
                blame_module.CrashedRequest(lifetime, now_s, suspect)
            )
        return changes + self.update(now_s)

    def add_crashed(self, crashed):
        """Add a request that broke off, here or at another entry."""
        parts = self._select(crashed.suspect.parts)
        suspect = msgspec.structs.replace(crashed.suspect, parts=parts)
        # Callers choose the ids, so two requests may have the same.
        key = (crashed.lifetime, suspect.request_id, suspect.parts)
        if key in self._crashed_by_key:
            return []
        self._count += 1
        crashed = msgspec.structs.replace(
            crashed, suspect=suspect, number=self._count
        )
        self._crashed_by_key[key] = crashed
        for part in suspect.parts:
            self._keys_by_part.setdefault(part, {})[key] = None
        self._is_changed = True
        while len(self._crashed_by_key) > CRASHED_REQUESTS_MAX:
            self._drop_crashed(next(iter(self._crashed_by_key)))
        for part in crashed.suspect.parts:
            hold = self._hold_by_part.get(part)
            if hold is not None:
                hold.seen_s = max(hold.seen_s, crashed.crashed_s)
        return [
            Change(
                ChangeKind.BLAMED, crashed.suspect.parts, (crashed.lifetime,)
            )
        ]

    def _drop_crashed(self, key):
        crashed = self._crashed_by_key.pop(key)
        for part in crashed.suspect.parts:
            keys = self._keys_by_part.get(part, {})
            keys.pop(key, None)
            if not keys:
                self._keys_by_part.pop(part, None)
        self._is_changed = True

    def _select(self, parts):
        """Return the keys of the parts of a request that count, in order.

        These are all of an ordinary request. Of one that lists more, those
        that are blamed or held already come first, then the deepest ones:
        the first parts of a prompt are those of sound requests as well. The
        identity is the last one.
        """
        keys = dict.fromkeys(get_part_key(part) for part in parts)
        if len(keys) <= REQUEST_PARTS_MAX:
            return tuple(keys)
        by_rank = sorted(reversed(keys), key=self.is_suspect, reverse=True)
        chosen = {next(reversed(keys)), *by_rank[: REQUEST_PARTS_MAX - 1]}
        return tuple(key for key in keys if key in chosen)

    def _get_crashed_with(self, part):
        """Return the requests that broke off and have a part."""
        by_key = self._crashed_by_key
        return [by_key[key] for key in self._keys_by_part.get(part, ())]

    def record_sound(self, parts, now_s):
        """Record that an answer on these parts went well at a server.

        Answers without any count as well: they could have cleared a part.
        """
        self._answer_times.append(now_s)
        del self._answer_times[: -blame_module.SOUND_ANSWERS_MIN]
        changes = []
        for part in self._select(parts):
            changes += self.add_sound(part, now_s)
        return changes

    def add_sound(self, part, sound_s):
        """Record when a part was sound, here or at another entry."""
        known_s = self._sound_s_by_part.pop(part, -math.inf)
        self._sound_s_by_part[part] = max(sound_s, known_s)
        _drop_first(self._sound_s_by_part, SOUND_PARTS_MAX)
        if self.is_empty() or sound_s <= known_s:
            return []
        cleared = tuple(
            crashed.lifetime
            for crashed in self._get_crashed_with(part)
            if known_s < crashed.crashed_s <= sound_s
        )
        self._is_changed |= part in self._keys_by_part
        self._runner_up_since_s_by_part.pop(part, None)
        changes = self._release(part)
        if cleared:
            changes.append(Change(ChangeKind.CLEARED, (part,), cleared))
        return changes

    def was_sound_since(self, part, time_s):
        """Return whether an answer on a part went well since a time."""
        return self._get_sound_s(part) >= time_s

    def _get_sound_s(self, part):
        return self._sound_s_by_part.get(part, -math.inf)

    def _release(self, part):
        hold = self._hold_by_part.get(part)
        if hold is None or not self.was_sound_since(part, hold.since_s):
            return []
        del self._hold_by_part[part]
        self._is_changed = True
        return [Change(ChangeKind.RELEASED, (part,))]

    def add_hold(self, part, since_s, seen_s):
        """Add a hold that another entry told."""
        if self.was_sound_since(part, since_s):
            return []
        hold = self._hold_by_part.get(part)
        if hold is not None:
            hold.seen_s = max(hold.seen_s, seen_s)
            return []
        self._hold(part, since_s, seen_s)
        return [Change(ChangeKind.HELD, (part,))]

    def _hold(self, part, since_s, seen_s):
        if len(self._hold_by_part) >= HOLDS_MAX:
            holds = self._hold_by_part
            del holds[min(holds, key=lambda key: holds[key].seen_s)]
        self._hold_by_part[part] = Hold(since_s, seen_s)
        self._is_changed = True

    def update(self, now_s):
        """Hold the parts that are harmful by now; forget what is old."""
        self._forget(now_s)
        changes = []
        for _hold in range(HOLDS_PER_UPDATE_MAX):
            blame = self._find_harmful(now_s)
            if blame is None:
                break
            self._hold(blame.part, now_s, now_s)
            changes.append(
                Change(ChangeKind.HELD, (blame.part,), blame.lifetimes)
            )
        return changes

    def _forget(self, now_s):
        for key, crashed in list(self._crashed_by_key.items()):
            if now_s - crashed.crashed_s > CRASH_AGE_MAX_S:
                self._drop_crashed(key)
        for part, hold in list(self._hold_by_part.items()):
            if now_s - hold.seen_s > HOLD_AGE_MAX_S:
                del self._hold_by_part[part]
                self._is_changed = True

    def _find_harmful(self, now_s):
        """Return the blame of the part to hold next, or None.

        A request with a harmful part blames its other parts as well. Of
        those with equal weight, the one whose last good answer is longest
        ago is held. If several never had one, they always came together:
        the deepest is held, and one more crash will do for the others.
        """
        if self._is_changed:
            self._weigh_all()
            self._is_changed = False
        blames = [
            blame
            for blame in self._blame_by_part.values()
            if now_s >= blame.decisive_s + CLEARING_S
            and self._could_be_cleared(blame)
        ]
        if not blames:
            return None
        chosen = max(
            blames,
            key=lambda blame: (blame.weight, -blame.sound_s, blame.depth),
        )
        if blame_module.is_identity(chosen.part):
            # Its parts are most likely those of sound requests.
            return chosen
        for blame in blames:
            is_tied = blame.weight == chosen.weight
            if is_tied and blame.sound_s == chosen.sound_s:
                self._runner_up_since_s_by_part[blame.part] = now_s
        _drop_first(self._runner_up_since_s_by_part, HOLDS_MAX)
        return chosen

    def _could_be_cleared(self, blame):
        """Return whether answers went well of late that spared the part."""
        if blame.is_of_runner_up:
            return True
        answers = [
            time_s for time_s in self._answer_times if time_s > blame.first_s
        ]
        return len(answers) >= blame_module.SOUND_ANSWERS_MIN

    def _weigh_all(self):
        """Weigh the evidence against each part that can be held at all."""
        crashed_requests = self._get_unexplained()
        begun_lifetimes = {
            crashed.lifetime
            for crashed in crashed_requests
            if crashed.suspect.has_begun
        }
        crashed_by_part = {}
        for crashed in crashed_requests:
            for part in crashed.suspect.parts:
                crashed_by_part.setdefault(part, []).append(crashed)
        self._blame_by_part = {}
        for part, crashed_with in crashed_by_part.items():
            if part in self._hold_by_part:
                continue
            if self._can_be_harmful(part, crashed_with):
                blame = self._new_blame(part, crashed_with, begun_lifetimes)
                if blame is not None:
                    self._blame_by_part[part] = blame

    def _can_be_harmful(self, part, crashed_with):
        """Return whether a part is worth weighing: most are not.

        Only its identity, or a part that was nearly held, speaks against a
        request that shares nothing with another one.
        """
        return (
            len(crashed_with) >= blame_module.REQUESTS_MIN
            or blame_module.is_identity(part)
            or part in self._runner_up_since_s_by_part
        )

    def _get_unexplained(self):
        """Return the requests on servers that no held part has crashed."""
        explained = set()
        first_by_identity = {}
        for crashed in self._crashed_by_key.values():
            held = [
                part
                for part in crashed.suspect.parts
                if part in self._hold_by_part
            ]
            if held:
                explained.add(crashed.lifetime)
            if len(held) == 1 and blame_module.is_identity(held[0]):
                first_by_identity.setdefault(held[0], crashed)
        # All copies of a request have the same parts: together they speak
        # against these as much as one other request would.
        return [
            crashed
            for crashed in self._crashed_by_key.values()
            if crashed.lifetime not in explained
        ] + list(first_by_identity.values())

    def _new_blame(self, part, crashed_requests, begun_lifetimes):
        sound_s = self._get_sound_s(part)
        runner_up_since_s = self._runner_up_since_s_by_part.get(part)
        blame = None
        if runner_up_since_s is not None:
            blame = blame_module.new_blame_of_runner_up(
                part, crashed_requests, sound_s, runner_up_since_s
            )
        return blame or blame_module.new_blame(
            part, crashed_requests, sound_s, begun_lifetimes
        )

    def is_suspect(self, part):
        """Return whether a part is blamed or held."""
        return part in self._hold_by_part or part in self._keys_by_part

    def get_crash_times(self, part):
        """Return when servers crashed under a part since it was sound.

        The keys are the lifetimes of these servers.
        """
        sound_s = self._get_sound_s(part)
        return {
            crashed.lifetime: crashed.crashed_s
            for crashed in self._get_crashed_with(part)
            if crashed.crashed_s > sound_s
        }

    def find_held(self, parts, now_s):
        """Return the first part that is held, or None."""
        for part in parts:
            hold = self._hold_by_part.get(get_part_key(part))
            if hold is not None and hold.is_active(now_s):
                hold.seen_s = now_s
                return part
        return None

    def get_crashed(self, since_s):
        """Return the requests that broke off with a server since a time."""
        return [
            crashed
            for crashed in self._crashed_by_key.values()
            if crashed.crashed_s > since_s
        ]

    def get_holds(self):
        """Return all holds, active or not, by part."""
        return self._hold_by_part

    def get_sound_times(self, parts):
        """Return when those of `parts` were last sound that ever were."""
        return {
            part: self._sound_s_by_part[part]
            for part in parts
            if part in self._sound_s_by_part
        }


def get_part_key(part):
    """Return the id of a part, or its digest if it is a long one."""
    if len(part) <= PART_ID_MAX_CHARS:
        return part
    digest = hashlib.blake2b(part.encode(), digest_size=PART_DIGEST_BYTES)
    return digest.hexdigest()


def _drop_first(by_key, count_max):
    while len(by_key) > count_max:
        del by_key[next(iter(by_key))]


def new_crash_evidence():
    """Return the evidence of an entry that knows of no crash."""
    return CrashEvidence()
