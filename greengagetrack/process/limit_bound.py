"""The proved bound on what may be admitted above a limit.

docs/design/limits.md derives it. In short: all that is admitted in a
window was granted in it or one lease before it, or came from a reserve.
"""

from greengagetrack.process import limit_owner


def get_admitted_bound(rate_per_s, window_s, regions, entries):
    """Return the most that can be admitted in any window.

    `regions` and `entries` count the buckets that may be full when the
    window begins; a bucket holds at least one request.
    """
    steady = rate_per_s * (window_s + limit_owner.LEASE_S)
    owner_burst = rate_per_s * limit_owner.BURST_S + regions
    reserve_burst = rate_per_s * limit_owner.RESERVE_SHARE + entries
    return steady + owner_burst + reserve_burst


def get_overshoot_bound(rate_per_s, window_s, regions, entries):
    """Return the bound as a share of the limit over the window."""
    bound = get_admitted_bound(rate_per_s, window_s, regions, entries)
    return bound / (rate_per_s * window_s) - 1
