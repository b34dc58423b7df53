"""Tests of what an entry believes of the others."""

import trio

from greengagetrack.connection import direct_messages
from greengagetrack.process.direct import members as members_module
from tests.direct import fakes

ENTRIES = 8


def _new_members():
    return members_module.new_members("e0", "e0:1", "dc-a", 1.0, ())


def _hear(members, numbers, is_leaving=False):
    for number in numbers:
        member = direct_messages.Member(
            f"e{number}", f"e{number}:1", 0, 1, is_leaving
        )
        members.update_peer(member, "dc-a", trio.current_time())


async def _lose_all(members):
    await trio.sleep(members_module.PEER_EXPIRY_S + 10)
    members.remove_expired()
    assert members.peer_by_address == {}


def test_an_entry_that_is_cut_off_for_long_is_no_majority_by_itself():
    """It forgot the others after 30 s, and took itself for all there are."""

    async def check(_nursery):
        members = _new_members()
        _hear(members, range(1, ENTRIES))
        assert members.sees_majority()
        await _lose_all(members)
        assert not members.sees_majority()
        _hear(members, range(1, ENTRIES))
        assert members.sees_majority()

    fakes.run_with_mock_clock(check)


def test_entries_that_left_or_are_gone_for_long_are_no_part_of_it():
    async def check(_nursery):
        members = _new_members()
        _hear(members, range(1, ENTRIES), is_leaving=True)
        await _lose_all(members)
        assert members.sees_majority()
        _hear(members, range(1, ENTRIES))
        await _lose_all(members)
        await trio.sleep(members_module.MISSING_S)
        assert members.sees_majority()

    fakes.run_with_mock_clock(check)
