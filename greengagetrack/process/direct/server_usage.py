"""One entry's use of one server that makes pieces of stages."""

import trio

ASSUMED_USE_S = 0.3
TYPICAL_BATCH_WEIGHT = 0.25


class ServerUsage:
    """This entry's calls to one server and the result memory used there.

    `pending_frees` are handles that the next free request will carry.
    """

    __slots__ = (
        "_assumed_count",
        "_result_by_handle",
        "busy_until_s",
        "calls_in_flight",
        "pending_frees",
        "server",
        "typical_batch",
        "used_bytes",
    )

    def __init__(self, server, batch_max):
        self.server = server
        self.typical_batch = float(batch_max)
        self.calls_in_flight = 0
        self.busy_until_s = 0.0
        self.used_bytes = 0
        self.pending_frees = []
        self._assumed_count = 0
        self._result_by_handle = {}

    def update_typical_batch(self, size, batch_max, is_more_waiting):
        """Update the moving average of the pieces that fit into a call.

        Only a call that leaves pieces waiting counts with its own size:
        where memory for results is short, calls are never full.
        """
        batch_size = size if is_more_waiting else batch_max
        self.typical_batch += (
            batch_size - self.typical_batch
        ) * TYPICAL_BATCH_WEIGHT

    def record_result(self, handle, size_bytes, until_s):
        """Record a result that uses memory until it is freed or expires."""
        self._result_by_handle[handle] = (size_bytes, until_s)

    def assume_used(self, size_bytes):
        """Treat memory as used by others for `ASSUMED_USE_S`."""
        self._assumed_count += 1
        handle = f"assumed {self._assumed_count}"
        self.used_bytes += size_bytes
        until_s = trio.current_time() + ASSUMED_USE_S
        self._result_by_handle[handle] = (size_bytes, until_s)

    def release(self, handle):
        """Remove a freed result; return whether it was recorded."""
        result = self._result_by_handle.pop(handle, None)
        if result is None:
            return False
        self.used_bytes -= result[0]
        return True

    def release_expired(self):
        """Remove the results that the server has expired by itself."""
        now = trio.current_time()
        for handle, (_size, until_s) in list(self._result_by_handle.items()):
            if until_s <= now:
                self.release(handle)
