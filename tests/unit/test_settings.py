"""Settings: sources, order of precedence, and reported problems."""

from greengagetrack.process import settings

FLAGS = {
    "role": "entry",
    "name": "e1",
    "region": "r",
    "data_centre": "r-1",
    "peer_address": "127.0.0.1:7000",
    "caller_address": "127.0.0.1:8000",
    "admin_address": "127.0.0.1:9000",
    "config_url": "http://127.0.0.1:1",
    "vm_list_url": "http://127.0.0.1:1/vms",
    "peer_keys": "00" * 16,
    "ticket_keys": "11" * 16,
}


def _read_settings(environment=None, **changes):
    raw_by_name = settings.collect_values(
        {**FLAGS, **changes}, environment or {}
    )
    return settings.read_settings(raw_by_name)


def test_complete_settings_have_no_problems():
    values, problems = _read_settings()
    assert problems == []
    assert values.name == "e1"
    assert values.drain_s == 30.0


def test_flag_overrides_environment_variable():
    variables = {
        "GREENGAGETRACK_NAME": "other",
        "GREENGAGETRACK_DRAIN_S": "5",
    }
    values, _problems = _read_settings(variables)
    assert values.name == "e1"
    assert values.drain_s == 5.0
    assert values.raw_by_name["drain_s"].source == "environment"


def test_all_problems_are_reported_together():
    values, problems = _read_settings(
        region=None, peer_keys="zz", drain_s="-1", caller_address="here"
    )
    assert values is None
    assert sorted(problem.id for problem in problems) == [
        "settings.E001",
        "settings.E002",
        "settings.E002",
        "settings.E002",
    ]


def test_conflicting_settings_are_reported():
    _settings, problems = _read_settings(
        admin_address="127.0.0.1:7000", rtt_ms="r=20"
    )
    ids = [problem.id for problem in problems]
    assert ids == ["settings.E003", "settings.E004"]


def test_secrets_are_not_displayed():
    raw_by_name = settings.collect_values(FLAGS, {})
    assert raw_by_name["peer_keys"].get_display_text() == "(secret)"
