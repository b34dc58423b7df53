"""How long the requests of each route take, learned from those that ended."""

import collections

# One request in so many takes longer than the longest of the last ones.
LAST_COUNT = 50


class Durations:
    """The durations of the last requests of each route, by its name.

    Example::

        durations = Durations()
        durations.record(route, 0.2)
        durations.record(route, 1.5)
        assert durations.predict_s(route) == 1.5
    """

    __slots__ = ("_last_by_route",)

    def __init__(self):
        self._last_by_route = {}

    def record(self, route, spent_s):
        """Record a request of a route that was answered whole."""
        last = self._last_by_route.get(route.name)
        if last is None:
            last = collections.deque(maxlen=LAST_COUNT)
            self._last_by_route[route.name] = last
        last.append(spent_s)

    def predict_s(self, route):
        """Return a time within which nearly all requests of a route end.

        Before the first one it is the target of the route.
        """
        last = self._last_by_route.get(route.name)
        return max(last) if last else route.target_ms / 1000
