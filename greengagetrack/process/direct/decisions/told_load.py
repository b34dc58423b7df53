"""What a server's own report of its load says of the calls of others.

Load pattern: entries lose sight of the owner of a pool, and several call the
same servers. Each knows its own calls only, finds the servers free, and is
refused by full ones. A full server is sound and its pool stays open: it is
asked again once their calls have probably ended, and later after each further
refusal, since a refused call takes part of the retry budget.
"""

# A running call of another entry is half done on average.
RUNNING_LEFT_RATIO = 0.5
BACK_OFF_FACTOR = 3
FULL_MAX_S = 2.5


def count_others(load, own_calls):
    """Return the calls of others in a `ServerLoad`, `own_calls` apart."""
    return max(load.running + load.waiting - own_calls, 0)


def get_others_wait_s(others, slots, age_s, call_s):
    """Return how long a call waits for those of others, as told `age_s` ago.

    They end one after the other at each of the `slots`, so a report is worth
    less the older it is, and nothing after the last of them::

        assert get_others_wait_s(2, slots=1, age_s=0.0, call_s=0.2) == 0.3
        assert get_others_wait_s(2, slots=1, age_s=0.5, call_s=0.2) == 0.0
    """
    if others < slots:
        return 0.0
    rounds = others / slots - RUNNING_LEFT_RATIO
    return max(rounds * call_s - age_s, 0.0)


def get_full_s(call_s, others_wait_s, refusals):
    """Return how long a server gets no call after `refusals` in a row."""
    wait_s = max(others_wait_s, RUNNING_LEFT_RATIO * call_s)
    # Bounded before it is raised to a power: refusals may go on for hours.
    factor = BACK_OFF_FACTOR ** min(refusals, 8)
    return min(wait_s * factor, FULL_MAX_S)
