"""In which data centre the pieces of a stage are made.

Load pattern: one data centre has a burst, or lost servers, while others
have room. Its pieces go elsewhere once waiting there costs more than moving
the results does, gradually, so that not all of them go at once.

Load pattern: waits that are reported late make all data centres look better
by turns. A region is only left where that saves more than such errors, so
that work does not swing between regions.
"""

import math

BYTES_PER_MB = 1_000_000
LATE_COST = 1.5
LATE_SPREAD_S = 0.12
TRANSFER_COST_PER_MB = 0.05
WAIT_COST_PER_S = 0.15
WAIT_MAX_S = 30.0
# What work must save in waiting to leave its region.
REGION_STEP_S = 0.2
EXPONENT_MAX = 50.0


def get_cost(finish_s, left_s, moved_bytes, is_other_region=False):
    """Return the cost of a data centre; 1 is the value of a typical request.

    The work would take `finish_s` of the `left_s` that it has to be in
    time, and `moved_bytes` would be transferred between data centres.
    """
    if is_other_region:
        finish_s += REGION_STEP_S
    cost = moved_bytes / BYTES_PER_MB * TRANSFER_COST_PER_MB
    cost += LATE_COST * get_late_probability(finish_s - left_s)
    return cost + WAIT_COST_PER_S * min(finish_s, WAIT_MAX_S)


def get_late_probability(overrun_s):
    """Return the probability of lateness for a predicted overrun."""
    exponent = -overrun_s / LATE_SPREAD_S
    return 1 / (1 + math.exp(min(max(exponent, -EXPONENT_MAX), EXPONENT_MAX)))
