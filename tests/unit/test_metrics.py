"""Bounds on the number of label values, whatever callers send."""

from greengagetrack.process import admission
from greengagetrack.process.direct import metrics as direct_metrics
from greengagetrack.process import metrics as metrics_module
from greengagetrack.request import outcome


class _FakeTask:
    def __init__(self, organisation):
        self.organisation = organisation
        self.stage = self
        self.key = ("p", "s")


def _render(metrics):
    body, _headers = metrics.render(["text/plain"])
    return body.decode()


def test_unknown_pipelines_get_no_label():
    metrics = metrics_module.new_metrics("e")
    for number in range(50):
        request = admission.Request("r", f"p{number}", "o", "k", b"{}")
        refused = outcome.Refused(outcome.Reason.PIPELINE_UNKNOWN)
        metrics.record_outcome(request, refused, 0.0)
    text = _render(metrics)
    assert "p49" not in text
    assert 'reason="pipeline_unknown"' in text


def test_organisations_above_the_maximum_share_a_label():
    metrics = metrics_module.new_metrics("e")
    for number in range(metrics_module.ORGANISATIONS_MAX + 50):
        metrics.count_engine_ms(_FakeTask(f"o{number}"), 10.0)
    lines = [
        line
        for line in _render(metrics).splitlines()
        if line.startswith("greengagetrack_engine_seconds_total{")
    ]
    assert len(lines) == metrics_module.ORGANISATIONS_MAX + 1


def test_contained_errors_are_counted_by_boundary():
    metrics = direct_metrics.new_direct_metrics("e")
    metrics.count_contained_error("peer_message")
    metrics.count_contained_error("peer_message")
    lines = [
        line
        for line in _render(metrics).splitlines()
        if line.startswith("greengagetrack_contained_errors_total{")
    ]
    assert len(lines) == 1
    assert 'boundary="peer_message"' in lines[0]
    assert lines[0].endswith(" 2")


def test_left_out_lines_are_a_metric_by_message():
    metrics = direct_metrics.new_direct_metrics("e")
    metrics.watch_log(lambda: {"server chosen": 7, "request refused": 2})
    body, _headers = metrics.render(["text/plain"])
    lines = [
        line
        for line in body.decode().splitlines()
        if line.startswith("greengagetrack_left_out_log_lines_total{")
    ]
    assert len(lines) == 2
    assert any(
        'message="server chosen"' in line and line.endswith(" 7")
        for line in lines
    )
