"""Startup and shutdown of an entry or agent process."""

import contextlib
import logging
import os
import secrets
import time

import trio

from greengagetrack.connection import admin
from greengagetrack.connection.backend import http as backend_http
from greengagetrack.connection import base as link_base
from greengagetrack.connection import callers
from greengagetrack.connection import http_server
from greengagetrack.connection import nng
from greengagetrack.connection.platform import http as platform_http
from greengagetrack.process import agent as agent_module
from greengagetrack.process import entry as entry_module
from greengagetrack.process import orders
from greengagetrack.process import placement
from greengagetrack.process import reporter
from greengagetrack.process import runner
from greengagetrack.process import tables
from greengagetrack.process import vm_view as vm_view_module

EXIT_OK = 0
EXIT_DRAIN_INCOMPLETE = 3
SHUTDOWN_GRACE_S = 1.0  # for the HTTP servers to send responses
PAUSE_CHECK_S = 0.25
PAUSE_THRESHOLD_S = 1.0

_log = logging.getLogger(__name__)


def new_incarnation():
    """Return a process identifier; those of later processes sort after it."""
    return f"{int(time.time() * 1000):013d}-{secrets.token_hex(4)}"


def _new_place(settings):
    return entry_module.Place(
        name=settings.name,
        region=settings.region,
        data_centre=settings.data_centre,
        incarnation=new_incarnation(),
        rtt_ms_by_region=settings.rtt_ms,
    )


async def watch_pauses(on_pause):
    """Call `on_pause` whenever this process was suspended for a while."""
    last_check_s = trio.current_time()
    while True:
        await trio.sleep(PAUSE_CHECK_S)
        now = trio.current_time()
        if now - last_check_s > PAUSE_CHECK_S + PAUSE_THRESHOLD_S:
            _log.warning(
                "the process was paused; soft state is dropped",
                extra={
                    "decision": "pause",
                    "paused_s": round(now - last_check_s, 2),
                },
            )
            on_pause()
        last_check_s = now


async def _drain(process, limit_s, stop):
    """Drain a process; return whether all work in progress ended."""
    process.start_draining()
    is_drained = False
    async with trio.open_nursery() as nursery:

        async def wait_drained():
            nonlocal is_drained
            is_drained = await process.wait_drained(limit_s)
            nursery.cancel_scope.cancel()

        nursery.start_soon(wait_drained)
        await stop.exit_requested.wait()
        nursery.cancel_scope.cancel()
    _log.info(
        "stopped" if is_drained else "stopped with work in progress",
        extra={"decision": "stop", "drained": is_drained},
    )
    return is_drained


async def run_entry(
    settings, stop, decisions, task_status=trio.TASK_STATUS_IGNORED
):
    """Run an entry until a stop is requested; return the exit code."""
    place = _new_place(settings)
    links, vm_view, updater = entry_module.new_entry_dependencies(
        place,
        platform_http.new_config_service(settings.config_url),
        platform_http.new_vm_list_service(settings.vm_list_url),
        nng.new_link_factory(settings.peer_keys),
    )
    entry = entry_module.new_entry(
        place, links, vm_view, updater, settings.ticket_keys
    )
    server = nng.new_server(settings.peer_address, settings.peer_keys)
    shutdown = trio.Event()
    with contextlib.closing(links):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, entry.handle)
            await nursery.start(entry.run)
            nursery.start_soon(watch_pauses, entry.drop_soft_state)
            await nursery.start(
                http_server.serve,
                admin.new_entry_app(entry, settings, decisions),
                settings.admin_address,
                shutdown,
            )
            await nursery.start(
                http_server.serve,
                callers.new_app(entry),
                settings.caller_address,
                shutdown,
            )
            task_status.started(entry)
            await stop.drain_requested.wait()
            is_drained = await _drain(entry, settings.drain_s, stop)
            shutdown.set()
            await trio.sleep(SHUTDOWN_GRACE_S if is_drained else 0)
            nursery.cancel_scope.cancel()
    return EXIT_OK if is_drained else EXIT_DRAIN_INCOMPLETE


async def run_agent(
    settings, stop, decisions, task_status=trio.TASK_STATUS_IGNORED
):
    """Run an agent until a stop is requested; return the exit code."""
    place = _new_place(settings)
    links = link_base.new_links(nng.new_link_factory(settings.peer_keys))
    vm_view = vm_view_module.new_vm_view(
        platform_http.new_vm_list_service(settings.vm_list_url),
        vm_view_module.AGENT_PERIOD_S,
    )
    updater = tables.new_table_updater(
        place.name,
        place.data_centre,
        platform_http.new_config_service(settings.config_url),
        vm_view,
        links,
        is_partial=True,
    )
    backend = backend_http.new_backend(
        settings.backend_kind, settings.backend_url
    )
    agent = new_agent(settings, place, backend, vm_view, links)
    agent_reporter = reporter.new_reporter(
        agent, place, vm_view, links, updater
    )
    placer = placement.new_placer(
        place, settings.service, backend, agent, vm_view, updater
    )
    server = nng.new_server(settings.peer_address, settings.peer_keys)
    shutdown = trio.Event()
    with contextlib.closing(links):
        async with trio.open_nursery() as nursery:
            await nursery.start(vm_view.run)
            await nursery.start(server.serve, agent.handle)
            nursery.start_soon(agent.run)
            nursery.start_soon(agent_reporter.run)
            nursery.start_soon(agent.order_book.maintain_links, agent.service)
            nursery.start_soon(updater.fetch_announced)
            nursery.start_soon(updater.watch_config)
            nursery.start_soon(watch_pauses, vm_view.mark_stale)
            if settings.backend_kind == "engine":
                nursery.start_soon(placer.run)
            await nursery.start(
                http_server.serve,
                admin.new_agent_app(
                    agent, updater, vm_view, settings, decisions
                ),
                settings.admin_address,
                shutdown,
            )
            task_status.started(agent)
            await stop.drain_requested.wait()
            is_drained = await _drain(agent, settings.drain_s, stop)
            shutdown.set()
            nursery.cancel_scope.cancel()
        await backend.close()
    return EXIT_OK if is_drained else EXIT_DRAIN_INCOMPLETE


def new_agent(settings, place, backend, vm_view, links):
    """Return an agent with its runner and its order book."""
    order_book = orders.new_order_book(
        place.name,
        place.incarnation,
        settings.ticket_keys,
        vm_view,
        links,
        settings.order_window_s,
    )
    agent_runner = runner.new_runner(
        backend, settings.slots, order_book.release
    )
    return agent_module.new_agent(
        place.name,
        settings.service,
        place.incarnation,
        agent_runner,
        order_book,
    )


async def run(settings, stop, decisions, task_status=trio.TASK_STATUS_IGNORED):
    """Run an entry or an agent, by its role; return the exit code."""
    _log.info(
        "started",
        extra={"role": settings.role, "pid": os.getpid()},
    )
    run_role = run_entry if settings.role == "entry" else run_agent
    return await run_role(settings, stop, decisions, task_status)
