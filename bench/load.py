"""Open-loop load: arrivals from a seed, independent of the answers."""

import random

import msgspec

from bench import caller


class Workload(msgspec.Struct, frozen=True):
    """One type of request in a calendar, and its arrival rate.

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
    """The workloads of one simulated night of a deployment."""

    name: str
    workloads: tuple[Workload, ...]


SETSUBUN = Calendar(
    "setsubun",
    (
        Workload("product-sheet", "workshop", 6.8, 5000, 160, burst=3.0),
        Workload("product-sheet", "web-shop", 3.4, 5000, 160, burst=2.0),
        Workload("engraving", "otaru-stall", 10.2, 2000, 24, burst=1.5),
        Workload("order", "wholesale", 6.8, 3000, is_order=True),
        Workload("stock", "field-staff", 10.2, 2000),
    ),
)
SNOW_FESTIVAL = Calendar(
    "snow-festival",
    (
        Workload("product-sheet", "workshop", 15.0, 5000, 160, burst=1.4),
        Workload("engraving", "otaru-stall", 25.6, 2000, 24, burst=2.0),
        Workload("order", "wholesale", 38.4, 3000, is_order=True, burst=2.5),
        Workload("shipping-slip", "wholesale", 19.2, 3000, is_order=True),
        Workload("stock", "field-staff", 25.6, 2000),
    ),
)
VALENTINE = Calendar(
    "valentine",
    (
        Workload("engraving", "otaru-stall", 35.0, 2000, 24, burst=3.0),
        Workload("product-sheet", "workshop", 8.4, 5000, 160),
        Workload("order", "wholesale", 8.4, 3000, is_order=True),
        Workload("stock", "field-staff", 12.6, 2000),
    ),
)
NIGHT_BUYERS = Calendar(
    "night-buyers",
    (
        Workload("certificate", "kit-makers", 8.4, 5000, 160, burst=2.0),
        Workload("buyer-answer", "buyers-abroad", 12.0, 3000, 64, burst=2.5),
        Workload("dyeing-summary", "village-weavers", 4.8, 4000, 64),
        Workload(
            "kit-order", "kit-makers", 9.6, 3000, is_order=True, burst=2.0
        ),
        Workload("notice", "pokhara-cooperative", 4.8, 3000, is_order=True),
    ),
)

CALENDARS_BY_DEPLOYMENT = {
    "kitamura": (SETSUBUN, SNOW_FESTIVAL, VALENTINE),
    "federation": (NIGHT_BUYERS,),
}


def _get_arrivals(workload, duration_s, generator):
    """Yield the times of a Poisson process with a burst, by thinning."""
    peak_rate = workload.rate_per_s * max(workload.burst, 1.0)
    at_s = generator.expovariate(peak_rate)
    while at_s < duration_s:
        is_burst = duration_s / 3 <= at_s < duration_s * 2 / 3
        rate = workload.rate_per_s * (workload.burst if is_burst else 1.0)
        if generator.random() < rate / peak_rate:
            yield at_s
        at_s += generator.expovariate(peak_rate)


def plan_requests(calendar, regions, duration_s, seed):
    """Return the requests of a run, sorted by arrival time."""
    generator = random.Random(f"{calendar.name}-{seed}")
    requests = []
    for workload in calendar.workloads:
        for at_s in _get_arrivals(workload, duration_s, generator):
            # With three regions, the first one has half of the callers.
            weights = [2] + [1] * (len(regions) - 1)
            region = generator.choices(regions, weights)[0]
            requests.append(
                caller.PlannedRequest(
                    pipeline=workload.pipeline,
                    organisation=workload.organisation,
                    region=region,
                    at_s=at_s,
                    deadline_ms=workload.deadline_ms,
                    tokens=workload.tokens,
                    is_order=workload.is_order,
                )
            )
    requests.sort(key=lambda request: request.at_s)
    return requests
