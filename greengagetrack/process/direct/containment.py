"""The last resort against errors, around one unit of work.

What other processes write is checked where it is decoded, and raises
nothing. An error that nobody foresaw ends one message, one exchange or one
poll, not the process. It is a fault of this program: it is logged with its
traceback and counted.
"""

import contextlib

from greengagetrack.connection import contained_error


class Containment:
    """Contains unforeseen errors; an `ErrorObserver` counts them."""

    __slots__ = ("_observer",)

    def __init__(self, observer):
        self._observer = observer

    @contextlib.contextmanager
    def contain(self, boundary):
        """End a `with` block, and no more, on an unforeseen error.

        Cancellation passes. `boundary` names the kind of unit::

            with containment.contain("poll"):
                is_read = await self._poll_once()
        """
        try:
            yield
        except* Exception:
            contained_error.record(self._observer, boundary)

    async def run(self, boundary, function, *arguments):
        """Await a function contained."""
        with self.contain(boundary):
            await function(*arguments)


class ContainedNursery:
    """Starts tasks in a nursery, each within a containment."""

    __slots__ = ("_boundary", "_containment", "_nursery")

    def __init__(self, nursery, containment, boundary):
        self._nursery = nursery
        self._containment = containment
        self._boundary = boundary

    def start_soon(self, function, *arguments):
        """Start a task whose unforeseen error ends it alone."""
        self._nursery.start_soon(
            self._containment.run, self._boundary, function, *arguments
        )


def new_containment(observer=None):
    """Return a containment; without an `observer` errors are only logged."""
    return Containment(observer or contained_error.UncountedErrors())


def new_contained_nursery(nursery, containment, boundary):
    """Return what starts tasks in `nursery` within `containment`."""
    return ContainedNursery(nursery, containment, boundary)
