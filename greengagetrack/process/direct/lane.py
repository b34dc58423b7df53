"""The calls of one entry to one server that makes pieces of stages."""

import trio

ASSUMED_S = 0.3
BATCH_WEIGHT = 0.25


class Lane:
    """The calls of this entry to one server, and the room used there."""

    __slots__ = (
        "_assumed",
        "_held",
        "batch_usual",
        "busy_until_s",
        "calls",
        "freed",
        "server",
        "used_bytes",
    )

    def __init__(self, server, batch_max):
        self.server = server
        self.batch_usual = float(batch_max)
        self.calls = 0
        self.busy_until_s = 0.0
        self.used_bytes = 0
        self.freed = []
        self._assumed = 0
        self._held = {}

    def note_batch(self, size, batch_max, is_cut):
        """Learn how many pieces a call takes when more are waiting.

        Where the room for results is short, calls are never full.
        """
        seen = size if is_cut else batch_max
        self.batch_usual += (seen - self.batch_usual) * BATCH_WEIGHT

    def hold(self, handle, size_bytes, until_s):
        """Note a result that takes room until it is freed or expires."""
        self._held[handle] = (size_bytes, until_s)

    def assume_used(self, size_bytes):
        """Count room as used for a moment that others have taken."""
        self._assumed += 1
        handle = f"assumed {self._assumed}"
        self.used_bytes += size_bytes
        until_s = trio.current_time() + ASSUMED_S
        self._held[handle] = (size_bytes, until_s)

    def release(self, handle):
        """Note that a result is freed; return whether it was held."""
        held = self._held.pop(handle, None)
        if held is None:
            return False
        self.used_bytes -= held[0]
        return True

    def release_expired(self):
        """Forget the results that the server has dropped by itself."""
        now = trio.current_time()
        for handle, (_size, until_s) in list(self._held.items()):
            if until_s <= now:
                self.release(handle)
