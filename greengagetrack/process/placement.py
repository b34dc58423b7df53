"""Decides which model this agent's own engine holds.

Every agent computes the same plan from the published table and list, and
carries out only its own part, so there is no leader. A plan must stay the
same for a while before it is carried out, and loads are spread over time
so that all of them together stay within the weight store's rate.
"""

import logging

import trio

from greengagetrack.connection.backend import base
from greengagetrack.version import rank
from greengagetrack.version import rows

CHECK_PERIOD_S = 1.0
DAMPING_S = 5.0
MINUTE_S = 60.0

_log = logging.getLogger(__name__)


def get_plan(service_name, service, agents):
    """Return the model of each agent, by its name.

    Models get engines by their share, largest remainder first. Which
    engine gets which model is by rendezvous, so that one that comes or
    goes moves few of the others.
    """
    if not service.models or not agents:
        return {}
    total = sum(service.models.values()) or 1.0
    wanted = {
        model: share / total * len(agents)
        for model, share in service.models.items()
    }
    count_by_model = {model: int(value) for model, value in wanted.items()}
    left = len(agents) - sum(count_by_model.values())
    by_remainder = sorted(
        wanted,
        key=lambda model: (count_by_model[model] - wanted[model], model),
    )
    for model in by_remainder[:left]:
        count_by_model[model] += 1
    plan = {}
    free = set(agents)
    for model in sorted(count_by_model):
        ranked = rank.rank(f"{service_name}|{model}", sorted(free))
        for agent in ranked[: count_by_model[model]]:
            plan[agent] = model
            free.discard(agent)
    return plan


def get_load_delay_s(agent, agents, loads_per_minute):
    """Return this agent's place in the queue for the weight store."""
    ranked = rank.rank("load", sorted(agents))
    position = ranked.index(agent) if agent in ranked else len(ranked)
    return position * MINUTE_S / max(loads_per_minute, 0.1)


class ModelPlacer:
    """Keeps the engine of one agent at the model that the plan gives."""

    __slots__ = (
        "_agent",
        "_backend",
        "_place",
        "_planned",
        "_planned_at_s",
        "_service_name",
        "_tables",
        "_vm_view",
    )

    def __init__(self, place, service_name, backend, agent, vm_view, tables):
        self._place = place
        self._service_name = service_name
        self._backend = backend
        self._agent = agent
        self._vm_view = vm_view
        self._tables = tables
        self._planned = None
        self._planned_at_s = 0.0

    async def run(self):
        """Compare the engine with the plan, again and again."""
        while True:
            await trio.sleep(CHECK_PERIOD_S)
            await self.check_once()

    async def check_once(self):
        """Order a load if the plan has asked for it long enough."""
        model, delay_s = self._get_wanted()
        if model is None or model == self._agent.runner.model:
            self._planned = None
            return
        now = trio.current_time()
        if model != self._planned:
            self._planned = model
            self._planned_at_s = now
        # An engine that holds nothing gains from any load.
        damping_s = DAMPING_S if self._agent.runner.model else 0.0
        if now - self._planned_at_s < damping_s + delay_s:
            return
        await self._load(model)

    def _get_wanted(self):
        """Return `(model, delay)` by the plan, or `(None, 0)`."""
        table = self._tables.get_table()
        if table is None or not self._vm_view.is_fresh():
            return None, 0.0
        service = table.service_by_name.get(self._service_name)
        if service is None or service.kind is not rows.ServiceKind.ENGINE:
            return None, 0.0
        agents = self._get_neighbours()
        plan = get_plan(self._service_name, service, agents)
        delay_s = get_load_delay_s(
            self._place.name, agents, table.policy.loads_per_minute
        )
        return plan.get(self._place.name), delay_s

    def _get_neighbours(self):
        listed = self._vm_view.vm_by_name.values()
        return {
            vm.name
            for vm in listed
            if vm.service == self._service_name
            and vm.data_centre == self._place.data_centre
            and not vm.is_leaving
        }

    async def _load(self, model):
        """Order the load, then read back what the engine holds.

        The fencing number is one above what the engine last took, so an
        engine that checks it refuses an order that slept on the way. The
        plan is read again just before the order, and the state after it,
        for engines that do not check.
        """
        before = await self._backend.get_load()
        wanted, _delay_s = self._get_wanted()
        if not isinstance(before, base.BackendLoad) or wanted != model:
            self._planned = None
            return
        if before.model == model:
            self._planned = None
            return
        agreed = await self._backend.load_model(model, before.fencing + 1)
        after = await self._backend.get_load()
        _log.info(
            "model load ordered",
            extra={
                "decision": "placement",
                "model": model,
                "before": before.model,
                "after": getattr(after, "model", ""),
                "fencing": before.fencing + 1,
                "agreed": agreed,
                "table_version": self._tables.get_version(),
            },
        )
        self._planned = None


def new_placer(place, service_name, backend, agent, vm_view, tables):
    """Return the placer of one agent; the caller runs it."""
    return ModelPlacer(place, service_name, backend, agent, vm_view, tables)
