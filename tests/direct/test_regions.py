"""Tests of requests that are bound to regions, on the way to servers."""

import types

import msgspec
import pytest
import trio

from greengagetrack.connection import messages
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import peers as peers_module
from greengagetrack.process.direct import pools as pools_module
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request.direct import piece as piece_module
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import fakes

Reason = outcome_module.Reason
UNKNOWN = outcome_module.Ran.UNKNOWN
SOUTH = frozenset({"south"})
WHOLE = direct_outcome.Relayed(200)
STAGES = (catalog.Stage("pool", result_bytes=10),)
# dc-a is the data centre of the entry, in the north; dc-x is in no region.
SERVERS = [
    fakes.new_server("north1"),
    fakes.new_server("north2"),
    fakes.new_server("nowhere", data_centre="dc-x"),
    fakes.new_server("south1", data_centre="dc-b"),
    fakes.new_server("south2", data_centre="dc-b"),
]
POOLS = [
    fakes.new_server("north-pool", "pool"),
    fakes.new_server("south-pool", "pool", "dc-b"),
]


def _new_route(**fields):
    return fakes.new_route(**{"allowed_regions": SOUTH, **fields})


def _play(check, servers, *script):
    async def main(nursery):
        fake_gateway = fakes.FakeGateway(script)
        await check(fakes.FakeEntry(nursery, fake_gateway, servers))

    fakes.run_with_mock_clock(main)


def _get_sent_ids(entry):
    return [server_id for server_id, _request in entry.gateway.sent]


@pytest.mark.parametrize(
    ("route", "organisation"),
    [
        (_new_route(attempts_max=3), None),
        (
            fakes.new_route(attempts_max=3),
            catalog.Organisation("o", allowed_regions=SOUTH),
        ),
    ],
    ids=["route", "organisation"],
)
def test_attempts_and_retries_stay_in_the_region(route, organisation):
    """A bound request took servers of other regions day by day."""

    async def check(entry):
        await entry.serve(route, organisation=organisation)
        assert sorted(_get_sent_ids(entry)) == ["south1", "south2"]

    failures = [fakes.new_failure(UNKNOWN) for _try in range(3)]
    _play(check, SERVERS, *failures)


def test_bound_stream_is_resumed_nowhere_else():
    route = _new_route(repeat=catalog.Repeat.STREAM, is_resumable=True)
    broken = fakes.ScriptedAnswer(
        200, (b"id: 1\n\n", fakes.new_failure(UNKNOWN)), is_events=True
    )

    async def check(entry):
        outcome, _reply = await entry.serve(route)
        assert isinstance(outcome, direct_outcome.Cut)
        assert _get_sent_ids(entry) == ["south1"]

    _play(check, SERVERS[:4], broken)


@pytest.mark.parametrize(
    ("route", "servers"),
    [
        (_new_route(), SERVERS[:3]),
        (_new_route(allowed_regions=frozenset({"west"})), SERVERS),
        (_new_route(stages=STAGES), [*SERVERS, POOLS[0]]),
        (_new_route(stages=STAGES), [*SERVERS[:3], *POOLS]),
    ],
    ids=["no server", "no such region", "no stage server", "stages first"],
)
def test_request_without_a_region_is_refused_at_once(route, servers):
    async def check(entry):
        started_s = trio.current_time()
        outcome, reply = await entry.serve(route, piece_counts=(1,))
        assert outcome.reason is Reason.REGION_UNAVAILABLE
        assert isinstance(outcome, outcome_module.Refused)
        assert outcome.retry_after_ms is None
        assert "region" in outcome.detail
        assert trio.current_time() == started_s
        assert not reply.is_passed_on
        assert not entry.gateway.sent
        assert not entry.gateway.calls

    _play(check, servers)


def test_pieces_are_made_in_the_region():
    async def check(entry):
        outcome, _reply = await entry.serve(
            _new_route(stages=STAGES), piece_counts=(2,)
        )
        assert outcome == WHOLE
        assert [call[0] for call in entry.gateway.calls] == ["south-pool"]

    _play(check, [*SERVERS, *POOLS])


@pytest.mark.parametrize("region", ["south", "north"])
def test_pieces_are_held_by_a_peer_in_the_region_only(monkeypatch, region):
    """Without an entry beside them, servers have an owner anywhere."""
    asked = []

    async def request_pieces(peer, pool, tasks):
        await trio.lowlevel.checkpoint()
        asked.append(peer.name)
        for task in tasks:
            task.complete("made", None)
        return True

    async def check(entry):
        centre = {"south": "dc-b", "north": "dc-a"}[region]
        peer = members_module.Peer("peer:1")
        peer.name, peer.data_centre = "peer", centre
        monkeypatch.setattr(
            pools_module.Pools, "get_owner", lambda self, pool: peer
        )
        entry.pools._peers.request_pieces = request_pieces
        entry.pools._peers.request_free = request_pieces
        tasks = _new_tasks(entry, _new_route(stages=STAGES))
        await entry.pools.make_pieces("pool", tasks, [], [], 1.0)
        assert asked == (["peer"] if region == "south" else [])
        assert len(entry.gateway.calls) == (region == "north")

    _play(check, [*SERVERS, *POOLS])


class Link:
    """A link to one peer, which works on when a request is given up."""

    def __init__(self, peers, nursery):
        self._peers = peers
        self._nursery = nursery

    def get_link(self, _address):
        """Return the link itself."""
        return self

    def is_up(self):
        """Return that the peer is connected."""
        return True

    async def request(self, message, _timeout_s):
        """Pass a message and its reply through the codec."""
        decoded = messages.decode_request(messages.encode(message))
        sender, receiver = trio.open_memory_channel(1)

        async def handle():
            await sender.send(await self._peers.handle(decoded))

        self._nursery.start_soon(handle)
        reply = await receiver.receive()
        return messages.decode_reply(messages.encode(reply))


def _new_peers(nursery, entry, other=None):
    """Return the peers of a `FakeEntry` with a link to `other`."""
    settings = types.SimpleNamespace(
        name="me", peer_address="me:1", data_centre="dc-a", cores=1.0, seeds=()
    )
    peers = peers_module.new_peers(
        settings, Link(other, nursery), None, None, entry.directory, None, None
    )
    peers.set_pools(entry.pools)
    return peers


def test_change_of_regions_takes_back_pieces_that_a_peer_holds(monkeypatch):
    """They wait in the queue of the owner, which doesn't know the caller."""
    route = fakes.new_route(stages=STAGES)
    replies = []

    async def check(nursery):
        owner = fakes.FakeEntry(nursery, fakes.FakeGateway(), POOLS)
        entry = fakes.FakeEntry(nursery, fakes.FakeGateway(), POOLS)
        owner_peers = _new_peers(nursery, owner)
        entry.pools._peers = _new_peers(nursery, entry, owner_peers)
        peer = entry.pools._peers.members.get_or_add("owner:1")
        peer.last_contact_s, peer.data_centre = trio.current_time(), "dc-a"
        monkeypatch.setattr(
            pools_module.Pools,
            "get_owner",
            lambda self, pool: (
                peer
                if self is entry.pools and pool.data_centre == "dc-a"
                else None
            ),
        )
        entry.catalog = fakes.new_catalog(1, [route])
        owner.gateway.call_handler = lambda server, pieces: (
            replies.append(pieces) or ["h"] * len(pieces)
        )
        nursery.start_soon(_keep_busy, owner, route)
        nursery.start_soon(_change, entry, route, 0.02)
        await trio.sleep(0.01)
        tasks = _new_tasks(entry, route, "waits")
        await entry.pools.make_pieces("pool", tasks, [], [], 1.0)
        await trio.sleep(1.0)
        assert [call[0] for call in entry.gateway.calls] == ["south-pool"]
        assert [pieces[0].request_id for pieces in replies] == ["other"]

    fakes.run_with_mock_clock(check)


def _new_tasks(entry, route, request_id="other"):
    """Return the pieces of the first stage of a request."""
    admitted = entry.admit(route)
    tasks = [
        piece_module.PieceTask(request_id, 0, number, "k", None)
        for number in range(2)
    ]
    for task in tasks:
        task.deadline = admitted.deadline
        task.eligibility = admitted.eligibility
    return tasks


@pytest.mark.parametrize(
    ("change_s", "expected"),
    [(0.05, ["south-pool"]), (0.15, ["north-pool", "south-pool"])],
)
def test_change_of_regions_binds_requests_that_wait(change_s, expected):
    """Pieces wait behind another call, or the request for its pieces.

    Results that lie where they may not lie any more are made anew.
    """
    route = fakes.new_route(
        stages=STAGES, allowed_regions=frozenset({"north"})
    )

    async def check(entry):
        entry.catalog = fakes.new_catalog(1, [route])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_keep_busy, entry, route)
            await trio.sleep(0.01)
            nursery.start_soon(_change, entry, route, change_s)
            outcome, _reply = await entry.serve(
                route, piece_counts=(2,), request_id=b"waits"
            )
            assert outcome == WHOLE
        sent = [
            server_id
            for server_id, request in entry.gateway.sent
            if request.request_id == b"waits"
        ]
        assert sent[0].startswith("south")
        made = [
            server_id
            for server_id, pieces in entry.gateway.calls
            if pieces[0].request_id == "waits"
        ]
        assert made == expected

    _play(check, [*SERVERS, *POOLS])


async def _keep_busy(entry, route):
    """Take the only place at the servers of stages in the north."""
    tasks = _new_tasks(entry, route)
    await entry.pools.make_pieces("pool", tasks, [], [], 1.0)


async def _change(entry, route, after_s):
    await trio.sleep(after_s)
    changed = msgspec.structs.replace(route, allowed_regions=SOUTH)
    entry.catalog = fakes.new_catalog(2, [changed])


def test_request_whose_route_is_gone_stays_bound():
    async def check(entry):
        admitted = entry.admit(_new_route())
        entry.catalog = fakes.new_catalog(2, [fakes.new_route(host="other")])
        assert admitted.eligibility.get().allowed_regions == SOUTH
        entry.catalog = fakes.new_catalog(3, [fakes.new_route()])
        assert admitted.eligibility.get().allowed_regions is None

    _play(check, SERVERS)


def test_a_service_without_servers_in_the_regions_is_not_drawn():
    shares = (
        catalog.WeightedService("svc", 1.0),
        catalog.WeightedService("other", 99.0),
    )
    route = _new_route(services=shares)
    servers = [*SERVERS, fakes.new_server("north3", "other")]

    async def check(entry):
        for _request in range(8):
            outcome, _reply = await entry.serve(route)
            assert outcome == WHOLE
        assert set(_get_sent_ids(entry)) <= {"south1", "south2"}

    _play(check, servers)
