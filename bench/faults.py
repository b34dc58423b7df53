"""The faults of experiments: what happens, and when it is over."""

import trio

START_SHARE = 0.35
END_SHARE = 0.65
SLOW_FACTOR = 8.0
LOAD_SLOW_S = 12.0


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


async def _none(cluster, hold):
    await hold()


async def _engine_kill(cluster, hold):
    victims = _get_engines(cluster)[:2]
    for server in victims:
        server.condition.is_dead = True
    await hold()
    for server in victims:
        server.condition.is_dead = False


async def _straggler(cluster, hold):
    victims = [_get_engines(cluster)[0], _get_pool(cluster, "encoders")[0]]
    for server in victims:
        server.condition.slow_factor = SLOW_FACTOR
    await hold()
    for server in victims:
        server.condition.slow_factor = 1.0


async def _pool_down(cluster, hold):
    victims = _get_pool(cluster, "retrievers")[:2]
    for server in victims:
        server.condition.is_dead = True
    await hold()
    for server in victims:
        server.condition.is_dead = False


async def _region_cut(cluster, hold):
    first, *others = cluster.deployment.regions
    for other in others:
        cluster.cut(first, other)
    await hold()
    cluster.heal()


async def _config_down(cluster, hold):
    cluster.platform.is_config_down = True
    cluster.platform.is_list_down = True
    await hold()
    cluster.platform.is_config_down = False
    cluster.platform.is_list_down = False


async def _pause(cluster, hold):
    engine = _get_engines(cluster)[0]
    node = cluster.node_by_name[f"{engine.name}-agent"]
    cluster.network.freeze(node.vm.address)
    engine.condition.is_stalled = True
    await hold()
    engine.condition.is_stalled = False
    cluster.network.thaw(node.vm.address)


async def _entry_restart(cluster, hold):
    cluster.restart_entry(cluster.deployment.regions[0])
    await hold()
    cluster.restart_entry(cluster.deployment.regions[0])


async def _weight_store_slow(cluster, hold):
    victims = _get_engines(cluster)[:2]
    for server in victims:
        server.condition.load_s = LOAD_SLOW_S
        server.model = ""
    await hold()
    for server in victims:
        server.condition.load_s = 0.0


FAULT_BY_NAME = {
    "none": _none,
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
    """Let a fault happen in the middle of a run of `duration_s`."""
    await trio.sleep(duration_s * START_SHARE)

    async def hold():
        await trio.sleep(duration_s * (END_SHARE - START_SHARE))

    await FAULT_BY_NAME[name](cluster, hold)
