"""One immutable version of the routes that an entry serves directly.

Where an entry calls backend servers itself, without an agent beside them,
operators publish routes: which requests belong to which service, which
stages come first, and how long callers may wait. The catalog is built
once per version and never changes.
"""

import enum

import msgspec


class Repeat(enum.StrEnum):
    """What may happen to a request whose first run is uncertain."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float = 1.0


class Stage(msgspec.Struct, frozen=True):
    """Work that must be done before a request of a route can run.

    `after` holds the indexes of the stages whose results it needs;
    `result_bytes` is the usual size of one piece's result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class Route(msgspec.Struct, frozen=True):
    """The requests of one host and path prefix, and how they are served.

    `attempts_max` bounds the backend servers that one request may run on.
    `timeout_ms` is the longest a caller is kept waiting, `target_ms` the
    time within which an answer is worth most.
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

    @property
    def is_idempotent(self):
        """Return whether a request may be executed more than once."""
        if self.repeat is Repeat.STREAM:
            return self.is_resumable
        return self.repeat is Repeat.SAFE

    def get_final_stages(self):
        """Return the indexes of the stages that no other one follows."""
        followed = {index for stage in self.stages for index in stage.after}
        return [
            index for index in range(len(self.stages)) if index not in followed
        ]


class Batching(msgspec.Struct, frozen=True):
    """How one backend server of a service takes pieces of stages."""

    batch_max: int
    call_ms: float
    piece_ms: float
    slots: int = 1
    queue_max: int = 0
    result_memory_bytes: float = 0.0
    result_ttl_s: float = 0.0

    def get_call_s(self, pieces):
        """Return how long a call of so many pieces takes, in seconds."""
        return (self.call_ms + self.piece_ms * pieces) / 1000


class EngineCapacity(msgspec.Struct, frozen=True):
    """What one model engine of a service can hold."""

    slots: int
    memory_tokens: int
    stride_tokens: int = 1


class Service(msgspec.Struct, frozen=True):
    """A service and the bounds of each of its backend servers."""

    name: str
    health_path: str = ""
    connections_max: int = 64
    batching: Batching | None = None
    engine: EngineCapacity | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    header_max_bytes: int = 16384
    body_max_bytes: int = 4194304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


class Organisation(msgspec.Struct, frozen=True):
    """An organisation; its priority goes before its routes'."""

    name: str
    priority: int | None = None


class Catalog:
    """A whole published version: look-ups return None for the unknown."""

    __slots__ = (
        "_organisation_by_key",
        "_routes_by_host",
        "has_organisations",
        "limits",
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
        self.has_organisations = has_organisations
        self._routes_by_host = routes_by_host
        self._organisation_by_key = organisation_by_key

    def find_route(self, host, path):
        """Return the route with the longest prefix of `path`, or None."""
        # Longest prefixes come first.
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key):
        """Return the organisation that holds the API key, or None."""
        return self._organisation_by_key.get(key)

    def get_service_names(self):
        """Return the names of all services that routes or stages use."""
        names = set()
        for routes in self._routes_by_host.values():
            for route in routes:
                names.update(service.service for service in route.services)
                names.update(stage.service for stage in route.stages)
        return names


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
