"""The site of a soak starts whole, or says at once that it does not."""

import pytest

from bench.soak import site as site_module
from bench.soak import streams

PROCESS_ID = 70_000


def test_benches_at_once_have_networks_of_their_own():
    """Entries ended at their start: their addresses were in use."""
    ids = range(PROCESS_ID, PROCESS_ID + site_module.NETWORK_COUNT)
    networks = {site_module.find_network(process_id) for process_id in ids}
    assert len(networks) == site_module.NETWORK_COUNT
    for network in networks:
        first, *octets = map(int, network.split("."))
        assert first == 127
        assert all(1 <= octet <= 254 for octet in octets)


def test_entry_that_ends_at_its_start_ends_the_bench(tmp_path):
    """The bench waited for its readiness, and so for ever."""
    with pytest.RaisesGroup(pytest.RaisesExc(OSError, match="entry-")):
        streams.run_streams(1, 1.0, 1.0, str(tmp_path), "no such build")
