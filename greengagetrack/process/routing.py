"""Chooses the agent for each attempt by predicted finish and cost."""

import abc
import logging
import random
import statistics

import msgspec

SAMPLE_SIZE = 4
LATENCY_START_MS = 100.0
SMOOTHING = 0.1
PREFIX_DISCOUNT = 0.25
CROSSING_PRICE_MS = 20.0
OUTLIER_FACTOR = 3.0
OUTLIER_SHARE_MAX = 0.3
SAMPLES_MAX = 128
PERCENTILE = 0.95
SAMPLES_MIN = 20

_log = logging.getLogger(__name__)


class Choice(msgspec.Struct, frozen=True):
    """An agent that was chosen, and what decided it."""

    agent: object
    finish_ms: float
    wait_ms: float
    cost: float
    is_remote: bool


class StageStatistics:
    """Recent durations of one stage, as this entry saw them.

    `mean_ms` is the time of the backend server alone: waiting is predicted
    from loads and must not be counted twice. The samples hold whole times.
    """

    __slots__ = ("_samples", "mean_ms")

    def __init__(self):
        self._samples = []
        self.mean_ms = LATENCY_START_MS

    def record_duration(self, duration_ms, service_ms):
        """Learn from one whole stage."""
        if not self._samples:
            self.mean_ms = service_ms
        self.mean_ms += SMOOTHING * (service_ms - self.mean_ms)
        self._samples.append(duration_ms)
        if len(self._samples) > SAMPLES_MAX:
            del self._samples[0]

    def get_percentile_ms(self):
        """Return the recent 95th percentile, or None if unknown."""
        if len(self._samples) < SAMPLES_MIN:
            return None
        ordered = sorted(self._samples)
        return ordered[int(len(ordered) * PERCENTILE)]


class Router(abc.ABC):
    """Chooses agents; a subclass is a policy."""

    @abc.abstractmethod
    def choose(self, stage, deadline, excluded=(), prefix=None, priority=0):
        """Return a `Choice` for one attempt, or None if there is none."""

    @abc.abstractmethod
    def predict_path_ms(self, stages, priority=0):
        """Return how long the stages of a whole run would take now."""


class CostRouter(Router):
    """Takes the lowest cost among sampled agents that can take work."""

    __slots__ = (
        "_fleet",
        "_get_table",
        "_random",
        "_region",
        "_rtt_ms_by_region",
        "statistics_by_stage",
    )

    def __init__(self, fleet, region, rtt_ms_by_region, get_table, generator):
        self._fleet = fleet
        self._region = region
        self._rtt_ms_by_region = rtt_ms_by_region
        self._get_table = get_table
        self._random = generator
        self.statistics_by_stage = {}

    def get_statistics(self, key):
        """Return the statistics of a stage, by `(pipeline, stage)`."""
        if key not in self.statistics_by_stage:
            self.statistics_by_stage[key] = StageStatistics()
        return self.statistics_by_stage[key]

    def choose(self, stage, deadline, excluded=(), prefix=None, priority=0):
        """Return the `Choice` of the lowest cost, or None.

        Other regions are looked at only when no local agent is predicted
        to finish in time.
        """
        agents = self._get_candidates(stage, excluded)
        local = [agent for agent in agents if agent.region == self._region]
        best = self._choose_among(stage, self._sample(local), prefix, priority)
        limit_ms = deadline.get_left_ms() * _get_rest_share(stage)
        if best is not None and best.finish_ms <= limit_ms:
            return best
        if stage.stage.region == "home":
            return best
        remote = [agent for agent in agents if agent.region != self._region]
        other = self._choose_among(
            stage, self._sample(remote), prefix, priority
        )
        if best is None or other is None:
            return best or other
        return other if other.cost < best.cost else best

    def _get_candidates(self, stage, excluded):
        agents = [
            agent
            for agent in self._fleet.get_available(stage.stage.service)
            if agent.name not in excluded
            and self._has_model(agent, stage.stage.model)
        ]
        return self._eject_outliers(agents)

    def _has_model(self, agent, model):
        return not model or agent.model == model

    def _eject_outliers(self, agents):
        known = [agent for agent in agents if agent.latency_ms is not None]
        if len(known) < 3:
            return agents
        median_ms = statistics.median(agent.latency_ms for agent in known)
        slow = [
            agent
            for agent in known
            if agent.latency_ms > OUTLIER_FACTOR * median_ms
        ]
        slow.sort(key=lambda agent: agent.latency_ms, reverse=True)
        ejected = slow[: int(len(agents) * OUTLIER_SHARE_MAX)]
        return [agent for agent in agents if agent not in ejected]

    def _sample(self, agents):
        if len(agents) <= SAMPLE_SIZE:
            return agents
        return self._random.sample(agents, SAMPLE_SIZE)

    def _choose_among(self, stage, agents, prefix, priority):
        choices = [
            self._predict(stage, agent, prefix, priority) for agent in agents
        ]
        return min(choices, key=lambda choice: choice.cost, default=None)

    def _predict(self, stage, agent, prefix, priority):
        service_ms = self.get_statistics(stage.key).mean_ms
        if prefix is not None and prefix in agent.prefixes:
            service_ms *= 1 - PREFIX_DISCOUNT
        wait_ms = predict_wait_ms(agent, service_ms, priority)
        is_remote = agent.region != self._region
        finish_ms = wait_ms + service_ms
        if is_remote:
            finish_ms += self._rtt_ms_by_region.get(agent.region, 25.0)
        cost = finish_ms / max(agent.get_start_share(), 0.1)
        if is_remote:
            cost += self._get_crossing_cost(agent.region)
        return Choice(agent, finish_ms, wait_ms, cost, is_remote)

    def _get_crossing_cost(self, region):
        table = self._get_table()
        if table is None or region not in table.region_by_name:
            return 0.0
        price = table.region_by_name[region].price_per_gb
        return CROSSING_PRICE_MS * price * table.policy.cost_weight

    def predict_path_ms(self, stages, priority=0):
        """Return the predicted time of the stages, one after another."""
        total_ms = 0.0
        for stage in stages:
            agents = self._get_candidates(stage, ())
            if not agents:
                return None
            choices = [
                self._predict(stage, agent, None, priority).finish_ms
                for agent in self._sample(agents)
            ]
            total_ms += min(choices)
        return total_ms


def predict_wait_ms(agent, service_ms, priority):
    """Return how long a new attempt of a priority would wait.

    Only work of its class and above is ahead of it in the queue. What was
    sent since the report is counted whole: its class is not known.
    """
    load = agent.load
    slots = max(load.slots, 1)
    if agent.count_outstanding() < slots:
        return 0.0
    each_ms = load.service_ms or service_ms
    ahead_ms = sum(
        backlog_ms
        for other, backlog_ms in load.backlog_by_priority.items()
        if other >= priority
    )
    ahead_ms += len(agent.sent_at_s) * each_ms
    return (ahead_ms + each_ms / 2) / slots


def _get_rest_share(stage):
    """Return the part of the time left that this stage may take."""
    remaining = sum(each.share for each in stage.remaining) or 1.0
    return min(1.0, stage.stage.share / remaining)


class PipelineStage(msgspec.Struct, frozen=True):
    """A stage with its place: its pipeline, and what follows it."""

    key: tuple[str, str]
    stage: object
    remaining: tuple


def get_pipeline_stages(name, pipeline):
    """Return the stages of a pipeline, each with what follows it."""
    return [
        PipelineStage((name, stage.name), stage, tuple(pipeline.stage[index:]))
        for index, stage in enumerate(pipeline.stage)
    ]


def new_router(fleet, region, rtt_ms_by_region, get_table, seed=None):
    """Return the router of an entry in `region`."""
    generator = random.Random(seed)
    return CostRouter(fleet, region, rtt_ms_by_region, get_table, generator)
