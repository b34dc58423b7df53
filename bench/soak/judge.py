"""What must hold in a soak, judged from consumers and engines only."""

import collections

import msgspec

from bench.standins import site as site_module
from greengagetrack.platform import names

DRAIN_S = 2.5
LOST_SLACK_S = 0.2
SETTLE_S = 4.0
# What consumers give their requests.
DEADLINE_S = 2.5
SERVED_MIN = 0.9
ENGINE_HARMS = (
    "reset engine",
    "slow engine",
    "silent engine",
    "cut engine",
)
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Asked(msgspec.Struct):
    """One request as its consumer saw it."""

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


class Span(msgspec.Struct):
    """One fault that happened: what it touched, and when."""

    kind: str
    place: str
    start_s: float
    end_s: float

    def touches(self, start_s, end_s, margin_s=0.0):
        """Return whether the fault lies within a time, or near it."""
        return (
            self.start_s - margin_s <= end_s
            and start_s <= self.end_s + margin_s
        )


class Judge:
    """Compares what was asked with what ran."""

    def __init__(self):
        self.asked = []
        self.spans = []
        self.left_s_by_engine = {}
        self.revoked_s_by_key = {}
        self.broken = []

    def _is_harmed(self, words, start_s, end_s, margin_s=0.0, place=""):
        return any(
            any(word in span.kind for word in words)
            and (not place or span.place == place)
            and span.touches(start_s, end_s, margin_s)
            for span in self.spans
        )

    def judge(self, engines, revoke_s, quiet_from_s):
        """Return a line for each promise that was broken."""
        runs = collections.defaultdict(list)
        for engine in engines:
            for request_id, at_s, target in engine.run_log:
                runs[request_id].append((engine.engine_id, at_s, target))
        for asked in self.asked:
            own = runs.pop(asked.request_id, [])
            self._judge_runs(asked, own)
            self._judge_key(asked, own, revoke_s)
            self._judge_leaving(asked, own)
            self._judge_answer(asked)
            self._judge_lost(asked, own)
        for request_id, own in runs.items():
            self._add("UNASKED", request_id, f"{own}")
        for engine in engines:
            self._judge_pieces(engine)
        self._judge_recovery(quiet_from_s)
        return self.broken

    def _add(self, rule, request_id, detail):
        name = request_id.decode() if request_id else "-"
        self.broken.append(f"{rule} {name}: {detail}")

    def _judge_runs(self, asked, own):
        if any(target != asked.target for _engine, _at_s, target in own):
            self._add("UNASKED", asked.request_id, "another target")
        if asked.kind != "order":
            return
        if len(own) > 1:
            self._add("TWICE", asked.request_id, f"ran {own}")
        if own and asked.status in NOT_RUN_STATUSES:
            self._add("REFUSED", asked.request_id, f"{asked.status}, {own}")

    def _judge_key(self, asked, own, revoke_s):
        revoked_s = self.revoked_s_by_key.get(asked.key)
        if revoked_s is None or not own:
            return
        late_s = asked.sent_s - revoked_s - revoke_s
        if late_s > 0:
            self._add("REVOKED", asked.request_id, f"{late_s:.2f} s too late")

    def _judge_leaving(self, asked, own):
        for engine_id, at_s, _target in own:
            left_s = self.left_s_by_engine.get(engine_id)
            if left_s is None or asked.sent_s <= left_s + DRAIN_S:
                continue
            if self._is_harmed(("store", "unseen"), left_s, at_s, SETTLE_S):
                continue
            if self._is_harmed(("entry", "entries"), left_s, at_s, SETTLE_S):
                continue
            late_s = asked.sent_s - left_s
            self._add("DRAIN", asked.request_id, f"{late_s:.2f} s after")

    def _judge_answer(self, asked):
        if asked.status != 200:
            return
        if not asked.is_sealed:
            self._add("MIXED", asked.request_id, "200 without a seal")
        elif asked.body != _get_body(asked):
            self._add("MIXED", asked.request_id, f"body {asked.body[:80]}")

    def _judge_lost(self, asked, own):
        """Judge an answer that broke off where only work was planned."""
        is_late = asked.ended_s - asked.sent_s > LOST_SLACK_S
        if asked.status != 0 or not (own or is_late):
            return
        is_over = asked.ended_s - asked.sent_s >= DEADLINE_S
        if asked.kind == "draft" and is_over:
            # A stream that began can only be cut when its time is over.
            return
        time = (asked.sent_s, asked.ended_s)
        if self._is_harmed(ENGINE_HARMS, *time, margin_s=1.0):
            return
        if self._is_harmed(("kill all",), *time, margin_s=1.0):
            return
        harms = ("kill", "freeze")
        if self._is_harmed(harms, *time, margin_s=1.0, place=asked.entry):
            return
        self._add("LOST", asked.request_id, f"at {asked.entry}")

    def _judge_pieces(self, engine):
        for request_id, inputs in engine.inputs_by_request.items():
            if not inputs:
                continue
            handles = [
                handle.partition("/")[2]
                for handle in inputs.decode().split(",")
            ]
            expected = [f"{request_id.decode()}-1-{n}" for n in range(3)]
            if handles != expected:
                self._add("MIXED", request_id, f"inputs {handles}")

    def _judge_recovery(self, quiet_from_s):
        last = [each for each in self.asked if each.sent_s > quiet_from_s]
        served = sum(
            each.status == 200 or each.key in self.revoked_s_by_key
            for each in last
        )
        if served < SERVED_MIN * len(last) or not last:
            self._add("RECOVER", b"", f"{served} of {len(last)} at the end")

    def trace(self, request_id):
        """Return the faults around a request, for its trace."""
        for asked in self.asked:
            if asked.request_id == request_id:
                return [
                    f"{span.kind} {span.place} {span.start_s:.2f}"
                    for span in self.spans
                    if span.touches(asked.sent_s, asked.ended_s, SETTLE_S)
                ]
        return []


def _get_body(asked):
    """Return the only body that a whole answer may have."""
    if asked.kind != "draft":
        method = b"GET " if asked.kind == "stock" else b"POST "
        return method + asked.target
    return b"".join(
        b"id: %d\ndata: %s\n\n" % (number, asked.request_id)
        for number in range(1, site_module.EVENTS + 1)
    )


def is_sealed(headers):
    """Return whether an answer bears an engine's seal."""
    return any(name.lower() == names.SEAL.lower() for name, _v in headers)
