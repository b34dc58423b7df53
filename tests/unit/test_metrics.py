"""Metrics keep a bounded number of labels, whatever callers send."""

from greengagetrack.process import admission
from greengagetrack.process import metrics
from greengagetrack.request import outcome


class _Task:
    def __init__(self, organisation):
        self.organisation = organisation
        self.stage = self
        self.key = ("p", "s")


def _render(counters):
    body, _headers = counters.render(["text/plain"])
    return body.decode()


def test_a_made_up_pipeline_is_no_label():
    counters = metrics.new_metrics("e")
    for number in range(50):
        request = admission.Request("r", f"p{number}", "o", "k", b"{}")
        refused = outcome.Refused(outcome.Reason.PIPELINE_UNKNOWN)
        counters.record_outcome(request, refused, 0.0)
    text = _render(counters)
    assert "p49" not in text
    assert 'reason="pipeline_unknown"' in text


def test_organisations_beyond_the_bound_share_a_label():
    counters = metrics.new_metrics("e")
    for number in range(metrics.ORGANISATIONS_MAX + 50):
        counters.count_engine_ms(_Task(f"o{number}"), 10.0)
    lines = [
        line
        for line in _render(counters).splitlines()
        if line.startswith("greengagetrack_engine_seconds_total{")
    ]
    assert len(lines) == metrics.ORGANISATIONS_MAX + 1
