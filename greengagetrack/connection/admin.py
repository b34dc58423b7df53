"""The administration API: read-only, on a port of its own."""

import typing

import msgspec
import quart
import quart_trio

from greengagetrack.connection import openapi
from greengagetrack.connection import status_page

DECISIONS_SHOWN = 200


class Member(msgspec.Struct):
    """The state of one agent, as known to this process."""

    name: str
    service: str
    region: str
    data_centre: str
    incarnation: str
    age_ms: int | None
    is_available: bool
    is_draining: bool
    is_listed_leaving: bool
    slots: int
    running: int
    queued: int
    model: str


class RejectedTable(msgspec.Struct):
    """A table version that was rejected, with the findings."""

    version: int
    source: str
    findings: list[str]


class TableStatus(msgspec.Struct):
    """The current table, and the announced and rejected versions."""

    version: int
    config_version: int
    heard_version: int
    organisations: int
    pipelines: list[str]
    rejected: list[RejectedTable]


class Status(msgspec.Struct):
    """The identity and the state of a process."""

    name: str
    role: str
    region: str
    data_centre: str
    is_draining: bool
    in_progress: int
    table_version: int
    vm_list_version: int
    vm_list_is_fresh: bool


class LimitsStatus(msgspec.Struct):
    """The limits that this process keeps state for."""

    credits: int
    accounts: int
    owners: list[str]


class ShownSetting(msgspec.Struct):
    """The value of a setting, without secrets, and its source."""

    value: str
    source: str


class Attainment(msgspec.Struct):
    """The share of a pipeline's recent requests with a whole outcome."""

    pipeline: str
    requests: int
    whole: int
    attainment: float


_LogRecords = list[dict[str, typing.Any]]

COMMON_OPERATIONS = (
    openapi.Operation("/admin/v1/status", "The process.", Status),
    openapi.Operation("/admin/v1/table", "The table.", TableStatus),
    openapi.Operation(
        "/admin/v1/settings", "The settings.", dict[str, ShownSetting]
    ),
    openapi.Operation("/admin/v1/decisions", "Recent decisions.", _LogRecords),
    openapi.Operation(
        "/admin/v1/requests/{request_id}",
        "The recent log lines of one request.",
        _LogRecords,
        "request_id",
    ),
)
ENTRY_OPERATIONS = (
    *COMMON_OPERATIONS,
    openapi.Operation(
        "/admin/v1/members", "The agents that it knows.", list[Member]
    ),
    openapi.Operation("/admin/v1/limits", "Limits and leases.", LimitsStatus),
    openapi.Operation(
        "/admin/v1/attainment",
        "How recent requests ended, by pipeline.",
        list[Attainment],
    ),
)


def _json(body):
    return quart.Response(
        msgspec.json.encode(body), content_type="application/json"
    )


def _get_table_status(updater):
    table = updater.get_table()
    rejected = [
        RejectedTable(
            rejection.version,
            rejection.source,
            [str(finding) for finding in rejection.findings],
        )
        for rejection in updater.rejections
    ]
    return TableStatus(
        version=updater.get_version(),
        config_version=updater.config_version,
        heard_version=updater.announced_version,
        organisations=table.get_organisation_count() if table else 0,
        pipelines=sorted(table.pipeline_by_name) if table else [],
        rejected=rejected,
    )


def _get_member(agent):
    age_s = agent.get_age_s()
    return Member(
        name=agent.name,
        service=agent.service,
        region=agent.region,
        data_centre=agent.data_centre,
        incarnation=agent.incarnation,
        age_ms=int(age_s * 1000) if age_s < float("inf") else None,
        is_available=agent.is_available(),
        is_draining=agent.is_draining,
        is_listed_leaving=agent.is_listed_leaving,
        slots=agent.load.slots,
        running=agent.load.running,
        queued=agent.load.queued,
        model=agent.model,
    )


def _add_description_routes(app, operations):
    description = openapi.new_description(
        "greengagetrack administration", operations
    )

    @app.get("/admin/v1/openapi.json")
    async def describe():
        return _json(description)

    @app.get("/")
    async def show_status_page():
        return quart.Response(status_page.PAGE, content_type="text/html")


def _get_attainment(decisions):
    """Return the attainment by pipeline over the kept log records."""
    whole_flags_by_pipeline = {}
    for line in decisions.get_recent(decisions.records.maxlen):
        if line.get("outcome") == "pipeline_unknown":
            continue
        if line["message"] in ("request ended", "request refused"):
            flags = whole_flags_by_pipeline.setdefault(line["pipeline"], [])
            flags.append(line["outcome"] == "whole")
    return [
        Attainment(name, len(flags), sum(flags), sum(flags) / len(flags))
        for name, flags in sorted(whole_flags_by_pipeline.items())
    ]


def _add_common_routes(app, settings, updater, decisions):
    @app.get("/admin/v1/table")
    async def table():
        return _json(_get_table_status(updater))

    @app.get("/admin/v1/settings")
    async def show_settings():
        return _json(
            {
                name: ShownSetting(raw.get_display_text(), raw.source)
                for name, raw in settings.raw_by_name.items()
            }
        )

    @app.get("/admin/v1/decisions")
    async def recent_decisions():
        return _json(decisions.get_recent(DECISIONS_SHOWN))

    @app.get("/admin/v1/requests/<request_id>")
    async def show_request_log(request_id):
        return _json(decisions.get_request_log(request_id))


def _new_status(settings, process, updater, vm_view, in_progress):
    return Status(
        name=settings.name,
        role=settings.role,
        region=settings.region,
        data_centre=settings.data_centre,
        is_draining=process.is_draining,
        in_progress=in_progress,
        table_version=updater.get_version(),
        vm_list_version=vm_view.version,
        vm_list_is_fresh=vm_view.is_fresh(),
    )


def new_entry_app(entry, settings, decisions):
    """Return the administration API of an entry."""
    app = quart_trio.QuartTrio("greengagetrack-admin")
    _add_common_routes(app, settings, entry.table_updater, decisions)
    _add_description_routes(app, ENTRY_OPERATIONS)

    @app.get("/admin/v1/attainment")
    async def attainment():
        return _json(_get_attainment(decisions))

    @app.get("/admin/v1/status")
    async def status():
        return _json(
            _new_status(
                settings,
                entry,
                entry.table_updater,
                entry.vm_view,
                entry.in_progress,
            )
        )

    @app.get("/admin/v1/members")
    async def members():
        agents = entry.fleet.agent_by_name.values()
        return _json([_get_member(agent) for agent in agents])

    @app.get("/admin/v1/limits")
    async def limits():
        return _json(
            LimitsStatus(
                credits=entry.limits.count_credits(),
                accounts=entry.limit_owner.count_accounts(),
                owners=sorted(entry.limit_owner.get_members()),
            )
        )

    return app


def new_agent_app(agent, updater, vm_view, settings, decisions):
    """Return the administration API of an agent."""
    app = quart_trio.QuartTrio("greengagetrack-admin")
    _add_common_routes(app, settings, updater, decisions)
    _add_description_routes(app, COMMON_OPERATIONS)

    @app.get("/admin/v1/status")
    async def status():
        running = agent.runner.running
        return _json(_new_status(settings, agent, updater, vm_view, running))

    return app
