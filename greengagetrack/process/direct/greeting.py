"""Finds peers that are connected again, to exchange digests with at once.

One that has just started may know less than this entry. It asks for a moment
only, and may not know whom to ask.
"""

import trio

CHECK_S = 0.1


async def run(members, links, start_exchange, containment):
    """Call `start_exchange(peer)` for each such peer, until cancelled."""
    while True:
        with containment.contain("greeting"):
            for peer in _find_connected(members, links):
                start_exchange(peer)
        await trio.sleep(CHECK_S)


def _find_connected(members, links):
    """Return the peers to greet whose links were down until now."""
    connected = []
    for peer in list(members.peer_by_address.values()):
        is_connected = links.get_link(peer.address).is_up()
        if is_connected and not peer.was_connected:
            connected.append(peer)
        peer.was_connected = is_connected
    return [
        peer
        for peer in connected
        if members.is_local(peer) or peer.address in members.seeds
    ]
