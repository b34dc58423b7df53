"""The two deployments of the bench runs, and their sizes."""

import pathlib

import msgspec

from bench.standins import server

EXAMPLES = pathlib.Path(__file__).parents[1] / "docs" / "examples"
REGION_DELAY_S = 0.012


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service: its kind, and the count and profile of its servers."""

    name: str
    kind: str
    count: int
    profile: server.Profile


class Deployment(msgspec.Struct, frozen=True):
    """A deployment: its regions, services and organisations.

    `order_stages` names the stages that must not be executed twice.
    """

    name: str
    regions: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    organisations: tuple[str, ...]
    order_stages: frozenset[str]

    def get_table_folder(self):
        """Return the folder of its example table."""
        return EXAMPLES / self.name


class BackendSpec(msgspec.Struct, frozen=True):
    """One backend server: its name, region and service."""

    name: str
    region: str
    service: ServiceSpec


_ENGINE = server.Profile(slots=6, prefill_ms=120.0, token_ms=8.0)
_PLAIN = server.Profile(slots=8, call_ms=40.0)
_POOL = server.Profile(slots=8, call_ms=20.0)


def _new_pools():
    return tuple(
        ServiceSpec(name, "pool", 3, _POOL)
        for name in ("encoders", "retrievers", "rerankers")
    )


KITAMURA = Deployment(
    name="kitamura",
    regions=("ishikari", "shiribeshi", "kamikawa"),
    services=(
        ServiceSpec("writer", "engine", 6, _ENGINE),
        ServiceSpec("orders", "plain", 3, _PLAIN),
        ServiceSpec("kiln", "plain", 3, _PLAIN),
        ServiceSpec("gift-shop", "plain", 3, _PLAIN),
        ServiceSpec("slip-printer", "plain", 3, _PLAIN),
        *_new_pools(),
    ),
    organisations=(
        "workshop",
        "otaru-stall",
        "web-shop",
        "wholesale",
        "field-staff",
    ),
    order_stages=frozenset(("place", "print")),
)

FEDERATION = Deployment(
    name="federation",
    regions=("bagmati", "gandaki", "koshi"),
    services=(
        ServiceSpec("assistant", "engine", 9, _ENGINE),
        ServiceSpec("ledger", "plain", 3, _PLAIN),
        ServiceSpec("member-registry", "plain", 3, _PLAIN),
        ServiceSpec("export-desk", "plain", 3, _PLAIN),
        ServiceSpec("weaver-notices", "plain", 5, _PLAIN),
        *_new_pools(),
    ),
    organisations=(
        "kathmandu-house",
        "pokhara-cooperative",
        "village-weavers",
        "buyers-abroad",
        "kit-makers",
    ),
    order_stages=frozenset(("book", "send")),
)

DEPLOYMENT_BY_NAME = {"kitamura": KITAMURA, "federation": FEDERATION}


def get_backends(deployment):
    """Return the backend servers, assigned to the regions in turn."""
    specs = []
    for service in deployment.services:
        for index in range(service.count):
            region = deployment.regions[index % len(deployment.regions)]
            name = f"{deployment.name}-{service.name}-{index}"
            specs.append(BackendSpec(name, region, service))
    return specs
