"""Tests of what an entry believes of the other entries."""

import types

from greengagetrack.connection import messages
from greengagetrack.process.direct import peers as peers_module
from tests.direct import fakes


def new_peers():
    """Return the peers of an entry that knows of one seed."""
    settings = types.SimpleNamespace(
        name="own",
        data_centre="a",
        peer_address="10.0.0.1:1",
        seeds=["10.0.0.2:1"],
    )
    directory = types.SimpleNamespace(
        hear_loads=lambda name, loads: None, get_loads=list
    )
    lease = types.SimpleNamespace(get_age_s=lambda: 0.5)
    keeper = types.SimpleNamespace(get_version=lambda: 1)
    peers = peers_module.new_peers(settings, None, lease, keeper, directory)
    peers.pools = types.SimpleNamespace(get_told_waits=list)
    return peers


def new_digest(number, peers=()):
    """Return what the peer with a number says."""
    return messages.EntryDigest(
        name=f"peer-{number}",
        address=f"10.0.0.{number}:1",
        data_centre="a",
        peers=list(peers),
    )


def test_budget_counts_all_entries_that_were_ever_heard_of():
    """Found in the grown deployments: 24 entries took an eighth each.

    A part for each of eight entries is three times the slack when there
    are 24 of them; and one that is cut off still has to count them.
    """

    async def check(_nursery):
        peers = new_peers()
        alone = peers.count_entries()
        assert alone >= 24
        others = [f"10.0.0.{number}:1" for number in range(2, 25)]
        await peers.handle(new_digest(2, others))
        assert peers.count_entries() >= 24
        before = peers.count_entries()
        peers._peer_by_address.clear()
        await peers.handle(new_digest(3))
        assert peers.count_entries() >= before

    fakes.run_paused(check)
