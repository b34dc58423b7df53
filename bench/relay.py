"""Carries TCP between regions: with delay, with cuts, counting bytes."""

import collections

import trio

CHUNK_BYTES = 65536
QUEUE_MAX = 4096


class Fabric:
    """The links between regions: their delay, bytes and cuts."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.bytes_by_pair = collections.Counter()
        self.cut_pairs = set()
        self._scopes_by_pair = collections.defaultdict(set)

    def cut(self, region, other):
        """Break all connections of a pair, and let no new one through."""
        pair = _get_pair(region, other)
        self.cut_pairs.add(pair)
        for scope in list(self._scopes_by_pair[pair]):
            scope.cancel()

    def heal(self):
        """Let all pairs through again."""
        self.cut_pairs.clear()

    def is_cut(self, region, other):
        """Return whether a pair is cut."""
        return _get_pair(region, other) in self.cut_pairs

    def count(self, region, other, size):
        """Count bytes that crossed beside the relays."""
        self.bytes_by_pair[_get_pair(region, other)] += size

    async def carry(self, stream, target, pair):
        """Carry one connection until an end closes or it is cut."""
        if pair in self.cut_pairs:
            await trio.aclose_forcefully(stream)
            return
        with trio.CancelScope() as scope:
            self._scopes_by_pair[pair].add(scope)
            try:
                await self._connect(stream, target, pair)
            except OSError:
                pass
            finally:
                self._scopes_by_pair[pair].discard(scope)
                await trio.aclose_forcefully(stream)

    async def _connect(self, stream, target, pair):
        other = await trio.open_tcp_stream(*target)
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(self._pump, stream, other, pair, scope)
                nursery.start_soon(self._pump, other, stream, pair, scope)
        finally:
            await trio.aclose_forcefully(other)

    async def _pump(self, source, sink, pair, scope):
        send, receive = trio.open_memory_channel(QUEUE_MAX)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._deliver, receive, sink, scope)
            try:
                async with send:
                    async for data in source:
                        self.bytes_by_pair[pair] += len(data)
                        due_s = trio.current_time() + self.delay_s
                        await send.send((due_s, data))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                scope.cancel()

    async def _deliver(self, receive, sink, scope):
        try:
            async for due_s, data in receive:
                await trio.sleep_until(due_s)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def _get_pair(region, other):
    return tuple(sorted((region, other)))


async def serve(
    fabric, region, other, target, task_status=trio.TASK_STATUS_IGNORED
):
    """Listen for one region, and carry to a target in another one.

    The task starts with the port that it listens on.
    """
    pair = _get_pair(region, other)

    async def handle(stream):
        await fabric.carry(stream, target, pair)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    task_status.started(port)
    async with trio.open_nursery() as nursery:
        await trio.serve_listeners(handle, listeners, handler_nursery=nursery)
