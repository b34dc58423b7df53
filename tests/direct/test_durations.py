"""How long requests take, learned by route."""

import random

from greengagetrack.process.direct import durations as durations_module
from tests.direct import fakes

SHORT = fakes.new_route(name="short", target_ms=500.0)
LONG = fakes.new_route(name="long", target_ms=500.0)


def test_prediction_begins_with_the_target_and_learns_by_route():
    durations = durations_module.Durations()
    assert durations.predict_s(LONG) == 0.5
    durations.record(LONG, 2.0)
    assert durations.predict_s(LONG) == 2.0
    assert durations.predict_s(SHORT) == 0.5


def test_prediction_forgets_what_is_long_ago():
    durations = durations_module.Durations()
    durations.record(LONG, 9.0)
    for _request in range(durations_module.LAST_COUNT):
        durations.record(LONG, 2.0)
    assert durations.predict_s(LONG) == 2.0


def test_few_requests_take_longer_than_predicted():
    """Of ten requests one takes ten times as long as the others."""
    durations = durations_module.Durations()
    generator = random.Random(1)
    longer = 0
    for _request in range(1000):
        spent_s = generator.uniform(0.1, 0.2)
        if generator.random() < 0.1:
            spent_s *= 10
        longer += spent_s > durations.predict_s(LONG)
        durations.record(LONG, spent_s)
    assert longer < 40
