"""TCP proxies on loopback that inject network faults."""

import trio

HOST = "127.0.0.1"
SLOW_S = 0.6


class TcpProxy:
    """A TCP proxy for one target address, with injected faults.

    `delay_s` delays all bytes; `is_silent` discards the bytes that the
    target sends; `is_cut` discards the bytes of both directions. Once a
    connection has lost bytes, it forwards no more in that direction. A
    `spoiler` changes what the target sends, and may end the connection.
    """

    def __init__(self, target):
        self.address = ""
        self.delay_s = 0.0
        self.is_silent = False
        self.is_cut = False
        self.spoiler = None
        self._target = target
        self._scopes = set()
        self._nursery = None
        self._port = 0
        self._listening = None

    async def start(self, nursery):
        """Listen on a free port."""
        self._nursery = nursery
        await self.listen()

    async def listen(self):
        """Listen, on the same port as before if there was one."""
        listeners = await trio.open_tcp_listeners(self._port, host=HOST)
        self._port = listeners[0].socket.getsockname()[1]
        self.address = f"{HOST}:{self._port}"
        self._listening = trio.CancelScope()
        self._nursery.start_soon(self._serve, listeners, self._listening)

    async def _serve(self, listeners, scope):
        with scope:
            await trio.serve_listeners(self._forward_connection, listeners)

    def crash(self):
        """Close all connections and refuse others until `listen`."""
        self._listening.cancel()

    def inject(self, fault):
        """Inject a fault: `reset`, `slow`, `silent` or `cut`."""
        if fault == "reset":
            self.reset()
        elif fault == "slow":
            self.delay_s = SLOW_S
        elif fault == "silent":
            self.is_silent = True
        else:
            self.is_cut = True

    def reset(self):
        """Close all connections at once."""
        for scope in list(self._scopes):
            scope.cancel()

    def clear_faults(self):
        """End all faults; connections that lost bytes stay silent."""
        self.delay_s = 0.0
        self.is_silent = self.is_cut = False

    async def _forward_connection(self, stream):
        host, _separator, port = self._target.rpartition(":")
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                target_stream = await trio.open_tcp_stream(host, int(port))
                async with (
                    stream,
                    target_stream,
                    trio.open_nursery() as nursery,
                ):
                    nursery.start_soon(
                        self._forward_bytes, stream, target_stream, scope, True
                    )
                    nursery.start_soon(
                        self._forward_bytes,
                        target_stream,
                        stream,
                        scope,
                        False,
                    )
            except OSError:
                pass
            finally:
                self._scopes.discard(scope)
        await trio.aclose_forcefully(stream)

    async def _forward_bytes(self, source, sink, scope, is_to_target):
        is_discarding = False
        try:
            async for data in source:
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                is_discarding |= self.is_cut or (
                    self.is_silent and not is_to_target
                )
                is_last = False
                if self.spoiler is not None and not is_to_target:
                    data = self.spoiler.spoil(data)
                    is_last = self.spoiler.is_last
                if not is_discarding:
                    await sink.send_all(data)
                if is_last:
                    break
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


async def new_proxy(nursery, target):
    """Start a proxy to `target` without faults; return it."""
    proxy = TcpProxy(target)
    await proxy.start(nursery)
    return proxy
