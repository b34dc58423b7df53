"""Choice of the backend server for a request in direct mode.

A filter drops servers that are leaving, already tried or full. Among the
rest the lowest cost in milliseconds wins: the predicted wait, the network
cost between data centres and regions, the saving of a cached prefix, and the
delay of the streams that already run there.
"""

import math

import msgspec
import trio

from greengagetrack.process.direct.decisions import interference
from greengagetrack.process.direct import known_server
from greengagetrack.process.direct import linear_estimate
from greengagetrack.process.direct import rendezvous

# Before the first events of a service are seen.
EXPECTED_FIRST_EVENT_MS = 40.0
EXPECTED_PREFILL_MS_PER_TOKEN = 0.01
TYPICAL_PROMPT_TOKENS = 10_000
STEP_MS_PER_RUNNING_REQUEST = 2.0
REQUEST_MS_DEFAULT = 25.0
REGION_RTT_MS = 24.0
DATA_CENTRE_RTT_MS = 1.0
REGION_MS_PER_KB = 4.0
INPUT_MS_PER_MB = 30.0
RECOMPUTE_MS_PER_TOKEN = 0.08
RECOMPUTE_WINDOW_S = 8.0
SUSPECT_PENALTY_MS = 5000.0
FAILURE_PENALTY_MS = 400.0
PREFERRED_BONUS_MS = 10.0
PREFILL_MS_PER_TOKEN_MIN = 0.001
KB = 1000
MB = 1_000_000
# An entry uses at most 1/CONNECTIONS_DIVISOR of a server's connections.
CONNECTIONS_DIVISOR = 8
CONNECTIONS_MIN = 4


class Choice(msgspec.Struct, frozen=True):
    """The chosen server, its predicted cost and the candidate count.

    `inflicted_ms` is the part of the cost that others there pay.
    """

    server: known_server.KnownServer
    cost_ms: float
    wait_ms: float
    new_tokens: int
    candidates: int
    tokens_ahead: int = 0
    inflicted_ms: float = 0.0


class Chooser:
    """Chooses backend servers for the requests of one entry."""

    __slots__ = (
        "_data_centre",
        "_directory",
        "_first_event_by_service",
        "_get_catalog",
        "_recent_prompts_by_service",
        "_region_by_data_centre",
        "generator",
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
        self._first_event_by_service = {}
        self._recent_prompts_by_service = {}
        self._get_catalog = get_catalog
        self._data_centre = data_centre
        self._region_by_data_centre = region_by_data_centre
        self.generator = generator

    def choose_service(self, route, eligibility=None):
        """Return the name of a service of the route, drawn by weight.

        Services without a server where the request may go are left out,
        unless all are.
        """
        if len(route.services) == 1:
            return route.services[0].service
        services = [
            service
            for service in route.services
            if self._has_place(service.service, eligibility)
        ]
        services = services or route.services
        weights = [service.weight for service in services]
        if not any(weights):
            return services[0].service
        return self.generator.choices(services, weights)[0].service

    def _has_place(self, service, eligibility):
        if eligibility is None or eligibility.allowed_regions is None:
            return True
        return any(
            eligibility.is_allowed_place(server.published.data_centre)
            for server in self._directory.get_known(service)
        )

    def choose_server(
        self,
        service,
        request,
        excluded=(),
        input_bytes=None,
        priority=0,
        patience_s=math.inf,
        software_version=None,
        eligibility=None,
    ):
        """Return the `Choice` of lowest cost, or None without candidates.

        `input_bytes` maps each data centre to the bytes of the request's
        inputs that are stored there. A server at its limit is a candidate
        if a request of the priority gets a permit within `patience_s`. With a
        `software_version`, no others are candidates, and with an
        `Eligibility` none that it excludes.
        """
        choices = self.predict_choices(
            service,
            request,
            excluded,
            input_bytes,
            priority,
            patience_s,
            software_version,
            eligibility,
        )
        if not choices:
            return None
        self.generator.shuffle(choices)
        best = min(choices, key=lambda choice: choice.cost_ms)
        if request.prompt_tokens:
            self._get_recent_prompts(service).record(
                best.new_tokens, trio.current_time()
            )
        return msgspec.structs.replace(best, candidates=len(choices))

    def predict_choices(
        self,
        service,
        request,
        excluded=(),
        input_bytes=None,
        priority=0,
        patience_s=math.inf,
        software_version=None,
        eligibility=None,
    ):
        """Return a `Choice` for each candidate of `choose_server`.

        Nothing is recorded, so it may also be asked without a request to
        send.
        """
        servers = [
            server
            for server in self._get_candidates(
                service, excluded, software_version, eligibility
            )
            if server.limit.get_wait_s(priority) <= patience_s
        ]
        if not servers:
            return []
        preferred = _get_preferred_server(servers, request.parts)
        recent_tokens = self._count_recently_cached_tokens(
            servers, request.parts
        )
        choices = [
            self._predict(
                server, request, input_bytes or {}, preferred, recent_tokens
            )
            for server in servers
        ]
        return [_add_permit_wait(choice, priority) for choice in choices]

    def has_other(
        self,
        service,
        excluded,
        priority,
        patience_s,
        software_version,
        eligibility=None,
    ):
        """Return whether a server is there that nothing speaks against."""
        return any(
            server.limit.get_wait_s(priority) <= patience_s
            and not server.is_suspect()
            for server in self._get_candidates(
                service, excluded, software_version, eligibility
            )
        )

    def is_any_warming(self, service, excluded, eligibility=None):
        """Return whether a server of a service is warming."""
        return any(
            server.limit.is_warming
            for server in self._get_candidates(
                service, excluded, eligibility=eligibility
            )
        )

    def has_permit(
        self, service, excluded, priority, patience_s, eligibility=None
    ):
        """Return whether a server may give a permit within `patience_s`."""
        return any(
            server.limit.get_wait_s(priority) <= patience_s
            for server in self._get_candidates(
                service, excluded, eligibility=eligibility
            )
        )

    def is_limited(self, service, excluded, eligibility=None):
        """Return whether all servers of a service have limits."""
        servers = self._get_candidates(
            service, excluded, eligibility=eligibility
        )
        return bool(servers) and all(
            server.limit.per_s is not None for server in servers
        )

    def get_permit_wait_s(self, service, excluded, priority, eligibility=None):
        """Return the shortest wait for a permit, 0 if none is needed."""
        waits = [
            server.limit.get_wait_s(priority)
            for server in self._get_candidates(
                service, excluded, eligibility=eligibility
            )
        ]
        return min(waits, default=0.0)

    def get_first_event_estimate(self, service):
        """Return the estimate of the time to the first event, in ms.

        Its units are the prompt tokens to prefill, those ahead included.
        """
        if service not in self._first_event_by_service:
            self._first_event_by_service[service] = (
                linear_estimate.new_linear_estimate(
                    EXPECTED_FIRST_EVENT_MS,
                    EXPECTED_PREFILL_MS_PER_TOKEN,
                    TYPICAL_PROMPT_TOKENS,
                )
            )
        return self._first_event_by_service[service]

    def _get_recent_prompts(self, service):
        if service not in self._recent_prompts_by_service:
            self._recent_prompts_by_service[service] = (
                interference.RecentPrompts()
            )
        return self._recent_prompts_by_service[service]

    def predict_first_event_s(self, service, request, eligibility=None):
        """Return the time to the first event at the likely server.

        That is the one with most of the prompt cached.
        """
        servers = self._get_candidates(service, (), eligibility=eligibility)
        if not servers:
            return 0.0
        server = max(
            servers,
            key=lambda server: server.count_cached_tokens(request.parts),
        )
        cached_tokens = server.count_cached_tokens(request.parts)
        new_tokens = max(request.prompt_tokens - cached_tokens, 0)
        wait_ms, _ahead = self._predict_wait(server, request, new_tokens)
        return wait_ms / 1000

    def _count_recently_cached_tokens(self, servers, parts):
        """Return the longest prefix, in tokens, that a server just cached."""
        since_s = trio.current_time() - RECOMPUTE_WINDOW_S
        return max(
            server.count_cached_tokens(parts[:-1], since_s)
            for server in servers
        )

    def has_servers(
        self, service, software_version, excluded=(), eligibility=None
    ):
        """Return whether servers of a software version are in service.

        They may all be full.
        """
        return any(
            server.lifetime.may_go_on(software_version)
            for server in self._directory.get_servers(service, eligibility)
            if server.server_id not in excluded
        )

    def _get_candidates(
        self, service, excluded, software_version=None, eligibility=None
    ):
        catalog = self._get_catalog()
        definition = catalog.service_by_name.get(service)
        limit = definition.connections_max if definition else CONNECTIONS_MIN
        limit = max(limit // CONNECTIONS_DIVISOR, CONNECTIONS_MIN)
        return [
            server
            for server in self._directory.get_servers(
                service, eligibility, software_version
            )
            if server.server_id not in excluded and server.outstanding < limit
        ]

    def _predict(self, server, request, input_bytes, preferred, recent_tokens):
        cached_tokens = server.count_cached_tokens(request.parts)
        new_tokens = max(request.prompt_tokens - cached_tokens, 0)
        wait_ms, tokens_ahead = self._predict_wait(server, request, new_tokens)
        cost_ms = wait_ms + self._get_network_ms(server, request)
        cost_ms += self._get_input_ms(server, input_bytes)
        # Charge for computing tokens again that another server just cached.
        recomputed_tokens = max(recent_tokens - cached_tokens, 0)
        cost_ms += recomputed_tokens * RECOMPUTE_MS_PER_TOKEN
        cost_ms += FAILURE_PENALTY_MS * server.failure_share
        if server.is_suspect():
            cost_ms += SUSPECT_PENALTY_MS
        if server is preferred:
            cost_ms -= PREFERRED_BONUS_MS
        inflicted_ms = self._get_inflicted_ms(server, new_tokens)
        cost_ms += inflicted_ms
        return Choice(
            server, cost_ms, wait_ms, new_tokens, 0, tokens_ahead, inflicted_ms
        )

    def _get_inflicted_ms(self, server, new_tokens):
        if not new_tokens:
            return 0.0
        service = server.published.service
        return interference.get_inflicted_ms(
            new_tokens,
            self._get_recent_prompts(service).get_mean_tokens(),
            server.count_running(),
            self.get_first_event_estimate(service).per_unit,
        )

    def _predict_wait(self, server, request, new_tokens):
        """Return the wait in ms and the prompt tokens ahead."""
        running = server.count_running()
        slots = max(server.published.slots, 1)
        if not request.prompt_tokens:
            request_ms = server.latency_ms or REQUEST_MS_DEFAULT
            return request_ms * (1 + running / slots), 0
        estimate = self.get_first_event_estimate(server.published.service)
        tokens_per_ms = 1 / max(estimate.per_unit, PREFILL_MS_PER_TOKEN_MIN)
        tokens_ahead = server.count_prefill_tokens(tokens_per_ms * 1000)
        wait_ms = estimate.predict(tokens_ahead + new_tokens)
        wait_ms += running * STEP_MS_PER_RUNNING_REQUEST
        # With all places taken, one has to end first.
        excess = max(running - slots + 1, 0)
        wait_ms += excess / slots * (server.latency_ms or 0.0)
        return wait_ms * server.slowness, tokens_ahead

    def _get_network_ms(self, server, request):
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
        remote_bytes = sum(
            size for place, size in input_bytes.items() if place != centre
        )
        return remote_bytes / MB * INPUT_MS_PER_MB


def _add_permit_wait(choice, priority):
    wait_s = choice.server.limit.get_wait_s(priority)
    if not wait_s:
        return choice
    cost_ms = choice.cost_ms + wait_s * 1000
    return msgspec.structs.replace(choice, cost_ms=cost_ms)


def _get_preferred_server(servers, parts):
    """Return the server that all entries compute for a prompt's prefix.

    The last part is specific to the request; the part before it ends the
    longest prefix that other requests may share.
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
