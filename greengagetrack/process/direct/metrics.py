"""Counters and latency histograms of direct mode, by aioprometheus."""

import aioprometheus

from greengagetrack.connection.http import closing
from greengagetrack.process import metrics as metrics_module
from greengagetrack.request.direct import outcome as direct_outcome

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
LAG_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
ROUTES_MAX = 64


class DirectMetrics(closing.LoggingObserver):
    """The metrics of one entry, in a registry of their own."""

    __slots__ = (
        "_choices",
        "_claims",
        "_closed_connections",
        "_contained_errors",
        "_count_warming",
        "_get_left_out",
        "_late",
        "_latency",
        "_left_out",
        "_loop_lag",
        "_permit_counts",
        "_requests",
        "_routes",
        "_warming",
        "_warming_permits",
        "registry",
    )

    def __init__(self, process):
        labels = {"process": process}
        self._routes = metrics_module.BoundedLabels(ROUTES_MAX)
        self.registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            "greengagetrack_requests_total",
            "Requests by route, outcome and reason.",
            const_labels=labels,
            registry=self.registry,
        )
        self._choices = aioprometheus.Counter(
            "greengagetrack_choices_total",
            "Choices of a backend server by service.",
            const_labels=labels,
            registry=self.registry,
        )
        self._claims = aioprometheus.Counter(
            "greengagetrack_server_answers_total",
            "Answers of servers by what they say of whether a request ran.",
            const_labels=labels,
            registry=self.registry,
        )
        self._closed_connections = aioprometheus.Counter(
            "greengagetrack_closed_connections_total",
            "Closed connections of callers by reason, and lost requests.",
            const_labels=labels,
            registry=self.registry,
        )
        self._contained_errors = aioprometheus.Counter(
            "greengagetrack_contained_errors_total",
            "Unforeseen errors that ended one unit of work, by boundary.",
            const_labels=labels,
            registry=self.registry,
        )
        self._late = aioprometheus.Counter(
            "greengagetrack_late_answers_total",
            "Late answers by route and what made them late.",
            const_labels=labels,
            registry=self.registry,
        )
        self._get_left_out = dict
        self._left_out = aioprometheus.Counter(
            "greengagetrack_left_out_log_lines_total",
            "Log lines that were not written, by message.",
            const_labels=labels,
            registry=self.registry,
        )
        self._warming = aioprometheus.Gauge(
            "greengagetrack_warming_servers",
            "Servers that are warming, as far as this entry knows.",
            const_labels=labels,
            registry=self.registry,
        )
        self._count_warming = lambda: 0
        self._permit_counts = {}
        self._warming_permits = aioprometheus.Counter(
            "greengagetrack_warming_permits_total",
            "Requests for permits to warming servers, granted or refused.",
            const_labels=labels,
            registry=self.registry,
        )
        self._loop_lag = aioprometheus.Histogram(
            "greengagetrack_loop_lag_seconds",
            "How late the entry wakes for want of processor time.",
            buckets=list(LAG_BUCKETS_S),
            const_labels=labels,
            registry=self.registry,
        )
        self._latency = aioprometheus.Histogram(
            "greengagetrack_request_seconds",
            "Time of admitted requests by route and outcome.",
            buckets=list(LATENCY_BUCKETS_S),
            const_labels=labels,
            registry=self.registry,
        )

    def count_choice(self, service):
        """Count one choice of a backend server."""
        self._choices.inc({"service": service})

    def count_claim(self, claim):
        """Count one answer of a backend server by its `gateway.Claim`."""
        self._claims.inc({"claim": str(claim)})

    def record_close(self, closed):
        """Count a connection of a caller that ended, and log a loss."""
        super().record_close(closed)
        lost = "yes" if closed.has_lost_request else "no"
        self._closed_connections.inc({"reason": closed.reason, "lost": lost})

    def count_contained_error(self, boundary):
        """Count an unforeseen error that ended one unit of work.

        `boundary` names the kind of unit, such as "peer_message". Each
        error is a fault of this program.
        """
        self._contained_errors.inc({"boundary": boundary})

    def record_outcome(self, route, outcome, spent_ms, late):
        """Record the outcome and the latency of an admitted request.

        `late` is the `lateness.Cause`.
        """
        route_label = self._routes.get(route.name)
        outcome_name = direct_outcome.get_outcome_name(outcome)
        reason = str(getattr(outcome, "reason", ""))
        self._requests.inc(
            {"route": route_label, "outcome": outcome_name, "reason": reason}
        )
        self._latency.observe(
            {"route": route_label, "outcome": outcome_name}, spent_ms / 1000
        )

        if late:
            self._late.inc({"route": route_label, "cause": str(late)})

    def record_loop_lag(self, lag_s):
        """Record how late a task was woken, in seconds."""
        self._loop_lag.observe({}, lag_s)

    def count_refusal(self, reason):
        """Count a request that was not admitted."""
        labels = {"route": "", "outcome": "refused", "reason": str(reason)}
        self._requests.inc(labels)

    def watch_log(self, get_left_out):
        """Let `get_left_out()` return the lines left out, by message."""
        self._get_left_out = get_left_out

    def watch_warming(self, count, permit_counts):
        """Let `count()` return the number of servers that are warming.

        `permit_counts` counts requests for permits to them by their result.
        """
        self._count_warming = count
        self._permit_counts = permit_counts

    def render(self, accept):
        """Return `(body, headers)` in a format that `accept` names."""
        for message, count in self._get_left_out().items():
            self._left_out.set({"message": message}, count)
        self._warming.set({}, self._count_warming())
        for result, count in self._permit_counts.items():
            self._warming_permits.set({"result": result}, count)
        return aioprometheus.render(self.registry, accept)


def new_direct_metrics(process):
    """Return the metrics of a process, all zero."""
    return DirectMetrics(process)
