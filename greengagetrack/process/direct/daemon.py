"""Runs an entry in direct mode as a process: start, reload, drain."""

import abc
import logging
import random
import signal

import msgspec
import trio

from greengagetrack.connection import base as link_base
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import server as server_module
from greengagetrack.connection import nng
from greengagetrack.process.direct import caller_account
from greengagetrack.process.direct.decisions import drain_plan
from greengagetrack.process.direct import entry as entry_module
from greengagetrack.process.direct import route_explanation

DRAIN_CHECK_S = 0.05
# Beside the metrics, at the address that callers don't know.
EXPLAIN_PATH = b"/explain"
EXIT_OK = 0
EXIT_DRAIN_INCOMPLETE = 3

_log = logging.getLogger(__name__)


class Reload(msgspec.Struct, frozen=True):
    """What a reload did: the names of settings, or a `problem`.

    `changed` are in force from now on. `needs_restart` differ from those
    that the process was started with, and stay as they were. A problem
    leaves all settings as they were.
    """

    changed: tuple[str, ...] = ()
    needs_restart: tuple[str, ...] = ()
    problem: str = ""


class Adapter(abc.ABC):
    """The interface to the platform on which an entry runs."""

    @abc.abstractmethod
    def get_settings(self):
        """Return the `DirectSettings`."""

    @abc.abstractmethod
    def get_caller_address(self):
        """Return the listen address for callers, HOST:PORT."""

    @abc.abstractmethod
    def get_readiness_address(self):
        """Return the listen address for readiness checks, HOST:PORT."""

    @abc.abstractmethod
    def get_metrics_address(self):
        """Return the listen address for metrics, HOST:PORT."""

    @abc.abstractmethod
    def get_grace_s(self):
        """Return the seconds from the stop signal to the kill."""

    @abc.abstractmethod
    def new_source(self, connection_pool):
        """Return the `Source` of the catalog and the servers."""

    @abc.abstractmethod
    def new_gateway(self, connection_pool):
        """Return the `Gateway` to backend servers."""

    @abc.abstractmethod
    def get_request_id_field(self):
        """Return the field, in lowercase, that names a caller's request."""

    @abc.abstractmethod
    async def serve_exchange(self, entry, exchange):
        """Serve one HTTP exchange of a caller."""

    @abc.abstractmethod
    async def serve_readiness(self, entry, exchange):
        """Answer a readiness check."""

    @abc.abstractmethod
    def reload(self):
        """Reload the settings; return a `Reload`."""


async def run(
    adapter,
    peer_keys,
    stop,
    task_status=trio.TASK_STATUS_IGNORED,
    get_left_out=dict,
):
    """Run an entry until it is asked to stop; return the exit code.

    `get_left_out()` returns how many log lines were left out, by message.
    """
    settings = adapter.get_settings()
    _log.info(
        "started",
        extra={
            "decision": "start",
            "role": "entry",
            "data_centre": settings.data_centre,
            "key_bound_s": settings.key_bound_s,
        },
    )
    async with trio.open_nursery() as nursery:
        connection_pool = pool_module.new_pool(nursery)
        links = link_base.new_links(nng.new_link_factory(peer_keys))
        entry = entry_module.new_direct_entry(
            settings,
            adapter.new_source(connection_pool),
            adapter.new_gateway(connection_pool),
            connection_pool,
            links,
            nursery,
            random.Random(settings.name),
            peer_keys.get_digest,
        )
        entry.metrics.watch_log(get_left_out)
        peer_server = nng.new_server(
            settings.peer_address, peer_keys, entry.containment.contain
        )
        await nursery.start(peer_server.serve, entry.peers.handle)
        caller_server = await _start_servers(nursery, adapter, entry)
        nursery.start_soon(entry.run)
        nursery.start_soon(_reload_on_sighup, adapter, entry)
        task_status.started(entry)
        await stop.drain_requested.wait()
        requests = await _drain(
            entry, caller_server, adapter.get_grace_s(), stop
        )
        links.close()
        nursery.cancel_scope.cancel()
    is_drained = not requests
    _log.info(
        "stopped",
        extra={
            "decision": "stop",
            "drained": is_drained,
            "request_count": requests,
        },
    )
    return EXIT_OK if is_drained else EXIT_DRAIN_INCOMPLETE


async def _start_servers(nursery, adapter, entry):
    """Start all HTTP servers; return the one for callers."""
    account = entry.caller_account
    caller_connections = caller_account.get_caller_connections(
        entry.settings.descriptors_max
    )
    caller_server = server_module.new_server(
        adapter.get_caller_address(),
        lambda exchange: adapter.serve_exchange(entry, exchange),
        entry.get_limits,
        entry.metrics,
        adapter.get_request_id_field(),
        account.new_bounds(caller_connections),
    )
    readiness_server = server_module.new_server(
        adapter.get_readiness_address(),
        lambda exchange: adapter.serve_readiness(entry, exchange),
        entry.get_limits,
        bounds=account.new_bounds(
            caller_account.READINESS_CONNECTIONS, is_for_checks=True
        ),
    )
    metrics_server = server_module.new_server(
        adapter.get_metrics_address(),
        lambda exchange: _serve_operator(entry, exchange),
        entry.get_limits,
        bounds=account.new_bounds(
            caller_account.METRICS_CONNECTIONS, is_for_checks=True
        ),
    )
    await nursery.start(readiness_server.serve)
    await nursery.start(metrics_server.serve)
    await nursery.start(caller_server.serve)
    return caller_server


async def _serve_operator(entry, exchange):
    path, _separator, query = exchange.target.partition(b"?")
    if path == EXPLAIN_PATH:
        explanation = entry.explain(route_explanation.read_question(query))
        await exchange.answer(
            200,
            [(b"Content-Type", b"application/json")],
            msgspec.json.encode(explanation),
        )
        return
    await _serve_metrics(entry, exchange)


async def _serve_metrics(entry, exchange):
    body, headers = entry.metrics.render([])
    fields = [(key.encode(), value.encode()) for key, value in headers.items()]
    await exchange.answer(200, fields, body)


async def _reload_on_sighup(adapter, entry):
    with trio.open_signal_receiver(signal.SIGHUP) as received:
        # What came before was ignored.
        _reload(adapter, entry)
        async for _signal in received:
            _reload(adapter, entry)


def _reload(adapter, entry):
    with entry.containment.contain("reload"):
        reload = adapter.reload()
        if reload.changed:
            entry.apply_bounds(adapter.get_settings())
        _log_reload(reload)


def _log_reload(reload):
    level, outcome = logging.INFO, "unchanged"
    if reload.changed:
        outcome = "changed"
    if reload.needs_restart:
        level = logging.WARNING
    if reload.problem:
        level, outcome = logging.ERROR, "failed"
    _log.log(
        level,
        "settings reload",
        extra={
            "decision": "reload",
            "outcome": outcome,
            "changed": reload.changed,
            "needs_restart": reload.needs_restart,
            "detail": reload.problem,
        },
    )


async def _drain(entry, caller_server, grace_s, stop):
    """Drain the entry; return the number of requests that are in hand.

    New requests arrive until callers have seen that the entry is not
    ready. They are served, and their connections are closed afterwards.
    Every request is answered before the process ends. One that is ended
    before, with whatever outcome, is not in hand.
    """
    plan = drain_plan.new_drain_plan(trio.current_time(), grace_s)
    entry.start_draining(plan)
    caller_server.is_draining = True
    with trio.move_on_at(plan.exit_by_s):
        await trio.sleep_until(plan.idle_exit_s)
        while entry.is_busy() and not stop.exit_requested.is_set():
            await trio.sleep(DRAIN_CHECK_S)
        # Refused callers that come back at once would never let it be idle.
        caller_server.stop_listening()
        while caller_server.in_progress and not stop.exit_requested.is_set():
            await trio.sleep(DRAIN_CHECK_S)
    caller_server.is_closing = True
    return caller_server.in_progress
