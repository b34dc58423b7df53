"""The faults of a soak: which, when, where and for how long, by seed."""

import random

import msgspec

QUIET_START_S = 2.0
QUIET_END_S = 6.0
GAP_MIN_S = 0.1
# The longest pause of a soak is drawn from these: some soaks have their
# faults one after the other, some many at a time.
GAP_MAX_S = (0.6, 8.0)
HOLD_MIN_S = 0.3
HOLD_MAX_S = 7.0

KINDS = (
    "stop entry",
    "kill entry",
    "freeze entry",
    "kill all entries",
    "reset engine",
    "slow engine",
    "silent engine",
    "cut engine",
    "leave engine",
    "restart engine",
    "store down",
    "store silent",
    "store slow",
    "store reset",
    "store from the past",
    "revoke key",
    "revoke unseen",
)


class Fault(msgspec.Struct, frozen=True):
    """One fault; `number` picks the place among those that there are."""

    kind: str
    at_s: float
    hold_s: float
    number: int

    def __str__(self):
        return f"{self.kind} {self.number} at {self.at_s:.2f} s"


def get_faults(seed, duration_s, kinds=KINDS):
    """Return the faults of a soak; they overlap as it happens."""
    generator = random.Random(f"soak-{seed}")
    gap_max_s = generator.uniform(*GAP_MAX_S)
    faults = []
    at_s = QUIET_START_S
    while at_s < duration_s - QUIET_END_S:
        # The last ones end before the quiet end.
        longest_s = min(HOLD_MAX_S, duration_s - QUIET_END_S - at_s)
        fault = Fault(
            kind=generator.choice(kinds),
            at_s=at_s,
            hold_s=generator.uniform(HOLD_MIN_S, max(longest_s, HOLD_MIN_S)),
            number=generator.randrange(1000),
        )
        faults.append(fault)
        at_s += generator.uniform(GAP_MIN_S, gap_max_s)
    return faults
