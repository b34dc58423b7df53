"""Relays TCP between regions with a delay, and counts the bytes."""

import collections

import trio

CHUNK_BYTES = 65536
MAX_QUEUED_CHUNKS = 4096


class RegionLinks:
    """The links between regions: their delay, byte counts and cuts."""

    def __init__(self, delay_s):
        self.delay_s = delay_s
        self.bytes_by_pair = collections.Counter()
        self.cut_pairs = set()
        self._scopes_by_pair = collections.defaultdict(set)

    def cut(self, region, other):
        """Close all connections between two regions and refuse new ones."""
        pair = _get_pair(region, other)
        self.cut_pairs.add(pair)
        for scope in list(self._scopes_by_pair[pair]):
            scope.cancel()

    def restore_links(self):
        """Accept connections between all regions again."""
        self.cut_pairs.clear()

    def is_cut(self, region, other):
        """Return whether the link between two regions is cut."""
        return _get_pair(region, other) in self.cut_pairs

    def count_bytes(self, region, other, size):
        """Count bytes between two regions that did not use the relays."""
        self.bytes_by_pair[_get_pair(region, other)] += size

    async def forward(self, stream, target, pair):
        """Forward a connection until a peer closes it or the link is cut."""
        if pair in self.cut_pairs:
            await trio.aclose_forcefully(stream)
            return
        with trio.CancelScope() as scope:
            self._scopes_by_pair[pair].add(scope)
            try:
                await self._forward_to_target(stream, target, pair)
            except OSError:
                pass
            finally:
                self._scopes_by_pair[pair].discard(scope)
                await trio.aclose_forcefully(stream)

    async def _forward_to_target(self, stream, target, pair):
        target_stream = await trio.open_tcp_stream(*target)
        try:
            async with trio.open_nursery() as nursery:
                scope = nursery.cancel_scope
                nursery.start_soon(
                    self._forward_bytes, stream, target_stream, pair, scope
                )
                nursery.start_soon(
                    self._forward_bytes, target_stream, stream, pair, scope
                )
        finally:
            await trio.aclose_forcefully(target_stream)

    async def _forward_bytes(self, source, sink, pair, scope):
        send, receive = trio.open_memory_channel(MAX_QUEUED_CHUNKS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_delayed, receive, sink, scope)
            try:
                async with send:
                    async for data in source:
                        self.bytes_by_pair[pair] += len(data)
                        due_s = trio.current_time() + self.delay_s
                        await send.send((due_s, data))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                scope.cancel()

    async def _send_delayed(self, receive, sink, scope):
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
    region_links,
    region,
    other,
    target,
    task_status=trio.TASK_STATUS_IGNORED,
):
    """Forward connections from one region to a target in another one.

    The task reports the port that it listens on when it has started.
    """
    pair = _get_pair(region, other)

    async def handle(stream):
        await region_links.forward(stream, target, pair)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    task_status.started(port)
    async with trio.open_nursery() as nursery:
        await trio.serve_listeners(handle, listeners, handler_nursery=nursery)
