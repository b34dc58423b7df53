"""The sites of benches that run at once don't meet."""

from bench.soak import site as site_module

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
