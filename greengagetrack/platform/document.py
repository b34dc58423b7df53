"""Parsers of the published configuration and server entries."""

import re
from typing import Annotated

import msgspec

from greengagetrack.connection import base
from greengagetrack.connection import gateway
from greengagetrack.connection.http import numbers
from greengagetrack.platform import names
from greengagetrack.version import catalog


SMALL_MAX = 2**31 - 1
AMOUNT_MAX = 1e15
TIME_MAX_MS = 1e12
# Neither control characters, which fit no header, nor space around the text.
_HEADER_TEXT = re.compile(
    r"(?:[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?)?"
)
_Name = Annotated[str, msgspec.Meta(max_length=1000)]
_SmallCount = Annotated[int, msgspec.Meta(ge=0, le=SMALL_MAX)]
_SmallCountFromOne = Annotated[int, msgspec.Meta(ge=1, le=SMALL_MAX)]
_Rank = Annotated[int, msgspec.Meta(ge=-SMALL_MAX, le=SMALL_MAX)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=AMOUNT_MAX)]
_TimeMs = Annotated[float, msgspec.Meta(ge=0, le=TIME_MAX_MS)]


class _Share(msgspec.Struct):
    service: _Name
    weight: _Amount = 1


class _Stage(msgspec.Struct):
    service: _Name
    after: list[_SmallCount] = []
    bytes: _Amount = 0


class _Route(msgspec.Struct):
    name: _Name
    host: _Name
    path_prefix: str
    kind: str
    timeout_ms: _TimeMs
    goal_ms: _TimeMs = 0
    priority: _Rank = 0
    service: _Name | None = None
    backends: list[_Share] | None = None
    attempts: _Rank = 1
    stages: list[_Stage] | None = None
    public: bool = False
    resumable: bool = False
    gap_aim_ms: _TimeMs = 0
    allowed_regions: list[_Name] | None = None


class _Pieces(msgspec.Struct):
    batch: _SmallCountFromOne
    call_ms: _TimeMs
    item_ms: _TimeMs
    slots: _SmallCount = 1
    queue: _SmallCount = 0
    headroom_mb: _Amount = 0
    handle_s: _TimeMs = 0


class _Engine(msgspec.Struct):
    slots: _SmallCount = 1
    kv_capacity: _Amount = 0
    stride: _SmallCountFromOne = 1


class _Service(msgspec.Struct):
    name: _Name
    health_path: str = ""
    max_conns: _SmallCount = 64
    pieces: _Pieces | None = None
    engine: _Engine | None = None
    cold_start_s: _TimeMs = 0
    cold_per_s: _Amount = 0


class _Limits(msgspec.Struct):
    max_header_bytes: _SmallCount = 16384
    max_body_bytes: numbers.Count = 4194304
    header_timeout_ms: _TimeMs = 5000
    idle_timeout_ms: _TimeMs = 60000


class _Tenant(msgspec.Struct):
    name: _Name
    api_keys: list[str] = []
    priority: _Rank | None = None
    allowed_regions: list[_Name] | None = None


class _Config(msgspec.Struct):
    version: numbers.Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Entry(msgspec.Struct):
    service: _Name
    address: _Name
    zone: _Name
    state: _Name
    version: _Name
    slots: numbers.Count = 1
    cold_left_ms: _TimeMs = 0
    born: numbers.Count = 0


ID_MAX_CHARS = 1000
# Values that are nested too deeply raise an error of the interpreter.
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeError, RecursionError)
_BYTES_PER_MB = 1_000_000
# A call that takes no time would make any number of pieces.
_CALL_MIN_MS = 0.1
_REPEAT_BY_KIND = {
    "safe": catalog.Repeat.SAFE,
    "unsafe": catalog.Repeat.UNSAFE,
    "stream": catalog.Repeat.STREAM,
}


def read_config(data):
    """Return the `Catalog` of a document, or an error text."""
    try:
        config = msgspec.json.decode(data, type=_Config)
    except DECODING_ERRORS as error:
        return f"{names.CONFIG_KEY}: {error}"
    problem = _find_problem(config)
    if problem:
        return f"{names.CONFIG_KEY}: {problem}"
    return _translate(config)


def _find_problem(config):
    """Return what the types of the fields don't say, or ""."""
    for tenant in config.tenants or ():
        if not _HEADER_TEXT.fullmatch(tenant.name):
            return f"the tenant's name {tenant.name[:80]!r} fits no header"
    for route in config.routes:
        where = f"route '{route.name[:80]}'"
        if route.kind not in _REPEAT_BY_KIND:
            return f"{where}: unknown kind {route.kind[:80]!r}"
        if not _have_order([stage.after for stage in route.stages or ()]):
            return f"{where}: stages without an order"
    return ""


def _have_order(after_by_stage):
    """Return whether stages can run one after the other.

    A stage that waits for itself or for an unknown one never would.
    """
    waiting = dict(enumerate(after_by_stage))
    done = set()
    while waiting:
        ready = [
            index for index, after in waiting.items() if done.issuperset(after)
        ]
        if not ready:
            return False
        for index in ready:
            del waiting[index]
        done.update(ready)
    return True


def _translate(config):
    limits = catalog.CallerLimits(
        header_max_bytes=config.limits.max_header_bytes,
        body_max_bytes=config.limits.max_body_bytes,
        header_timeout_s=config.limits.header_timeout_ms / 1000,
        idle_timeout_s=config.limits.idle_timeout_ms / 1000,
    )
    organisation_by_key = {}
    for tenant in config.tenants or ():
        organisation = catalog.Organisation(
            tenant.name,
            tenant.priority,
            frozenset(tenant.allowed_regions or ()),
        )
        for key in tenant.api_keys:
            organisation_by_key[key] = organisation
    return catalog.new_catalog(
        config.version,
        [_translate_route(route) for route in config.routes],
        [_translate_service(service) for service in config.services],
        limits,
        organisation_by_key,
        config.tenants is not None,
    )


def _translate_route(route):
    services = [
        catalog.WeightedService(share.service, share.weight)
        for share in route.backends or ()
    ] or [catalog.WeightedService(route.service or "")]
    return catalog.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        repeat=_REPEAT_BY_KIND[route.kind],
        services=tuple(services),
        timeout_ms=route.timeout_ms,
        target_ms=route.goal_ms or route.timeout_ms,
        attempts_max=max(route.attempts, 1),
        priority=route.priority,
        is_public=route.public,
        is_resumable=route.resumable,
        target_gap_ms=route.gap_aim_ms,
        stages=tuple(
            catalog.Stage(stage.service, tuple(stage.after), int(stage.bytes))
            for stage in route.stages or ()
        ),
        allowed_regions=frozenset(route.allowed_regions or ()),
    )


def _translate_service(service):
    batching = engine = None
    if service.pieces is not None:
        pieces = service.pieces
        batching = catalog.Batching(
            batch_max=pieces.batch,
            call_ms=max(pieces.call_ms, _CALL_MIN_MS),
            piece_ms=pieces.item_ms,
            slots=pieces.slots,
            queue_max=pieces.queue,
            result_memory_bytes=pieces.headroom_mb * _BYTES_PER_MB,
            result_ttl_s=pieces.handle_s,
        )
    if service.engine is not None:
        published = service.engine
        engine = catalog.EngineCapacity(
            published.slots, int(published.kv_capacity), published.stride
        )
    return catalog.Service(
        name=service.name,
        health_path=service.health_path,
        connections_max=service.max_conns,
        batching=batching,
        engine=engine,
        warming_s=service.cold_start_s,
        warming_per_s=service.cold_per_s,
    )


def read_entry(server_id, data):
    """Return the `Server` of an entry, or an error text."""
    try:
        entry = msgspec.json.decode(data, type=_Entry)
    except DECODING_ERRORS as error:
        return f"{names.SERVERS_PREFIX}{server_id}: {error}"
    if not 0 < len(server_id) <= ID_MAX_CHARS or not _HEADER_TEXT.fullmatch(
        server_id
    ):
        return f"{names.SERVERS_PREFIX}{server_id[:80]!r}: invalid id"
    if not base.is_ipv4_address(entry.address):
        return f"{names.SERVERS_PREFIX}{server_id}: invalid address"
    if entry.state not in (names.READY, names.DRAINING):
        return f"{names.SERVERS_PREFIX}{server_id}: unknown state"
    return gateway.Server(
        server_id=server_id,
        service=entry.service,
        address=entry.address,
        data_centre=entry.zone,
        slots=max(entry.slots, 1),
        is_leaving=entry.state == names.DRAINING,
        incarnation=entry.born,
        software_version=entry.version,
        warming_left_s=entry.cold_left_ms / 1000,
    )
