"""The task of producing one piece of a pipeline stage."""

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.process.direct.decisions import forecast


class PieceTask:
    """A piece that waits for a server, is in a call or has its outcome.

    `server` is the backend server that holds the result, `eligibility` the
    `RequestEligibility` of the request, None at a peer that makes the piece.
    `input_servers` are the ids of the servers that hold the inputs, none if
    these must outlast it.
    """

    __slots__ = (
        "are_inputs_freed",
        "completed_s",
        "deadline",
        "done",
        "due_s",
        "eligibility",
        "input_servers",
        "inputs",
        "is_resumed",
        "key",
        "kind",
        "number",
        "pool",
        "priority",
        "request_id",
        "result",
        "result_bytes",
        "server",
        "stage",
        "tries",
    )

    def __init__(self, request_id, stage, number, key, inputs):
        self.request_id = request_id
        self.stage = stage
        self.number = number
        self.key = key
        self.inputs = inputs
        self.input_servers = ()
        self.are_inputs_freed = False
        self.due_s = 0.0
        self.deadline = None
        self.eligibility = None
        self.kind = ""
        self.priority = 0
        self.is_resumed = False
        self.tries = 0
        self.result = None
        self.result_bytes = 0
        self.completed_s = None
        self.server = None
        self.pool = None
        self.done = trio.Event()

    @property
    def flow(self):
        """The `Flow` of the request."""
        return forecast.Flow(self.kind, self.priority)

    def is_allowed_place(self, data_centre):
        """Return whether the result may lie in a data centre."""
        if self.eligibility is None:
            return True
        return self.eligibility.get().is_allowed_place(data_centre)

    def is_completed(self):
        """Return whether the piece has a result or has failed."""
        return self.done.is_set()

    def complete(self, result, server=None):
        """Set a result handle or a failure; later calls have no effect."""
        if self.is_completed():
            return
        self.result = result
        self.server = server
        self.completed_s = trio.current_time()
        self.done.set()

    def reset(self):
        """Clear the outcome so that another pool can produce the piece."""
        self.result = None
        self.server = None
        self.done = trio.Event()

    def to_piece(self):
        """Return the piece as it is sent to a server."""
        return gateway_module.Piece(
            request_id=self.request_id,
            stage=self.stage,
            number=self.number,
            left_ms=self.deadline.get_left_ms(),
            key=self.key,
            inputs=self.inputs,
        )
