"""Engines that start again under other ids, at their addresses, often."""

import trio

INTERVAL_RANGE_S = (0.3, 0.9)
# Entries have read the store by then.
LISTED_S = 1.2
# Entries that read the store meanwhile know of the new id.
MISDIRECTED_MAX_S = 0.3


class Renames:
    """The changes of the id of one engine, until they are stopped.

    `may_go_on()` returns whether the engine may be registered again.
    """

    __slots__ = ("_engine", "_generator", "_may_go_on", "_site", "count")

    def __init__(self, site, engine, generator, may_go_on):
        self._site = site
        self._engine = engine
        self._generator = generator
        self._may_go_on = may_go_on
        self.count = 0

    async def run(self, end_s):
        """Change the id until `end_s`, and withdraw the ids of before."""
        generator, engine = self._generator, self._engine
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(generator.uniform(*INTERVAL_RANGE_S))
                if not self._may_go_on():
                    break
                engine.misdirected_s = generator.uniform(
                    0.0, MISDIRECTED_MAX_S
                )
                nursery.start_soon(self._withdraw, engine.instance_id)
                self.count += 1
                self._site.rename(engine, f"{engine.engine_id}-{self.count}")
        engine.misdirected_s = 0.0

    async def _withdraw(self, instance_id):
        await trio.sleep(LISTED_S)
        self._site.withdraw(instance_id)


def new_renames(site, engine, generator, may_go_on=lambda: True):
    """Return the changes of the id of an engine of a site."""
    return Renames(site, engine, generator, may_go_on)
