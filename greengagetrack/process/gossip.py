"""Exchanges what entries know of agents, in bounded digests.

An agent reports to a few entries of its data centre. These pass it on to
the other entries there. Between data centres a few speakers exchange the
best candidates of each service, so state and traffic of a node grow with
its data centre and not with the fleet.
"""

import trio

from greengagetrack.connection import messages
from greengagetrack.process import fleet as fleet_module
from greengagetrack.version import rank

REPORT_TARGETS = 2
SPEAKERS = 2
PERIOD_S = 1.0
ASK_TIMEOUT_S = 1.0
REMOTE_BYTES_PER_S = 1500.0
REMOTE_DIGEST_BYTES = 250.0
LOAD_STEPS = 4


def get_report_targets(agent, vm_view, region, data_centre):
    """Return the entries that an agent reports to, the same everywhere.

    They are of its data centre; where that has none, of its region, and
    where that has none, of the fleet.
    """
    entries = (
        vm_view.get_entries(data_centre=data_centre)
        or vm_view.get_entries(region=region)
        or vm_view.get_entries()
    )
    names = [vm.name for vm in entries]
    chosen = set(rank.rank(f"report|{agent}", names)[:REPORT_TARGETS])
    return [vm for vm in entries if vm.name in chosen]


def get_remote_period_s(data_centres):
    """Return how often to tell other data centres, within the budget."""
    needed_s = data_centres * SPEAKERS * REMOTE_DIGEST_BYTES
    return max(PERIOD_S, needed_s / REMOTE_BYTES_PER_S)


def get_silence_s(vm_view, own_data_centre, from_data_centre):
    """Return how long the silence of a relayed agent means nothing."""
    if from_data_centre == own_data_centre:
        return fleet_module.SILENCE_S + PERIOD_S
    entries = vm_view.get_entries()
    others = len({vm.data_centre for vm in entries}) - 1
    period_s = get_remote_period_s(others)
    return fleet_module.RELAY_HOPS_S + 1.5 * period_s


class Gossip:
    """Sends the digests of one entry."""

    __slots__ = (
        "_fleet",
        "_links",
        "_place",
        "_tables",
        "_told_by_address",
        "_vm_view",
    )

    def __init__(self, place, fleet, vm_view, links, table_updater):
        self._place = place
        self._fleet = fleet
        self._vm_view = vm_view
        self._links = links
        self._tables = table_updater
        self._told_by_address = {}

    async def run(self):
        """Send digests again and again until cancelled."""
        remote_s = trio.current_time()
        while True:
            async with trio.open_nursery() as nursery:
                self._tell_data_centre(nursery)
                if trio.current_time() >= remote_s:
                    others = self._get_other_data_centres()
                    remote_s += get_remote_period_s(len(others))
                    for name in others:
                        self._tell_other(nursery, name)
            await trio.sleep(PERIOD_S)

    def _get_other_data_centres(self):
        entries = self._vm_view.get_entries()
        return {vm.data_centre for vm in entries} - {self._place.data_centre}

    def _tell_data_centre(self, nursery):
        entries = self._vm_view.get_entries(self._place.data_centre)
        states = []
        if len(entries) > REPORT_TARGETS:
            states = self._fleet.get_relayed_states()
        for vm in entries:
            if vm.name != self._place.name:
                nursery.start_soon(self._send, vm.address, states)

    def _tell_other(self, nursery, data_centre):
        route = f"{self._place.data_centre}>{data_centre}"
        own = self._vm_view.get_entries(self._place.data_centre)
        names = [vm.name for vm in own]
        if self._place.name not in rank.rank(route, names)[:SPEAKERS]:
            return
        states = self._fleet.get_states(
            self._place.data_centre, fleet_module.CANDIDATES_PER_SERVICE
        )
        address_by_name = {
            vm.name: vm.address
            for vm in self._vm_view.get_entries(data_centre)
        }
        listeners = rank.rank(route, address_by_name)[:SPEAKERS]
        for name in listeners:
            nursery.start_soon(self._send, address_by_name[name], states)

    async def _send(self, address, states):
        told = self._told_by_address.get(address, {})
        signature_by_agent = {
            state.agent: get_signature(state) for state in states
        }
        fresh = [
            state
            for state in states
            if told.get(state.agent) != signature_by_agent[state.agent]
        ]
        fresh_names = {state.agent for state in fresh}
        digest = messages.Digest(
            entry=self._place.name,
            incarnation=self._place.incarnation,
            table_version=self._tables.get_version(),
            agents=fresh,
            unchanged=[
                fleet_module.get_number(state.agent)
                for state in states
                if state.agent not in fresh_names
            ],
        )
        link = self._links.get_link(address)
        reply = await link.ask(digest, ASK_TIMEOUT_S)
        if isinstance(reply, messages.Heard):
            self._note_told(address, signature_by_agent, reply.unknown)
            self._tables.record_peer_version(reply.table_version, address)
        else:
            # It may not have heard: all is told again.
            self._told_by_address.pop(address, None)

    def _note_told(self, address, signature_by_agent, unknown):
        missing = frozenset(unknown)
        self._told_by_address[address] = {
            agent: signature
            for agent, signature in signature_by_agent.items()
            if fleet_module.get_number(agent) not in missing
        }


def get_signature(state):
    """Return what of a state is worth telling when it changes.

    Loads are compared in coarse steps: an entry corrects them anyway by
    what it sent itself.
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
    """Return the gossip of one entry; the caller runs it."""
    return Gossip(place, fleet, vm_view, links, table_updater)
