"""The faults of experiments: what happens, and when it is over."""

import trio

START_SHARE = 0.35
END_SHARE = 0.65
SLOW_FACTOR = 8.0
LOAD_SLOW_S = 12.0


def _get_engines(world):
    names = {
        size.name
        for size in world.deployment.services
        if size.kind == "engine"
    }
    return [
        server
        for server in world.server_by_name.values()
        if server.service in names
    ]


def _get_pool(world, name):
    return [
        server
        for server in world.server_by_name.values()
        if server.service == name
    ]


async def _none(world, hold):
    await hold()


async def _engine_kill(world, hold):
    victims = _get_engines(world)[:2]
    for server in victims:
        server.condition.is_dead = True
    await hold()
    for server in victims:
        server.condition.is_dead = False


async def _straggler(world, hold):
    victims = [_get_engines(world)[0], _get_pool(world, "encoders")[0]]
    for server in victims:
        server.condition.slow_factor = SLOW_FACTOR
    await hold()
    for server in victims:
        server.condition.slow_factor = 1.0


async def _pool_down(world, hold):
    victims = _get_pool(world, "retrievers")[:2]
    for server in victims:
        server.condition.is_dead = True
    await hold()
    for server in victims:
        server.condition.is_dead = False


async def _region_cut(world, hold):
    first, *others = world.deployment.regions
    for other in others:
        world.cut(first, other)
    await hold()
    world.heal()


async def _config_down(world, hold):
    world.platform.is_config_down = True
    world.platform.is_list_down = True
    await hold()
    world.platform.is_config_down = False
    world.platform.is_list_down = False


async def _pause(world, hold):
    engine = _get_engines(world)[0]
    node = world.node_by_name[f"{engine.name}-agent"]
    world.network.freeze(node.vm.address)
    engine.condition.is_stalled = True
    await hold()
    engine.condition.is_stalled = False
    world.network.thaw(node.vm.address)


async def _entry_restart(world, hold):
    world.restart_entry(world.deployment.regions[0])
    await hold()
    world.restart_entry(world.deployment.regions[0])


async def _weight_store_slow(world, hold):
    victims = _get_engines(world)[:2]
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


async def inject(name, world, duration_s):
    """Let a fault happen in the middle of a run of `duration_s`."""
    await trio.sleep(duration_s * START_SHARE)

    async def hold():
        await trio.sleep(duration_s * (END_SHARE - START_SHARE))

    await FAULT_BY_NAME[name](world, hold)
