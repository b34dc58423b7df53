"""Who gives way to whom, on values."""

import random

import pytest
import trio
import trio.testing

from greengagetrack.connection.http import bounds
from greengagetrack.process.direct import caller_account
from greengagetrack.process.direct.decisions import shedding
from greengagetrack.version import catalog

LIMITS = catalog.CallerLimits()
MEMORY_BYTES = 152e6
PROCESS_BYTES = 70e6
BODY_BYTES = LIMITS.body_max_bytes
SMALL_BYTES = 40 * 1024
Wait = bounds.Wait


def _new_account(memory_bytes=MEMORY_BYTES):
    return caller_account.CallerAccount(
        memory_bytes, PROCESS_BYTES, lambda: LIMITS
    )


def _open(server_bounds, wait=Wait.BODY):
    share = server_bounds.open()
    share.begin_request()
    share.wait_for(wait, 60.0)
    return share


def _fill(server_bounds, size, wait=Wait.BODY):
    """Return shares of a size, as many as there is room for."""
    shares = []
    while (share := _open(server_bounds, wait)).resize(size):
        shares.append(share)
    server_bounds.close(share)
    return shares


def _run(play):
    async def main():
        account = _new_account()
        await play(account, account.new_bounds(1000))

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


def test_bodies_that_stand_still_give_way_and_moving_ones_stay():
    async def play(_account, server_bounds):
        crowd = _fill(server_bounds, BODY_BYTES)
        assert len(crowd) > 1
        await trio.sleep(shedding.STILL_S)
        crowd[0].record_moved(bounds.PROGRESS_BYTES)
        newcomers = [_open(server_bounds) for _share in crowd]
        served = [share.resize(BODY_BYTES) for share in newcomers]
        # One moves, and the newcomers have just begun.
        assert served == [True] * (len(crowd) - 1) + [False]
        assert crowd[0].shed_for is None
        assert all(share.shed_for for share in crowd[1:])

    _run(play)


def test_body_that_moves_gives_way_to_small_requests_only():
    async def play(_account, server_bounds):
        large = _fill(server_bounds, BODY_BYTES)
        assert not any(share.shed_for for share in large)
        _fill(server_bounds, SMALL_BYTES, wait=None)
        shed = [bool(share.shed_for) for share in large]
        assert any(shed) and not all(shed)

    _run(play)


def test_large_bodies_do_not_give_way_to_small_ones_over_their_share():
    async def play(_account, server_bounds):
        large = _open(server_bounds)
        assert large.resize(BODY_BYTES)
        await trio.sleep(shedding.STILL_S)
        _fill(server_bounds, SMALL_BYTES, wait=None)
        assert large.shed_for is None

    _run(play)


def test_small_requests_have_room_beside_large_ones():
    async def play(_account, server_bounds):
        crowd = _fill(server_bounds, BODY_BYTES, wait=None)
        for _request in range(100):
            assert _open(server_bounds).resize(SMALL_BYTES)
        assert not any(share.shed_for for share in crowd)

    _run(play)


@pytest.mark.parametrize("still_s", [0.0, 10.0])
def test_request_that_was_passed_on_does_not_give_way(still_s):
    async def play(_account, server_bounds):
        crowd = _fill(server_bounds, BODY_BYTES, wait=None)
        await trio.sleep(still_s)
        assert not _open(server_bounds).resize(BODY_BYTES)
        assert not any(share.shed_for for share in crowd)

    _run(play)


def test_answer_gives_way_only_if_its_caller_reads_nothing():
    async def play(_account, server_bounds):
        crowd = _fill(server_bounds, BODY_BYTES, wait=Wait.READER)
        assert not _open(server_bounds).resize(BODY_BYTES)
        await trio.sleep(shedding.STILL_S)
        assert _open(server_bounds).resize(BODY_BYTES)
        assert [bool(share.shed_for) for share in crowd].count(True) == 1

    _run(play)


def test_idlest_connection_gives_way_to_a_new_one():
    async def play(account, _server_bounds):
        server_bounds = account.new_bounds(3)
        first, second = server_bounds.open(), server_bounds.open()
        busy = server_bounds.open()
        busy.begin_request()
        # It has had a request since the second one was opened.
        first.begin_request()
        first.end_request(0)
        assert server_bounds.open() is not None
        assert second.shed_for is bounds.Cause.TOO_MANY
        assert busy.shed_for is first.shed_for is None

    _run(play)


def test_requests_that_are_at_work_keep_their_connections():
    async def play(account, _server_bounds):
        server_bounds = account.new_bounds(2)
        shares = [_open(server_bounds, wait=None) for _share in range(2)]
        await trio.sleep(10.0)
        assert server_bounds.open() is None
        shares[0].wait_for(Wait.BODY, 60.0)
        await trio.sleep(10.0)
        assert server_bounds.open() is not None
        assert shares[0].shed_for and not shares[1].shed_for

    _run(play)


def test_one_request_of_longest_length_fits_where_memory_is_short():
    async def main():
        server_bounds = _new_account(PROCESS_BYTES).new_bounds(10)
        assert _open(server_bounds).resize(BODY_BYTES + 16384)

    trio.run(main)


@pytest.mark.parametrize("seed", range(10))
def test_account_is_empty_after_any_crowd(seed):
    """All ways out give the room back, also where memory shrinks."""

    async def play(account, server_bounds):
        generator = random.Random(seed)
        shares = []
        for _step in range(500):
            step = generator.randrange(5)
            if step == 0 or not shares:
                shares.append(_open(server_bounds, generator.choice([*Wait])))
            elif step == 1:
                server_bounds.close(shares.pop())
            elif step == 2:
                account.set_memory(generator.choice([100e6, 200e6]))
            else:
                generator.choice(shares).resize(generator.randrange(6000000))
            await trio.sleep(generator.random())
            held = sum(share.size for share in shares)
            assert account.get_held_bytes() == held
        for share in shares:
            server_bounds.close(share)
        assert account.get_held_bytes() == 0

    _run(play)


def test_descriptors_are_shared_with_connections_to_servers():
    assert caller_account.get_caller_connections(1535) == 667
    assert caller_account.get_caller_connections(100) == 64
