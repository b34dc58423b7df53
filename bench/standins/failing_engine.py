"""Engines that run a request and fail it then, in each way that they may.

Only a 421 and an answer with `X-Not-Run` say that a request did not run, and
these engines run no such request. Any other status says nothing, not even
one by which a caller would understand it.
"""

import enum

import msgspec
import trio

from bench.standins import site as site_module
from greengagetrack.connection.http import fields
from greengagetrack.platform import names

# To a caller, each of these says that its request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
FAILED_SHARE = 0.6
NOT_RUN_STATUS_SHARE = 0.5
MARKED_SHARE = 0.5
ID_SHARE = 0.8
STRAY_SHARE = 0.5
# Past the deadline of any request.
LATE_S = 3.0
BODY = b"an error of the engine"
SEAL = b"seal of a failure"
# A refusal that names no request, such as one of a connection.
STRAY_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class Shape(enum.StrEnum):
    """How a failure is sent."""

    WHOLE = "whole"
    CUT = "cut"
    LATE = "late"


_SHAPES = (Shape.WHOLE, Shape.WHOLE, Shape.WHOLE, Shape.CUT, Shape.LATE)


class FailedAnswer(msgspec.Struct, frozen=True):
    """The failure that an engine has answered."""

    status: int
    is_marked: bool
    has_id: bool
    shape: Shape

    @property
    def has_run(self):
        """Whether the engine runs the request before it fails it."""
        return not self.is_marked and self.status != 421

    @property
    def is_relayable(self):
        """Whether a caller may get it as the engine sent it.

        One without the id may be that of another request.
        """
        is_whole = self.shape is Shape.WHOLE and self.has_id
        return self.has_run and is_whole and not self.promises_not_run

    @property
    def promises_not_run(self):
        """Whether its status alone says that the request did not run."""
        return self.status in NOT_RUN_STATUSES


class FailingEngine(site_module.EngineStandIn):
    """An engine of which a share of the answers are failures.

    One whose connections copy answers is sound instead, and sends refusals
    that belong to no request.
    """

    def __init__(self, engine_id, service, is_stream, generator):
        super().__init__(engine_id, service, "dc-a", is_stream)
        self._generator = generator
        self.failed_by_request = {}

    def get_copy(self, answer):
        """Return a copy of the answer, or a refusal that names no request."""
        if self._generator.random() < STRAY_SHARE:
            return STRAY_REFUSAL
        return answer

    async def _run(self, exchange):
        if self.is_copying or self._generator.random() >= FAILED_SHARE:
            await super()._run(exchange)
            return
        failed = self._draw()
        request_id = fields.get_value(
            exchange.headers, names.REQUEST_ID.lower()
        )
        self.failed_by_request[request_id] = failed
        if failed.has_run:
            self.runs[request_id] += 1
            await trio.sleep(self.work_s)
        await self._fail(exchange, request_id, failed)

    def _draw(self):
        generator = self._generator
        status = generator.randint(400, 599)
        if generator.random() < NOT_RUN_STATUS_SHARE:
            status = generator.choice(NOT_RUN_STATUSES)
        return FailedAnswer(
            status,
            is_marked=generator.random() < MARKED_SHARE,
            has_id=generator.random() < ID_SHARE,
            shape=generator.choice(_SHAPES),
        )

    async def _fail(self, exchange, request_id, failed):
        if failed.shape is Shape.LATE:
            await trio.sleep(LATE_S)
        headers = [(names.SEAL, SEAL)]
        if failed.has_id:
            headers.append((names.REQUEST_ID, request_id))
        if failed.is_marked:
            headers.append((names.NOT_RUN, b"1"))
        if failed.shape is Shape.CUT:
            # The connection ends where this answer isn't finished.
            await exchange.start(failed.status, headers)
            await exchange.send(BODY)
            return
        await exchange.answer(failed.status, headers, BODY)
