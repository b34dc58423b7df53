"""Rendezvous hashing: all processes rank the members for a key alike."""

import xxhash


def get_score(key, member):
    """Return the 64-bit score of `member` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def get_name_hash(kind, name):
    """Return the 32-bit hash that stands for a name in digests."""
    return get_score(kind, name) & 0xFFFFFFFF


def rank(key, members):
    """Return `members` by descending score for `key`."""
    return sorted(
        members, key=lambda member: get_score(key, member), reverse=True
    )


def get_first(key, members):
    """Return the member with the highest score for `key`, or None."""
    return max(
        members, key=lambda member: get_score(key, member), default=None
    )
