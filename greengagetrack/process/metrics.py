"""The Prometheus metrics of a process."""

import aioprometheus

from greengagetrack.request import outcome as outcome_module

ORGANISATIONS_MAX = 200
OTHER = "other"
LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)


class BoundedLabels:
    """Label values for the first names; all others share one value.

    Tens of thousands of label values would exhaust the memory.
    """

    __slots__ = ("_max_names", "_names")

    def __init__(self, max_names):
        self._max_names = max_names
        self._names = set()

    def get(self, name):
        """Return the label value of a name."""
        if name not in self._names:
            if len(self._names) >= self._max_names:
                return OTHER
            self._names.add(name)
        return name


class Metrics:
    """The metrics of one process, in a separate registry."""

    __slots__ = (
        "_decisions",
        "_engine_seconds",
        "_late_results",
        "_latency",
        "_organisations",
        "_requests",
        "registry",
    )

    def __init__(self, process):
        labels = {"process": process}
        self.registry = aioprometheus.Registry()
        self._organisations = BoundedLabels(ORGANISATIONS_MAX)
        self._requests = aioprometheus.Counter(
            "greengagetrack_requests_total",
            "Requests by pipeline, outcome and reason.",
            const_labels=labels,
            registry=self.registry,
        )
        self._decisions = aioprometheus.Counter(
            "greengagetrack_decisions_total",
            "Routing decisions by kind and stage.",
            const_labels=labels,
            registry=self.registry,
        )
        self._late_results = aioprometheus.Counter(
            "greengagetrack_late_results_total",
            "Results that came after another attempt's.",
            const_labels=labels,
            registry=self.registry,
        )
        self._engine_seconds = aioprometheus.Counter(
            "greengagetrack_engine_seconds_total",
            "Backend server time by stage and organisation.",
            const_labels=labels,
            registry=self.registry,
        )
        self._latency = aioprometheus.Histogram(
            "greengagetrack_request_seconds",
            "Time of admitted requests by pipeline.",
            buckets=list(LATENCY_BUCKETS_S),
            const_labels=labels,
            registry=self.registry,
        )

    def record_outcome(self, request, outcome, spent_ms):
        """Count an answered request and observe its time."""
        is_complete = isinstance(outcome, outcome_module.Whole)
        outcome_name = type(outcome).__name__.lower()
        reason = "" if is_complete else str(outcome.reason)
        # An unknown pipeline name from a caller must not become a label.
        is_known = reason != outcome_module.Reason.PIPELINE_UNKNOWN
        self._requests.inc(
            {
                "pipeline": request.pipeline if is_known else OTHER,
                "outcome": outcome_name,
                "reason": reason,
            }
        )
        if spent_ms:
            pipeline = {"pipeline": request.pipeline}
            self._latency.observe(pipeline, spent_ms / 1000)

    def count_decision(self, kind, task):
        """Count one routing decision of a stage."""
        stage = "/".join(task.stage.key)
        self._decisions.inc({"decision": kind, "stage": stage})

    def count_late_result(self, task):
        """Count a result that arrived after that of another attempt."""
        self._late_results.inc({"stage": "/".join(task.stage.key)})

    def count_engine_ms(self, task, engine_ms):
        """Add to the backend server time of a stage."""
        labels = {
            "stage": "/".join(task.stage.key),
            "organisation": self._organisations.get(task.organisation),
        }
        self._engine_seconds.add(labels, engine_ms / 1000)

    def render(self, accept):
        """Return `(body, headers)` in a format that `accept` allows."""
        return aioprometheus.render(self.registry, accept)


def new_metrics(process):
    """Return the metrics of the process named `process`, all zero."""
    return Metrics(process)
