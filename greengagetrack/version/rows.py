"""The sections of the table, as operators write them in TOML."""

import enum

import msgspec

ANY = "*"
PLAN_PREFIX = "plan:"


class ServiceKind(enum.StrEnum):
    """The kind of a service, which decides how it is called."""

    ENGINE = "engine"
    POOL = "pool"
    PLAIN = "plain"


class RegionPolicy(enum.StrEnum):
    """Where a stage may run: anywhere, or only in the caller's region."""

    ANY = "any"
    HOME = "home"


class Service(msgspec.Struct, frozen=True):
    """A service that stages call, and its price per second.

    `models` sets, for a service of kind `engine`, the share of its engines
    that should hold each model when demand is equal.
    """

    kind: ServiceKind
    models: dict[str, float] = {}
    price_per_second: float = 1.0


class Stage(msgspec.Struct, frozen=True):
    """One step of a pipeline.

    `share` is the fraction of the deadline that the stage is expected to
    take; `repeatable` is whether a call may be executed twice.
    """

    name: str
    service: str
    share: float
    repeatable: bool = True
    region: RegionPolicy = RegionPolicy.ANY
    model: str = ""
    max_tokens: int = 0


class Pipeline(msgspec.Struct, frozen=True):
    """Three to six stages with one deadline."""

    stage: list[Stage]
    deadline_ms: int = 5000


class Row(msgspec.Struct, frozen=True):
    """The weights and limits of the requests that the row matches.

    `organisation` is an id, `plan:NAME` or `*`; `kind` is a kind of
    request or `*`. Limits hold for each organisation, over all regions.
    """

    pipeline: str
    organisation: str = ANY
    kind: str = ANY
    rate_per_s: float = 10.0
    tokens_per_s: float = 10000.0
    concurrency: int = 100
    priority: int = 1
    weight: float = 1.0
    longest_wait_ms: int = 2000
    floor: float = 0.05


class Organisation(msgspec.Struct, frozen=True):
    """An organisation and its plan, which rows match as `plan:NAME`."""

    plan: str = "standard"


class Region(msgspec.Struct, frozen=True):
    """A region's fixed share of all limits, and the price of traffic to it."""

    share: float
    price_per_gb: float = 1.0
    data_centres: list[str] = []


class Policy(msgspec.Struct, frozen=True):
    """Weights of the routing policy.

    `cost_weight` converts cost into time, in milliseconds per unit of
    cost; with zero only time counts.
    """

    cost_weight: float = 1.0
    hedge_budget: float = 0.05
    retry_budget: float = 0.1
    loads_per_minute: float = 6.0
