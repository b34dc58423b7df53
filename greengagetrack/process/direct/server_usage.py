"""One entry's use of one server that makes pieces of stages."""

import math

import trio

from greengagetrack.process.direct.decisions import told_load

TYPICAL_BATCH_WEIGHT = 0.25
RESULT_LIFE_WEIGHT = 0.05
RESULT_LIFE_START_S = 0.5
LIMIT_CALL_SHARE = 0.5


class ServerUsage:
    """This entry's calls to one server and the result memory used there.

    `pending_frees` are handles that the next free request will carry.
    """

    __slots__ = (
        "_result_by_handle",
        "_result_life_s",
        "_unrecorded_bytes",
        "_unrecorded_s",
        "busy_until_s",
        "calls_in_flight",
        "full_until_s",
        "pending_frees",
        "refusals",
        "server",
        "typical_batch",
        "used_bytes",
    )

    def __init__(self, server, batch_max):
        self.server = server
        self.typical_batch = float(batch_max)
        self.calls_in_flight = 0
        self.busy_until_s = 0.0
        self.full_until_s = 0.0
        self.refusals = 0
        self.used_bytes = 0
        self.pending_frees = []
        self._result_by_handle = {}
        self._result_life_s = RESULT_LIFE_START_S
        self._unrecorded_bytes = 0
        self._unrecorded_s = 0.0

    def update_typical_batch(self, size, batch_max, is_more_waiting):
        """Update the moving average of the pieces that fit into a call.

        Only a call that leaves pieces waiting counts with its own size:
        where memory for results is short, calls are never full.
        """
        batch_size = size if is_more_waiting else batch_max
        self.typical_batch += (
            batch_size - self.typical_batch
        ) * TYPICAL_BATCH_WEIGHT

    def get_wait_s(self, now_s, call_s=0.0):
        """Return the time until a call may start at the server.

        Calls of others there take `call_s` each, as far as it tells them.
        """
        wait_s = max(self.busy_until_s, self.full_until_s) - now_s
        wait_s = max(wait_s, self.server.told_load.get_others_wait_s(call_s))
        limit = self.server.limit
        if limit.queue is None:
            return wait_s
        return max(wait_s, limit.queue.get_next_s(now_s))

    def is_free(self, slots):
        """Return whether the server may get one more call."""
        is_full = trio.current_time() < self.full_until_s
        return self.calls_in_flight < slots and not is_full

    def record_refused(self, call_s):
        """Record that the server had no place for a call of `call_s`."""
        self.refusals += 1
        others_wait_s = self.server.told_load.get_others_wait_s(call_s)
        self.full_until_s = trio.current_time() + told_load.get_full_s(
            call_s, others_wait_s, self.refusals
        )

    def count_per_round(self, round_s):
        """Return the pieces that the server makes in `round_s`.

        Of what a limit allows, one half is for requests to free results.
        """
        limit_per_s = self.server.limit.per_s
        if limit_per_s is None:
            return self.typical_batch
        calls = min(limit_per_s * LIMIT_CALL_SHARE * round_s, 1.0)
        return self.typical_batch * calls

    def record_result(self, handle, size_bytes, until_s):
        """Record a result that uses memory until it is freed or expires."""
        now = trio.current_time()
        self._result_by_handle[handle] = (size_bytes, until_s, now)

    def record_full(self, memory_bytes):
        """Record that the server had no memory left for a result.

        What is not recorded here are results of an earlier owner of the
        pool. They are freed about as soon as others.
        """
        self._unrecorded_bytes = max(memory_bytes - self.used_bytes, 0)
        self._unrecorded_s = trio.current_time()

    def get_free_bytes(self, memory_bytes):
        """Return the memory that is left for results.

        A service that publishes no memory has no limit.
        """
        if not memory_bytes:
            return math.inf
        age_s = trio.current_time() - self._unrecorded_s
        left_share = max(1 - age_s / self._result_life_s, 0.0)
        unrecorded_bytes = self._unrecorded_bytes * left_share
        return memory_bytes - self.used_bytes - unrecorded_bytes

    def release(self, handle):
        """Remove a freed result; return whether it was recorded."""
        result = self._result_by_handle.pop(handle, None)
        if result is None:
            return False
        size_bytes, _until_s, recorded_s = result
        self.used_bytes -= size_bytes
        life_s = trio.current_time() - recorded_s
        self._result_life_s += (
            life_s - self._result_life_s
        ) * RESULT_LIFE_WEIGHT
        return True

    def release_expired(self):
        """Remove the results that the server has expired by itself."""
        now = trio.current_time()
        for handle, result in list(self._result_by_handle.items()):
            if result[1] <= now:
                self.release(handle)
