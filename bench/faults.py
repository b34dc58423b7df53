"""The faults of experiments on a mock clock, and when they occur."""

import trio

# When a fault starts and ends, as a share of the run.
START_SHARE = 0.35
END_SHARE = 0.65
SLOW_FACTOR = 8.0
SLOW_LOAD_S = 12.0


def _get_engines(cluster):
    names = {
        service.name
        for service in cluster.deployment.services
        if service.kind == "engine"
    }
    return [
        server
        for server in cluster.server_by_name.values()
        if server.service in names
    ]


def _get_pool(cluster, name):
    return [
        server
        for server in cluster.server_by_name.values()
        if server.service == name
    ]


async def _no_fault(cluster, wait):
    await wait()


async def _engine_kill(cluster, wait):
    servers = _get_engines(cluster)[:2]
    for server in servers:
        server.condition.is_dead = True
    await wait()
    for server in servers:
        server.condition.is_dead = False


async def _straggler(cluster, wait):
    servers = [_get_engines(cluster)[0], _get_pool(cluster, "encoders")[0]]
    for server in servers:
        server.condition.slow_factor = SLOW_FACTOR
    await wait()
    for server in servers:
        server.condition.slow_factor = 1.0


async def _pool_down(cluster, wait):
    servers = _get_pool(cluster, "retrievers")[:2]
    for server in servers:
        server.condition.is_dead = True
    await wait()
    for server in servers:
        server.condition.is_dead = False


async def _region_cut(cluster, wait):
    first, *others = cluster.deployment.regions
    for other in others:
        cluster.cut(first, other)
    await wait()
    cluster.restore_links()


async def _config_down(cluster, wait):
    cluster.platform.is_config_down = True
    cluster.platform.is_list_down = True
    await wait()
    cluster.platform.is_config_down = False
    cluster.platform.is_list_down = False


async def _pause(cluster, wait):
    engine = _get_engines(cluster)[0]
    node = cluster.node_by_name[f"{engine.name}-agent"]
    cluster.network.freeze(node.vm.address)
    engine.condition.is_stalled = True
    await wait()
    engine.condition.is_stalled = False
    cluster.network.thaw(node.vm.address)


async def _entry_restart(cluster, wait):
    cluster.restart_entry(cluster.deployment.regions[0])
    await wait()
    cluster.restart_entry(cluster.deployment.regions[0])


async def _weight_store_slow(cluster, wait):
    servers = _get_engines(cluster)[:2]
    for server in servers:
        server.condition.load_s = SLOW_LOAD_S
        server.model = ""
    await wait()
    for server in servers:
        server.condition.load_s = 0.0


FAULT_BY_NAME = {
    "none": _no_fault,
    "engine-kill": _engine_kill,
    "straggler": _straggler,
    "pool-down": _pool_down,
    "region-cut": _region_cut,
    "config-down": _config_down,
    "pause": _pause,
    "entry-restart": _entry_restart,
    "weight-store-slow": _weight_store_slow,
}


async def inject(name, cluster, duration_s):
    """Inject a fault in the middle of a run of `duration_s`."""
    await trio.sleep(duration_s * START_SHARE)

    async def wait():
        await trio.sleep(duration_s * (END_SHARE - START_SHARE))

    await FAULT_BY_NAME[name](cluster, wait)
