"""The persistent connections to all servers."""

import trio

from greengagetrack.connection import contained_error
from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection.http.client import failures
from greengagetrack.connection.http.client import persistent_connection
from greengagetrack.connection.http.client import turns as turns_module

CONNECT_TIMEOUT_S = 0.4
FRESH_IDLE_MAX_S = 1.0


class Pool:
    """The connections to all servers, by address and lane."""

    __slots__ = (
        "_idle_by_key",
        "_nursery",
        "count_by_address",
        "error_observer",
        "on_idle_closed",
        "opened_count",
        "turns",
    )

    def __init__(self, nursery):
        self._nursery = nursery
        self._idle_by_key = {}
        self.count_by_address = {}
        self.opened_count = 0
        self.turns = turns_module.new_turns()
        # Called with the address if the server has closed idle connections.
        self.on_idle_closed = None
        # Counts the unforeseen errors that end a long send.
        self.error_observer = contained_error.UncountedErrors()

    def count(self, address):
        """Return how many connections to `address` are open or opening."""
        return self.count_by_address.get(address, 0)

    def count_idle(self, address):
        """Return how many connections to `address` are idle."""
        return sum(
            len(idle)
            for key, idle in self._idle_by_key.items()
            if key[0] == address
        )

    async def open_call(
        self,
        address,
        request,
        body,
        *,
        needs_fresh_connection=False,
        lane=b"",
        request_id=None,
        check=None,
    ):
        """Send a request; return a `Call` or a failure.

        The failure is `NotSent`, `InvalidRequest` or `ResponseFailure`.

        `await check(opened_s)` returns whether the request may go over a
        connection that was opened at that time.

        `needs_fresh_connection` limits the choice to a new connection or
        one idle for at most `FRESH_IDLE_MAX_S`, which the server is
        unlikely to be closing. Requests of different lanes share no
        connection, nor do requests with the same `request_id`, by which
        their responses are told apart.
        """
        idle_max_s = (
            FRESH_IDLE_MAX_S
            if needs_fresh_connection
            else persistent_connection.DEFAULT_IDLE_MAX_S
        )
        connection = self._pop_idle((address, lane), idle_max_s, request_id)
        if connection is None:
            connection = await self._connect(address, lane)
        if isinstance(connection, failures.NotSent):
            return connection
        call = call_module.Call(self, connection, request, request_id)
        is_started = False
        try:
            if check is not None and not await check(connection.opened_s):
                return failures.NotSent("the server may have started again")
            if connection.is_readable():
                return failures.NotSent("closed, or used, during the check")
            failure = await call.send(body, self._nursery)
            is_started = failure is None
        finally:
            if not is_started:
                self.drop(connection)
        return call if is_started else failure

    def _pop_idle(self, key, idle_max_s, request_id):
        """Return the connection that was used last, or None."""
        idle = self._idle_by_key.get(key, [])
        passed_over = None
        for connection in reversed(idle.copy()):
            if connection.has_carried(request_id):
                passed_over = passed_over or connection
                continue
            if connection.is_usable(idle_max_s):
                idle.remove(connection)
                return connection
            if connection.is_usable(connection.idle_max_s):
                # The others have been idle for longer.
                break
            idle.remove(connection)
            self._drop_idle(connection)
        if passed_over is not None:
            # Requests that repeat an id would pile up connections.
            idle.remove(passed_over)
            self._drop_idle(passed_over)
        return None

    def _drop_idle(self, connection):
        is_closed = connection.is_readable()
        self.drop(connection)
        if is_closed and self.on_idle_closed is not None:
            self.on_idle_closed(connection.address)

    async def is_refusing(self, address):
        """Return whether connections to `address` are refused.

        One that is accepted stays in the pool.
        """
        connection = await self._connect(address)
        if isinstance(connection, failures.NotSent):
            return connection.is_refused
        self.release(connection)
        return False

    async def _connect(self, address, lane=b""):
        host, _separator, port = address.rpartition(":")
        self.count_by_address[address] = self.count(address) + 1
        is_open = False
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                stream = await persistent_connection.open_stream(
                    host, int(port)
                )
                is_open = True
        except OSError as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            return failures.NotSent(str(error), is_refused)
        finally:
            if not is_open:
                self._decrement_count(address)
        if not is_open:
            return failures.NotSent("connection timed out")
        self.opened_count += 1
        return persistent_connection.Connection(
            self.opened_count, address, lane, stream
        )

    def release(self, connection):
        """Return a reusable connection to the pool."""
        connection.idle_since_s = trio.current_time()
        key = connection.address, connection.lane
        self._idle_by_key.setdefault(key, []).append(connection)

    def drop(self, connection):
        """Close a connection and remove it from the count."""
        connection.close()
        self._decrement_count(connection.address)

    def _decrement_count(self, address):
        remaining = self.count(address) - 1
        if remaining > 0:
            self.count_by_address[address] = remaining
        else:
            self.count_by_address.pop(address, None)

    def drop_expired(self):
        """Close the idle connections that can't be reused."""
        for key, idle in list(self._idle_by_key.items()):
            for connection in list(idle):
                if not connection.is_usable(connection.idle_max_s):
                    idle.remove(connection)
                    self._drop_idle(connection)
            if not idle:
                del self._idle_by_key[key]

    def drop_connections(self, address):
        """Close the idle connections to a server that was removed."""
        for key in list(self._idle_by_key):
            if key[0] == address:
                for connection in self._idle_by_key.pop(key):
                    self.drop(connection)


def new_pool(nursery):
    """Return a pool that sends long requests in `nursery`."""
    return Pool(nursery)
