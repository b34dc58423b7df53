"""The typed rows of the table, as operators write them in TOML."""

import enum

import msgspec

ANY = "*"
PLAN_PREFIX = "plan:"


class ServiceKind(enum.StrEnum):
    """How a service is called."""

    ENGINE = "engine"
    POOL = "pool"
    PLAIN = "plain"


class RegionPolicy(enum.StrEnum):
    """Where a stage may run: anywhere, or only in the caller's region."""

    ANY = "any"
    HOME = "home"


class Service(msgspec.Struct, frozen=True):
    """A service that stages call, and the price of its time.

    `models` gives, for an engine service, the share of its engines that
    should hold each model when demand is even.
    """

    kind: ServiceKind
    models: dict[str, float] = {}
    price_per_second: float = 1.0


class Stage(msgspec.Struct, frozen=True):
    """One step of a pipeline.

    `share` is the part of the deadline that the stage is expected to
    take; `repeatable` says whether a call may be executed twice.
    """

    name: str
    service: str
    share: float
    repeatable: bool = True
    region: RegionPolicy = RegionPolicy.ANY
    model: str = ""
    max_tokens: int = 0


class Pipeline(msgspec.Struct, frozen=True):
    """Three to six stages under one deadline."""

    stage: list[Stage]
    deadline_ms: int = 5000


class Row(msgspec.Struct, frozen=True):
    """The weights and limits of a pipeline for whom they match.

    `organisation` is an id, `plan:NAME` or `*`; `kind` is a kind of
    request or `*`. Limits are for each organisation, over all regions.
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
    """One organisation and the plan that its limits come from."""

    plan: str = "standard"


class Region(msgspec.Struct, frozen=True):
    """A region's fixed share of all limits, and what crossing costs."""

    share: float
    price_per_gb: float = 1.0
    data_centres: list[str] = []


class Policy(msgspec.Struct, frozen=True):
    """Weights of the routing policy.

    `cost_weight` is the time, in milliseconds, that saving one unit of
    cost is worth: zero looks at time alone.
    """

    cost_weight: float = 1.0
    hedge_budget: float = 0.05
    retry_budget: float = 0.1
    loads_per_minute: float = 6.0
