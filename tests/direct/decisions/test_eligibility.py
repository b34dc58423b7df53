"""Tests of which servers may get a request."""

import pytest

from greengagetrack.process.direct.decisions import eligibility
from greengagetrack.process.direct import known_server
from greengagetrack.version import catalog
from tests.direct import fakes

Exclusion = eligibility.Exclusion
REGIONS = {"dc-a": "north", "dc-b": "south", "dc-c": "south"}


@pytest.mark.parametrize(
    ("of_route", "of_organisation", "expected"),
    [
        (set(), None, None),
        (set(), set(), None),
        ({"north"}, None, {"north"}),
        ({"north"}, set(), {"north"}),
        (set(), {"south"}, {"south"}),
        ({"north", "south"}, {"south", "west"}, {"south"}),
        ({"north"}, {"south"}, set()),
    ],
)
def test_regions_of_route_and_organisation_both_bind(
    of_route, of_organisation, expected
):
    route = fakes.new_route(allowed_regions=frozenset(of_route))
    organisation = None
    if of_organisation is not None:
        organisation = catalog.Organisation(
            "o", allowed_regions=frozenset(of_organisation)
        )
    assert eligibility.resolve_regions(route, organisation) == expected


@pytest.mark.parametrize(
    ("allowed", "data_centre", "expected"),
    [
        (None, "dc-a", None),
        (None, "unknown", None),
        (None, "dc-c", Exclusion.EVACUATED),
        ({"north"}, "dc-a", None),
        ({"north"}, "dc-b", Exclusion.REGION),
        ({"north"}, "unknown", Exclusion.REGION),
        ({"south"}, "dc-c", Exclusion.EVACUATED),
        (set(), "dc-a", Exclusion.REGION),
    ],
)
def test_place_decides_on_a_server(allowed, data_centre, expected):
    async def check(_nursery):
        rule = eligibility.Eligibility(allowed, REGIONS, {"dc-c"})
        server = known_server.KnownServer(
            fakes.new_server("s", data_centre=data_centre)
        )
        assert rule.find_exclusion(server) is expected

    fakes.run_with_mock_clock(check)


def test_other_reasons_are_named():
    async def check(_nursery):
        rule = eligibility.Eligibility()
        server = known_server.KnownServer(
            fakes.new_server("s", software_version="v1")
        )
        assert rule.find_exclusion(server, "v1") is None
        assert rule.find_exclusion(server, "v2") is Exclusion.VERSION
        server.paused_until_s = 1.0
        assert rule.find_exclusion(server, "v2") is Exclusion.PAUSED
        server.removal_due_s = 0.0
        assert rule.find_exclusion(server) is Exclusion.REMOVED
        leaving = known_server.KnownServer(
            fakes.new_server("s", is_leaving=True)
        )
        assert rule.find_exclusion(leaving) is Exclusion.LEAVING
        assert rule.describe([server, leaving]) == (
            "any region; excluded: 1 leaving, 1 removed"
        )

    fakes.run_with_mock_clock(check)
