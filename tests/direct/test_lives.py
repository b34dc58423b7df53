"""Tests of what a starting entry is told of its last life."""

import logging

import pytest
import trio

from greengagetrack.connection import direct_messages
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import lives as lives_module
from tests.direct import fakes
from tests.direct import test_peers


def _get_told(caplog):
    return [r for r in caplog.records if r.message == "last life ended"]


@pytest.mark.parametrize("is_leaving", [False, True])
def test_entry_that_starts_again_says_how_its_last_life_ended(
    is_leaving, caplog, monkeypatch
):
    monkeypatch.setattr(
        freshness, "get_boot_time_s", lambda: 1 + trio.current_time()
    )
    caplog.set_level(logging.INFO, lives_module.__name__)

    async def check(nursery):
        fleet = test_peers.Fleet(("a",), 3)
        scope = trio.CancelScope()

        async def run(node):
            with scope:
                await node.peers.run()

        first, *others = fleet.node_by_address.values()
        nursery.start_soon(run, first)
        for node in others:
            nursery.start_soon(node.peers.run)
        await trio.sleep(5)
        if is_leaving:
            first.peers.announce_leaving()
            await trio.sleep(0.2)
        assert _get_told(caplog) == []
        scope.cancel()
        fleet.dead.add("a-0:1")
        await trio.sleep(2)
        fleet.dead.clear()
        fleet._add("a", 0, ["a-1:1"])
        nursery.start_soon(fleet.node_by_address["a-0:1"].peers.run)
        await trio.sleep(10)

    fakes.run_with_mock_clock(check)
    told = _get_told(caplog)
    assert told
    assert {record.leaving for record in told} == {is_leaving}
    assert all(2.0 <= record.heard_age_s < 2.5 for record in told)


def test_late_digest_of_an_ended_life_begins_no_other():
    def new_digest(started_ms, is_leaving=False):
        return direct_messages.EntryDigest(
            "a-1", "a-1:1", "a", started_ms=started_ms, is_leaving=is_leaving
        )

    async def check(_nursery):
        lives = lives_module.new_lives(0.0)
        lives.record(new_digest(5, is_leaving=True))
        assert lives.get_earlier("a-1:1") is None
        await trio.sleep(3)
        for started_ms in (7, 5, 7):
            lives.record(new_digest(started_ms))
        earlier = direct_messages.EarlierLife(3000, True)
        assert lives.get_earlier("a-1:1") == earlier
        await trio.sleep(lives_module.TOLD_S + 1)
        assert lives.get_earlier("a-1:1") is None
        lives.keep_only(())
        lives.record(new_digest(9))
        assert lives.get_earlier("a-1:1") is None

    fakes.run_with_mock_clock(check)
