"""Finds free TCP ports on loopback."""

import itertools
import os
import socket

# Below the ephemeral ports, which the system assigns to clients: it could
# assign one between the check here and its use.
FIRST_PORT = 10_000
LAST_PORT = 30_000

# Processes start at different ports, so that parallel runs rarely collide.
_candidates = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _skipped in range((os.getpid() * 199) % (LAST_PORT - FIRST_PORT)):
    next(_candidates)


def _is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def find_free_ports(count):
    """Return `count` ports that are free now."""
    free_ports = filter(_is_free, _candidates)
    return list(itertools.islice(free_ports, count))
