"""Fakes of the interfaces of direct mode, for tests on a mock clock."""

import random

import trio
import trio.testing

from greengagetrack.connection import gateway
from greengagetrack.connection.http import framing
from greengagetrack.connection import seal
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import batcher as batcher_module
from greengagetrack.process.direct import budget as budget_module
from greengagetrack.process.direct import chooser as chooser_module
from greengagetrack.process.direct import crash_guard
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import durations as durations_module
from greengagetrack.process.direct import eligibilities
from greengagetrack.process.direct import fetch_time as fetch_time_module
from greengagetrack.process.direct import held_bytes
from greengagetrack.process.direct import lifetime_check
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import metrics as metrics_module
from greengagetrack.process.direct import permits as permits_module
from greengagetrack.process.direct import pools as pools_module
from greengagetrack.process.direct import stream_lives
from greengagetrack.process.direct import streams as streams_module
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import reply as reply_module
from greengagetrack.request.direct import request as request_module
from greengagetrack.request.direct import run as run_module
from greengagetrack.request import outcome
from greengagetrack.version import catalog

MEMORY_BYTES = 256 * 1024 * 1024
KEYS = seal.new_key_ring([b"k" * 16])
REGIONS = {"dc-a": "north", "dc-b": "south"}
BATCHING = catalog.Batching(
    batch_max=4,
    call_ms=100.0,
    piece_ms=10.0,
    result_memory_bytes=1000.0,
    result_ttl_s=4.0,
)


def run_with_mock_clock(check):
    """Run `await check(nursery)` on a clock that jumps when idle."""

    async def main():
        async with trio.open_nursery() as nursery:
            await check(nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def new_server(
    server_id, service="svc", data_centre="dc-a", address="", **fields
):
    """Return a published server, with its own address by default."""
    return gateway.Server(
        server_id, service, address or f"{server_id}:1", data_centre, **fields
    )


def new_route(**fields):
    """Return a route of the service `svc`."""
    values = {
        "name": "r",
        "host": "h",
        "prefix": "/",
        "repeat": catalog.Repeat.SAFE,
        "services": (catalog.WeightedService("svc"),),
        "timeout_ms": 3000.0,
        "target_ms": 500.0,
        "attempts_max": 2,
    }
    return catalog.Route(**{**values, **fields})


def new_catalog(version=1, routes=(), keys=None, services=None):
    """Return a catalog with the services `svc` and `pool`."""
    return catalog.new_catalog(
        version,
        list(routes) or [new_route()],
        services
        or [
            catalog.Service("svc", connections_max=80),
            catalog.Service("pool", batching=BATCHING),
        ],
        catalog.CallerLimits(),
        {
            key: catalog.Organisation(name)
            for key, name in (keys or {}).items()
        },
        keys is not None,
    )


class ScriptedAnswer(gateway.Answer):
    """An answer of given parts; a number is a pause in seconds."""

    def __init__(self, status=200, parts=(b"ok",), **flags):
        self.status = status
        self.headers = [(b"X-Seal", b"s")]
        self.framing = flags.get("framing", framing.Framing.CHUNKS)
        self.claim = flags.get(
            "claim",
            gateway.Claim.NOT_RUN
            if flags.get("is_not_run")
            else gateway.Claim.RAN,
        )
        self.is_other_server = flags.get("is_other_server", False)
        self.is_missing_version = False
        self.is_input_gone = flags.get("is_input_gone", False)
        self.is_events = flags.get("is_events", False)
        self.opened_s = 0.0
        self.connection_use = gateway.ConnectionUse(1, 1)
        self.is_finished = False
        self._parts = list(parts)

    async def receive_part(self):
        await trio.lowlevel.checkpoint()
        while self._parts:
            part = self._parts.pop(0)
            if not isinstance(part, int | float):
                return part
            await self._pause(part)
        return None

    async def _pause(self, pause_s):
        """Pause; a reader that is cancelled finds the rest of the pause."""
        end_s = trio.current_time() + pause_s
        try:
            await trio.sleep_until(end_s)
        except trio.Cancelled:
            self._parts.insert(0, end_s - trio.current_time())
            raise

    def find_end_problem(self):
        return ""

    def finish(self):
        self.is_finished = True


class FakeGateway(gateway.Gateway):
    """Returns scripted answers and records the calls it receives.

    `call_handler`, if set, returns the results of `run_pieces`. A free
    request takes `free_s` and is confirmed unless `is_free_lost` is set.
    Each call opens a connection. `incarnation_by_id` has what servers say
    of themselves, if it isn't what is published.
    """

    def __init__(self, script=()):
        self.script = list(script)
        self.sent = []
        self.calls = []
        self.freed = []
        self.call_handler = None
        self.free_s = 0.0
        self.is_free_lost = False
        self.incarnation_by_id = {}
        self.asked = []

    def set_observer(self, observer):
        self.observer = observer

    async def ask_incarnation(self, server):
        await trio.lowlevel.checkpoint()
        self.asked.append(server.server_id)
        return self.incarnation_by_id.get(server.server_id, server.incarnation)

    async def open_answer(self, server, request):
        opened_s = trio.current_time()
        if request.check is not None and not await request.check(opened_s):
            return gateway.Failure(
                outcome.Reason.LINK_DOWN,
                outcome.Ran.NO,
                is_connection_failure=True,
            )
        self.sent.append((server.server_id, request))
        answer = self.script.pop(0) if self.script else ScriptedAnswer()
        if isinstance(answer, tuple):
            pause_s, answer = answer
            await trio.sleep(pause_s)
        await trio.lowlevel.checkpoint()
        if isinstance(answer, ScriptedAnswer):
            answer.opened_s = opened_s
        return answer

    async def run_pieces(self, server, pieces):
        self.calls.append((server.server_id, list(pieces)))
        await trio.sleep((100 + 10 * len(pieces)) / 1000)
        if self.call_handler is not None:
            return self.call_handler(server, pieces)
        return [
            f"{server.server_id}/{piece.request_id}.{piece.stage}."
            f"{piece.number}"
            for piece in pieces
        ]

    async def free_results(self, address, handles):
        await trio.sleep(self.free_s)
        if self.is_free_lost:
            return False
        self.freed += handles
        return True

    async def is_refusing(self, server):
        return False

    def drop_connections(self, server):
        return None


class FakePeers:
    """The peers of an entry without other entries."""

    def __init__(self):
        self.members = members_module.new_members(
            "me", "127.0.0.1:1", "dc-a", 1.0, ()
        )


class FakeReply(reply_module.Reply):
    """Stores what a caller would receive."""

    def __init__(self):
        self.is_started = False
        self.is_whole = False
        self.status = None
        self.body = b""
        self.is_passed_on = False

    def record_passed_on(self):
        self.is_passed_on = True

    async def send_whole(self, status, headers, body, framing):
        self.is_started = self.is_whole = True
        self.status = status
        self.body = body

    async def start(self, status, headers, framing):
        self.is_started = True
        self.status = status

    async def send_part(self, data):
        self.body += data

    async def finish(self):
        self.is_whole = True


class FakeSource(source_module.Source):
    """Returns the scripted answers, then `Unreachable`."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []

    async def list_all(self):
        return await self._answer("all")

    async def list_changes(self, revision):
        return await self._answer(revision)

    async def list_history(self, revision):
        return await self._answer(("history", revision))

    async def _answer(self, request):
        await trio.lowlevel.checkpoint()
        self.requests.append(request)
        if not self.answers:
            return source_module.Unreachable("no scripted answer is left")
        return self.answers.pop(0)


class FakeSourceReader:
    """A reader of a source that confirms what is known."""

    def __init__(self):
        self.is_reachable = True

    async def read_past(self):
        await trio.lowlevel.checkpoint()

    async def refresh(self):
        await trio.lowlevel.checkpoint()
        return self.is_reachable


def new_lives(current_catalog):
    """Return the lives of streams where there was no other catalog."""
    lives = stream_lives.new_stream_lives()
    lives.record(current_catalog, trio.current_time())
    lives.learn_past(0.0, trio.current_time())
    return lives


class FakeEntry:
    """The components of a direct entry around a fake gateway."""

    def __init__(self, nursery, fake_gateway, servers, current_catalog=None):
        self.gateway = fake_gateway
        self.catalog = current_catalog or new_catalog()
        self.directory = directory_module.new_directory(lambda server: None)
        self.directory.apply_update(
            source_module.Update(1, servers=tuple(servers), is_complete=True)
        )
        self.crash_guard = crash_guard.new_crash_guard(
            fake_gateway, nursery, KEYS.get_digest
        )
        self.budgets = budget_module.new_retry_budgets(
            0.2, 80.0, 10.0, lambda: 8
        )
        self.eligibilities = eligibilities.new_eligibilities(
            lambda: self.catalog,
            REGIONS,
            self.directory.evacuations.data_centres,
        )
        self.chooser = chooser_module.new_chooser(
            self.directory,
            lambda: self.catalog,
            "dc-a",
            REGIONS,
            random.Random(1),
        )
        peers = FakePeers()
        self.source_reader = FakeSourceReader()
        self.permits = permits_module.new_permits(
            peers.members, None, self.directory, "me/1", random.Random(3)
        )
        self.streams = streams_module.new_streams(
            peers.members,
            None,
            self.directory,
            new_lives(self.catalog),
            self.source_reader,
            nursery,
        )
        fetch_times = fetch_time_module.FetchTimes()
        dependencies = batcher_module.BatcherDependencies(
            self.directory,
            fake_gateway,
            self.budgets,
            lambda: self.catalog,
            nursery,
            self.permits,
            fetch_times,
        )
        self.pools = pools_module.new_pools(
            "dc-a", dependencies, peers, random.Random(2)
        )
        self.services = run_module.RunServices(
            self.chooser,
            self.directory,
            fetch_times,
            fake_gateway,
            self.pools,
            self.budgets,
            metrics_module.new_direct_metrics("me"),
            self.crash_guard,
            self.permits,
            self.streams,
            lifetime_check.new_lifetime_checks(
                self.directory, fake_gateway, self.source_reader.refresh
            ),
            durations_module.Durations(),
            held_bytes.new_held_bytes(MEMORY_BYTES),
        )

    def admit(self, route, left_s=3.0, organisation=None, **fields):
        """Return an admitted request of a route."""
        now = trio.current_time()
        values = {
            "request_id": b"id",
            "method": b"POST",
            "target": b"/x",
            "host": "h",
            "headers": [],
            "body": b"",
            "received_s": now,
        }
        request = request_module.DirectRequest(**{**values, **fields})
        return request_module.Admitted(
            request,
            route,
            organisation,
            deadline_module.Deadline(now + left_s),
            1,
            self.eligibilities.new_request_eligibility(
                request, route, organisation
            ),
        )

    async def serve(self, route, **fields):
        """Return the outcome of a request and the caller's `FakeReply`."""
        reply = FakeReply()
        return await self.run(route, reply, **fields), reply

    async def run(self, route, reply, **fields):
        """Return the outcome of a request that is answered by `reply`."""
        admitted = self.admit(route, **fields)
        run = run_module.new_direct_run(self.services, admitted, reply)
        return await run.run()


def new_failure(ran, **flags):
    """Return a failed call; `ran` says whether it may have been executed."""
    return gateway.Failure(
        outcome.Reason.BACKEND_FAILED, ran, "scripted", **flags
    )
