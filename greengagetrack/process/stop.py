"""Requests to stop the process, from SIGTERM, SIGINT or a caller."""

import signal

import trio


class Stop:
    """A request to stop: with a drain, and at a terminal also at once.

    A supervisor may repeat its SIGTERM, which changes nothing: it kills the
    process itself when its patience is over. A second Ctrl-C, a SIGINT, is
    that of somebody who doesn't want to wait.
    """

    __slots__ = ("drain_requested", "exit_requested")

    def __init__(self):
        self.drain_requested = trio.Event()
        self.exit_requested = trio.Event()

    def request(self):
        """Request a drain; a repeated request changes nothing."""
        self.drain_requested.set()

    def interrupt(self):
        """Request a drain, or, if one was requested, an exit at once."""
        if self.drain_requested.is_set():
            self.exit_requested.set()
        self.drain_requested.set()

    async def watch_signals(self, task_status=trio.TASK_STATUS_IGNORED):
        """Request a stop on each SIGTERM and SIGINT."""
        signals = (signal.SIGTERM, signal.SIGINT)
        with trio.open_signal_receiver(*signals) as received:
            task_status.started()
            async for number in received:
                if number == signal.SIGINT:
                    self.interrupt()
                else:
                    self.request()


async def run_until_stopped(run, was_requested=lambda: False):
    """Return the result of `await run(stop)`; signals request the stop.

    `was_requested()` returns whether one has come before.
    """
    stop = Stop()
    async with trio.open_nursery() as nursery:
        await nursery.start(stop.watch_signals)
        if was_requested():
            stop.request()
        code = await run(stop)
        nursery.cancel_scope.cancel()
    return code
