"""Placement of models on the engines of a service.

Every agent computes the same plan from the published table and VM list and
loads only its own engine's model, so no leader is needed. A plan must be
stable for `STABLE_PLAN_S` before it is applied, and loads are spread over
time so that all of them together stay within the weight store's rate.
"""

import logging

import trio

from greengagetrack.connection.backend import base
from greengagetrack.version import rendezvous
from greengagetrack.version import rows

CHECK_PERIOD_S = 1.0
STABLE_PLAN_S = 5.0
MINUTE_S = 60.0

_log = logging.getLogger(__name__)


def get_plan(service_name, service, agents):
    """Return the model of each agent, by its name.

    The number of engines of a model follows its share, by the largest
    remainder method. Engines are assigned by rendezvous hashing, so that
    adding or removing one changes the models of few others.
    """
    if not service.models or not agents:
        return {}
    total = sum(service.models.values()) or 1.0
    quota_by_model = {
        model: share / total * len(agents)
        for model, share in service.models.items()
    }
    count_by_model = {
        model: int(value) for model, value in quota_by_model.items()
    }
    remainder = len(agents) - sum(count_by_model.values())
    by_remainder = sorted(
        quota_by_model,
        key=lambda model: (
            count_by_model[model] - quota_by_model[model],
            model,
        ),
    )
    for model in by_remainder[:remainder]:
        count_by_model[model] += 1
    plan = {}
    unassigned = set(agents)
    for model in sorted(count_by_model):
        ranked = rendezvous.rank(f"{service_name}|{model}", sorted(unassigned))
        for agent in ranked[: count_by_model[model]]:
            plan[agent] = model
            unassigned.discard(agent)
    return plan


def get_load_delay_s(agent, agents, loads_per_minute):
    """Return how long this agent waits for its turn to load weights."""
    ranked = rendezvous.rank("load", sorted(agents))
    position = ranked.index(agent) if agent in ranked else len(ranked)
    return position * MINUTE_S / max(loads_per_minute, 0.1)


class ModelPlacer:
    """Task that loads the planned model into the engine of one agent."""

    __slots__ = (
        "_agent",
        "_backend",
        "_pending_model",
        "_pending_since_s",
        "_place",
        "_service_name",
        "_table_updater",
        "_vm_view",
    )

    def __init__(
        self, place, service_name, backend, agent, vm_view, table_updater
    ):
        self._place = place
        self._service_name = service_name
        self._backend = backend
        self._agent = agent
        self._vm_view = vm_view
        self._table_updater = table_updater
        self._pending_model = None
        self._pending_since_s = 0.0

    async def run(self):
        """Compare the engine with the plan periodically."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            await self.check_once()

    async def check_once(self):
        """Load the planned model once the plan has been stable long enough."""
        model, delay_s = self._get_planned_model()
        if model is None or model == self._agent.runner.model:
            self._pending_model = None
            return
        now = trio.current_time()
        if model != self._pending_model:
            self._pending_model = model
            self._pending_since_s = now
        # Without a model, any load is useful; the plan need not be stable.
        stable_s = STABLE_PLAN_S if self._agent.runner.model else 0.0
        if now - self._pending_since_s < stable_s + delay_s:
            return
        await self._load(model)

    def _get_planned_model(self):
        """Return the planned `(model, delay_s)`, or `(None, 0)`."""
        table = self._table_updater.get_table()
        if table is None or not self._vm_view.is_fresh():
            return None, 0.0
        service = table.service_by_name.get(self._service_name)
        if service is None or service.kind is not rows.ServiceKind.ENGINE:
            return None, 0.0
        agents = self._get_agents_in_data_centre()
        plan = get_plan(self._service_name, service, agents)
        delay_s = get_load_delay_s(
            self._place.name, agents, table.policy.loads_per_minute
        )
        return plan.get(self._place.name), delay_s

    def _get_agents_in_data_centre(self):
        listed = self._vm_view.vm_by_name.values()
        return {
            vm.name
            for vm in listed
            if vm.service == self._service_name
            and vm.data_centre == self._place.data_centre
            and not vm.is_leaving
        }

    async def _load(self, model):
        """Request the load, then read back the engine's model.

        The fencing number is one above the last that the engine accepted,
        so an engine that checks it refuses a delayed load request. For
        engines that do not check it, the plan is read again just before the
        request, and the engine's state after it.
        """
        before = await self._backend.get_load()
        planned_model, _delay_s = self._get_planned_model()
        if not isinstance(before, base.BackendLoad) or planned_model != model:
            self._pending_model = None
            return
        if before.model == model:
            self._pending_model = None
            return
        agreed = await self._backend.load_model(model, before.fencing + 1)
        after = await self._backend.get_load()
        _log.info(
            "model load requested",
            extra={
                "decision": "placement",
                "model": model,
                "before": before.model,
                "after": getattr(after, "model", ""),
                "fencing": before.fencing + 1,
                "agreed": agreed,
                "table_version": self._table_updater.get_version(),
            },
        )
        self._pending_model = None


def new_placer(place, service_name, backend, agent, vm_view, table_updater):
    """Return the model placer of one agent; the caller runs it."""
    return ModelPlacer(
        place, service_name, backend, agent, vm_view, table_updater
    )
