"""Choice of an agent for each attempt by predicted finish time and cost."""

import abc
import logging
import random
import statistics

import msgspec

SAMPLE_SIZE = 4
INITIAL_SERVICE_MS = 100.0
SERVICE_TIME_WEIGHT = 0.1
PREFIX_HIT_SAVING_RATIO = 0.25
REMOTE_TRAFFIC_COST_MS = 20.0
OUTLIER_FACTOR = 3.0
EJECTED_RATIO_MAX = 0.3
SAMPLES_MAX = 128
PERCENTILE = 0.95
SAMPLES_MIN = 20

_log = logging.getLogger(__name__)


class Choice(msgspec.Struct, frozen=True):
    """The chosen agent and the predictions behind the choice."""

    agent: object
    finish_ms: float
    wait_ms: float
    cost: float
    is_remote: bool


class StageStatistics:
    """Recent durations of one stage, as measured by this entry.

    `mean_ms` covers the backend server only: the queueing time is predicted
    from loads and must not be counted twice. The samples are total durations.
    """

    __slots__ = ("_samples", "mean_ms")

    def __init__(self):
        self._samples = []
        self.mean_ms = INITIAL_SERVICE_MS

    def record_duration(self, duration_ms, service_ms):
        """Record the total and the backend time of one completed stage."""
        if not self._samples:
            self.mean_ms = service_ms
        self.mean_ms += SERVICE_TIME_WEIGHT * (service_ms - self.mean_ms)
        self._samples.append(duration_ms)
        if len(self._samples) > SAMPLES_MAX:
            del self._samples[0]

    def get_percentile_ms(self):
        """Return the recent 95th percentile, or None with too few samples."""
        if len(self._samples) < SAMPLES_MIN:
            return None
        ordered = sorted(self._samples)
        return ordered[int(len(ordered) * PERCENTILE)]


class Router(abc.ABC):
    """Interface of a routing policy."""

    @abc.abstractmethod
    def choose(self, stage, deadline, excluded=(), prefix=None, priority=0):
        """Return a `Choice` for one attempt, or None without a candidate."""

    @abc.abstractmethod
    def predict_path_ms(self, stages, priority=0):
        """Return the predicted time of a run, or None without capacity."""


class CostRouter(Router):
    """Router that chooses the cheapest agent of a random sample."""

    __slots__ = (
        "_fleet",
        "_generator",
        "_get_table",
        "_region",
        "_rtt_ms_by_region",
        "statistics_by_stage",
    )

    def __init__(self, fleet, region, rtt_ms_by_region, get_table, generator):
        self._fleet = fleet
        self._region = region
        self._rtt_ms_by_region = rtt_ms_by_region
        self._get_table = get_table
        self._generator = generator
        self.statistics_by_stage = {}

    def get_statistics(self, key):
        """Return the statistics of a stage, by `(pipeline, stage)`."""
        if key not in self.statistics_by_stage:
            self.statistics_by_stage[key] = StageStatistics()
        return self.statistics_by_stage[key]

    def choose(self, stage, deadline, excluded=(), prefix=None, priority=0):
        """Return the `Choice` of the lowest cost, or None.

        Agents of other regions are considered only if no local agent is
        predicted to finish in time.
        """
        agents = self._get_candidates(stage, excluded)
        local = [agent for agent in agents if agent.region == self._region]
        best = self._choose_cheapest(
            stage, self._sample(local), prefix, priority
        )
        limit_ms = deadline.get_left_ms() * _get_time_share(stage)
        if best is not None and best.finish_ms <= limit_ms:
            return best
        if stage.stage.region == "home":
            return best
        remote = [agent for agent in agents if agent.region != self._region]
        best_remote = self._choose_cheapest(
            stage, self._sample(remote), prefix, priority
        )
        if best is None or best_remote is None:
            return best or best_remote
        return best_remote if best_remote.cost < best.cost else best

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
        measured = [agent for agent in agents if agent.latency_ms is not None]
        if len(measured) < 3:
            return agents
        median_ms = statistics.median(agent.latency_ms for agent in measured)
        slow = [
            agent
            for agent in measured
            if agent.latency_ms > OUTLIER_FACTOR * median_ms
        ]
        slow.sort(key=lambda agent: agent.latency_ms, reverse=True)
        ejected = slow[: int(len(agents) * EJECTED_RATIO_MAX)]
        return [agent for agent in agents if agent not in ejected]

    def _sample(self, agents):
        if len(agents) <= SAMPLE_SIZE:
            return agents
        return self._generator.sample(agents, SAMPLE_SIZE)

    def _choose_cheapest(self, stage, agents, prefix, priority):
        choices = [
            self._predict(stage, agent, prefix, priority) for agent in agents
        ]
        return min(choices, key=lambda choice: choice.cost, default=None)

    def _predict(self, stage, agent, prefix, priority):
        service_ms = self.get_statistics(stage.key).mean_ms
        if prefix is not None and prefix in agent.prefixes:
            service_ms *= 1 - PREFIX_HIT_SAVING_RATIO
        wait_ms = predict_wait_ms(agent, service_ms, priority)
        is_remote = agent.region != self._region
        finish_ms = wait_ms + service_ms
        if is_remote:
            finish_ms += self._rtt_ms_by_region.get(agent.region, 25.0)
        cost = finish_ms / max(agent.get_slow_start_factor(), 0.1)
        if is_remote:
            cost += self._get_remote_traffic_cost(agent.region)
        return Choice(agent, finish_ms, wait_ms, cost, is_remote)

    def _get_remote_traffic_cost(self, region):
        table = self._get_table()
        if table is None or region not in table.region_by_name:
            return 0.0
        price = table.region_by_name[region].price_per_gb
        return REMOTE_TRAFFIC_COST_MS * price * table.policy.cost_weight

    def predict_path_ms(self, stages, priority=0):
        """Return the predicted time of running the stages in sequence."""
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
    """Return the predicted queueing time of a new attempt.

    Only work of the same or a higher priority is ahead of it in the queue.
    Attempts sent since the agent's last report count in full, because their
    priority is not recorded.
    """
    load = agent.load
    slots = max(load.slots, 1)
    if agent.count_outstanding() < slots:
        return 0.0
    call_ms = load.service_ms or service_ms
    ahead_ms = sum(
        backlog_ms
        for queued_priority, backlog_ms in load.backlog_by_priority.items()
        if queued_priority >= priority
    )
    ahead_ms += len(agent.sent_at_s) * call_ms
    return (ahead_ms + call_ms / 2) / slots


def _get_time_share(stage):
    """Return the fraction of the remaining time that the stage may use."""
    remaining_share = sum(other.share for other in stage.remaining) or 1.0
    return min(1.0, stage.stage.share / remaining_share)


class PipelineStage(msgspec.Struct, frozen=True):
    """A stage with its key and the stages from it to the last one."""

    key: tuple[str, str]
    stage: object
    remaining: tuple


def get_pipeline_stages(name, pipeline):
    """Return the `PipelineStage` of each stage of a pipeline."""
    return [
        PipelineStage((name, stage.name), stage, tuple(pipeline.stage[index:]))
        for index, stage in enumerate(pipeline.stage)
    ]


def new_router(fleet, region, rtt_ms_by_region, get_table, seed=None):
    """Return the router for an entry in `region`."""
    generator = random.Random(seed)
    return CostRouter(fleet, region, rtt_ms_by_region, get_table, generator)
