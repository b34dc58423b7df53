"""Carries TCP on loopback, and harms it from outside."""

import trio

HOST = "127.0.0.1"
SLOW_S = 0.6


class Wire:
    """One address that stands for another, and what is wrong with it.

    `delay_s` holds all bytes up; `is_silent` loses what the target says
    while the other way works; `is_cut` lets no byte through either way.
    Bytes that were lost never come: such a connection is silent for good.
    """

    def __init__(self, target):
        self.address = ""
        self.delay_s = 0.0
        self.is_silent = False
        self.is_cut = False
        self._target = target
        self._scopes = set()

    async def start(self, nursery):
        """Listen on a free port."""
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        self.address = f"{HOST}:{port}"
        nursery.start_soon(trio.serve_listeners, self._carry, listeners)

    def harm(self, how):
        """Harm it: `reset`, `slow`, `silent` or `cut`."""
        if how == "reset":
            self.reset()
        elif how == "slow":
            self.delay_s = SLOW_S
        elif how == "silent":
            self.is_silent = True
        else:
            self.is_cut = True

    def reset(self):
        """End all connections at once."""
        for scope in list(self._scopes):
            scope.cancel()

    def heal(self):
        """Carry everything again; what went silent stays so."""
        self.delay_s = 0.0
        self.is_silent = self.is_cut = False

    async def _carry(self, stream):
        host, _separator, port = self._target.rpartition(":")
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                other = await trio.open_tcp_stream(host, int(port))
                async with stream, other, trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, stream, other, scope, True)
                    nursery.start_soon(self._pump, other, stream, scope, False)
            except OSError:
                pass
            finally:
                self._scopes.discard(scope)
        await trio.aclose_forcefully(stream)

    async def _pump(self, source, sink, scope, is_inward):
        is_lost = False
        try:
            async for data in source:
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                is_lost |= self.is_cut or (self.is_silent and not is_inward)
                if not is_lost:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


async def new_wire(nursery, target):
    """Return a wire to `target` that carries everything."""
    wire = Wire(target)
    await wire.start(nursery)
    return wire
