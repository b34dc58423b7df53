"""The wish to stop a process, and the signals that carry it."""

import signal

import trio


class Stop:
    """The wish to stop: first gracefully, then at once."""

    __slots__ = ("drain", "now")

    def __init__(self):
        self.drain = trio.Event()
        self.now = trio.Event()

    def ask(self):
        """Ask to stop: the second time means at once."""
        if self.drain.is_set():
            self.now.set()
        self.drain.set()

    async def follow_signals(self):
        """Take SIGTERM and SIGINT as wishes to stop."""
        signals = (signal.SIGTERM, signal.SIGINT)
        with trio.open_signal_receiver(*signals) as received:
            async for _signal in received:
                self.ask()


async def run_until_stopped(run):
    """Return what `await run(stop)` returns; signals ask it to stop."""
    stop = Stop()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(stop.follow_signals)
        code = await run(stop)
        nursery.cancel_scope.cancel()
    return code
