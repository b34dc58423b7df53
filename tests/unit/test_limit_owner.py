"""Tests of the handover of limits from one owner to the next."""

import trio
import trio.testing

from bench import memory
from greengagetrack.connection import agent_messages
from greengagetrack.connection import base as link_base
from greengagetrack.connection.platform import base as platform_base
from greengagetrack.process import limit_owner
from greengagetrack.process import vm_view as vm_view_module
from greengagetrack.version import rendezvous
from greengagetrack.version import rows
from greengagetrack.version import table as table_module

TABLE = table_module.Table(
    1,
    b"",
    {},
    {},
    {},
    [rows.Row("p", rate_per_s=100.0)],
    {"r": rows.Region(1.0)},
    {"o": "standard"},
    rows.Policy(),
)
KEY = "o|p|*"


class _VmListFake(platform_base.VmListService):
    def __init__(self, names):
        self.names = names
        self.version = 1

    async def read(self, version):
        await trio.lowlevel.checkpoint()
        vms = [
            platform_base.Vm(name, f"{name}:1", "entry", "r", "r-1")
            for name in self.names
        ]
        return platform_base.VmList(self.version, vms)


async def _start_owner(nursery, network, name, names):
    view = vm_view_module.new_vm_view(_VmListFake(names), 0.5, 1)
    await nursery.start(view.run)
    links = link_base.new_links(memory.MemoryLinkFactory(network, f"{name}:1"))
    owner = limit_owner.new_limit_owner(name, "r", view, links, lambda: TABLE)

    async def handle(message):
        owner.relinquish(message.entry)
        return agent_messages.Acknowledgement(1)

    network.listen(f"{name}:1", handle)
    nursery.start_soon(owner.run_handover)
    return owner


def _rank_names():
    first, second = rendezvous.rank(KEY, ["a", "b"])
    return first, second


async def _request_lease(owner):
    request = agent_messages.LeaseRequest(KEY, "x", limit_owner.KIND_RATE, 5.0)
    return (await owner.handle_lease_request(request)).granted


def test_a_new_owner_grants_only_after_the_handover():
    first, second = _rank_names()

    async def run():
        async with trio.open_nursery() as nursery:
            network = memory.Network(nursery)
            # The VM list of the old owner does not have the new one.
            old_owner = await _start_owner(nursery, network, second, [second])
            await trio.sleep(10)
            assert await _request_lease(old_owner) == 5.0
            network.cut(f"{first}:1", f"{second}:1")
            new_owner = await _start_owner(
                nursery, network, first, [first, second]
            )
            await trio.sleep(10)
            assert await _request_lease(new_owner) == 0.0
            assert await _request_lease(old_owner) == 5.0
            network.restore_links()
            await trio.sleep(1)
            # The old owner has handed over; its leases have not expired.
            assert await _request_lease(old_owner) == 0.0
            assert await _request_lease(new_owner) == 0.0
            await trio.sleep(limit_owner.SLOT_LEASE_S + 1)
            assert await _request_lease(new_owner) == 5.0
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_an_owner_grants_after_the_previous_one_leaves_the_list():
    first, second = _rank_names()

    async def run():
        async with trio.open_nursery() as nursery:
            network = memory.Network(nursery)
            names = [first, second]
            new_owner = await _start_owner(nursery, network, second, names)
            await trio.sleep(10)
            assert await _request_lease(new_owner) == 0.0
            names.remove(first)
            await trio.sleep(limit_owner.SLOT_LEASE_S + 2)
            assert await _request_lease(new_owner) == 5.0
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
