"""A fault of a soak: the store is back from an older copy.

The copy is older than a configuration that takes a key away. Entries are
restarted one after the other meanwhile, so some of them start on the copy.
"""

import signal

import trio

from bench.soak import site as site_module

# All times are since the copy was made.
WITHDRAWN_S = 0.2
AWAY_S = 3.2
BACK_S = 3.6
WRITTEN_AGAIN_S = 7.0
# The first entry has stopped by the time that the store is back.
ROLL_S = 0.9
READY_MAX_S = 4.0
# Shorter than the start of an entry.
CHECK_S = 0.1


class RestoredStore:
    """One restore of the store, beside a rolling restart of the entries.

    `withdraw_key()` takes a key away. `is_remembered()` returns whether the
    entries have seen that, so that they have to know better than the copy.
    `unstopped_names` are those of the entries that did not stop in time.
    """

    __slots__ = (
        "_is_remembered",
        "_site",
        "_started_s",
        "_withdraw_key",
        "unstopped_names",
    )

    def __init__(self, site, withdraw_key, is_remembered):
        self._site = site
        self._withdraw_key = withdraw_key
        self._is_remembered = is_remembered
        self._started_s = 0.0
        self.unstopped_names = []

    async def run(self):
        """Run until the store has what it lost, and all entries restarted."""
        self._started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restore)
            nursery.start_soon(self._roll_entries)

    async def _sleep_until(self, time_s):
        await trio.sleep_until(self._started_s + time_s)

    async def _restore(self):
        store = self._site.store
        copy = store.copy()
        await self._sleep_until(WITHDRAWN_S)
        self._withdraw_key()
        await self._sleep_until(AWAY_S)
        store.is_down = True
        await self._sleep_until(BACK_S)
        store.restore(copy)
        store.is_down = False
        written_again_s = self._started_s + WRITTEN_AGAIN_S
        while self._is_remembered() and trio.current_time() < written_again_s:
            await trio.sleep(CHECK_S)
        self._site.publish_config()

    async def _roll_entries(self):
        await self._sleep_until(ROLL_S)
        for entry in self._site.entries:
            if not entry.has_fault:
                await self._restart(entry)

    async def _restart(self, entry):
        entry.has_fault = True
        entry.signal(signal.SIGTERM)
        with trio.move_on_after(site_module.STOP_TIMEOUT_S) as scope:
            await entry.wait()
        if scope.cancelled_caught:
            self.unstopped_names.append(entry.name)
            return
        await self._sleep_until(BACK_S)
        entry.start()
        entry.has_fault = False
        entry.is_in_rotation = False
        with trio.move_on_after(READY_MAX_S):
            while not entry.is_in_rotation:
                await trio.sleep(site_module.READY_CHECK_S)
