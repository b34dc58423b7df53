"""Rendezvous hashing: every process ranks members alike for a key."""

import xxhash


def get_score(key, member):
    """Return the weight of `member` for `key`, a 64-bit number."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def get_number(kind, name):
    """Return the 32-bit number that stands for a name in digests."""
    return get_score(kind, name) & 0xFFFFFFFF


def rank(key, members):
    """Return `members` by falling rank for `key`."""
    return sorted(
        members, key=lambda member: get_score(key, member), reverse=True
    )


def get_first(key, members):
    """Return the first of `members` for `key`, or None."""
    return max(
        members, key=lambda member: get_score(key, member), default=None
    )
