"""What an entry knows of one backend server."""

import logging
import math

import trio

from greengagetrack.process.direct.decisions import eligibility
from greengagetrack.process.direct import lifetime as lifetime_module
from greengagetrack.process.direct import server_limit
from greengagetrack.process.direct import told_load
from greengagetrack.request import outcome

SUSPECT_STEP_S = 1.0
SUSPECT_MAX_S = 4.0
FAILURE_WEIGHT = 0.2
EJECT_FAILURE_SHARE = 0.45
EJECT_S = 2.5
LATENCY_WEIGHT = 0.2
REPORTED_LOAD_MAX_AGE_S = 2.6
SLOWNESS_MIN = 0.5
SLOWNESS_MAX = 6.0
CACHED_PARTS_MAX = 2000

_Reason = outcome.Reason
_log = logging.getLogger(__name__)


class KnownServer:
    """One server: its published record and its observed state."""

    __slots__ = (
        "failure_share",
        "cached_part_times",
        "last_success_s",
        "latency_ms",
        "lifetime",
        "limit",
        "outstanding",
        "paused_until_s",
        "prefill_tokens",
        "published",
        "removal_due_s",
        "reported_loads",
        "slowness",
        "suspect_until_s",
        "told_load",
        "unreachable_count",
    )

    def __init__(self, published):
        self.published = published
        self.lifetime = lifetime_module.new_lifetime(published)
        self.outstanding = 0
        self.prefill_tokens = 0
        self.failure_share = 0.0
        self.latency_ms = None
        self.last_success_s = -math.inf
        self.slowness = 1.0
        self.suspect_until_s = 0.0
        self.paused_until_s = 0.0
        self.limit = server_limit.new_server_limit()
        self.told_load = told_load.ToldLoad()
        self.unreachable_count = 0
        self.removal_due_s = None
        self.cached_part_times = {}
        self.reported_loads = {}

    @property
    def server_id(self):
        """Return the id under which the server is published."""
        return self.published.server_id

    def find_exclusion(self):
        """Return why the server may get no new work at all, or None."""
        if self.published.is_leaving:
            return eligibility.Exclusion.LEAVING
        now = trio.current_time()
        if self.removal_due_s is not None and self.removal_due_s <= now:
            return eligibility.Exclusion.REMOVED
        if now < self.paused_until_s:
            return eligibility.Exclusion.PAUSED
        return None

    async def wait_until_unpaused(self):
        """Wait for the end of a pause that the server has asked for."""
        while trio.current_time() < self.paused_until_s:
            await trio.sleep_until(self.paused_until_s)

    def is_suspect(self):
        """Return whether other servers are preferred at present."""
        return trio.current_time() < self.suspect_until_s

    def update_reported_load(
        self, reporter, running, prefill_tokens, reported_s
    ):
        """Record the load that a peer or a data centre reports."""
        self.reported_loads[reporter] = (reported_s, running, prefill_tokens)

    def count_running(self):
        """Return the number of outstanding requests of all entries."""
        since_s = trio.current_time() - REPORTED_LOAD_MAX_AGE_S
        return self.outstanding + sum(
            running
            for reported_s, running, _tokens in self.reported_loads.values()
            if reported_s > since_s
        )

    def count_prefill_tokens(self, tokens_per_s):
        """Return the number of prompt tokens still to be prefilled.

        Reported tokens are assumed to be processed at `tokens_per_s`.
        """
        now = trio.current_time()
        total = self.prefill_tokens
        for reported_s, _running, tokens in self.reported_loads.values():
            total += max(tokens - (now - reported_s) * tokens_per_s, 0)
        return total

    def update_slowness(self, spent_ms, predicted_ms):
        """Update the ratio of the observed to the predicted latency."""
        ratio = min(max(spent_ms / predicted_ms, SLOWNESS_MIN), SLOWNESS_MAX)
        self.slowness += (ratio - self.slowness) * LATENCY_WEIGHT

    def record_success(self, spent_ms):
        """Record a complete answer."""
        self.last_success_s = trio.current_time()
        self.unreachable_count = 0
        self.failure_share *= 1 - FAILURE_WEIGHT
        if self.latency_ms is None:
            self.latency_ms = spent_ms
        change = (spent_ms - self.latency_ms) * LATENCY_WEIGHT
        self.latency_ms += change

    def record_failure(self):
        """Record an answer that failed or broke off."""
        self.failure_share += (1 - self.failure_share) * FAILURE_WEIGHT
        if self.failure_share > EJECT_FAILURE_SHARE:
            self._mark_suspect(EJECT_S)
            # Below the threshold, so that the next answers decide whether
            # it is ejected again.
            self.failure_share = EJECT_FAILURE_SHARE * 0.7

    def record_failed_call(self, failure):
        """Record a call that returned no usable answer."""
        if failure.is_missing_version or failure.is_full:
            return
        if self.limit.is_warming and failure.reason is _Reason.AGENT_SILENT:
            # It is slow, which says nothing of how sound it is.
            return
        if failure.is_unreachable() or failure.ran is outcome.Ran.UNKNOWN:
            self.lifetime.doubt()
        if failure.is_unreachable():
            self.record_unreachable()
        else:
            self.record_failure()

    def record_warmed_up(self):
        """Forget how slow the server was while it was warming."""
        self.slowness = 1.0

    def record_unreachable(self):
        """Record that the server can't be reached."""
        self.unreachable_count += 1
        pause_s = min(SUSPECT_STEP_S * self.unreachable_count, SUSPECT_MAX_S)
        self._mark_suspect(pause_s)

    def _mark_suspect(self, pause_s):
        self.suspect_until_s = trio.current_time() + pause_s
        _log.info(
            "server suspected",
            extra={
                "decision": "suspect",
                "server": self.server_id,
                "pause_s": pause_s,
                "failure_share": round(self.failure_share, 2),
            },
        )

    def record_cached_parts(self, parts):
        """Record the prompt parts that the server has cached from now on."""
        for part_id, _tokens in parts:
            self.record_cached_part(part_id)

    def record_cached_part(self, part_id):
        """Record a prompt part that the server has cached from now on."""
        self.cached_part_times.pop(part_id, None)
        self.cached_part_times[part_id] = trio.current_time()
        while len(self.cached_part_times) > CACHED_PARTS_MAX:
            self.cached_part_times.pop(next(iter(self.cached_part_times)))

    def count_cached_tokens(self, parts, since_s=0.0):
        """Return the number of leading tokens cached since `since_s`."""
        cached_tokens = 0
        for part_id, tokens in parts:
            if self.cached_part_times.get(part_id, -1.0) < since_s:
                break
            cached_tokens += tokens
        return cached_tokens
