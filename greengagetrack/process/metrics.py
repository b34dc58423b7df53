"""The counters that a process publishes, by aioprometheus."""

import aioprometheus

from greengagetrack.request import outcome

ORGANISATIONS_MAX = 200
OTHER = "other"
LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0)


class BoundedLabels:
    """The names that have a label of their own: the first ones.

    A label for each of tens of thousands would fill the memory.
    """

    __slots__ = ("_most", "_names")

    def __init__(self, most):
        self._most = most
        self._names = set()

    def get(self, name):
        """Return the label of a name."""
        if name not in self._names:
            if len(self._names) >= self._most:
                return OTHER
            self._names.add(name)
        return name


class Metrics:
    """The metrics of one process, in a registry of their own."""

    __slots__ = (
        "_decisions",
        "_dropped",
        "_engine_seconds",
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
        self._dropped = aioprometheus.Counter(
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

    def note_request(self, request, end, spent_ms):
        """Count one answered request."""
        is_whole = isinstance(end, outcome.Whole)
        kind = type(end).__name__.lower()
        reason = "" if is_whole else str(end.reason)
        # A name that callers made up must not become a label.
        is_known = reason != outcome.Reason.PIPELINE_UNKNOWN
        self._requests.inc(
            {
                "pipeline": request.pipeline if is_known else OTHER,
                "outcome": kind,
                "reason": reason,
            }
        )
        if spent_ms:
            pipeline = {"pipeline": request.pipeline}
            self._latency.observe(pipeline, spent_ms / 1000)

    def note_decision(self, kind, task):
        """Count one routing decision of a stage."""
        stage = "/".join(task.stage.key)
        self._decisions.inc({"decision": kind, "stage": stage})

    def note_dropped(self, task):
        """Count a result that came after another attempt's."""
        self._dropped.inc({"stage": "/".join(task.stage.key)})

    def note_engine_ms(self, task, engine_ms):
        """Count the backend server time of a stage."""
        labels = {
            "stage": "/".join(task.stage.key),
            "organisation": self._organisations.get(task.organisation),
        }
        self._engine_seconds.add(labels, engine_ms / 1000)

    def render(self, accept):
        """Return `(body, headers)` in a format that is accepted."""
        return aioprometheus.render(self.registry, accept)


def new_metrics(process):
    """Return the metrics of the process `process`, all zero."""
    return Metrics(process)
