"""The faults of a soak: kind, time, target and duration, by seed.

Most are drawn. After the last of them each soak has the closing faults: they
meet orders in progress, and no other fault excuses what comes of them.
"""

import random

import msgspec

QUIET_START_S = 2.0
QUIET_END_S = 6.0
MIN_INTERVAL_S = 0.1
# Each soak draws its longest interval between faults from this range, so
# that some soaks have one fault at a time and others have many.
MAX_INTERVAL_RANGE_S = (0.6, 8.0)
MIN_ACTIVE_S = 0.3
MAX_ACTIVE_S = 7.0

KINDS = (
    "stop entry",
    "kill entry",
    "freeze entry",
    "kill all entries",
    "reset engine",
    "slow engine",
    "silent engine",
    "cut engine",
    "break engine",
    "copy engine",
    "leave engine",
    "restart engine",
    "swap engines",
    "crash engines",
    "store down",
    "store silent",
    "store slow",
    "store reset",
    "store from the past",
    "store restored",
    "revoke key",
    "revoke unseen",
)


class Fault(msgspec.Struct, frozen=True):
    """One fault; `target_index` modulo the number of targets selects one.

    With a `service`, only its engines are targets.
    """

    kind: str
    at_s: float
    active_s: float
    target_index: int
    service: str = ""

    def __str__(self):
        return f"{self.kind} {self.target_index} at {self.at_s:.2f} s"


# Until some seconds after requests to the leaving engine break a rule.
CLOSING_S = 8.5
# Relative to the end of the drawn part. The last is later than what the
# drawn faults can still excuse.
CLOSING_FAULTS = (
    Fault("silent engine", 0.0, 1.0, 0, "desk"),
    Fault("refuse engine", 2.0, 3.3, 1, "desk"),
    Fault("rename engine", 2.0, 3.0, 0, "desk"),
    Fault("rename engine", 2.0, 3.0, 1, "desk"),
    Fault("copy engine", 0.0, CLOSING_S, 0, "prepare"),
    Fault("copy engine", 0.0, CLOSING_S, 1, "prepare"),
    Fault("copy engine", 0.0, CLOSING_S, 1, "desk"),
    Fault("break engine", 1.0, 2.0, 0, "model"),
    Fault("swap engines", 3.5, 1.0, 0),
    Fault("leave engine", 1.5, 0.0, 0, "desk"),
)


def get_closing_faults(duration_s):
    """Return the faults that follow a drawn part of `duration_s`."""
    return [
        msgspec.structs.replace(fault, at_s=duration_s + fault.at_s)
        for fault in CLOSING_FAULTS
    ]


def get_faults(seed, duration_s, kinds=KINDS):
    """Return the faults of a soak in order of time; they may overlap."""
    generator = random.Random(f"soak-{seed}")
    max_interval_s = generator.uniform(*MAX_INTERVAL_RANGE_S)
    faults = []
    at_s = QUIET_START_S
    while at_s < duration_s - QUIET_END_S:
        # Faults end before the period without faults, or shortly after.
        max_active_s = min(MAX_ACTIVE_S, duration_s - QUIET_END_S - at_s)
        fault = Fault(
            kind=generator.choice(kinds),
            at_s=at_s,
            active_s=generator.uniform(
                MIN_ACTIVE_S, max(max_active_s, MIN_ACTIVE_S)
            ),
            target_index=generator.randrange(1000),
        )
        faults.append(fault)
        at_s += generator.uniform(MIN_INTERVAL_S, max_interval_s)
    return faults
