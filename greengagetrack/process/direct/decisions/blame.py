"""How much the crashes of servers speak against one part of prompts.

Load pattern: servers crash one after the other under requests that share a
part, among others that crash all at once or for other reasons.
"""

import msgspec

IDENTITY_PREFIX = "request:"
# What the crashes that blame a harmful part weigh in sum.
HARMFUL_WEIGHT = 3.0
# Of a request that waited on a server where another answer had begun.
WAITING_WEIGHT = 1 / 3
REQUESTS_MIN = 2
# Servers that crash at the same moment have another cause.
MOMENT_S = 0.3
# Without answers that go well, nothing could have cleared a part.
SOUND_ANSWERS_MIN = 3


class Suspect(msgspec.Struct, frozen=True):
    """A request that broke off with its server.

    `parts` are the ids of the prompt parts that other requests may share,
    and last its identity, which copies of the same request share.
    `has_begun` says that its answer had a head, and no more than its first
    events.
    """

    request_id: str
    parts: tuple[str, ...]
    has_begun: bool


class CrashedRequest(msgspec.Struct, frozen=True):
    """A suspect and the crash with which it broke off.

    `lifetime` names the server from its start to its crash. `number` counts
    the crashes that this entry knows, in the order in which it heard of them.
    """

    lifetime: str
    crashed_s: float
    suspect: Suspect
    number: int = 0


class Blame(msgspec.Struct, frozen=True):
    """The evidence against one part that no answer has cleared since.

    `weight` is the sum over its crashes, `first_s` when the first of them
    was, `decisive_s` when they sufficed, `depth` how far behind the begin
    of a prompt the part was.
    """

    part: str
    weight: float
    decisive_s: float
    lifetimes: tuple[str, ...]
    sound_s: float
    depth: int
    first_s: float
    is_of_runner_up: bool = False


def new_blame(part, crashed_requests, sound_s, begun_lifetimes):
    """Return the `Blame` against a part, or None if it is too weak.

    The requests are those with the part. Only crashes after `sound_s` count,
    when an answer on the part last went well. Servers of `begun_lifetimes`
    crashed with an answer under way.
    """
    crashes = _find_crashes(crashed_requests, sound_s)
    if not _is_one_by_one(part, crashes):
        return None
    return _weigh(part, crashes, begun_lifetimes, sound_s)


def is_identity(part):
    """Return whether a suspect part is the identity of a whole request."""
    return part.startswith(IDENTITY_PREFIX)


def _is_one_by_one(part, crashes):
    """Return whether these can't be crashes of a moment, of another cause.

    A copy of a request is sent after the last one broke off.
    """
    if is_identity(part):
        return bool(crashes)
    if _count_requests(crashes) < REQUESTS_MIN:
        return False
    return crashes[-1].crashed_s - crashes[0].crashed_s >= MOMENT_S


def _count_requests(crashes):
    """Return how many requests there are for certain.

    Those with the same id are one, unless their identities differ.
    """
    identities_by_id = {}
    for crashed in crashes:
        suspect = crashed.suspect
        identities = identities_by_id.setdefault(suspect.request_id, set())
        identities.update(filter(is_identity, suspect.parts))
    return sum(
        max(len(identities), 1) for identities in identities_by_id.values()
    )


def new_blame_of_runner_up(part, crashed_requests, sound_s, runner_up_since_s):
    """Return the `Blame` against a part that was nearly held before.

    One crash since then, of a request with the part, is enough.
    """
    crashes = _find_crashes(crashed_requests, max(sound_s, runner_up_since_s))
    if not crashes:
        return None
    blame = _weigh(part, crashes, set(), sound_s, weight_min=0.0)
    return msgspec.structs.replace(blame, is_of_runner_up=True)


def _find_crashes(crashed_requests, since_s):
    crashes = [
        crashed for crashed in crashed_requests if crashed.crashed_s > since_s
    ]
    return sorted(crashes, key=lambda crashed: crashed.crashed_s)


def _weigh(part, crashes, begun_lifetimes, sound_s, weight_min=HARMFUL_WEIGHT):
    """Return the `Blame` by requests in the order of their crashes.

    Return None if their weight is less than `weight_min`.
    """
    weight_by_lifetime = {}
    decisive_s = None
    for crashed in crashes:
        lifetime = crashed.lifetime
        is_waiting = (
            lifetime in begun_lifetimes and not crashed.suspect.has_begun
        )
        weight_by_lifetime[lifetime] = max(
            weight_by_lifetime.get(lifetime, 0.0),
            WAITING_WEIGHT if is_waiting else 1.0,
        )
        weight = sum(weight_by_lifetime.values())
        if decisive_s is None and weight >= weight_min:
            decisive_s = crashed.crashed_s
    if decisive_s is None:
        return None
    lifetimes = tuple(weight_by_lifetime)
    depth = max(crashed.suspect.parts.index(part) for crashed in crashes)
    first_s = crashes[0].crashed_s
    return Blame(part, weight, decisive_s, lifetimes, sound_s, depth, first_s)
