"""What an entry knows of the agents: who lives, and how loaded they are.

The VM list says who may exist; heartbeats and digests say who lives. Each
view carries its age, and a silent agent gets no new work.
"""

import trio

from greengagetrack.connection import messages
from greengagetrack.version import rank

SILENCE_S = 2.5
RELAY_HOPS_S = 2.5
CANDIDATES_PER_SERVICE = 6
BREAKER_FAILURES = 3
BREAKER_OPEN_S = 1.0
BREAKER_OPEN_MAX_S = 10.0
SLOW_START_S = 5.0
LATENCY_SMOOTHING = 0.1
# An unchanged agent was heard within one heartbeat of the one who says so.
UNCHANGED_AGE_S = 1.0


class AgentView:
    """One agent as this entry sees it."""

    __slots__ = (
        "address",
        "data_centre",
        "failures",
        "first_heard_s",
        "heard_at_s",
        "incarnation",
        "is_direct",
        "is_draining",
        "is_from_speaker",
        "is_listed_leaving",
        "latency_ms",
        "load",
        "model",
        "name",
        "number",
        "open_until_s",
        "prefixes",
        "region",
        "sent_at_s",
        "service",
        "silence_s",
    )

    def __init__(self, vm):
        self.name = vm.name
        self.address = vm.address
        self.region = vm.region
        self.data_centre = vm.data_centre
        self.service = vm.service
        self.is_listed_leaving = vm.is_leaving
        self.incarnation = ""
        self.number = -1
        self.heard_at_s = None
        self.first_heard_s = None
        self.is_direct = False
        self.is_from_speaker = False
        self.silence_s = SILENCE_S
        self.is_draining = False
        self.load = messages.Load()
        self.model = ""
        self.prefixes = frozenset()
        self.sent_at_s = []
        self.failures = 0
        self.open_until_s = 0.0
        self.latency_ms = None

    def get_age_s(self):
        """Return how old the newest report is, or infinity."""
        if self.heard_at_s is None:
            return float("inf")
        return trio.current_time() - self.heard_at_s

    def is_alive(self):
        """Return whether it was heard a short time ago."""
        return self.get_age_s() <= self.silence_s

    def is_available(self):
        """Return whether it may get new work."""
        return (
            self.is_alive()
            and not self.is_draining
            and not self.is_listed_leaving
            and self.load.slots > 0
            and trio.current_time() >= self.open_until_s
        )

    def count_outstanding(self):
        """Return its work: as reported, and what was sent since then."""
        since_s = self.heard_at_s or 0.0
        self.sent_at_s = [at for at in self.sent_at_s if at > since_s]
        return self.load.running + self.load.queued + len(self.sent_at_s)

    def record_sent_attempt(self):
        """Count an attempt that the reports can't show yet."""
        self.sent_at_s.append(trio.current_time())

    def update_load(self, load):
        """Take the load that a reply carried: the newest there is."""
        self.load = load
        self.heard_at_s = trio.current_time()

    def record_success(self, latency_ms):
        """Close the breaker and learn the latency."""
        self.failures = 0
        known = self.latency_ms if self.latency_ms is not None else latency_ms
        self.latency_ms = known + LATENCY_SMOOTHING * (latency_ms - known)

    def record_failure(self):
        """Open the breaker after several failures in a row."""
        self.failures += 1
        if self.failures >= BREAKER_FAILURES:
            doublings = min(self.failures - BREAKER_FAILURES, 8)
            open_s = min(BREAKER_OPEN_S * 2**doublings, BREAKER_OPEN_MAX_S)
            self.open_until_s = trio.current_time() + open_s

    def get_slow_start_factor(self):
        """Return 0 to 1: how far a newcomer has been phased in."""
        if self.first_heard_s is None:
            return 0.0
        age_s = trio.current_time() - self.first_heard_s
        return min(1.0, 0.1 + age_s / SLOW_START_S)


class Fleet:
    """The agents by name, as the list and the reports give them."""

    __slots__ = (
        "_agent_by_number",
        "_agents_by_service",
        "_vm_view",
        "agent_by_name",
    )

    def __init__(self, vm_view):
        self._agent_by_number = {}
        self._vm_view = vm_view
        self._agents_by_service = {}
        self.agent_by_name = {}

    def sync(self):
        """Take over the VM list: drop who is gone, add who is new."""
        vm_by_name = {
            name: vm
            for name, vm in self._vm_view.vm_by_name.items()
            if vm.role == "agent"
        }
        for name in set(self.agent_by_name) - set(vm_by_name):
            del self.agent_by_name[name]
        for name, vm in vm_by_name.items():
            agent = self.agent_by_name.get(name)
            if agent is None or agent.address != vm.address:
                self.agent_by_name[name] = AgentView(vm)
            else:
                agent.is_listed_leaving = vm.is_leaving
        self._agents_by_service = {}
        self._agent_by_number = {
            get_number(name): agent
            for name, agent in self.agent_by_name.items()
        }
        for agent in self.agent_by_name.values():
            same = self._agents_by_service.setdefault(agent.service, [])
            same.append(agent)

    def get_agents(self, service):
        """Return the listed agents of a service."""
        return self._agents_by_service.get(service, [])

    def get_available(self, service):
        """Return the agents of a service that may get new work."""
        return [
            agent
            for agent in self.get_agents(service)
            if agent.is_available()
        ]  # fmt: skip

    def apply_report(self, report):
        """Take an agent's own heartbeat."""
        agent = self._take(report, age_s=0.0)
        if agent is not None:
            agent.is_direct = True
            agent.is_from_speaker = False
            agent.silence_s = SILENCE_S
            agent.prefixes = frozenset(report.prefixes)

    def apply_unchanged(self, numbers, silence_s, is_from_speaker):
        """Note that agents live; return the numbers of unknown ones."""
        unknown = []
        for number in numbers:
            agent = self._agent_by_number.get(number)
            if agent is None or agent.heard_at_s is None:
                unknown.append(number)
            elif not self._has_better_source(agent, is_from_speaker):
                self._mark_relayed(agent, silence_s, is_from_speaker)
                heard_at_s = trio.current_time() - UNCHANGED_AGE_S
                agent.heard_at_s = max(agent.heard_at_s, heard_at_s)
        return unknown

    def apply_digest(self, digest, silence_s, is_from_speaker):
        """Take what another entry knows of agents.

        `silence_s` is how long their silence means nothing: it depends on
        how often digests come that way.
        """
        for state in digest.agents:
            agent = self.agent_by_name.get(state.agent)
            if agent is not None and self._has_better_source(
                agent, is_from_speaker
            ):
                continue
            self._take(state, state.age_ms / 1000)
            if agent is not None:
                self._mark_relayed(agent, silence_s, is_from_speaker)

    def _has_better_source(self, agent, is_from_speaker):
        """Return whether the agent is heard nearer to itself."""
        if not agent.is_alive():
            return False
        return agent.is_direct or (
            agent.is_from_speaker and not is_from_speaker
        )

    def _mark_relayed(self, agent, silence_s, is_from_speaker):
        agent.is_direct = False
        agent.silence_s = silence_s
        # One who heard it from another data centre relays it; one who
        # heard it from a neighbour does not.
        agent.is_from_speaker = is_from_speaker

    def _take(self, state, age_s):
        agent = self.agent_by_name.get(state.agent)
        if agent is None or agent.service != state.service:
            return None
        heard_at_s = trio.current_time() - age_s
        if not self._is_news(agent, state, heard_at_s):
            return None
        if agent.incarnation != state.incarnation:
            agent.first_heard_s = trio.current_time()
            agent.failures = 0
            agent.open_until_s = 0.0
            agent.sent_at_s = []
        agent.incarnation = state.incarnation
        agent.number = state.number
        agent.heard_at_s = heard_at_s
        agent.load = state.load
        agent.is_draining = state.is_draining
        agent.model = state.model
        return agent

    def _is_news(self, agent, state, heard_at_s):
        if agent.heard_at_s is None:
            return True
        if agent.incarnation == state.incarnation:
            return state.number > agent.number
        # Incarnations begin with their start time. One that looks older
        # counts only once the newer one is silent.
        if state.incarnation > agent.incarnation:
            return True
        return not agent.is_alive() and heard_at_s > agent.heard_at_s

    def mark_all_silent(self):
        """Count every agent as silent until it is heard again."""
        for agent in self.agent_by_name.values():
            agent.heard_at_s = None

    def get_relayed_states(self):
        """Return the agents that neighbours hear of from this entry.

        These are the ones that report here, and the ones that speakers of
        other data centres told of.
        """
        return [
            _get_state(agent)
            for agent in self.agent_by_name.values()
            if (agent.is_direct or agent.is_from_speaker) and agent.is_alive()
        ]

    def get_states(self, data_centre, per_service=None):
        """Return the agents of a data centre to tell others of.

        With `per_service`, only that many of each service, least loaded
        first.
        """
        agents_by_service = {}
        for agent in self.agent_by_name.values():
            if agent.data_centre == data_centre and agent.is_alive():
                same = agents_by_service.setdefault(agent.service, [])
                same.append(agent)
        states = []
        for agents in agents_by_service.values():
            if per_service is not None:
                agents.sort(key=_get_rank)
            states += [_get_state(agent) for agent in agents[:per_service]]
        return states


def _get_rank(agent):
    load = agent.load
    return (
        agent.is_draining,
        (load.running + load.queued) / (load.slots or 1),
    )


def _get_state(agent):
    return messages.AgentState(
        agent=agent.name,
        incarnation=agent.incarnation,
        number=agent.number,
        age_ms=int(agent.get_age_s() * 1000),
        service=agent.service,
        load=agent.load,
        is_draining=agent.is_draining,
        model=agent.model,
    )


def get_number(name):
    """Return the number that stands for an agent in digests."""
    return rank.get_number("agent", name)


def new_fleet(vm_view):
    """Return a fleet without agents until `sync()`."""
    return Fleet(vm_view)
