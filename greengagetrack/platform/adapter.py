"""The adapter that runs an entry in direct mode on the platform."""

from greengagetrack.connection import base
from greengagetrack.platform import callers
from greengagetrack.platform import engines
from greengagetrack.platform import names
from greengagetrack.platform import settings as settings_module
from greengagetrack.platform import store
from greengagetrack.process.direct import daemon
from greengagetrack.process.direct import entry as entry_module


class PlatformAdapter(daemon.Adapter):
    """The settings, addresses and connections of a `front` node."""

    __slots__ = ("_metrics_port", "_node", "_path", "_started_node")

    def __init__(self, path, node, metrics_port):
        self._path = path
        self._node = node
        self._started_node = node
        self._metrics_port = metrics_port

    def get_settings(self):
        """Return the `DirectSettings`."""
        node = self._node
        return entry_module.DirectSettings(
            name=node.node,
            data_centre=node.zone,
            peer_address=node.listen.control,
            seeds=tuple(filter(base.is_address, node.seeds)),
            region_by_data_centre=node.zones,
            key_bound_s=node.bounds.revoke_ms / 1000,
            budget_ratio=node.bounds.budget_ratio,
            budget_slack=node.bounds.budget_slack,
            budget_window_s=node.bounds.budget_window_s,
            change_bound_s=(
                min(node.bounds.drain_ms, node.bounds.config_apply_ms) / 1000
            ),
            cores=node.limits.cpu_share * node.limits.cores,
            memory_bytes=node.limits.memory_mb * 1e6,
            descriptors_max=node.limits.max_fds,
            warming_ratio=node.bounds.cold_over,
            warming_slack=node.bounds.cold_slack,
            evacuation_bound_s=node.bounds.get_evacuation_s(),
        )

    def get_caller_address(self):
        """Return the listen address for callers, HOST:PORT."""
        return self._node.listen.front

    def get_readiness_address(self):
        """Return the listen address for readiness checks, HOST:PORT."""
        return self._node.listen.ready

    def get_metrics_address(self):
        """Return the listen address for metrics, HOST:PORT."""
        return f"{self._node.ip}:{self._metrics_port}"

    def get_grace_s(self):
        """Return the seconds from the stop signal to the kill."""
        return self._node.bounds.grace_s

    def new_source(self, connection_pool):
        """Return the `Source` of the catalog and the servers."""
        return store.new_store_source(
            self._node.provider.address, connection_pool
        )

    def new_gateway(self, connection_pool):
        """Return the `Gateway` to the platform's engines."""
        return engines.new_engine_gateway(connection_pool)

    def get_request_id_field(self):
        """Return the field, in lowercase, that names a caller's request."""
        return names.REQUEST_ID.lower()

    async def serve_exchange(self, entry, exchange):
        """Serve one HTTP exchange of a caller."""
        await callers.serve_exchange(entry, exchange)

    async def serve_readiness(self, entry, exchange):
        """Answer a readiness check."""
        if exchange.target.partition(b"?")[0] != names.READY_PATH:
            await exchange.answer(404, [])
            return
        await exchange.answer(200 if entry.is_ready() else 503, [])

    def reload(self):
        """Reload the settings; return a `Reload`."""
        try:
            node = settings_module.read_node_file(self._path)
        except ValueError as error:
            return daemon.Reload(problem=str(error))
        before, self._node = self._node, node
        return daemon.Reload(
            settings_module.find_differences(
                before, node, settings_module.RELOADED_SETTINGS
            ),
            settings_module.find_differences(
                self._started_node, node, settings_module.START_SETTINGS
            ),
        )


def new_adapter(path, metrics_port):
    """Return the adapter that the node file at `path` describes."""
    node = settings_module.read_node_file(path)
    return PlatformAdapter(path, node, metrics_port)
