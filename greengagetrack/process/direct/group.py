"""Groups of waiting pieces."""


class PieceGroup:
    """The waiting pieces of one stage of one request.

    Partial results only use memory, so a group goes into one call where
    possible, and one that is partly sent goes first.
    """

    __slots__ = ("is_started", "tasks")

    def __init__(self, tasks):
        self.tasks = tasks
        self.is_started = any(task.is_resumed for task in tasks)

    @property
    def flow(self):
        """Return the `Flow` of the request."""
        return self.tasks[0].flow

    def drop_completed(self):
        """Remove tasks completed while waiting, as when a caller left."""
        self.tasks = [task for task in self.tasks if not task.is_completed()]
