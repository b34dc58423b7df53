"""One piece of a stage, from the moment it is wanted to its result."""

import trio

from greengagetrack.connection import gateway as gateway_module


class PieceTask:
    """One piece that waits for a server or is being made."""

    __slots__ = (
        "due_s",
        "deadline",
        "done",
        "inputs",
        "is_first",
        "key",
        "made_s",
        "maker",
        "number",
        "pool",
        "priority",
        "request_id",
        "result",
        "result_bytes",
        "stage",
        "tries",
    )

    def __init__(self, request_id, stage, number, key, inputs):
        self.request_id = request_id
        self.stage = stage
        self.number = number
        self.key = key
        self.inputs = inputs
        self.due_s = 0.0
        self.deadline = None
        self.priority = 0
        self.is_first = False
        self.tries = 0
        self.result = None
        self.result_bytes = 0
        self.made_s = None
        self.maker = None
        self.pool = None
        self.done = trio.Event()

    def is_settled(self):
        """Return whether the piece has its result, or why it has none."""
        return self.done.is_set()

    def settle(self, result, maker=None):
        """End the piece with a handle or a failure; the first end counts."""
        if self.is_settled():
            return
        self.result = result
        self.maker = maker
        self.made_s = trio.current_time()
        self.done.set()

    def reopen(self):
        """Forget how the piece ended: it is to be made elsewhere."""
        self.result = None
        self.maker = None
        self.done = trio.Event()

    def to_piece(self):
        """Return the piece as it goes into a call."""
        return gateway_module.Piece(
            request_id=self.request_id,
            stage=self.stage,
            number=self.number,
            left_ms=self.deadline.get_left_ms(),
            key=self.key,
            inputs=self.inputs,
        )
