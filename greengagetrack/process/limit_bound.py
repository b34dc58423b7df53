"""Upper bound on the amount that can be admitted above a limit.

docs/design/limits.md derives it. Whatever is admitted in a window was
granted in the window or at most one lease before it, or is from a reserve.
"""

from greengagetrack.process import limit_owner


def get_admitted_bound(rate_per_s, window_s, regions, entries):
    """Return the maximum amount that can be admitted in a window.

    `regions` and `entries` are the numbers of buckets that may be full at
    the start of the window; each has a capacity of at least one request.
    """
    leased = rate_per_s * (window_s + limit_owner.LEASE_S)
    owner_burst = rate_per_s * limit_owner.BURST_S + regions
    reserve_burst = rate_per_s * limit_owner.RESERVE_SHARE + entries
    return leased + owner_burst + reserve_burst


def get_overshoot_bound(rate_per_s, window_s, regions, entries):
    """Return the maximum excess as a fraction of the limit."""
    bound = get_admitted_bound(rate_per_s, window_s, regions, entries)
    return bound / (rate_per_s * window_s) - 1
