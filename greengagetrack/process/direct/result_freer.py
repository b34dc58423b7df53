"""Frees results on the servers that hold them, many with one request."""

import trio

FREE_DELAY_S = 0.01
PERMIT_CHECK_S = 0.05


class ResultFreer:
    """Frees the results of one pool.

    `needs_room(usage)` returns whether pieces wait for memory at a server,
    and `wake()` is called when there is more.
    """

    __slots__ = (
        "_directory",
        "_gateway",
        "_needs_room",
        "_nursery",
        "_permits",
        "_wake",
    )

    def __init__(self, dependencies, needs_room, wake):
        self._directory = dependencies.directory
        self._gateway = dependencies.gateway
        self._nursery = dependencies.nursery
        self._permits = dependencies.permits
        self._needs_room = needs_room
        self._wake = wake

    def free(self, usage, handles):
        """Free results on a server soon."""
        is_flush_due = not usage.pending_frees
        usage.pending_frees += handles
        if is_flush_due:
            self._nursery.start_soon(self._flush, usage)

    async def _flush(self, usage):
        is_due = False
        try:
            is_due = await self._wait_until_due(usage)
        finally:
            # However the wait ended, later results need one of their own.
            handles, usage.pending_frees = usage.pending_frees, []
        if is_due:
            await self._free_at_server(usage, handles)

    async def _wait_until_due(self, usage):
        """Return whether results are to be freed now; else never."""
        # After a short delay one call frees the results of many requests.
        await trio.sleep(FREE_DELAY_S)
        await usage.server.wait_until_unpaused()
        while not self._may_free(usage):
            await trio.sleep(PERMIT_CHECK_S)
            if not self._is_known(usage.server):
                return False
        return True

    async def _free_at_server(self, usage, handles):
        is_freed = await self._gateway.free_results(
            usage.server.published.address, handles
        )
        # Not before the server has freed them: a call that overtakes the
        # request would find its memory still in use. Results that could
        # not be freed stay in the account until the server expires them.
        if is_freed:
            for handle in handles:
                usage.release(handle)
            self._wake()

    def _may_free(self, usage):
        """Return whether results may be freed now.

        On a server that names a limit this takes as much of it as a call
        for pieces, which goes first while there is memory for it.
        """
        if usage.server.limit.per_s is None:
            return True
        return self._needs_room(usage) and self._permits.try_acquire(
            usage.server
        )

    def _is_known(self, server):
        return self._directory.server_by_id.get(server.server_id) is server


def new_result_freer(dependencies, needs_room, wake):
    """Return what frees the results of a pool."""
    return ResultFreer(dependencies, needs_room, wake)
