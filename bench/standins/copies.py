"""Engines that send a whole answer once more on its kept connection.

The copy comes some time after the answer: while the connection is idle, where
the answer to the next request is expected, or where the request comes again.
"""

import trio

from bench.standins import site as site_module
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import server as server_module
from greengagetrack.platform import names
from greengagetrack.version import catalog

# Of all answers.
IDLE_COPY_SHARE = 0.15
DUE_COPY_SHARE = 0.3
COPY_DELAY_MAX_S = 0.15
# Of the copies to a request that comes again; the others come while it runs.
EARLY_COPY_SHARE = 0.5


class _RecordingStream:
    """A TCP stream that keeps what was sent since the last `forget`."""

    __slots__ = ("_lock", "_stream", "sent", "socket")

    def __init__(self, stream):
        self._stream = stream
        # A copy may come while an answer is sent.
        self._lock = trio.Lock()
        self.socket = stream.socket
        self.sent = b""

    def forget(self):
        """Forget what was sent."""
        self.sent = b""

    async def send_all(self, data):
        """Send bytes and keep them."""
        self.sent += data
        await self._send(data)

    async def send_before(self, data):
        """Send bytes unless some were kept; return whether it did."""
        if self.sent:
            return False
        await self._send(data)
        return True

    async def _send(self, data):
        async with self._lock:
            await self._stream.send_all(data)

    async def receive_some(self, max_bytes):
        """Receive bytes."""
        return await self._stream.receive_some(max_bytes)

    async def send_eof(self):
        """Close the sending side."""
        await self._stream.send_eof()


class CopyingConnection:
    """A connection of an engine, with copies while `engine.is_copying`.

    While `engine.is_repeating` it keeps the last answer to each id, and sends
    it once more if the id comes again.
    """

    __slots__ = (
        "_due_copy",
        "_engine",
        "_generator",
        "_stream",
        "answer_by_request",
    )

    def __init__(self, engine, generator, stream):
        self._due_copy = b""
        self._engine = engine
        self._generator = generator
        self._stream = _RecordingStream(stream)
        self.answer_by_request = {}

    async def serve(self):
        """Serve requests until the connection closes."""
        server = server_module.new_server(
            "", self._handle, catalog.CallerLimits
        )
        engine = self._engine
        engine.connection_count += 1
        engine.open_connections.add(self)
        try:
            await server.serve_connection(self._stream)
        finally:
            engine.open_connections.discard(self)

    async def _handle(self, exchange):
        await self._stream.send_all(self._due_copy)
        self._due_copy = b""
        self._stream.forget()
        request_id = fields.get_value(
            exchange.headers, names.REQUEST_ID.lower()
        )
        if self._engine.is_repeating and request_id is not None:
            await self._serve_repeating(exchange, request_id)
        else:
            await self._engine.handle(exchange)
        if self._engine.is_copying and exchange.is_finished:
            await self._copy(self._engine.get_copy(self._stream.sent))

    async def _serve_repeating(self, exchange, request_id):
        engine = self._engine
        engine.came_again_count += any(
            request_id in connection.answer_by_request
            for connection in engine.open_connections
        )
        answer = self.answer_by_request.get(request_id)
        if answer is None:
            await engine.handle(exchange)
        else:
            await self._repeat(exchange, answer)
        if exchange.is_finished:
            self.answer_by_request[request_id] = self._stream.sent

    async def _repeat(self, exchange, answer):
        """Serve a request, and send an earlier answer before its own one."""
        delay_s = 0.0
        if self._generator.random() >= EARLY_COPY_SHARE:
            delay_s = self._generator.uniform(0.0, self._engine.work_s)
        else:
            await self._send_earlier(answer)
        async with trio.open_nursery() as nursery:
            if delay_s:
                nursery.start_soon(self._send_earlier, answer, delay_s)
            await self._engine.handle(exchange)
            nursery.cancel_scope.cancel()

    async def _send_earlier(self, answer, delay_s=0.0):
        await trio.sleep(delay_s)
        self._engine.repeated_count += await self._stream.send_before(answer)

    async def _copy(self, answer):
        """Send a copy soon, before the next answer, or not at all."""
        draw = self._generator.random()
        if draw < IDLE_COPY_SHARE:
            # A request that comes meanwhile is answered after the copy.
            await trio.sleep(self._generator.uniform(0.0, COPY_DELAY_MAX_S))
            await self._stream.send_all(answer)
        elif draw < IDLE_COPY_SHARE + DUE_COPY_SHARE:
            self._due_copy = answer


async def start_engine(nursery, engine, generator):
    """Serve an engine on a free port; return the address.

    `generator` draws which answers are copied, and when.
    """

    async def serve(stream):
        await CopyingConnection(engine, generator, stream).serve()

    listeners = await trio.open_tcp_listeners(0, host=site_module.HOST)
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    port = listeners[0].socket.getsockname()[1]
    return f"{site_module.HOST}:{port}"
