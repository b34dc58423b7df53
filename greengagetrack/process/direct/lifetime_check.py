"""Finds out whether a connection leads to the lifetime that is known.

The server itself is asked, once for all connections that were opened
before. Only if it doesn't say its incarnation, the source is read: a server
publishes itself when it starts, but maybe a little later.

The same question tells a server that ended an answer from one that crashed:
only the first is still in the lifetime in which it answered.
"""

import functools
import logging
import math

import trio

from greengagetrack.connection import gateway as gateway_module

ASK_TIMEOUT_S = 0.4

_log = logging.getLogger(__name__)


class LifetimeChecks:
    """The checks of one entry, on all servers."""

    __slots__ = ("_directory", "_gateway", "_refresh")

    def __init__(self, directory, gateway, refresh):
        self._directory = directory
        self._gateway = gateway
        self._refresh = refresh

    def get_check(self, server, is_bound):
        """Return the check of the connection of a request to a server.

        What is bound to a software version goes only to the lifetime that
        is known. A new stream may go to any, but where there is doubt the
        server is asked, so that its version is known.
        """
        return functools.partial(self._check, server, is_bound)

    async def _check(self, server, is_bound, opened_s):
        """Return whether a request may go over a connection."""
        lifetime = server.lifetime
        if not is_bound and not lifetime.is_doubted():
            return True
        called_s = trio.current_time()
        async with lifetime.lock:
            # All who wait share one question, an unanswered one too.
            if lifetime.confirmed_s < opened_s and lifetime.asked_s < called_s:
                await self._ask(server)
        return not is_bound or lifetime.is_reached_by(opened_s)

    async def is_going_on(self, server):
        """Return whether a server, asked from now on, is in its lifetime.

        All who wait share one question. One that fails confirms nothing.
        """
        lifetime = server.lifetime
        called_s = trio.current_time()
        async with lifetime.lock:
            if not lifetime.is_over and lifetime.asked_s < called_s:
                await self._ask(server)
        return lifetime.is_reached_by(called_s)

    async def _ask(self, server):
        asked_s = server.lifetime.asked_s = trio.current_time()
        is_over = False
        try:
            await self._ask_since(server, asked_s)
            is_over = True
        finally:
            if not is_over:
                # Cancelled: those who wait have to ask themselves.
                server.lifetime.asked_s = -math.inf

    async def _ask_since(self, server, asked_s):
        incarnation = None
        with trio.move_on_after(ASK_TIMEOUT_S) as scope:
            incarnation = await self._gateway.ask_incarnation(server.published)
        is_failed = isinstance(incarnation, gateway_module.Failure)
        if scope.cancelled_caught or is_failed:
            server.lifetime.doubt()
        elif isinstance(incarnation, gateway_module.OtherServer):
            await self._end(server, "another server has the address")
        elif incarnation is None:
            await self._ask_source(server, asked_s)
        elif incarnation == server.lifetime.incarnation:
            server.lifetime.confirm(asked_s)
        else:
            await self._replace(server, incarnation, asked_s)

    async def _ask_source(self, server, asked_s):
        if not await self._refresh():
            return
        if self._directory.server_by_id.get(server.server_id) is server:
            server.lifetime.confirm(asked_s)
        else:
            server.lifetime.end()

    async def _replace(self, server, incarnation, asked_s):
        """Record that a server has started again, and as what."""
        await self._end(server, "server has started again")
        current = self._directory.get_same(server.server_id, incarnation)
        if current is not None:
            current.lifetime.confirm(asked_s)

    async def _end(self, server, message):
        """Record the end of a lifetime; learn what came after it."""
        server.lifetime.end()
        _log.info(
            message,
            extra={"decision": "directory", "server": server.server_id},
        )
        await self._refresh()


def new_lifetime_checks(directory, gateway, refresh):
    """Return the checks of an entry.

    `await refresh()` reads the source and returns whether it answered.
    """
    return LifetimeChecks(directory, gateway, refresh)
