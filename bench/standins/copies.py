"""Engines that send a whole answer once more on its kept connection.

The copy comes some time after the answer: while the connection is idle, or
where the answer to the next request is expected.
"""

import trio

from bench.standins import site as site_module
from greengagetrack.connection.http import server as server_module
from greengagetrack.version import catalog

# Of all answers.
IDLE_COPY_SHARE = 0.15
DUE_COPY_SHARE = 0.3
COPY_DELAY_MAX_S = 0.15


class _RecordingStream:
    """A TCP stream that keeps what was sent since the last `forget`."""

    __slots__ = ("_stream", "sent", "socket")

    def __init__(self, stream):
        self._stream = stream
        self.socket = stream.socket
        self.sent = b""

    def forget(self):
        """Forget what was sent."""
        self.sent = b""

    async def send_all(self, data):
        """Send bytes and keep them."""
        self.sent += data
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes):
        """Receive bytes."""
        return await self._stream.receive_some(max_bytes)

    async def send_eof(self):
        """Close the sending side."""
        await self._stream.send_eof()


class CopyingConnection:
    """A connection of an engine, with copies while `engine.is_copying`."""

    __slots__ = ("_due_copy", "_engine", "_generator", "_stream")

    def __init__(self, engine, generator, stream):
        self._due_copy = b""
        self._engine = engine
        self._generator = generator
        self._stream = _RecordingStream(stream)

    async def serve(self):
        """Serve requests until the connection closes."""
        server = server_module.new_server(
            "", self._handle, catalog.CallerLimits
        )
        await server.serve_connection(self._stream)

    async def _handle(self, exchange):
        await self._stream.send_all(self._due_copy)
        self._due_copy = b""
        self._stream.forget()
        await self._engine.handle(exchange)
        if self._engine.is_copying and exchange.is_finished:
            await self._copy(self._engine.get_copy(self._stream.sent))

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
