"""A fault of a soak: engines crash, and are back, while entries stand still.

Some answers of the engines have neither a length nor chunks. The entries read
their ends when the engines listen again.
"""

import signal

import trio

# Streams without a length that last so long are in progress at the crash.
EVENT_INTERVAL_S = 0.25
# All times are since the first of these answers.
FREEZE_S = 1.0
CRASH_S = 1.05
BACK_S = 1.8
WAKE_S = 2.4


class UnseenCrash:
    """One crash of all engines of streams, which some entries don't see."""

    __slots__ = ("_engines", "_entries", "_site", "_started_s")

    def __init__(self, site, engines, entries):
        self._site = site
        self._engines = engines
        self._entries = entries
        self._started_s = 0.0

    async def run(self):
        """Run until the entries go on."""
        self._started_s = trio.current_time()
        interval_s = self._engines[0].event_interval_s
        self._set_answers(True, EVENT_INTERVAL_S)
        await self._sleep_until(FREEZE_S)
        for entry in self._entries:
            entry.signal(signal.SIGSTOP)
        await self._sleep_until(CRASH_S)
        proxies = [
            self._site.proxy_by_engine[engine.engine_id]
            for engine in self._engines
        ]
        for proxy in proxies:
            proxy.crash()
        self._set_answers(False, interval_s)
        await self._sleep_until(BACK_S)
        for engine, proxy in zip(self._engines, proxies, strict=True):
            await proxy.listen()
            self._site.restart_engine(engine, engine.version)
        await self._sleep_until(WAKE_S)
        for entry in self._entries:
            entry.signal(signal.SIGCONT)

    async def _sleep_until(self, time_s):
        await trio.sleep_until(self._started_s + time_s)

    def _set_answers(self, is_unframed, event_interval_s):
        for engine in self._engines:
            engine.is_unframed = is_unframed
            engine.event_interval_s = event_interval_s
