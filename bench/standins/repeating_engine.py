"""Engines whose answers name the sending of a request, not only its id.

A target is used once only, so an answer that names another one belongs to
another sending.
"""

from bench.standins import site as site_module

FULL_STATUS = 503
WORK_S = 0.03


class RepeatingEngine(site_module.EngineStandIn):
    """An engine that refuses a share of its requests, as if it were full."""

    def __init__(self, engine_id, service, is_stream, generator):
        super().__init__(engine_id, service, "dc-a", is_stream)
        self._generator = generator
        self.full_share = 0.0
        self.work_s = self.head_s = WORK_S

    def get_event(self, exchange, number):
        """Return an event that names the target."""
        return site_module.new_event(number, exchange.target, self.version)

    async def _run(self, exchange):
        if self._generator.random() < self.full_share:
            await self._refuse(exchange, FULL_STATUS)
        else:
            await super()._run(exchange)


def get_body(method, target, is_stream):
    """Return the whole body of the answer to a sending."""
    if not is_stream:
        return method + b" " + target
    return b"".join(
        site_module.new_event(number, target)
        for number in range(1, site_module.EVENT_COUNT + 1)
    )
