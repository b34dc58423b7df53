"""What made an answer late, by the part that took the longest."""

import enum

import msgspec


class Cause(enum.StrEnum):
    """The part of a request that made its answer late.

    `ENTRY` is the time before its run began, `STAGES` that of its stages
    and `SERVER` that from then on to its first event, or to its end if it
    has none. `PAUSE` is a pause between two events.
    """

    NONE = ""
    ENTRY = "entry"
    STAGES = "stages"
    SERVER = "server"
    PAUSE = "pause"


class RunTimes(msgspec.Struct, frozen=True):
    """How long the parts of a run took, in seconds.

    `queued_s` is the time before it began, and the others count from then.
    `stages_s` is the time in its stages, and `stage_times_s` that of each
    in the last run of them. `first_event_s` is None without an event, and
    `pause_s` is the longest time between two events.
    """

    spent_s: float
    queued_s: float = 0.0
    stages_s: float = 0.0
    stage_times_s: tuple[float, ...] = ()
    first_event_s: float | None = None
    pause_s: float = 0.0


def find_cause(times, target_s, target_pause_s):
    """Return the `Cause` for which an answer was late, `NONE` if in time.

    A `target_pause_s` of 0 sets no bound on pauses::

        times = RunTimes(2.0, stages_s=1.5, first_event_s=1.8)
        assert find_cause(times, 1.0, 0.3) is Cause.STAGES
    """
    answer_s = times.first_event_s
    if answer_s is None:
        answer_s = times.spent_s
    if times.queued_s + answer_s > target_s:
        seconds_by_cause = {
            Cause.ENTRY: times.queued_s,
            Cause.STAGES: times.stages_s,
            Cause.SERVER: answer_s - times.stages_s,
        }
        return max(seconds_by_cause, key=seconds_by_cause.get)
    if target_pause_s and times.pause_s > target_pause_s:
        return Cause.PAUSE
    return Cause.NONE
