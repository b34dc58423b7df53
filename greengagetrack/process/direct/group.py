"""Groups of waiting pieces and the forecast of their queue."""

import msgspec
import trio

PRIORITY_STEP_S = 0.1
LATE_SLACK_S = 0.05


class PieceGroup:
    """The waiting pieces of one stage of one request.

    Partial results only use memory, so a group goes into one call where
    possible, and one that is partly sent goes first.
    """

    __slots__ = ("call_s", "is_started", "tasks")

    def __init__(self, tasks, call_s):
        self.tasks = tasks
        self.call_s = call_s
        self.is_started = any(task.is_resumed for task in tasks)

    def get_sort_key(self):
        """Return the sort key: started groups first, late ones last."""
        first = self.tasks[0]
        is_late = self.is_late()
        due_s = first.deadline.at_s if is_late else first.due_s
        rank_s = due_s + PRIORITY_STEP_S * first.priority
        return (not self.is_started, is_late, rank_s)

    def is_late(self):
        """Return whether a call started now would end after the due time."""
        done_s = trio.current_time() + self.call_s
        return done_s > self.tasks[0].due_s + LATE_SLACK_S

    def drop_completed(self):
        """Remove tasks completed while waiting, as when a caller left."""
        self.tasks = [task for task in self.tasks if not task.is_completed()]


class QueueForecast(msgspec.Struct, frozen=True):
    """When the next server is free, and how fast the queue drains.

    A round is one full call at each server.
    """

    next_free_s: float
    pieces_per_round: float
    round_s: float

    def get_wait_s(self, ahead):
        """Return the time until a call with `ahead` pieces before it."""
        # Pieces that fit into the current round wait for no later one.
        return (
            self.next_free_s
            + int(ahead / self.pieces_per_round) * self.round_s
        )
