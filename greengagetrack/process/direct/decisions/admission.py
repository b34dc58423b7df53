"""Whether a request is served, asked before its first stage.

Load pattern: a burst that lasts for seconds. A request that waits for its
turn until its target has passed takes places from those that could still be
in time, and one that waits until its deadline has waited in vain.
"""

import enum

import msgspec

LEFT_TIME_FACTOR = 0.85
TARGET_SLACK_FACTOR = 0.1


class Verdict(enum.Enum):
    """What becomes of a request."""

    IN_TIME = enum.auto()
    LATE = enum.auto()
    REFUSED = enum.auto()


class Prospect(msgspec.Struct, frozen=True):
    """What is predicted for a request and the time that it has, in seconds.

    `needed_s` is how long it takes if it is treated as in time,
    `late_needed_s` if it only takes what others leave. `target_s` is the
    latency that its route aims at.
    """

    needed_s: float
    late_needed_s: float
    target_left_s: float
    deadline_left_s: float
    target_s: float


def decide(prospect):
    """Return the `Verdict` on a request."""
    usable_s = prospect.deadline_left_s * LEFT_TIME_FACTOR
    slack_s = prospect.target_s * TARGET_SLACK_FACTOR
    is_in_time = prospect.needed_s <= prospect.target_left_s + slack_s
    if is_in_time and prospect.needed_s <= usable_s:
        return Verdict.IN_TIME
    if max(prospect.needed_s, prospect.late_needed_s) <= usable_s:
        return Verdict.LATE
    return Verdict.REFUSED
