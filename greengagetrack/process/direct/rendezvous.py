"""Agreement without messages: who does a piece of work for all.

Every entry computes the same answer from the same names. A larger weight
wins more often, in proportion.
"""

import hashlib
import math

SCORE_BITS = 64


def get_score(key, name):
    """Return a number below 1 that all entries compute alike."""
    text = f"{key}|{name}".encode()
    digest = hashlib.blake2b(text, digest_size=SCORE_BITS // 8).digest()
    # Half a step keeps its logarithm away from zero.
    return (int.from_bytes(digest) + 0.5) / 2**SCORE_BITS


def get_winner(key, weight_by_name):
    """Return the name that is first for `key`, or None without names."""
    if not weight_by_name:
        return None
    return min(
        weight_by_name,
        key=lambda name: _get_time(key, name, weight_by_name[name]),
    )


def _get_time(key, name, weight):
    """Return when `name` would arrive in a race of exponential times."""
    return -math.log(get_score(key, name)) / max(weight, 1e-6)
