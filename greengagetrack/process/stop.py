"""Requests to stop the process, from SIGTERM, SIGINT or a caller."""

import signal

import trio


class Stop:
    """A request to stop: first with a drain, then at once."""

    __slots__ = ("drain_requested", "exit_requested")

    def __init__(self):
        self.drain_requested = trio.Event()
        self.exit_requested = trio.Event()

    def request(self):
        """Request a drain, or, from the second call on, an exit at once."""
        if self.drain_requested.is_set():
            self.exit_requested.set()
        self.drain_requested.set()

    async def watch_signals(self):
        """Request a stop on each SIGTERM and SIGINT."""
        signals = (signal.SIGTERM, signal.SIGINT)
        with trio.open_signal_receiver(*signals) as received:
            async for _signal in received:
                self.request()


async def run_until_stopped(run):
    """Return the result of `await run(stop)`; signals request the stop."""
    stop = Stop()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop.watch_signals)
        code = await run(stop)
        nursery.cancel_scope.cancel()
    return code
