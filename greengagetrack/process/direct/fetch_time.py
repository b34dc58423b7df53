"""How long servers need to fetch the inputs of a request.

A server fetches the results of the stages before it reads the prompt, and
says nothing once it has them. Results use memory that the next requests
wait for, so they are freed after a time that is learned.
"""

HOLD_START_S = 0.1
HOLD_MIN_S = 0.02
HOLD_MAX_S = 2.0
SHRINK_FACTOR = 0.9995
GROWTH_FACTOR = 2.0


class FetchTime:
    """The time after a send at which its inputs are taken to be fetched.

    A rejection because of missing inputs costs the whole of their stages,
    so one of them lengthens the time by far more than a success shortens
    it::

        fetch_time = FetchTime()
        fetch_time.record_missing()
        assert fetch_time.hold_s == 2 * HOLD_START_S
    """

    __slots__ = ("hold_s",)

    def __init__(self):
        self.hold_s = HOLD_START_S

    def record_fetched(self):
        """Record a request that got its inputs although they were freed."""
        self.hold_s = max(self.hold_s * SHRINK_FACTOR, HOLD_MIN_S)

    def record_missing(self):
        """Record a request whose inputs were freed before it had them."""
        self.hold_s = min(self.hold_s * GROWTH_FACTOR, HOLD_MAX_S)


class FetchTimes:
    """The learned times of all services."""

    __slots__ = ("_time_by_service",)

    def __init__(self):
        self._time_by_service = {}

    def get(self, service):
        """Return the `FetchTime` of a service."""
        return self._time_by_service.setdefault(service, FetchTime())
