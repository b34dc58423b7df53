"""When a refused caller may return.

Load pattern: callers that are refused in a burst return together and are
refused again, or return when too little of their time is left.
"""

RETURN_MIN_S = 0.2
SPREAD_FACTOR = 0.5
SERVICE_FACTOR = 1.5


def get_return_s(wait_s, service_s, left_s, generator):
    """Return the time after which a caller may return.

    `wait_s` is the predicted wait for what others leave, `service_s` the
    time that the request takes without waiting, and `left_s` the time that
    its caller still has. Returns are spread, later rather than sooner, but
    leave the time that the request takes where the caller has it.
    """
    spread_s = wait_s * (1 + SPREAD_FACTOR * generator.random())
    latest_s = left_s - SERVICE_FACTOR * service_s
    if latest_s >= RETURN_MIN_S:
        spread_s = min(spread_s, latest_s)
    return max(spread_s, RETURN_MIN_S)
