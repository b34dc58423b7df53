"""Regions and evacuations hold on real entries, one without the store."""

import pytest

from bench.soak import places

SEED = 1


def test_nothing_goes_where_it_may_not(tmp_path):
    result = places.run_places(SEED, str(tmp_path))
    assert result.broken == []
    assert result.served > 0
    assert result.readmitted_runs > 0


@pytest.mark.parametrize(
    ("build", "rule"),
    [
        ("ignore-regions", "HOME"),
        ("ignore-evacuations", "EVAC"),
        ("ignore-told-evacuations", "EVAC"),
    ],
)
def test_broken_build_shows(tmp_path, build, rule):
    result = places.run_places(SEED, str(tmp_path), build)
    assert any(line.startswith(rule) for line in result.broken)
