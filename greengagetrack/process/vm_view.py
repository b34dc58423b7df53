"""A copy of the VM list, with its age and its recent history."""

import collections
import logging
import random

import trio

from greengagetrack.connection.platform import base

ENTRY_PERIOD_S = 1.0
AGENT_PERIOD_S = 4.0
FRESH_AGE_MAX_S = 10.0
HISTORY_S = 1800.0
HISTORY_MAX = 256

_log = logging.getLogger(__name__)


class VmView:
    """The VM list as this process read it last.

    The list lags and its service can be down, so the view has an age.
    Decisions that need a fresh list check `is_fresh()` at that time.
    """

    __slots__ = (
        "_past_agents_by_service",
        "_period_s",
        "_random",
        "_vm_list_service",
        "changed",
        "read_at_s",
        "version",
        "vm_by_name",
    )

    def __init__(self, vm_list_service, period_s, generator):
        self._vm_list_service = vm_list_service
        self._period_s = period_s
        self._random = generator
        self._past_agents_by_service = {}
        self.vm_by_name = {}
        self.version = -1
        self.read_at_s = None
        self.changed = trio.Event()

    def is_fresh(self):
        """Return whether the list was read within `FRESH_AGE_MAX_S`."""
        if self.read_at_s is None:
            return False
        return trio.current_time() - self.read_at_s <= FRESH_AGE_MAX_S

    def get_address(self, name):
        """Return the address of a VM, or None if it is not listed."""
        vm = self.vm_by_name.get(name)
        return vm.address if vm is not None else None

    def get_agents(self, service):
        """Return the names of the listed agents of a service."""
        return frozenset(
            vm.name
            for vm in self.vm_by_name.values()
            if vm.role == "agent" and vm.service == service
        )

    def get_past_agents(self, service, within_s):
        """Return the sets of agents replaced within the last `within_s`."""
        now = trio.current_time()
        past = self._past_agents_by_service.get(service, ())
        return [
            members for ended_s, members in past if now - ended_s <= within_s
        ]

    def get_entries(self, data_centre=None, region=None):
        """Return the listed entries, optionally of a data centre or region."""
        return [
            vm
            for vm in self.vm_by_name.values()
            if vm.role == "entry"
            and data_centre in (None, vm.data_centre)
            and region in (None, vm.region)
        ]

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Read the list periodically until cancelled."""
        is_started = False
        while True:
            await self.read_once()
            if not is_started:
                is_started = True
                task_status.started()
            await trio.sleep(self._period_s * self._random.uniform(0.8, 1.2))

    async def read_once(self):
        """Read the list once and apply it if it has changed."""
        reply = await self._vm_list_service.read(self.version)
        if isinstance(reply, base.Unreachable):
            _log.debug(
                "could not read the VM list", extra={"detail": reply.detail}
            )
            return
        if reply is not None:
            self._apply(reply)
        self.read_at_s = trio.current_time()

    def mark_stale(self):
        """Treat the list as stale until it is read again."""
        self.read_at_s = None

    def _apply(self, vm_list):
        before = self._get_agents_by_service()
        self.version = vm_list.version
        self.vm_by_name = {vm.name: vm for vm in vm_list.vms}
        after = self._get_agents_by_service()
        now = trio.current_time()
        for service, members in before.items():
            if members != after.get(service):
                past = self._past_agents_by_service.setdefault(
                    service, collections.deque(maxlen=HISTORY_MAX)
                )
                past.append((now, members))
                while now - past[0][0] > HISTORY_S:
                    past.popleft()
        self.changed.set()
        self.changed = trio.Event()

    def _get_agents_by_service(self):
        services = {vm.service for vm in self.vm_by_name.values()}
        return {service: self.get_agents(service) for service in services}


def new_vm_view(vm_list_service, period_s, seed=None):
    """Return a view that reads the list every `period_s` seconds."""
    return VmView(vm_list_service, period_s, random.Random(seed))
