"""Tests of entries whose servers are warming, on a mock clock."""

import logging

import pytest
import trio

from greengagetrack.connection import gateway
from greengagetrack.connection import source as source_module
from greengagetrack.process.direct.decisions import permit_queue
from greengagetrack.process.direct.decisions import warming
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import known_server
from greengagetrack.process.direct import metrics as metrics_module
from greengagetrack.process.direct import warming_servers
from greengagetrack.request import outcome
from greengagetrack.version import catalog
from tests.direct import fakes
from tests.direct import warming_fleet

BOUND = warming_fleet.BOUND
WARMING_S = warming_fleet.WARMING_S
ENTRIES = 12
RETURN_S = 5.0
END_S = RETURN_S + WARMING_S


async def do_nothing(fleet):
    pass


async def kill_owner(fleet):
    await trio.sleep(0.7)
    fleet.get_owner().is_dead = True


async def freeze_owner(fleet):
    await trio.sleep(0.7)
    await fleet.freeze(fleet.get_owner(), 1.7)


async def cut_all_off(fleet):
    for number, entry in enumerate(fleet.entries):
        entry.group = number


async def cut_in_halves(fleet):
    for entry in fleet.entries:
        entry.group = entry.data_centre


async def shake(fleet):
    """Kill, freeze and cut off entries, drawn by the seed of the fleet."""
    for _number in range(6):
        await trio.sleep(fleet.generator.uniform(0.0, 0.8))
        entry = fleet.generator.choice([fleet.get_owner(), *fleet.entries])
        drawn = fleet.generator.randrange(3)
        if drawn == 0:
            entry.is_dead = True
        elif drawn == 1:
            entry.group = fleet.generator.randrange(3)
        else:
            duration_s = fleet.generator.uniform(0.2, 2.0)
            fleet.nursery.start_soon(fleet.freeze, entry, duration_s)


def play(bring_about, seed=1, before_s=0.0):
    """Return a fleet after its servers returned beside some trouble.

    The trouble starts `before_s` before the return.
    """
    fleets = []

    async def check(nursery):
        fleet = warming_fleet.WarmingFleet(ENTRIES, 3, seed)
        fleets.append(fleet)

        async def return_servers():
            await trio.sleep(RETURN_S - before_s)
            fleet.nursery.start_soon(bring_about, fleet)
            await trio.sleep(before_s)
            fleet.arrivals_by_server.clear()
            fleet.return_at_once()

        nursery.start_soon(return_servers)
        await fleet.run(END_S + 4.0)

    fakes.run_with_mock_clock(check)
    return fleets[0]


@pytest.mark.parametrize(
    ("bring_about", "before_s", "used_share"),
    [
        (do_nothing, 0.0, 0.85),
        (kill_owner, 0.0, 0.3),
        (freeze_owner, 0.0, 0.3),
        (cut_all_off, 0.0, 0.0),
        (cut_all_off, 4.0, 0.0),
        (cut_in_halves, 0.0, 0.0),
        (cut_in_halves, 4.0, 0.0),
    ],
)
def test_region_that_returns_at_once_gets_no_more_than_the_bound(
    bring_about, before_s, used_share
):
    fleet = play(bring_about, before_s=before_s)
    assert fleet.count_most(RETURN_S, END_S) <= BOUND
    pace = warming.get_pace(
        warming_fleet.PER_S, warming_fleet.RATIO, warming_fleet.SLACK
    )
    for arrivals in fleet.arrivals_by_server.values():
        used = sum(RETURN_S <= time < END_S for time in arrivals)
        assert used >= used_share * pace.per_s * WARMING_S
    # Back in steps: all entries want to send, and wait for the end.
    led_back_s = END_S + warming.NEWS_TOLERANCE_S + warming.RAMP_S
    assert (
        fleet.count_most(RETURN_S, led_back_s) <= warming.RAMP_FACTOR * BOUND
    )


@pytest.mark.parametrize("seed", range(8))
def test_bound_holds_whatever_becomes_of_the_entries(seed):
    fleet = play(shake, seed, before_s=1.0)
    assert fleet.count_most(RETURN_S, END_S) <= BOUND


def test_entry_that_cannot_read_the_source_hears_of_it_from_peers():
    async def check(nursery):
        fleet = warming_fleet.WarmingFleet(ENTRIES, 1)
        unaware = fleet.entries[0]
        nursery.start_soon(fleet.run, 1.0)
        await trio.sleep(0.1)
        fleet.return_at_once(unaware=(unaware,))
        await trio.sleep(0.5)
        # It only knows the start before, and reaches the new one.
        server = unaware.directory.server_by_id["s-0"]
        assert server.published.incarnation == 0
        assert server.limit.is_warming

    fakes.run_with_mock_clock(check)


def new_directory():
    """Return a directory whose servers have a warming rate."""
    servers = warming_servers.new_warming_servers(
        lambda: warming_fleet.CATALOG
    )
    return directory_module.new_directory(lambda server: None, servers)


def publish(directory, *servers):
    directory.apply_update(source_module.Update(1, servers=servers))
    return directory.server_by_id[servers[0].server_id].limit


def test_new_lifetime_is_warming_before_its_record_says_so():
    async def check(nursery):
        directory = new_directory()
        # The first list doesn't say when its servers started.
        assert publish(directory, fakes.new_server("s-1")).per_s is None
        again = fakes.new_server("s-1", incarnation=2)
        limit = publish(directory, again)
        assert limit.is_warming
        assert publish(directory, fakes.new_server("s-2")).is_warming
        # A record is read again: that doesn't begin a new spell.
        await trio.sleep(2.0)
        publish(directory, again)
        await trio.sleep(
            WARMING_S - 2.0 + warming.NEWS_TOLERANCE_S + warming.RAMP_S
        )
        directory.warming.update()
        assert limit.per_s is None
        assert directory.warming.count() == 0

    fakes.run_with_mock_clock(check)


def test_record_and_answers_tell_of_warming_at_any_moment(caplog):
    caplog.set_level(logging.INFO)

    async def check(nursery):
        directory = new_directory()
        server = fakes.new_server("s-1")
        publish(directory, server)
        limit = publish(directory, fakes.new_server("s-1", warming_left_s=1.0))
        assert limit.is_warming
        directory.record_warming(server, 2.0)
        until_s = trio.current_time() + 2.0 + warming.NEWS_TOLERANCE_S
        assert limit.spell.until_s == until_s
        await trio.sleep(2.1 + warming.NEWS_TOLERANCE_S + warming.RAMP_S)
        directory.warming.update()
        assert not limit.is_warming

    fakes.run_with_mock_clock(check)
    lines = [record.message for record in caplog.records]
    assert lines.count("server is warming") == 1
    assert lines.count("server has warmed up") == 1


def test_service_without_a_warming_rate_is_served_as_before():
    async def check(nursery):
        directory = new_directory()
        publish(directory, fakes.new_server("p-1", "pool"))
        server = fakes.new_server(
            "p-1", "pool", incarnation=2, warming_left_s=9.0
        )
        assert publish(directory, server).per_s is None
        assert not directory.get_limited()

    fakes.run_with_mock_clock(check)


def test_limit_that_a_warming_server_names_holds_beside_its_warming():
    async def check(nursery):
        directory = new_directory()
        server = fakes.new_server("s-1", warming_left_s=2.0)
        limit = publish(directory, server)
        pace = limit.per_s
        directory.record_limit(server, 1.0)
        assert limit.per_s == 1.0
        directory.record_limit(server, None)
        assert limit.per_s == pace

    fakes.run_with_mock_clock(check)


def test_requests_go_elsewhere_or_are_told_when_to_return():
    async def check(nursery):
        servers = [fakes.new_server("s-1"), fakes.new_server("s-2")]
        entry = fakes.FakeEntry(nursery, fakes.FakeGateway(), servers)
        for number, server in enumerate(servers):
            limit = entry.directory.server_by_id[server.server_id].limit
            limit.set_spell(warming.Spell(warming.Pace(2.0, 1.0, 0.1), 3.0))
            for _request in range(20):
                result, _reply = await entry.serve(
                    fakes.new_route(target_ms=200)
                )
                await trio.sleep(0.01)
            if number == 0:
                # The other one takes them all.
                assert not isinstance(result, outcome.Refused)
        assert isinstance(result, outcome.Refused)
        assert 0 < result.retry_after_ms < 3000
        used = [server_id for server_id, _request in entry.gateway.sent]
        assert used.count("s-1") <= 2

    fakes.run_with_mock_clock(check)


@pytest.mark.parametrize("bound", [(0.0, 0.0), (1.0, 0.0), (1e6, 1e6)])
def test_odd_bounds_and_words_raise_nothing(bound):
    async def check(nursery):
        directory = new_directory()
        directory.warming.set_bound(*bound)
        server = fakes.new_server("s-1", warming_left_s=1e12)
        limit = publish(directory, server)
        directory.record_warming(server, 1e300)
        directory.record_warming(fakes.new_server("gone"), 1.0)
        assert 0.0 <= limit.turn_share <= 1.0
        queue = limit.get_queue()
        await trio.sleep(1.0)
        taken = sum(queue.try_acquire(1.0) for _number in range(100))
        assert taken <= warming_fleet.PER_S * bound[0] + bound[1]
        # Not for ever: who still says so will say it again.
        assert limit.spell.until_s <= warming.SPELL_MAX_S + 1.0

    fakes.run_with_mock_clock(check)


def test_request_with_stages_reserves_no_permit_that_it_would_use_late():
    async def check(nursery):
        servers = [fakes.new_server("s-1"), fakes.new_server("p-1", "pool")]
        entry = fakes.FakeEntry(nursery, fakes.FakeGateway(), servers)
        limit = entry.directory.server_by_id["s-1"].limit
        limit.set_spell(warming.Spell(warming.Pace(2.0, 1.0, 0.1), 9.0))
        limit.get_queue()
        await trio.sleep(2.0)
        route = fakes.new_route(
            stages=(catalog.Stage("pool", result_bytes=10),)
        )
        await entry.serve(route, piece_counts=(2,))
        assert entry.permits.counts == {"granted": 1}
        # What others were told of the wait is known before the stages.
        limit.record_answer(permit_queue.PermitAnswer(False, 5.0))
        made = len(entry.gateway.calls)
        result, _reply = await entry.serve(route, piece_counts=(2,))
        assert isinstance(result, outcome.Refused)
        assert result.retry_after_ms > 0
        assert len(entry.gateway.calls) == made

    fakes.run_with_mock_clock(check)


def test_silent_server_is_not_suspected_while_it_is_warming():
    async def check(nursery):
        server = known_server.KnownServer(fakes.new_server("s-1"))
        failure = gateway.Failure(
            outcome.Reason.AGENT_SILENT, outcome.Ran.UNKNOWN
        )
        server.limit.set_spell(
            warming.Spell(warming.get_pace(17.0, 1.5, 5.0), 3.0)
        )
        for _number in range(10):
            server.record_failed_call(failure)
        assert not server.is_suspect()
        refused = gateway.Failure(
            outcome.Reason.LINK_DOWN,
            outcome.Ran.NO,
            is_connection_failure=True,
        )
        server.record_failed_call(refused)
        assert server.is_suspect()

    fakes.run_with_mock_clock(check)


def test_metrics_show_the_warming_servers_and_their_permits():
    metrics = metrics_module.new_direct_metrics("me")
    metrics.watch_warming(lambda: 3, {"refused": 7})
    text = metrics.render([])[0].decode()
    assert 'greengagetrack_warming_servers{process="me"} 3' in text
    assert 'result="refused"} 7' in text
