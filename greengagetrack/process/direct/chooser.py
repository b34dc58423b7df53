"""Chooses the backend server of a request that the entry calls itself.

First a filter (known, not leaving, not tried, not full), then the lowest
cost in milliseconds among the rest: the predicted wait, what crossing
data centres or regions costs, and what a held prompt prefix saves.
"""

import msgspec
import trio

from greengagetrack.process.direct import directory as directory_module
from greengagetrack.process.direct import rendezvous

PREFILL_TOKENS_PER_MS = 100.0
STEP_MS_PER_RUNNING = 2.0
FIRST_TOKEN_MS = 40.0
PLAIN_MS_DEFAULT = 25.0
REGION_RTT_MS = 24.0
DATA_CENTRE_RTT_MS = 1.0
REGION_MS_PER_KB = 4.0
INPUT_MS_PER_MB = 30.0
SHARED_MS_PER_TOKEN = 0.08
SHARED_WINDOW_S = 8.0
SUSPECT_PENALTY_MS = 5000.0
FAILURE_PENALTY_MS = 400.0
HOME_BONUS_MS = 10.0
KB = 1000
MB = 1_000_000
CONNECTION_SHARE = 8
CONNECTIONS_MIN = 4


class Choice(msgspec.Struct, frozen=True):
    """A server, what was predicted for it, and how many there were."""

    server: directory_module.KnownServer
    cost_ms: float
    wait_ms: float
    new_tokens: int
    candidates: int


class Chooser:
    """Chooses servers for the entry in one data centre."""

    __slots__ = (
        "_data_centre",
        "_directory",
        "_get_catalog",
        "_random",
        "_region_by_data_centre",
    )

    def __init__(
        self,
        directory,
        get_catalog,
        data_centre,
        region_by_data_centre,
        generator,
    ):
        self._directory = directory
        self._get_catalog = get_catalog
        self._data_centre = data_centre
        self._region_by_data_centre = region_by_data_centre
        self._random = generator

    def choose_service(self, route):
        """Return the name of one of a route's services, by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        if not any(weights):
            return route.shares[0].service
        return self._random.choices(route.shares, weights)[0].service

    def choose(self, service, request, excluded=(), input_bytes=None):
        """Return the best `Choice`, or None if no server may be asked.

        `input_bytes` tells how many bytes of the request's inputs lie in
        each data centre.
        """
        servers = self._get_candidates(service, excluded)
        if not servers:
            return None
        home = _get_home(servers, request.parts)
        recent = self._count_recent_tokens(servers, request.parts)
        choices = [
            self._predict(server, request, input_bytes or {}, home, recent)
            for server in servers
        ]
        self._random.shuffle(choices)
        best = min(choices, key=lambda choice: choice.cost_ms)
        return Choice(
            best.server,
            best.cost_ms,
            best.wait_ms,
            best.new_tokens,
            len(servers),
        )

    def _count_recent_tokens(self, servers, parts):
        """Return the most leading tokens that one server read lately."""
        since_s = trio.current_time() - SHARED_WINDOW_S
        return max(
            server.count_held_tokens(parts[:-1], since_s) for server in servers
        )

    def _get_candidates(self, service, excluded):
        catalog = self._get_catalog()
        known = catalog.service_by_name.get(service)
        most = known.connections_max if known else CONNECTIONS_MIN
        most = max(most // CONNECTION_SHARE, CONNECTIONS_MIN)
        return [
            server
            for server in self._directory.get_servers(service)
            if server.server_id not in excluded and server.outstanding < most
        ]

    def _predict(self, server, request, input_bytes, home, recent_tokens):
        held = server.count_held_tokens(request.parts)
        new_tokens = max(request.prompt_tokens - held, 0)
        wait_ms = self._predict_wait_ms(server, request, new_tokens)
        cost_ms = wait_ms + self._get_distance_ms(server, request)
        cost_ms += self._get_input_ms(server, input_bytes)
        # Reading again what another server has just read is paid for.
        again = max(recent_tokens - held, 0)
        cost_ms += again * SHARED_MS_PER_TOKEN
        cost_ms += FAILURE_PENALTY_MS * server.failure_share
        if server.is_suspect():
            cost_ms += SUSPECT_PENALTY_MS
        if server is home:
            cost_ms -= HOME_BONUS_MS
        return Choice(server, cost_ms, wait_ms, new_tokens, 0)

    def _predict_wait_ms(self, server, request, new_tokens):
        running = server.count_running()
        if request.prompt_tokens:
            prefill = new_tokens + server.count_prefill_tokens(
                PREFILL_TOKENS_PER_MS * 1000
            )
            wait_ms = prefill / PREFILL_TOKENS_PER_MS + FIRST_TOKEN_MS
            wait_ms += running * STEP_MS_PER_RUNNING
            return wait_ms * server.slowness
        each_ms = server.latency_ms or PLAIN_MS_DEFAULT
        return each_ms * (1 + running / server.published.slots)

    def _get_distance_ms(self, server, request):
        centre = server.published.data_centre
        if centre == self._data_centre:
            return 0.0
        regions = self._region_by_data_centre
        if regions.get(centre) == regions.get(self._data_centre):
            return DATA_CENTRE_RTT_MS
        size_kb = len(request.body) / KB
        return REGION_RTT_MS + REGION_MS_PER_KB * size_kb

    def _get_input_ms(self, server, input_bytes):
        centre = server.published.data_centre
        far_bytes = sum(
            size for where, size in input_bytes.items() if where != centre
        )
        return far_bytes / MB * INPUT_MS_PER_MB


def _get_home(servers, parts):
    """Return the server that entries agree on for a prompt's prefix.

    The last part belongs to the request alone; the one before it is the
    longest that others may share.
    """
    if len(parts) < 2:
        return None
    part = parts[-2][0]
    return max(
        servers,
        key=lambda server: rendezvous.get_score(part, server.server_id),
    )


def new_chooser(
    directory,
    get_catalog,
    data_centre,
    region_by_data_centre,
    generator,
):
    """Return the chooser of the entry in `data_centre`."""
    return Chooser(
        directory,
        get_catalog,
        data_centre,
        region_by_data_centre,
        generator,
    )
