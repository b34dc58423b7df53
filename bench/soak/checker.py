"""Checks of a soak, from what consumers and engines observed."""

import collections

import msgspec

from bench.standins import site as site_module
from greengagetrack.platform import names

# Requests sent this long after an engine left must not run on it.
DRAIN_LIMIT_S = 2.5
# A request that fails sooner, without a run, counts as never accepted.
FAST_FAILURE_S = 0.2
FAULT_MARGIN_S = 4.0
# The deadline that consumers send with their requests.
DEADLINE_S = 2.5
MIN_SERVED_SHARE = 0.9
# So many streams may hold events of two software versions.
JOINED_MAX = 2
# Of the engines whose versions change.
SOFTWARE_VERSIONS = frozenset(("v1", "v2"))
ENGINE_FAULTS = (
    "reset engine",
    "slow engine",
    "silent engine",
    "cut engine",
    "break engine",
)
STREAM_FAULTS = (*ENGINE_FAULTS, "swap engines", "crash engines")
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class RequestRecord(msgspec.Struct):
    """A request and its response, as its consumer saw them."""

    request_id: bytes
    kind: str
    target: bytes
    key: str
    entry: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_sealed: bool = False
    body: bytes = b""


class FaultSpan(msgspec.Struct):
    """An injected fault: its target and when it was active."""

    kind: str
    target_name: str
    start_s: float
    end_s: float

    def overlaps(self, start_s, end_s, margin_s=0.0):
        """Return whether the fault overlaps a period widened by a margin."""
        return (
            self.start_s - margin_s <= end_s
            and start_s <= self.end_s + margin_s
        )


class Checker:
    """Compares the requests of consumers with the runs of engines."""

    def __init__(self):
        self.requests = []
        self.fault_spans = []
        self.departure_s_by_engine = {}
        self.revoked_s_by_key = {}
        self.violations = []
        self._joined = []

    def _overlaps_fault(
        self, fault_words, start_s, end_s, margin_s=0.0, target_name=""
    ):
        return any(
            any(fault_word in span.kind for fault_word in fault_words)
            and (not target_name or span.target_name == target_name)
            and span.overlaps(start_s, end_s, margin_s)
            for span in self.fault_spans
        )

    def check(self, engines, revoke_s, recovery_start_s):
        """Return a line for each violation of a rule."""
        runs_by_request = collections.defaultdict(list)
        for engine in engines:
            for request_id, at_s, target in engine.run_log:
                runs_by_request[request_id].append(
                    (engine.engine_id, at_s, target)
                )
        for request in self.requests:
            runs = runs_by_request.pop(request.request_id, [])
            self._check_runs(request, runs)
            self._check_key(request, runs, revoke_s)
            self._check_leaving(request, runs)
            self._check_answer(request)
            self._check_lost(request, runs)
        for request_id, runs in runs_by_request.items():
            self._add_violation("UNASKED", request_id, f"{runs}")
        for engine in engines:
            self._check_pieces(engine)
        self._check_joined()
        self._check_recovery(recovery_start_s)
        return self.violations

    def _add_violation(self, rule, request_id, detail):
        name = request_id.decode() if request_id else "-"
        self.violations.append(f"{rule} {name}: {detail}")

    def _check_runs(self, request, runs):
        if any(target != request.target for _engine, _at_s, target in runs):
            self._add_violation(
                "UNASKED", request.request_id, "ran with another target"
            )
        if request.kind != "order":
            return
        if len(runs) > 1:
            self._add_violation("TWICE", request.request_id, f"ran {runs}")
        if runs and request.status in NOT_RUN_STATUSES:
            self._add_violation(
                "REFUSED", request.request_id, f"{request.status}, {runs}"
            )

    def _check_key(self, request, runs, revoke_s):
        revoked_s = self.revoked_s_by_key.get(request.key)
        if revoked_s is None or not runs:
            return
        delay_s = request.sent_s - revoked_s - revoke_s
        if delay_s > 0:
            self._add_violation(
                "REVOKED",
                request.request_id,
                f"{delay_s:.2f} s after the revocation limit",
            )

    def _check_leaving(self, request, runs):
        for engine_id, at_s, _target in runs:
            departure_s = self.departure_s_by_engine.get(engine_id)
            if (
                departure_s is None
                or request.sent_s <= departure_s + DRAIN_LIMIT_S
            ):
                continue
            if self._overlaps_fault(
                ("store", "unseen"), departure_s, at_s, FAULT_MARGIN_S
            ):
                continue
            if self._overlaps_fault(
                ("entry", "entries"), departure_s, at_s, FAULT_MARGIN_S
            ):
                continue
            delay_s = request.sent_s - departure_s
            self._add_violation(
                "DRAIN",
                request.request_id,
                f"{delay_s:.2f} s after the engine left",
            )

    def _check_answer(self, request):
        if request.status != 200:
            return
        if not request.is_sealed:
            self._add_violation(
                "MIXED", request.request_id, "200 without a seal"
            )
        elif not _has_expected_body(request):
            self._add_violation(
                "MIXED", request.request_id, f"body {request.body[:80]}"
            )
        elif request.kind == "draft" and len(set(_get_versions(request))) > 1:
            self._joined.append(request)

    def _check_joined(self):
        """Check that streams went on at the version that began them."""
        if len(self._joined) <= JOINED_MAX:
            return
        for request in self._joined:
            self._add_violation(
                "ORDER", request.request_id, f"{_get_versions(request)}"
            )

    def _check_lost(self, request, runs):
        """Check that a connection broke only where a fault explains it."""
        is_slow_failure = request.ended_s - request.sent_s > FAST_FAILURE_S
        if request.status != 0 or not (runs or is_slow_failure):
            return
        is_past_deadline = request.ended_s - request.sent_s >= DEADLINE_S
        if request.kind == "draft" and is_past_deadline:
            # A started stream can only be cut off at its deadline.
            return
        period = (request.sent_s, request.ended_s)
        engine_faults = (
            STREAM_FAULTS if request.kind == "draft" else ENGINE_FAULTS
        )
        if self._overlaps_fault(engine_faults, *period, margin_s=1.0):
            return
        if self._overlaps_fault(("kill all",), *period, margin_s=1.0):
            return
        entry_faults = ("kill", "freeze")
        if self._overlaps_fault(
            entry_faults, *period, margin_s=1.0, target_name=request.entry
        ):
            return
        self._add_violation("LOST", request.request_id, f"at {request.entry}")

    def _check_pieces(self, engine):
        for request_id, inputs in engine.inputs_by_request.items():
            if not inputs:
                continue
            pieces = [
                site_module.get_piece_name(handle)
                for handle in inputs.decode().split(",")
            ]
            expected = [f"{request_id.decode()}-1-{n}" for n in range(3)]
            if pieces != expected:
                self._add_violation("MIXED", request_id, f"inputs {pieces}")

    def _check_recovery(self, recovery_start_s):
        last_requests = [
            request
            for request in self.requests
            if request.sent_s > recovery_start_s
        ]
        served = sum(
            request.status == 200 or request.key in self.revoked_s_by_key
            for request in last_requests
        )
        if served < MIN_SERVED_SHARE * len(last_requests) or not last_requests:
            self._add_violation(
                "RECOVER", b"", f"{served} of {len(last_requests)} at the end"
            )

    def get_nearby_faults(self, request_id):
        """Return the faults that were active around a request."""
        for request in self.requests:
            if request.request_id == request_id:
                return [
                    f"{span.kind} {span.target_name} {span.start_s:.2f}"
                    for span in self.fault_spans
                    if span.overlaps(
                        request.sent_s, request.ended_s, FAULT_MARGIN_S
                    )
                ]
        return []


def _has_expected_body(request):
    """Return whether a complete response has a body that it may have."""
    if request.kind != "draft":
        method = b"GET " if request.kind == "stock" else b"POST "
        return request.body == method + request.target
    versions = _get_versions(request)
    if len(versions) != site_module.EVENT_COUNT:
        return False
    if not SOFTWARE_VERSIONS.issuperset(versions):
        return False
    return request.body == b"".join(
        site_module.new_event(number, request.request_id, version)
        for number, version in enumerate(versions, 1)
    )


def _get_versions(request):
    """Return the software version of each event of a stream."""
    events = request.body.split(b"\n\n")[:-1]
    return [event.split(b" ")[-1].decode() for event in events]


def is_sealed(headers):
    """Return whether a response has the seal of an engine."""
    return any(name.lower() == names.SEAL.lower() for name, _v in headers)
