"""Weighted rendezvous hashing.

All entries compute the same winner from the same names, without messages.
A name wins in proportion to its weight.
"""

import hashlib
import math

SCORE_BITS = 64


def get_score(key, name):
    """Return the hash of a key and a name as a number between 0 and 1."""
    text = f"{key}|{name}".encode()
    digest = hashlib.blake2b(text, digest_size=SCORE_BITS // 8).digest()
    # The added half keeps the score above 0 and its logarithm finite.
    return (int.from_bytes(digest) + 0.5) / 2**SCORE_BITS


def get_winner(key, weight_by_name):
    """Return the winning name for `key`, or None without names."""
    if not weight_by_name:
        return None
    return min(
        weight_by_name,
        key=lambda name: _get_variate(key, name, weight_by_name[name]),
    )


def _get_variate(key, name, weight):
    """Return an exponential variate of rate `weight`; the lowest wins."""
    return -math.log(get_score(key, name)) / max(weight, 1e-6)
