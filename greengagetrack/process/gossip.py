"""Exchanges the states of agents between entries, in bounded digests.

An agent reports to a few entries of its data centre, which relay its state
to the other entries there. Between data centres, a few delegates exchange
the least loaded agents of each service, so the state and the traffic of an
entry grow with the size of its data centre and not with that of the fleet.
"""

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.process import fleet as fleet_module
from greengagetrack.version import rendezvous

REPORT_TARGETS = 2
DELEGATES = 2
DIGEST_PERIOD_S = 1.0
REQUEST_TIMEOUT_S = 1.0
REMOTE_BYTES_PER_S = 1500.0
REMOTE_DIGEST_BYTES = 250.0
LOAD_STEPS = 4


def get_report_targets(agent, vm_view, region, data_centre):
    """Return the entries an agent reports to, the same in all processes.

    They are entries of its data centre or, if that has none, of its region
    or, if that has none, of the fleet.
    """
    entries = (
        vm_view.get_entries(data_centre=data_centre)
        or vm_view.get_entries(region=region)
        or vm_view.get_entries()
    )
    names = [vm.name for vm in entries]
    chosen = set(rendezvous.rank(f"report|{agent}", names)[:REPORT_TARGETS])
    return [vm for vm in entries if vm.name in chosen]


def get_remote_period_s(data_centre_count):
    """Return the period of remote digests within the traffic budget."""
    needed_bytes = data_centre_count * DELEGATES * REMOTE_DIGEST_BYTES
    return max(DIGEST_PERIOD_S, needed_bytes / REMOTE_BYTES_PER_S)


def get_report_timeout_s(vm_view, own_data_centre, from_data_centre):
    """Return the time after which a relayed agent counts as silent."""
    if from_data_centre == own_data_centre:
        return fleet_module.REPORT_TIMEOUT_S + DIGEST_PERIOD_S
    entries = vm_view.get_entries()
    remote_count = len({vm.data_centre for vm in entries}) - 1
    period_s = get_remote_period_s(remote_count)
    return fleet_module.RELAY_DELAY_S + 1.5 * period_s


class Gossip:
    """Sender of an entry's digests to other entries."""

    __slots__ = (
        "_fleet",
        "_links",
        "_place",
        "_sent_by_address",
        "_table_updater",
        "_vm_view",
    )

    def __init__(self, place, fleet, vm_view, links, table_updater):
        self._place = place
        self._fleet = fleet
        self._vm_view = vm_view
        self._links = links
        self._table_updater = table_updater
        self._sent_by_address = {}

    async def run(self):
        """Send digests periodically until cancelled."""
        next_remote_s = trio.current_time()
        while True:
            async with trio.open_nursery() as nursery:
                self._send_local(nursery)
                if trio.current_time() >= next_remote_s:
                    remote = self._get_remote_data_centres()
                    next_remote_s += get_remote_period_s(len(remote))
                    for name in remote:
                        self._send_remote(nursery, name)
            await trio.sleep(DIGEST_PERIOD_S)

    def _get_remote_data_centres(self):
        entries = self._vm_view.get_entries()
        return {vm.data_centre for vm in entries} - {self._place.data_centre}

    def _send_local(self, nursery):
        entries = self._vm_view.get_entries(self._place.data_centre)
        states = []
        if len(entries) > REPORT_TARGETS:
            states = self._fleet.get_relayed_states()
        for vm in entries:
            if vm.name != self._place.name:
                nursery.start_soon(self._send, vm.address, states)

    def _send_remote(self, nursery, data_centre):
        route = f"{self._place.data_centre}>{data_centre}"
        local = self._vm_view.get_entries(self._place.data_centre)
        names = [vm.name for vm in local]
        if self._place.name not in rendezvous.rank(route, names)[:DELEGATES]:
            return
        states = self._fleet.get_states(
            self._place.data_centre, fleet_module.CANDIDATES_PER_SERVICE
        )
        address_by_name = {
            vm.name: vm.address
            for vm in self._vm_view.get_entries(data_centre)
        }
        receivers = rendezvous.rank(route, address_by_name)[:DELEGATES]
        for name in receivers:
            nursery.start_soon(self._send, address_by_name[name], states)

    async def _send(self, address, states):
        sent = self._sent_by_address.get(address, {})
        signature_by_agent = {
            state.agent: get_signature(state) for state in states
        }
        changed = [
            state
            for state in states
            if sent.get(state.agent) != signature_by_agent[state.agent]
        ]
        changed_names = {state.agent for state in changed}
        digest = agent_messages.Digest(
            entry=self._place.name,
            incarnation=self._place.incarnation,
            table_version=self._table_updater.get_version(),
            agents=changed,
            unchanged=[
                fleet_module.get_agent_number(state.agent)
                for state in states
                if state.agent not in changed_names
            ],
        )
        link = self._links.get_link(address)
        reply = await link.request(digest, REQUEST_TIMEOUT_S)
        if isinstance(reply, agent_messages.Acknowledgement):
            self._record_sent(address, signature_by_agent, reply.unknown)
            self._table_updater.record_peer_version(
                reply.table_version, address
            )
        else:
            # The digest may be lost, so the next one has all states in full.
            self._sent_by_address.pop(address, None)

    def _record_sent(self, address, signature_by_agent, unknown):
        missing = frozenset(unknown)
        self._sent_by_address[address] = {
            agent: signature
            for agent, signature in signature_by_agent.items()
            if fleet_module.get_agent_number(agent) not in missing
        }


def get_signature(state):
    """Return the values whose change makes a state be sent in full.

    Loads are compared in coarse steps because the receiver adds the attempts
    that it sent itself.
    """
    load = state.load
    outstanding = load.running + load.queued
    step = round(LOAD_STEPS * outstanding / max(load.slots, 1))
    return (
        state.incarnation,
        state.is_draining,
        state.model,
        load.slots,
        step,
    )


def new_gossip(place, fleet, vm_view, links, table_updater):
    """Return the gossip of an entry; the caller runs it."""
    return Gossip(place, fleet, vm_view, links, table_updater)
