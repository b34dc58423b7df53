"""What waits for calls: groups of pieces, in the order of their need."""

import msgspec
import trio

PRIORITY_STEP_S = 0.1
LATE_SLACK_S = 0.05


class Group:
    """The waiting pieces of one stage of one request.

    Results of a part of them only take room, so a group goes into one
    call if it can, and one that was begun goes first.
    """

    __slots__ = ("call_s", "is_begun", "tasks")

    def __init__(self, tasks, call_s):
        self.tasks = tasks
        self.call_s = call_s
        self.is_begun = any(task.is_resumed for task in tasks)

    def get_urgency(self):
        """Return what sorts groups: those that can be on time go first."""
        first = self.tasks[0]
        is_late = self.is_late()
        due_s = first.deadline.at_s if is_late else first.due_s
        rank_s = due_s + PRIORITY_STEP_S * first.priority
        return (not self.is_begun, is_late, rank_s)

    def is_late(self):
        """Return whether the request can hardly be on time any more."""
        # The call itself takes its time after it has begun.
        done_s = trio.current_time() + self.call_s
        return done_s > self.tasks[0].due_s + LATE_SLACK_S

    def drop_settled(self):
        """Forget the pieces that nobody waits for."""
        self.tasks = [task for task in self.tasks if not task.is_completed()]


class Pace(msgspec.Struct, frozen=True):
    """How a queue goes on: when a call starts, and how much each takes."""

    free_s: float
    each_round: float
    round_s: float

    def get_wait_s(self, ahead):
        """Return when a call can start that has `ahead` pieces before it."""
        # What fits into the next calls does not wait for a later one.
        return self.free_s + int(ahead / self.each_round) * self.round_s
