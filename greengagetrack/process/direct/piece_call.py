"""One call of a server that makes pieces of stages."""

import logging

import trio

from greengagetrack.connection import gateway as gateway_module
from greengagetrack.request import outcome

CALL_TIMEOUT_SLACK_S = 0.8
CALL_TIMEOUT_FACTOR = 4.0

_log = logging.getLogger(__name__)


class PieceCall:
    """A call that makes the pieces of `batch` at the server of `usage`.

    `results` are those of the gateway: a handle or a `PieceFailure` for each
    piece, or a `Failure` of the whole call.
    """

    __slots__ = (
        "_started_s",
        "_work_s",
        "batch",
        "batching",
        "results",
        "usage",
    )

    def __init__(self, usage, batch, batching):
        self.usage = usage
        self.batch = batch
        self.batching = batching
        self.results = gateway_module.Failure(
            outcome.Reason.AGENT_SILENT,
            outcome.Ran.UNKNOWN,
            "no answer in time",
        )
        self._work_s = batching.get_call_s(len(batch))
        self._started_s = 0.0

    async def run(self, gateway):
        """Make the pieces; return an unforeseen error, or None.

        The pieces still need an end, before the error is logged.
        """
        self._started_s = trio.current_time()
        self.usage.server.outstanding += 1
        try:
            with trio.move_on_after(
                self._work_s * CALL_TIMEOUT_FACTOR + CALL_TIMEOUT_SLACK_S
            ):
                self.results = await gateway.run_pieces(
                    self.usage.server.published,
                    [task.to_piece() for task in self.batch],
                )
        except Exception as error:
            return error
        finally:
            self.usage.server.outstanding -= 1
            self.usage.calls_in_flight -= 1
        return None

    def get_result_by_piece(self):
        """Return a handle or a `PieceFailure` for each piece, in order."""
        if isinstance(self.results, list):
            return self.results
        failure = gateway_module.PieceFailure.ERROR
        if self.results.ran is outcome.Ran.NO:
            failure = gateway_module.PieceFailure.NOT_TAKEN
        return [failure] * len(self.batch)

    def record(self, service, data_centre, waiting):
        """Record the call with its server, and log it.

        `waiting` is the number of pieces that still wait.
        """
        spent_ms = (trio.current_time() - self._started_s) * 1000
        server = self.usage.server
        is_made = isinstance(self.results, list)
        failures = []
        if is_made:
            server.record_success(spent_ms)
            self.usage.refusals = 0
            failures = [
                result
                for result in self.results
                if isinstance(result, gateway_module.PieceFailure)
            ]
        else:
            server.record_failed_call(self.results)
            if self.results.is_full:
                self.usage.record_refused(self._work_s)
        _log.info(
            "pieces made" if is_made else "pieces failed",
            extra={
                "decision": "batch",
                "service": service,
                "server": server.server_id,
                "data_centre": data_centre,
                "pieces": len(self.batch),
                "failed": len(failures),
                "reasons": sorted(set(failures)),
                "requests": sorted({task.request_id for task in self.batch}),
                "spent_ms": round(spent_ms, 1),
                "work_ms": round(self._work_s * 1000, 1),
                "waiting": waiting,
                "pace": round(server.told_load.pace, 2),
                "outcome": "made" if is_made else self.results.detail,
            },
        )


def new_piece_call(usage, batch, batching):
    """Return a call that has yet to run."""
    return PieceCall(usage, batch, batching)
