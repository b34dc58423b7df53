"""In-memory connections to stand-in servers, for mock-clock runs."""

import msgspec
import trio

from bench.standins import server as server_module
from greengagetrack.connection.backend import base
from greengagetrack.request import outcome

_Reason = outcome.Reason
_Ran = outcome.Ran


class ServerBackend(base.Backend):
    """A connection to a stand-in server in the same process."""

    def __init__(self, server, kind):
        self._server = server
        self._kind = kind

    async def run(self, call):
        """Yield the events of a call."""
        condition = self._server.condition
        if condition.is_dead:
            yield base.Failure(_Reason.BACKEND_FAILED, _Ran.NO)
            return
        if condition.is_refusing:
            yield base.Failure(_Reason.BACKEND_REFUSED, _Ran.NO)
            return
        if condition.is_failing:
            yield base.Failure(_Reason.BACKEND_FAILED, _Ran.UNKNOWN)
            return
        body = server_module.CallBody(
            request_id=call.call_id,
            input=msgspec.json.decode(call.payload),
            priority=call.priority,
            resume_from=call.resume_from,
        )
        if not self._server.has_model_for(body):
            yield base.Failure(_Reason.BACKEND_REFUSED, _Ran.NO)
            return
        try:
            if self._kind == "engine":
                async for event in self._complete(body):
                    yield event
            else:
                reply = await self._server.call(body)
                result = msgspec.json.encode(reply["result"])
                yield base.Result(result, reply["engine_ms"])
        except server_module.DeadServerError:
            yield base.Failure(_Reason.BACKEND_FAILED, _Ran.UNKNOWN)

    async def _complete(self, body):
        async for line in self._server.complete(body):
            if line.get("done"):
                yield base.Result(b"{}", line["engine_ms"])
            else:
                yield base.Tokens(line["tokens"])

    async def get_load(self):
        """Return the load report, or None if the server is dead."""
        await trio.lowlevel.checkpoint()
        if self._server.condition.is_dead:
            return None
        return msgspec.convert(self._server.get_load(), base.BackendLoad)

    async def load_model(self, model, fencing):
        """Load a model; return whether the server accepted the order."""
        await trio.sleep(self._server.condition.load_s)
        return self._server.load_model(model, fencing)
