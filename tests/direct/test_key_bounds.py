"""Tests of entries under short and long published bounds for keys."""

import pytest
import trio

from tests.direct import fakes
from tests.direct import test_newest_version
from tests.direct import test_peers

STEP_S = 0.01


@pytest.mark.parametrize("bound_s", [0.5, 1.0, 3.0, 5.0, 20.0])
def test_entries_are_ready_and_refuse_a_withdrawn_key_within_the_bound(
    bound_s,
):
    async def check(nursery):
        site = test_newest_version.Site(nursery)
        site.key_bound_s = bound_s
        site.start_all()
        await trio.sleep(4.0)
        for _moment in range(300):
            await trio.sleep(STEP_S)
            assert all(node.entry.is_ready() for node in site.nodes)
            assert all(node.runs("withdrawn") for node in site.nodes)
        # Just after a confirmation, and no entry hears of the change.
        lease = site.nodes[0].entry.lease
        while lease.get_age_s() > 2 * STEP_S:
            await trio.sleep(STEP_S / 2)
        site.store.publish(test_newest_version.AFTER)
        site.store.turned_away.update(site.names)
        await trio.sleep(bound_s)
        for _moment in range(100):
            assert not any(node.runs("withdrawn") for node in site.nodes)
            await trio.sleep(STEP_S)

    fakes.run_with_mock_clock(check)


def test_an_entry_cut_off_from_the_store_serves_by_its_peers_word():
    """A short bound leaves no time in which peers need not be asked."""

    async def check(nursery):
        site = test_newest_version.Site(nursery)
        site.key_bound_s = 1.0
        site.start_all()
        await trio.sleep(4.0)
        node = site.nodes[0]
        site.store.turned_away.add(node.name)
        for _moment in range(300):
            await trio.sleep(STEP_S)
            assert node.runs("kept")

    fakes.run_with_mock_clock(check)


@pytest.mark.parametrize("bound_s", [0.8, 4.0])
def test_an_entry_asks_its_peers_more_often_while_its_lease_runs_out(bound_s):
    counts = []

    def count_requests(age_s):
        async def check(fleet):
            for node in fleet.node_by_address.values():
                node.lease.bound_s = bound_s
                node.lease.now_s = lambda: 100.0
                node.lease.confirm(100.0 - age_s)
            await trio.sleep(4.0)
            counts.append(sum(fleet.request_counts.values()))

        test_peers.run_fleet(check, centres=("a",), entries_per_centre=2)

    count_requests(0.5 * bound_s)
    count_requests(0.7 * bound_s)
    assert counts[1] > 1.5 * counts[0]


def test_a_bound_of_zero_admits_no_key_and_polls_at_a_bounded_rate():
    async def check(nursery):
        site = test_newest_version.Site(nursery)
        site.key_bound_s = 0.0
        site.start_all()
        polls = 0
        source = site.nodes[0].entry.catalog_watcher._source
        list_changes = source.list_changes

        async def count(revision):
            nonlocal polls
            polls += 1
            return await list_changes(revision)

        source.list_changes = count
        await trio.sleep(4.0)
        assert polls <= 50
        assert not any(node.runs("kept") for node in site.nodes)
        assert all(node.runs(path="/open/x") for node in site.nodes)

    fakes.run_with_mock_clock(check)
