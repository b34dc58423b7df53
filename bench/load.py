"""Open-loop load: arrivals by seed, which do not wait for answers."""

import random

import msgspec

from bench import caller


class Mix(msgspec.Struct, frozen=True):
    """One kind of request in a calendar, and how often it comes.

    `burst` multiplies the rate in the middle third of the run.
    """

    pipeline: str
    organisation: str
    rate_per_s: float
    deadline_ms: int
    tokens: int = 0
    is_order: bool = False
    burst: float = 1.0


class Calendar(msgspec.Struct, frozen=True):
    """A night of a deployment: its kinds of requests."""

    name: str
    mixes: tuple[Mix, ...]


SETSUBUN = Calendar(
    "setsubun",
    (
        Mix("product-sheet", "workshop", 6.8, 5000, 160, burst=3.0),
        Mix("product-sheet", "web-shop", 3.4, 5000, 160, burst=2.0),
        Mix("engraving", "otaru-stall", 10.2, 2000, 24, burst=1.5),
        Mix("order", "wholesale", 6.8, 3000, is_order=True),
        Mix("stock", "field-staff", 10.2, 2000),
    ),
)
SNOW_FESTIVAL = Calendar(
    "snow-festival",
    (
        Mix("product-sheet", "workshop", 15.0, 5000, 160, burst=1.4),
        Mix("engraving", "otaru-stall", 25.6, 2000, 24, burst=2.0),
        Mix("order", "wholesale", 38.4, 3000, is_order=True, burst=2.5),
        Mix("shipping-slip", "wholesale", 19.2, 3000, is_order=True),
        Mix("stock", "field-staff", 25.6, 2000),
    ),
)
VALENTINE = Calendar(
    "valentine",
    (
        Mix("engraving", "otaru-stall", 35.0, 2000, 24, burst=3.0),
        Mix("product-sheet", "workshop", 8.4, 5000, 160),
        Mix("order", "wholesale", 8.4, 3000, is_order=True),
        Mix("stock", "field-staff", 12.6, 2000),
    ),
)
NIGHT_BUYERS = Calendar(
    "night-buyers",
    (
        Mix("certificate", "kit-makers", 8.4, 5000, 160, burst=2.0),
        Mix("buyer-answer", "buyers-abroad", 12.0, 3000, 64, burst=2.5),
        Mix("dyeing-summary", "village-weavers", 4.8, 4000, 64),
        Mix("kit-order", "kit-makers", 9.6, 3000, is_order=True, burst=2.0),
        Mix("notice", "pokhara-cooperative", 4.8, 3000, is_order=True),
    ),
)

CALENDARS_BY_DEPLOYMENT = {
    "kitamura": (SETSUBUN, SNOW_FESTIVAL, VALENTINE),
    "federation": (NIGHT_BUYERS,),
}


def _get_arrivals(mix, duration_s, generator):
    """Return the times of a Poisson process with a burst."""
    peak = mix.rate_per_s * max(mix.burst, 1.0)
    at_s = generator.expovariate(peak)
    while at_s < duration_s:
        is_burst = duration_s / 3 <= at_s < duration_s * 2 / 3
        rate = mix.rate_per_s * (mix.burst if is_burst else 1.0)
        if generator.random() < rate / peak:
            yield at_s
        at_s += generator.expovariate(peak)


def plan_requests(calendar, regions, duration_s, seed):
    """Return the requests of a run in the order of their times."""
    generator = random.Random(f"{calendar.name}-{seed}")
    plans = []
    for mix in calendar.mixes:
        for at_s in _get_arrivals(mix, duration_s, generator):
            # The first region has half of the callers.
            weights = [2] + [1] * (len(regions) - 1)
            region = generator.choices(regions, weights)[0]
            plans.append(
                caller.PlannedRequest(
                    pipeline=mix.pipeline,
                    organisation=mix.organisation,
                    region=region,
                    at_s=at_s,
                    deadline_ms=mix.deadline_ms,
                    tokens=mix.tokens,
                    is_order=mix.is_order,
                )
            )
    plans.sort(key=lambda plan: plan.at_s)
    return plans
