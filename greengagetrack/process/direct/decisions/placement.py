"""In which data centre the pieces of a stage are made.

Load pattern: one data centre has a burst, or lost servers, while others
have room. Its pieces go elsewhere once waiting there costs more than moving
the results does, gradually, so that not all of them go at once.
"""

import math

BYTES_PER_MB = 1_000_000
LATE_COST = 1.5
LATE_SPREAD_S = 0.12
TRANSFER_COST_PER_MB = 0.05
WAIT_COST_PER_S = 0.15
WAIT_MAX_S = 30.0
EXPONENT_MAX = 50.0


def get_cost(finish_s, left_s, moved_bytes):
    """Return the cost of a data centre; 1 is the value of a typical request.

    The work would take `finish_s` of the `left_s` that it has to be in
    time, and `moved_bytes` would be transferred between data centres.
    """
    cost = moved_bytes / BYTES_PER_MB * TRANSFER_COST_PER_MB
    cost += LATE_COST * get_late_probability(finish_s - left_s)
    return cost + WAIT_COST_PER_S * min(finish_s, WAIT_MAX_S)


def get_late_probability(overrun_s):
    """Return the probability of lateness for a predicted overrun."""
    exponent = -overrun_s / LATE_SPREAD_S
    return 1 / (1 + math.exp(min(max(exponent, -EXPONENT_MAX), EXPONENT_MAX)))
