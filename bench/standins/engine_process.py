"""A stand-in of an engine that is a process of its own.

Run as a program, it writes a line, waits for one of JSON, `EngineParameters`,
then listens and writes another line. So it can be started ahead, and listens
within milliseconds. It ends when it is killed.
"""

import json
import socket
import subprocess
import sys
import time

import msgspec
import trio

from bench.standins import site as site_module
from greengagetrack.connection.http import server as server_module
from greengagetrack.platform import names
from greengagetrack.version import catalog

READY = b"ready\n"
LISTENING = b"listening\n"


class EngineParameters(msgspec.Struct):
    """What a process needs to be an engine.

    Of its answers, each `unframed_every`th has neither a length nor chunks;
    with 0 none has. Without `is_stream` it answers whole or makes pieces.
    """

    engine_id: str
    service: str
    port: int
    version: str
    born: int
    event_count: int
    event_interval_s: float
    unframed_every: int
    is_stream: bool = True

    @property
    def address(self):
        """The address at which the process listens."""
        return f"{site_module.HOST}:{self.port}"


class ProcessEngine(site_module.EngineStandIn):
    """The engine within its process."""

    def __init__(self, parameters):
        super().__init__(
            parameters.engine_id,
            parameters.service,
            "dc-a",
            parameters.is_stream,
        )
        self.address = parameters.address
        self.version = parameters.version
        self.born = parameters.born
        self.event_count = parameters.event_count
        self.event_interval_s = parameters.event_interval_s
        self._unframed_every = parameters.unframed_every
        self._answers = 0

    async def _run(self, exchange):
        self._answers += 1
        every = self._unframed_every
        self.is_unframed = bool(every) and self._answers % every == 0
        await super()._run(exchange)


class _OrderlySocket:
    """A socket that the system closes in an orderly way at a kill.

    This project's own server asks for a reset, other programs don't.
    """

    def __init__(self, inner):
        self._inner = inner

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def setsockopt(self, level, option, value):
        """Set any option but that of a reset."""
        if option != socket.SO_LINGER:
            self._inner.setsockopt(level, option, value)


def _write(line):
    sys.stdout.buffer.write(line)
    sys.stdout.buffer.flush()


async def _serve(parameters):
    engine = ProcessEngine(parameters)
    server = server_module.new_server("", engine.handle, catalog.CallerLimits)

    async def serve_connection(stream):
        stream.socket = _OrderlySocket(stream.socket)
        await server.serve_connection(stream)

    listeners = await trio.open_tcp_listeners(
        parameters.port, host=site_module.HOST
    )
    _write(LISTENING)
    await trio.serve_listeners(serve_connection, listeners)


class RestartingEngine:
    """An engine that is killed, and back at its address soon after.

    The process of its next life has started already, and only has to
    listen.
    """

    def __init__(self, parameters):
        self.parameters = parameters
        self._process = None
        self._is_next_ready = False
        self._next = self._start_process()

    def _start_process(self):
        return subprocess.Popen(
            [sys.executable, "-m", __name__],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    @property
    def engine_id(self):
        """The id of this life."""
        return self.parameters.engine_id

    instance_id = engine_id

    @property
    def version(self):
        """The software version of this life."""
        return self.parameters.version

    def get_registration(self, state=names.READY):
        """Return the record that the engine registers in the store."""
        return {
            "service": self.parameters.service,
            "address": self.parameters.address,
            "zone": "dc-a",
            "state": state,
            "version": self.parameters.version,
            "slots": 64,
            "born": self.parameters.born,
        }

    async def prepare(self):
        """Wait until the process of the next life can listen at once."""
        if not self._is_next_ready:
            await trio.to_thread.run_sync(self._read, READY)
            self._is_next_ready = True

    def _read(self, line):
        if self._next.stdout.readline() != line:
            raise OSError(f"{self.engine_id} can't go on")

    async def listen(self):
        """Let the next process be the engine; prepare one more."""
        await self.prepare()
        self.parameters.born = int(time.time() * 1000)
        line = json.dumps(msgspec.to_builtins(self.parameters)) + "\n"
        self._next.stdin.write(line.encode())
        self._next.stdin.flush()
        await trio.to_thread.run_sync(self._read, LISTENING)
        self._process, self._next = self._next, self._start_process()
        self._is_next_ready = False

    async def kill(self):
        """Kill the process that is the engine; return once it has ended."""
        if self._process is not None:
            self._process.kill()
            await trio.to_thread.run_sync(self._process.wait)

    def stop(self):
        """Kill all processes."""
        for process in (self._process, self._next):
            if process is not None:
                process.kill()
                process.wait()


if __name__ == "__main__":
    _write(READY)
    line = sys.stdin.buffer.readline()
    if line:
        trio.run(_serve, msgspec.json.decode(line, type=EngineParameters))
