"""Sends the heartbeats of an agent to entries of its data centre."""

import itertools

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.process import gossip

HEARTBEAT_S = 1.0
REQUEST_TIMEOUT_S = 1.0


class Reporter:
    """Sender of reports, every second and when availability changes."""

    __slots__ = (
        "_agent",
        "_links",
        "_place",
        "_report_numbers",
        "_table_updater",
        "_vm_view",
    )

    def __init__(self, agent, place, vm_view, links, table_updater):
        self._agent = agent
        self._place = place
        self._vm_view = vm_view
        self._links = links
        self._table_updater = table_updater
        self._report_numbers = itertools.count(1)

    async def run(self):
        """Send reports until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._agent.state_changed
                report = self._new_report()
                for vm in self._get_targets(report):
                    nursery.start_soon(self._send, vm.address, report)
                with trio.move_on_after(HEARTBEAT_S):
                    await changed.wait()

    def _get_targets(self, report):
        place = self._place
        if report.is_draining:
            # All local entries must stop sending work at once, without
            # waiting for a digest from the ones that get reports.
            local_entries = self._vm_view.get_entries(
                data_centre=place.data_centre
            )
            if local_entries:
                return local_entries
        return gossip.get_report_targets(
            place.name, self._vm_view, place.region, place.data_centre
        )

    def _new_report(self):
        agent = self._agent
        return agent_messages.Report(
            agent=agent.name,
            incarnation=agent.incarnation,
            number=next(self._report_numbers),
            service=agent.service,
            load=agent.runner.get_load(),
            is_draining=agent.is_refusing(),
            table_version=self._table_updater.get_version(),
            model=agent.runner.model,
            prefixes=agent.runner.prefixes,
        )

    async def _send(self, address, report):
        link = self._links.get_link(address)
        reply = await link.request(report, REQUEST_TIMEOUT_S)
        if isinstance(reply, agent_messages.Acknowledgement):
            self._table_updater.record_peer_version(
                reply.table_version, address
            )


def new_reporter(agent, place, vm_view, links, table_updater):
    """Return the reporter of an agent; the caller runs it."""
    return Reporter(agent, place, vm_view, links, table_updater)
