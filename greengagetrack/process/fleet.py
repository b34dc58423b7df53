"""The liveness and the load of agents, as recorded by an entry.

The VM list gives the agents that may exist; heartbeats and digests give
those that are alive. Each view has an age, and an agent without a recent
report gets no new work.
"""

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.version import rendezvous

REPORT_TIMEOUT_S = 2.5
RELAY_DELAY_S = 2.5
CANDIDATES_PER_SERVICE = 6
BREAKER_FAILURES = 3
BREAKER_OPEN_S = 1.0
BREAKER_OPEN_MAX_S = 10.0
SLOW_START_S = 5.0
LATENCY_WEIGHT = 0.1
# The sender of a digest lists an agent as unchanged within one heartbeat of
# the agent's last report.
UNCHANGED_AGE_S = 1.0


class AgentView:
    """The state of one agent, as recorded by this entry."""

    __slots__ = (
        "address",
        "breaker_open_until_s",
        "consecutive_failures",
        "data_centre",
        "first_contact_s",
        "incarnation",
        "is_draining",
        "is_from_delegate",
        "is_listed_leaving",
        "is_reporting_here",
        "last_contact_s",
        "latency_ms",
        "load",
        "model",
        "name",
        "prefixes",
        "region",
        "report_number",
        "report_timeout_s",
        "sent_at_s",
        "service",
    )

    def __init__(self, vm):
        self.name = vm.name
        self.address = vm.address
        self.region = vm.region
        self.data_centre = vm.data_centre
        self.service = vm.service
        self.is_listed_leaving = vm.is_leaving
        self.incarnation = ""
        self.report_number = -1
        self.last_contact_s = None
        self.first_contact_s = None
        self.is_reporting_here = False
        self.is_from_delegate = False
        self.report_timeout_s = REPORT_TIMEOUT_S
        self.is_draining = False
        self.load = agent_messages.Load()
        self.model = ""
        self.prefixes = frozenset()
        self.sent_at_s = []
        self.consecutive_failures = 0
        self.breaker_open_until_s = 0.0
        self.latency_ms = None

    def get_age_s(self):
        """Return the age of the newest report, or infinity without one."""
        if self.last_contact_s is None:
            return float("inf")
        return trio.current_time() - self.last_contact_s

    def is_alive(self):
        """Return whether its newest report has not timed out."""
        return self.get_age_s() <= self.report_timeout_s

    def is_available(self):
        """Return whether the agent may get new work."""
        return (
            self.is_alive()
            and not self.is_draining
            and not self.is_listed_leaving
            and self.load.slots > 0
            and trio.current_time() >= self.breaker_open_until_s
        )

    def count_outstanding(self):
        """Return the attempts in its last report plus those sent since."""
        since_s = self.last_contact_s or 0.0
        self.sent_at_s = [at for at in self.sent_at_s if at > since_s]
        return self.load.running + self.load.queued + len(self.sent_at_s)

    def record_sent_attempt(self):
        """Record an attempt that the reports do not include yet."""
        self.sent_at_s.append(trio.current_time())

    def update_load(self, load):
        """Set the load from a reply, which is newer than any report."""
        self.load = load
        self.last_contact_s = trio.current_time()

    def record_success(self, latency_ms):
        """Reset the breaker's failure count and update the average latency."""
        self.consecutive_failures = 0
        average = (
            self.latency_ms if self.latency_ms is not None else latency_ms
        )
        self.latency_ms = average + LATENCY_WEIGHT * (latency_ms - average)

    def record_failure(self):
        """Open the circuit breaker after several failures in a row."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= BREAKER_FAILURES:
            doublings = min(self.consecutive_failures - BREAKER_FAILURES, 8)
            open_s = min(BREAKER_OPEN_S * 2**doublings, BREAKER_OPEN_MAX_S)
            self.breaker_open_until_s = trio.current_time() + open_s

    def get_slow_start_factor(self):
        """Return the share of full load, 0 to 1, for a new agent."""
        if self.first_contact_s is None:
            return 0.0
        age_s = trio.current_time() - self.first_contact_s
        return min(1.0, 0.1 + age_s / SLOW_START_S)


class Fleet:
    """The agents of the VM list, by name, with their reported state."""

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
        """Remove agents that left the VM list and add the new ones."""
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
            get_agent_number(name): agent
            for name, agent in self.agent_by_name.items()
        }
        for agent in self.agent_by_name.values():
            group = self._agents_by_service.setdefault(agent.service, [])
            group.append(agent)

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
        """Apply the heartbeat of an agent."""
        agent = self._apply_state(report, age_s=0.0)
        if agent is not None:
            agent.is_reporting_here = True
            agent.is_from_delegate = False
            agent.report_timeout_s = REPORT_TIMEOUT_S
            agent.prefixes = frozenset(report.prefixes)

    def apply_unchanged(self, numbers, report_timeout_s, is_from_delegate):
        """Record unchanged agents as alive; return the unknown numbers."""
        unknown = []
        for number in numbers:
            agent = self._agent_by_number.get(number)
            if agent is None or agent.last_contact_s is None:
                unknown.append(number)
            elif not self._has_better_source(agent, is_from_delegate):
                self._mark_relayed(agent, report_timeout_s, is_from_delegate)
                last_contact_s = trio.current_time() - UNCHANGED_AGE_S
                agent.last_contact_s = max(
                    agent.last_contact_s, last_contact_s
                )
        return unknown

    def apply_digest(self, digest, report_timeout_s, is_from_delegate):
        """Apply the states of agents from the digest of another entry.

        `report_timeout_s` depends on how often that entry sends digests.
        """
        for state in digest.agents:
            agent = self.agent_by_name.get(state.agent)
            if agent is not None and self._has_better_source(
                agent, is_from_delegate
            ):
                continue
            self._apply_state(state, state.age_ms / 1000)
            if agent is not None:
                self._mark_relayed(agent, report_timeout_s, is_from_delegate)

    def _has_better_source(self, agent, is_from_delegate):
        """Return whether its state already arrives over fewer hops."""
        if not agent.is_alive():
            return False
        return agent.is_reporting_here or (
            agent.is_from_delegate and not is_from_delegate
        )

    def _mark_relayed(self, agent, report_timeout_s, is_from_delegate):
        agent.is_reporting_here = False
        agent.report_timeout_s = report_timeout_s
        # An entry relays states to local entries if they came from another
        # data centre, but not if they came from a local entry.
        agent.is_from_delegate = is_from_delegate

    def _apply_state(self, state, age_s):
        agent = self.agent_by_name.get(state.agent)
        if agent is None or agent.service != state.service:
            return None
        last_contact_s = trio.current_time() - age_s
        if not self._is_newer(agent, state, last_contact_s):
            return None
        if agent.incarnation != state.incarnation:
            agent.first_contact_s = trio.current_time()
            agent.consecutive_failures = 0
            agent.breaker_open_until_s = 0.0
            agent.sent_at_s = []
        agent.incarnation = state.incarnation
        agent.report_number = state.number
        agent.last_contact_s = last_contact_s
        agent.load = state.load
        agent.is_draining = state.is_draining
        agent.model = state.model
        return agent

    def _is_newer(self, agent, state, last_contact_s):
        if agent.last_contact_s is None:
            return True
        if agent.incarnation == state.incarnation:
            return state.number > agent.report_number
        # An incarnation begins with the start time of its process. A smaller
        # one replaces a greater one only after the latter's reports stop.
        if state.incarnation > agent.incarnation:
            return True
        return not agent.is_alive() and last_contact_s > agent.last_contact_s

    def mark_all_silent(self):
        """Treat every agent as silent until its next report."""
        for agent in self.agent_by_name.values():
            agent.last_contact_s = None

    def get_relayed_states(self):
        """Return the states to relay to entries of the same data centre.

        These are the agents that report here and those in the digests of
        delegates of other data centres.
        """
        return [
            _get_state(agent)
            for agent in self.agent_by_name.values()
            if (agent.is_reporting_here or agent.is_from_delegate)
            and agent.is_alive()
        ]

    def get_states(self, data_centre, per_service=None):
        """Return the states of the agents alive in a data centre.

        With `per_service`, return only so many of each service, the least
        loaded ones.
        """
        agents_by_service = {}
        for agent in self.agent_by_name.values():
            if agent.data_centre == data_centre and agent.is_alive():
                group = agents_by_service.setdefault(agent.service, [])
                group.append(agent)
        states = []
        for agents in agents_by_service.values():
            if per_service is not None:
                agents.sort(key=_get_sort_key)
            states += [_get_state(agent) for agent in agents[:per_service]]
        return states


def _get_sort_key(agent):
    load = agent.load
    return (
        agent.is_draining,
        (load.running + load.queued) / (load.slots or 1),
    )


def _get_state(agent):
    return agent_messages.AgentState(
        agent=agent.name,
        incarnation=agent.incarnation,
        number=agent.report_number,
        age_ms=int(agent.get_age_s() * 1000),
        service=agent.service,
        load=agent.load,
        is_draining=agent.is_draining,
        model=agent.model,
    )


def get_agent_number(name):
    """Return the number that identifies an agent in digests."""
    return rendezvous.get_name_hash("agent", name)


def new_fleet(vm_view):
    """Return a fleet that has no agents until `sync()`."""
    return Fleet(vm_view)
