"""When a stopping entry refuses requests, ends them and exits.

Load pattern: callers go on sending requests for some seconds after the stop
signal, and the process is killed when its grace is over. Whatever is in hand
then has to be answered before, and whatever is taken has to end before.
"""

import msgspec

# By then callers have seen that the entry is not ready.
DEREGISTRATION_S = 2.6
ACCEPT_MAX_S = 2.8
# The last part of the grace, in which answers are ended and the process exits.
# A short grace can't give up as much of it as a long one.
ANSWER_MARGIN_MAX_S = 0.7
ANSWER_MARGIN_SHARE = 1 / 8
EXIT_MARGIN_MAX_S = 0.4
EXIT_MARGIN_SHARE = 1 / 16


class DrainPlan(msgspec.Struct, frozen=True):
    """The times of one drain, on the clock of the process.

    New requests are refused from `refuse_from_s` on, and before it if they
    won't end by `answer_until_s`, when all requests are ended. The process
    exits by `exit_by_s`, and from `idle_exit_s` on as soon as it is idle.
    """

    refuse_from_s: float
    idle_exit_s: float
    answer_until_s: float
    exit_by_s: float

    def accepts(self, now_s, needed_s):
        """Return whether a request that needs some time may be taken."""
        if now_s >= self.refuse_from_s:
            return False
        return now_s + needed_s <= self.answer_until_s


def new_drain_plan(signal_s, grace_s):
    """Return the plan of an entry that is killed `grace_s` after a signal.

    Example::

        plan = new_drain_plan(100.0, 8.0)
        assert plan.accepts(101.0, needed_s=2.0)
        assert not plan.accepts(101.0, needed_s=7.0)
    """
    kill_s = signal_s + grace_s
    answer_margin_s = min(ANSWER_MARGIN_MAX_S, grace_s * ANSWER_MARGIN_SHARE)
    answer_until_s = kill_s - answer_margin_s
    exit_margin_s = min(EXIT_MARGIN_MAX_S, grace_s * EXIT_MARGIN_SHARE)
    return DrainPlan(
        refuse_from_s=signal_s + ACCEPT_MAX_S,
        # With a short grace, callers that have not seen it yet are refused
        # until all answers have ended, and no connection is taken after it.
        idle_exit_s=min(signal_s + DEREGISTRATION_S, answer_until_s),
        answer_until_s=answer_until_s,
        exit_by_s=kill_s - exit_margin_s,
    )
