"""Tests that an unforeseen error ends one unit of work and no more."""

import logging
import random
import types

import msgspec
import pytest
import trio

from bench import ports
from greengagetrack.connection import agent_messages
from greengagetrack.connection import base
from greengagetrack.connection import contained_error
from greengagetrack.connection import direct_messages
from greengagetrack.connection import gateway
from greengagetrack.connection import nng
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import batcher as batcher_module
from greengagetrack.process.direct import catalog_watcher
from greengagetrack.process.direct import containment as containment_module
from greengagetrack.process.direct import digests as digests_module
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import entry as entry_module
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import inquiry
from greengagetrack.process.direct import loop_lag
from greengagetrack.process.direct import members as members_module
from greengagetrack.process.direct import newest_version
from greengagetrack.process.direct import peers as peers_module
from greengagetrack.process.direct import piece_call
from greengagetrack.process.direct import result_freer
from greengagetrack.process.direct import stream_replicas
from greengagetrack.process.direct import streams as streams_module
from greengagetrack.process import logs
from greengagetrack.request.direct import attempt as attempt_module
from greengagetrack.request.direct import request_log
from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import test_batcher
from tests.direct import test_peers


class Observer(contained_error.ErrorObserver):
    """Keeps the boundaries at which errors were contained."""

    def __init__(self, boundaries):
        self._boundaries = boundaries

    def count_contained_error(self, boundary):
        self._boundaries.append(boundary)


async def _fail():
    await trio.lowlevel.checkpoint()
    raise ZeroDivisionError("unforeseen")


async def _fail_in_nursery():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_fail)
        nursery.start_soon(trio.sleep_forever)


@pytest.mark.contains_error
@pytest.mark.parametrize("function", [_fail, _fail_in_nursery])
def test_failed_task_leaves_its_neighbours_and_is_logged(function, caplog):
    boundaries = []
    ended = []

    async def end():
        await trio.sleep(1)
        ended.append(True)

    async def check(nursery):
        containment = containment_module.new_containment(Observer(boundaries))
        contained = containment_module.new_contained_nursery(
            nursery, containment, "background"
        )
        contained.start_soon(function)
        contained.start_soon(end)
        await trio.sleep(2)

    with caplog.at_level(logging.ERROR):
        fakes.run_with_mock_clock(check)
    assert ended == [True]
    assert boundaries == ["background"]
    assert "ZeroDivisionError: unforeseen" in caplog.text


def test_cancellation_passes_the_containment():
    boundaries = []

    async def check(_nursery):
        containment = containment_module.new_containment(Observer(boundaries))
        with trio.move_on_after(1) as scope:
            await containment.run("background", trio.sleep_forever)
        assert scope.cancelled_caught

    fakes.run_with_mock_clock(check)
    assert boundaries == []


@pytest.mark.contains_error
def test_failed_poll_of_the_source_is_repeated():
    boundaries = []
    update = source_module.Update(
        1, fakes.new_catalog(), (fakes.new_server("s1"),), is_complete=True
    )

    class Source(fakes.FakeSource):
        async def list_all(self):
            if not self.requests:
                self.requests.append("all")
                await _fail()
            return update

        async def list_changes(self, revision):
            return update

    async def check(nursery):
        lease = freshness.new_freshness_lease(4.0, trio.current_time)
        watcher = catalog_watcher.new_catalog_watcher(
            Source(),
            directory_module.new_directory(lambda server: None),
            lease,
            2.5,
            random.Random(1),
            containment_module.new_containment(Observer(boundaries)),
        )
        nursery.start_soon(watcher.run)
        await trio.sleep(0.1)
        assert watcher.get_version() == 0
        assert not lease.is_fresh()
        await trio.sleep(1)
        assert watcher.get_version() == 1
        assert lease.is_fresh()

    fakes.run_with_mock_clock(check)
    assert boundaries == ["poll"]


@pytest.mark.contains_error
def test_failed_exchange_with_a_peer_leaves_the_others(caplog, monkeypatch):
    apply = digests_module.Digests.apply

    def fail_for_one(digests, digest):
        if (digests._members.name, digest.name) == ("a-0", "a-1"):
            raise ZeroDivisionError("unforeseen")
        return apply(digests, digest)

    monkeypatch.setattr(digests_module.Digests, "apply", fail_for_one)

    async def check(nursery):
        fleet = test_peers.Fleet(("a",), 3)
        peers = fleet.node_by_address["a-0:1"].peers
        fleet.start(nursery)
        await trio.sleep(3)
        live = peers.members.get_live_peers("a")
        assert [peer.name for peer in live] == ["a-2"]

    fakes.run_with_mock_clock(check)
    assert {record.boundary for record in caplog.records} == {"peer_exchange"}


@pytest.mark.contains_error
def test_message_whose_handler_fails_leaves_the_link_in_use():
    boundaries = []
    (port,) = ports.find_free_ports(1)
    address = f"127.0.0.1:{port}"

    async def handle(message):
        if isinstance(message, agent_messages.FetchManifest):
            raise ZeroDivisionError("unforeseen")
        return direct_messages.PermitReply(True)

    async def main():
        containment = containment_module.new_containment(Observer(boundaries))
        server = nng.new_server(address, fakes.KEYS, containment.contain)
        link = nng.new_link_factory(fakes.KEYS).open_link(address)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve, handle)
            with trio.fail_after(5):
                while not link.is_up():
                    await trio.sleep(0.01)
            failed = await link.request(agent_messages.FetchManifest(), 1.0)
            assert failed == base.Lost("unforeseen error")
            answered = await link.request(
                agent_messages.FetchDocument("k", "d"), 1.0
            )
            assert answered == direct_messages.PermitReply(True)
            link.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert boundaries == ["peer_message"]


def _run_contained(check):
    """Run `check(fake_entry)`; background errors are contained."""

    async def main(nursery):
        contained = containment_module.new_contained_nursery(
            nursery, containment_module.new_containment(), "background"
        )
        fake_gateway = fakes.FakeGateway()
        servers = [fakes.new_server(name, "pool") for name in ("p1", "p2")]
        await check(fakes.FakeEntry(contained, fake_gateway, servers))

    fakes.run_with_mock_clock(main)


@pytest.mark.contains_error
def test_pieces_of_a_failed_call_are_made_by_the_next_one():
    def fail_once(_server, _pieces):
        fake_gateway = fail_once.gateway
        fake_gateway.call_handler = None
        raise ZeroDivisionError("unforeseen")

    async def check(fake_entry):
        fail_once.gateway = fake_entry.gateway
        fake_entry.gateway.call_handler = fail_once
        batcher = fake_entry.pools.get_pool("pool", "dc-a").batcher
        tasks = test_batcher._new_tasks("r", 2)
        with trio.fail_after(2):
            await batcher.make_pieces(tasks)
        # The server of the failed call counts as silent.
        assert [task.server.server_id for task in tasks] == ["p2", "p2"]

    _run_contained(check)


@pytest.mark.contains_error
def test_suspects_of_a_failed_check_are_forgotten():
    async def fail(_server):
        await _fail()

    async def check(fake_entry):
        fake_entry.gateway.is_refusing = fail
        guard = fake_entry.crash_guard
        server = fake_entry.directory.server_by_id["p1"]
        request = fake_entry.admit(fakes.new_route()).request
        attempt = types.SimpleNamespace(is_sound=False, has_begun=False)
        guard.record_break(server, request, attempt)
        await trio.sleep(1)
        assert guard._suspects_by_lifetime == {}

    _run_contained(check)


@pytest.mark.contains_error
def test_pool_that_is_not_woken_leaves_the_others_in_use(monkeypatch):
    woken = []

    def wake(batcher):
        woken.append(batcher.service)
        if batcher.service == "bad":
            raise ZeroDivisionError("unforeseen")

    monkeypatch.setattr(batcher_module.Batcher, "wake", wake)

    async def check(fake_entry):
        for service in ("bad", "pool"):
            fake_entry.pools.get_pool(service, "dc-a")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fake_entry.pools.run)
            await trio.sleep(1.05)
            nursery.cancel_scope.cancel()

    _run_contained(check)
    # One round each 0.1 s, of both.
    assert woken == ["bad", "pool"] * 10


@pytest.mark.contains_error
def test_stream_that_is_not_told_leaves_the_others_and_is_told_later(
    monkeypatch,
):
    told = []
    new_begun_stream = direct_messages.BegunStream

    def fail_first(organisation, key, *rest):
        told.append(key)
        if len(told) == 1:
            raise ZeroDivisionError("unforeseen")
        return new_begun_stream(organisation, key, *rest)

    monkeypatch.setattr(direct_messages, "BegunStream", fail_first)

    async def check(fake_entry):
        servers = [fakes.new_server("s1", software_version="v1")]
        streams = fake_entry.streams
        keys = []

        async def publish():
            update = source_module.Update(1, servers=tuple(servers))
            fake_entry.directory.apply_update(update)
            await trio.sleep(1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(streams.run)
            fake_entry.directory.versions.record_past((), 0.0)
            await publish()
            for request_id in (b"1", b"2"):
                stream_id = streams_module.StreamId("org", request_id)
                keys.append(stream_id.key)
                origin = streams_module.Origin("svc", "v1")
                streams.begin(stream_id, origin, ["svc"], 100.0)
            assert told == []
            for version in ("v2", "v3"):
                servers.append(
                    fakes.new_server(version, software_version=version)
                )
                await publish()
            nursery.cancel_scope.cancel()
        assert told == [*keys, keys[0]]

    _run_contained(check)


@pytest.mark.contains_error
@pytest.mark.parametrize(
    ("owner", "step"),
    [
        (peers_module.Peers, "_choose_remote"),
        (peers_module.Peers, "_is_due"),
        (members_module.Members, "log_changes"),
    ],
)
def test_failed_step_of_a_round_with_peers_leaves_the_others(
    owner, step, caplog, monkeypatch
):
    run_step = getattr(owner, step)

    def fail(self, peer=None, *arguments):
        if peer is None or peer.address == "a-1:1":
            raise ZeroDivisionError("unforeseen")
        return run_step(self, peer, *arguments)

    monkeypatch.setattr(owner, step, fail)

    async def check(nursery):
        fleet = test_peers.Fleet(("a",), 3)
        peers = fleet.node_by_address["a-0:1"].peers
        for address in ("a-1:1", "a-2:1"):
            peers.members.get_or_add(address)
        nursery.start_soon(peers.run)
        await trio.sleep(3.1)
        assert "a-2" in [p.name for p in peers.members.get_live_peers("a")]

    fakes.run_with_mock_clock(check)
    # One in each round of 0.4 s.
    assert [r.boundary for r in caplog.records] == ["peer_round"] * 8


@pytest.mark.contains_error
def test_results_are_freed_after_a_flush_that_failed(monkeypatch):
    is_due = result_freer.ResultFreer._may_free
    failed = []

    def fail_once(freer, usage):
        if not failed:
            failed.append(usage)
            raise ZeroDivisionError("unforeseen")
        return is_due(freer, usage)

    monkeypatch.setattr(result_freer.ResultFreer, "_may_free", fail_once)

    async def check(fake_entry):
        batcher = fake_entry.pools.get_pool("pool", "dc-a").batcher
        for handle in ("first", "second"):
            batcher.free_results("p1", [handle])
            await trio.sleep(1)
        assert fake_entry.gateway.freed == ["second"]

    _run_contained(check)


class BrokenReply(fakes.FakeReply):
    """Raises an error instead of answering."""

    def __init__(self, error):
        super().__init__()
        self._error = error

    async def send_whole(self, status, headers, body, framing):
        await trio.lowlevel.checkpoint()
        raise self._error


def _group(*errors):
    return ExceptionGroup("of a nursery", errors)


@pytest.mark.parametrize(
    ("error", "outcome", "detail"),
    [
        (trio.BrokenResourceError(), "caller_left", ""),
        (_group(trio.ClosedResourceError()), "caller_left", ""),
        (trio.TooSlowError(), "caller_slow", ""),
        (ZeroDivisionError(), "error", "ZeroDivisionError"),
        (
            _group(trio.TooSlowError(), _group(ZeroDivisionError())),
            "error",
            "ExceptionGroup",
        ),
    ],
)
def test_request_that_an_error_ends_is_not_recorded_as_left_by_its_caller(
    error, outcome, detail, caplog
):
    async def check(fake_entry):
        route = fakes.new_route(services=(catalog.WeightedService("pool"),))
        with pytest.raises(type(error)) as raised:
            await fake_entry.run(route, BrokenReply(error))
        assert raised.value is error
        body, _headers = fake_entry.services.metrics.render([])
        assert f'outcome="{outcome}"' in body.decode()

    with caplog.at_level(logging.WARNING, request_log.__name__):
        _run_contained(check)
    (ended,) = [r for r in caplog.records if r.message == "request ended"]
    assert (ended.outcome, ended.detail) == (outcome, detail)


@pytest.mark.parametrize(
    ("owner", "step"),
    [
        (directory_module.Directory, "record_cached_parts"),
        (attempt_module, "new_attempt"),
    ],
)
def test_request_that_fails_before_its_send_is_not_counted_at_a_server(
    owner, step, monkeypatch
):
    def fail(*_arguments):
        raise ZeroDivisionError("unforeseen")

    monkeypatch.setattr(owner, step, fail)

    async def check(fake_entry):
        route = fakes.new_route(services=(catalog.WeightedService("pool"),))
        with pytest.raises(ZeroDivisionError):
            await fake_entry.serve(route)
        for server in fake_entry.directory.server_by_id.values():
            assert server.outstanding == 0

    _run_contained(check)


@pytest.mark.contains_error
def test_stream_without_owners_leaves_the_others_told(monkeypatch):
    sent = []
    keys = [streams_module.StreamId("org", b"%d" % n).key for n in range(3)]

    def rank(_members, key, _count):
        if key == keys[0].hex():
            raise ZeroDivisionError("unforeseen")
        return [types.SimpleNamespace(address="a:1")]

    async def request(_streams, _address, message):
        sent.extend(stream.key for stream in message.streams)

    monkeypatch.setattr(members_module.Members, "rank_by_key", rank)
    monkeypatch.setattr(stream_replicas.StreamReplicas, "_request", request)

    async def check(fake_entry):
        origin = streams_module.Origin("svc", None)
        for number in range(3):
            stream_id = streams_module.StreamId("org", b"%d" % number)
            fake_entry.streams.begin(stream_id, origin, ["svc"], 100.0)
        await trio.sleep(1)
        assert sent == keys[1:]

    _run_contained(check)


@pytest.mark.contains_error
def test_failed_round_of_a_loop_leaves_its_entry_and_the_next_rounds():
    boundaries = []
    rounds = []

    def fail(*_arguments):
        rounds.append(trio.current_time())
        raise ZeroDivisionError("unforeseen")

    async def check(nursery):
        containment = containment_module.new_containment(Observer(boundaries))
        fake_entry = types.SimpleNamespace(
            containment=containment,
            _connection_pool=types.SimpleNamespace(drop_expired=fail),
        )
        nursery.start_soon(
            entry_module.DirectEntry._drop_idle_connections, fake_entry
        )
        metrics = types.SimpleNamespace(record_loop_lag=fail)
        nursery.start_soon(loop_lag.watch, metrics, fail, containment)
        await trio.sleep(3.1 * max(entry_module.IDLE_CHECK_S, 0.25))

    fakes.run_with_mock_clock(check)
    for boundary in ("idle_connections", "loop_lag"):
        assert boundaries.count(boundary) >= 3
    assert len(boundaries) == len(rounds)


@pytest.mark.contains_error
def test_failed_question_to_the_peers_is_asked_again_before_any_word(
    monkeypatch,
):
    boundaries = []
    asked = []

    async def ask(_inquiry):
        asked.append(trio.current_time())
        if len(asked) < 3:
            await _fail()

    monkeypatch.setattr(inquiry.Inquiry, "run", ask)

    async def check(nursery):
        lease = freshness.new_freshness_lease(4.0, trio.current_time)
        newest = newest_version.new_newest_version(lease)
        containment = containment_module.new_containment(Observer(boundaries))
        newest.start_asking()
        nursery.start_soon(
            inquiry.run_whenever_due, newest, None, None, None, containment
        )
        newest.confirm(trio.current_time(), 0, 0)
        await trio.sleep(1.5 * inquiry.ROUND_S)
        assert not lease.is_fresh()
        await trio.sleep(inquiry.ROUND_S)
        assert lease.is_fresh()
        await trio.sleep(10 * inquiry.ROUND_S)

    fakes.run_with_mock_clock(check)
    assert boundaries == ["inquiry"] * 2
    assert len(asked) == 3


@pytest.mark.contains_error
def test_pieces_of_a_call_that_can_not_be_recorded_get_an_end(monkeypatch):
    def fail(*_arguments):
        raise ZeroDivisionError("unforeseen")

    monkeypatch.setattr(piece_call.PieceCall, "record", fail)

    async def check(fake_entry):
        batcher = fake_entry.pools.get_pool("pool", "dc-a").batcher
        tasks = test_batcher._new_tasks("r", 1)
        with trio.move_on_after(5) as scope:
            await batcher.make_pieces(tasks)
        assert not scope.cancelled_caught
        assert tasks[0].result is gateway.PieceFailure.ERROR

    _run_contained(check)


@pytest.mark.contains_error
def test_error_whose_line_can_not_be_written_is_counted_and_contained(
    tmp_path,
):
    boundaries = []
    path = tmp_path / "log"
    logger = logging.getLogger("greengagetrack")
    before = logger.handlers, logger.level
    with open(path, "wb") as file:
        logs.set_up_bounded("p", "INFO", file.fileno())
        try:
            containment = containment_module.new_containment(
                Observer(boundaries)
            )
            with containment.contain("background"):
                raise ValueError("\ud800")
            logging.getLogger("greengagetrack.x").info("next")
        finally:
            logger.handlers, logger.level = before
    assert boundaries == ["background"]
    assert msgspec.json.decode(path.read_bytes())["left_out"] == 1
