"""One entry's use of all servers that make the pieces of a pool."""

import trio

from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct import server_usage as server_usage_module

FAILURE_SHARE_MAX = 0.3


class ServerUsages:
    """The `ServerUsage` of each server of a service in a data centre.

    `get_batch_max()` returns the most pieces of a call.
    """

    __slots__ = (
        "_data_centre",
        "_directory",
        "_get_batch_max",
        "_service",
        "usage_by_id",
    )

    def __init__(self, service, data_centre, directory, get_batch_max):
        self._service = service
        self._data_centre = data_centre
        self._directory = directory
        self._get_batch_max = get_batch_max
        self.usage_by_id = {}

    def count_calls(self):
        """Return the number of calls in flight."""
        return sum(
            usage.calls_in_flight for usage in self.usage_by_id.values()
        )

    def get_unsuspected(self):
        """Return the usage of each server not suspected, best first."""
        usages = [
            self.get(server)
            for server in self._directory.get_servers(self._service)
            if server.published.data_centre == self._data_centre
        ]
        usages = [usage for usage in usages if not usage.server.is_suspect()]
        usages.sort(key=_get_sort_key)
        return usages

    def get(self, server):
        """Return the usage of a server, a new one after its restart."""
        usage = self.usage_by_id.get(server.server_id)
        if usage is None or usage.server is not server:
            usage = server_usage_module.ServerUsage(
                server, self._get_batch_max()
            )
            self.usage_by_id[server.server_id] = usage
        return usage

    def drop_unused(self):
        """Remove the usages of removed servers without calls in flight."""
        server_by_id = self._directory.server_by_id
        for server_id, usage in list(self.usage_by_id.items()):
            if server_id not in server_by_id and not usage.calls_in_flight:
                del self.usage_by_id[server_id]


def _get_sort_key(usage):
    server = usage.server
    return (
        server.failure_share > FAILURE_SHARE_MAX,
        usage.used_bytes,
        server.server_id,
    )


def get_forecast(usages, batching):
    """Return the forecast, from now on, of a queue for some servers."""
    now = trio.current_time()
    round_s = batching.get_call_s(batching.batch_max)
    return forecast.QueueForecast(
        next_free_s=min(usage.get_wait_s(now, round_s) for usage in usages),
        pieces_per_round=max(
            sum(usage.count_per_round(round_s) for usage in usages), 1.0
        ),
        round_s=round_s,
        start_s=batching.call_ms / 1000,
    )


def new_server_usages(service, data_centre, directory, get_batch_max):
    """Return the usages of a pool, none yet."""
    return ServerUsages(service, data_centre, directory, get_batch_max)
