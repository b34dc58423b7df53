"""An entry without a process, in front of servers that tests script."""

from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import exchange as exchange_module
from greengagetrack.connection import source as source_module
from greengagetrack.platform import callers
from greengagetrack.platform import engines
from tests.direct import fakes


class CallerExchange(exchange_module.Exchange):
    """An exchange that keeps what its caller would get."""

    def __init__(self):
        self.is_started = False
        self.is_finished = False
        self.status = None
        self.headers = []
        self.body = b""

    async def answer(self, status, headers, body=b"", framing=None):
        self.is_started = self.is_finished = True
        self.status, self.headers, self.body = status, headers, body

    async def start(self, status, headers, framing=None):
        self.is_started = True
        self.status, self.headers = status, headers

    async def send(self, data):
        self.body += data

    async def finish(self):
        """Mark the response as complete."""
        self.is_finished = True


class RawEntry:
    """An entry that reaches its servers over real connections."""

    def __init__(self, nursery, servers):
        self.pool = pool_module.new_pool(nursery)
        self.gateway = engines.new_engine_gateway(self.pool)
        self._entry = fakes.FakeEntry(nursery, self.gateway, servers)
        self.gateway.set_observer(self._entry.directory)

    def publish(self, server):
        """Let the entry learn of one more server."""
        self._entry.directory.apply_update(
            source_module.Update(1, servers=(server,))
        )

    def get_server(self, server_id):
        """Return what the entry knows of a server."""
        return self._entry.directory.server_by_id[server_id]

    async def ask(
        self, route, request_id, method=b"GET", more_headers=(), body=b""
    ):
        """Return the `CallerExchange` of a request, after its answer."""
        exchange = CallerExchange()
        headers = [(b"Host", b"h"), (b"X-Request-Id", request_id)]
        headers += more_headers
        outcome = await self._entry.run(
            route,
            callers.HttpReply(exchange),
            request_id=request_id,
            headers=headers,
            method=method,
            body=body,
        )
        if not exchange.is_started:
            await exchange.answer(*callers.get_error_response(outcome))
        return exchange


def new_raw_entry(nursery, servers):
    """Return an entry that knows `servers`."""
    return RawEntry(nursery, servers)
