"""Runs a trio loop on a mock clock in a thread of its own.

Steps of scenarios and rules of state machines are synchronous functions,
which run coroutines through this runtime. Its clock moves only when a
caller advances it.
"""

import threading

import trio
import trio.testing

STEP_S = 0.01


class VirtualRuntime:
    """A trio loop in a thread, whose clock moves only on request."""

    def __init__(self):
        self._clock = trio.testing.MockClock()
        self._is_started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._token = None
        self._stop = None
        self._error = None
        self.nursery = None

    def start(self):
        """Start the loop and wait until it runs."""
        self._thread.start()
        self._is_started.wait()

    def _run(self):
        try:
            trio.run(self._main, clock=self._clock)
        except BaseException as error:
            self._error = error

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        self._stop = trio.Event()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self._is_started.set()
            await self._stop.wait()
            nursery.cancel_scope.cancel()

    def run(self, function, *arguments):
        """Run an asynchronous function in the loop; return its result."""
        try:
            return trio.from_thread.run(
                function, *arguments, trio_token=self._token
            )
        except trio.RunFinishedError:
            raise self._error from None

    def spawn(self, function, *arguments):
        """Start an asynchronous function in the loop without waiting."""

        async def start():
            self.nursery.start_soon(function, *arguments)

        self.run(start)

    def advance(self, seconds):
        """Advance the clock in small steps, running all tasks after each."""
        self.run(self.advance_in_loop, seconds)

    async def advance_in_loop(self, seconds):
        """Advance the clock like `advance()`, from inside the loop."""
        end_s = trio.current_time() + seconds
        await trio.testing.wait_all_tasks_blocked()
        while trio.current_time() < end_s - 1e-9:
            left_s = end_s - trio.current_time()
            self._clock.jump(min(STEP_S, left_s))
            await trio.testing.wait_all_tasks_blocked()

    def jump(self, seconds):
        """Advance the clock in a single step, from inside the loop."""
        self._clock.jump(seconds)

    def stop(self):
        """Stop the loop; raise the exception that ended it, if any."""
        if self._thread.is_alive():
            try:
                self.run(self._request_stop)
            except BaseException:
                pass
        self._thread.join(10)
        if self._error is not None:
            raise self._error

    async def _request_stop(self):
        self._stop.set()


def new_runtime():
    """Return a started runtime."""
    runtime = VirtualRuntime()
    runtime.start()
    return runtime
