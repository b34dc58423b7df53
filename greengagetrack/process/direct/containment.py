"""The fence of last resort around one unit of work.

What other processes write is checked where it is decoded, and raises
nothing. An error that nobody foresaw ends one message, one exchange or one
poll, not the process. It is a fault of this program: it is logged with its
traceback and counted.
"""

import contextlib

from greengagetrack.connection import contained_error


class Fence:
    """Contains unforeseen errors; an `ErrorObserver` counts them."""

    __slots__ = ("_observer",)

    def __init__(self, observer):
        self._observer = observer

    @contextlib.contextmanager
    def contain(self, boundary):
        """End a `with` block, and no more, on an unforeseen error.

        Cancellation passes. `boundary` names the kind of unit::

            with fence.contain("poll"):
                is_read = await self._poll_once()
        """
        try:
            yield
        except* Exception:
            contained_error.record(self._observer, boundary)

    async def run(self, boundary, function, *arguments):
        """Await a function within the fence."""
        with self.contain(boundary):
            await function(*arguments)


class FencedNursery:
    """Starts tasks in a nursery, each within a fence."""

    __slots__ = ("_boundary", "_fence", "_nursery")

    def __init__(self, nursery, fence, boundary):
        self._nursery = nursery
        self._fence = fence
        self._boundary = boundary

    def start_soon(self, function, *arguments):
        """Start a task whose unforeseen error ends it alone."""
        self._nursery.start_soon(
            self._fence.run, self._boundary, function, *arguments
        )


def new_fence(observer=None):
    """Return a fence; without an `observer` errors are only logged."""
    return Fence(observer or contained_error.UncountedErrors())


def new_fenced_nursery(nursery, fence, boundary):
    """Return what starts tasks in `nursery` within `fence`."""
    return FencedNursery(nursery, fence, boundary)
