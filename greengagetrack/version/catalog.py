"""One immutable version of the routes that an entry serves in direct mode.

In direct mode an entry calls backend servers itself, without an agent
beside them. Operators publish routes: which requests belong to which
service, which stages run first, and how long callers may wait.
"""

import enum

import msgspec


class Repeat(enum.StrEnum):
    """Whether a request may be repeated if its first run is uncertain."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float = 1.0


class Stage(msgspec.Struct, frozen=True):
    """Work that must be complete before a request of a route can run.

    `after` holds the indexes of the stages whose results it needs, and
    `result_bytes` is the typical size of the result of one piece.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class Route(msgspec.Struct, frozen=True):
    """The requests of one host and path prefix, and how they are served.

    `attempts_max` bounds the backend servers that one request may run on.
    `timeout_ms` is the longest time that a caller waits for the response,
    `target_ms` the latency within which a response is worth most, and
    `target_gap_ms` the target time between two events of a stream. A
    request is only sent to servers in the `allowed_regions`, if there are
    some.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    services: tuple[WeightedService, ...]
    timeout_ms: float
    target_ms: float
    attempts_max: int = 1
    priority: int = 0
    is_public: bool = False
    is_resumable: bool = False
    target_gap_ms: float = 0.0
    stages: tuple[Stage, ...] = ()
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_idempotent(self):
        """Return whether a request may be executed more than once."""
        if self.repeat is Repeat.STREAM:
            return self.is_resumable
        return self.repeat is Repeat.SAFE

    def get_final_stages(self):
        """Return the indexes of the stages that no other stage needs."""
        needed = {index for stage in self.stages for index in stage.after}
        return [
            index for index in range(len(self.stages)) if index not in needed
        ]


class Batching(msgspec.Struct, frozen=True):
    """The batch sizes, call times and limits of one server of a pool."""

    batch_max: int
    call_ms: float
    piece_ms: float
    slots: int = 1
    queue_max: int = 0
    result_memory_bytes: float = 0.0
    result_ttl_s: float = 0.0

    def get_call_s(self, pieces):
        """Return the duration of a call with `pieces` pieces, in seconds."""
        return (self.call_ms + self.piece_ms * pieces) / 1000


class EngineCapacity(msgspec.Struct, frozen=True):
    """The capacity of one model engine of a service."""

    slots: int
    memory_tokens: int
    stride_tokens: int = 1


class Service(msgspec.Struct, frozen=True):
    """A service and the limits of each of its backend servers.

    A server is warming for `warming_s` after its start, and takes
    `warming_per_s` requests per second meanwhile. Without a rate, servers
    of the service need no warming.
    """

    name: str
    health_path: str = ""
    connections_max: int = 64
    batching: Batching | None = None
    engine: EngineCapacity | None = None
    warming_s: float = 0.0
    warming_per_s: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True):
    """Size and time limits of the requests and connections of a caller."""

    header_max_bytes: int = 16384
    body_max_bytes: int = 4194304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class Organisation(msgspec.Struct, frozen=True):
    """An organisation; its priority overrides the priority of a route.

    Its `allowed_regions`, if there are some, bind beside those of the route.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()


class Catalog:
    """A published version; look-ups return None for unknown names."""

    __slots__ = (
        "_organisation_by_key",
        "_routes_by_host",
        "has_organisations",
        "limits",
        "longest_stream_s",
        "service_by_name",
        "version",
    )

    def __init__(
        self,
        version,
        routes_by_host,
        service_by_name,
        limits,
        organisation_by_key,
        has_organisations,
    ):
        self.version = version
        self.service_by_name = service_by_name
        self.limits = limits
        self.longest_stream_s = _get_longest_stream_s(routes_by_host)
        self.has_organisations = has_organisations
        self._routes_by_host = routes_by_host
        self._organisation_by_key = organisation_by_key

    def find_route(self, host, path):
        """Return the route with the longest prefix of `path`, or None."""
        # Routes are sorted by length of prefix, the longest first.
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key):
        """Return the organisation that holds the API key, or None."""
        return self._organisation_by_key.get(key)

    def find_organisation_by_name(self, name):
        """Return an organisation that holds an API key, or None."""
        for organisation in self._organisation_by_key.values():
            if organisation.name == name:
                return organisation
        return None

    def get_service_names(self):
        """Return the names of all services that routes and stages use."""
        names = set()
        for routes in self._routes_by_host.values():
            for route in routes:
                names.update(service.service for service in route.services)
                names.update(stage.service for stage in route.stages)
        return names


def _get_longest_stream_s(routes_by_host):
    """Return the longest time-out of a stream that may be resumed."""
    timeouts_ms = [
        route.timeout_ms
        for routes in routes_by_host.values()
        for route in routes
        if route.repeat is Repeat.STREAM and route.is_resumable
    ]
    return max(timeouts_ms, default=0.0) / 1000


def new_catalog(
    version, routes, services, limits, organisation_by_key, has_organisations
):
    """Return the catalog of `version`."""
    routes_by_host = {}
    for route in sorted(routes, key=lambda route: -len(route.prefix)):
        routes_by_host.setdefault(route.host, []).append(route)
    return Catalog(
        version,
        routes_by_host,
        {service.name: service for service in services},
        limits,
        organisation_by_key,
        has_organisations,
    )
