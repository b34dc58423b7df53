"""What a planned stop may cut, and what it may not.

A request without a whole answer is excused only if its engine was still at
work in the last part of the grace, on a request that came early in it; or if
the entry had not read it when it closed the connection.
"""

import math

import msgspec

DEADLINE_S = 8.0
# A request that was sent later than this must not be cut.
EXCUSED_SENT_S = 3.0
# Its engine has to be at work in the last part of the grace.
EXCUSED_SHARE = 5 / 6
# A request that the entry has read has its answer or is passed on by then.
READ_SLACK_S = 0.2
# A connection that a stop has closed may be noticed so much later.
NOTICE_SLACK_S = 0.5
NO_ANSWER = 0


class RequestRecord(msgspec.Struct):
    """One request: when its last byte was sent, and what came of it.

    `status` is `NO_ANSWER` unless a whole answer came. `is_behind` says that
    it was sent right after another request, before the answer to that one.
    """

    request_id: bytes
    kind: str
    way: str
    entry: str
    work_s: float
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = NO_ANSWER
    is_behind: bool = False


class EngineRun(msgspec.Struct):
    """One run of a request at an engine; `end_s` is when it ended."""

    start_s: float
    end_s: float = math.inf


class StopSpan(msgspec.Struct):
    """One planned stop of an entry."""

    entry: str
    signal_s: float
    exit_s: float = math.inf
    exit_code: int | None = None


class StopsResult(msgspec.Struct):
    """The JSON result of a run.

    `excused` requests were cut as they may be, `broken` says which were not.
    `exit_codes` are those of the stopped processes.
    """

    seed: int
    grace_s: float
    requests: int
    served: int
    refused: int
    failed: int
    excused: int
    exit_codes: list[int | None]
    exit_s: list[float]
    broken: list[str]


class StopChecker:
    """Judges the requests of callers by the runs of engines.

    `engines` have the runs of each request as `runs_by_request`.
    """

    def __init__(self, engines, grace_s):
        self._engines = engines
        self._grace_s = grace_s
        self.records = []
        self.stops = []

    def check(self, seed):
        """Return the `StopsResult` of all requests."""
        broken = []
        excused = 0
        for record in self.records:
            runs = self._find_runs(record.request_id)
            is_unsafe = record.kind == "order"
            if is_unsafe and len(runs) > 1:
                broken.append(f"TWICE {record}")
            if is_unsafe and runs and record.status == 503:
                broken.append(f"REFUSED {record} {runs}")
            if record.status != NO_ANSWER or not record.sent_s:
                continue
            verdict = self._judge_cut(record, runs)
            excused += verdict == "excused"
            if verdict == "lost":
                broken.append(f"LOST {self._describe(record, runs)}")
        statuses = [record.status for record in self.records]
        return StopsResult(
            seed=seed,
            grace_s=self._grace_s,
            requests=len(statuses),
            served=statuses.count(200),
            refused=statuses.count(503),
            failed=statuses.count(502) + statuses.count(504),
            excused=excused,
            exit_codes=[span.exit_code for span in self.stops],
            exit_s=[
                round(span.exit_s - span.signal_s, 2) for span in self.stops
            ],
            broken=broken,
        )

    def _find_runs(self, request_id):
        return [
            run
            for engine in self._engines
            for run in engine.runs_by_request.get(request_id, ())
        ]

    def _find_stop(self, record):
        """Return the stop during which a request was cut, or None."""
        for span in self.stops:
            if span.entry == record.entry:
                if (
                    span.signal_s
                    <= record.ended_s
                    <= span.exit_s + NOTICE_SLACK_S
                ):
                    return span
        return None

    def _judge_cut(self, record, runs):
        """Return `lost` or `excused` for a request without an answer."""
        span = self._find_stop(record)
        is_slow = record.ended_s - record.sent_s > READ_SLACK_S
        if not runs and (record.is_behind or not is_slow):
            # The entry hadn't read it when it closed the connection.
            return "unread"
        if record.ended_s - record.sent_s >= DEADLINE_S:
            return "excused"
        if span is None:
            return "lost"
        last_part_s = span.signal_s + self._grace_s * EXCUSED_SHARE
        was_at_work = any(run.end_s >= last_part_s for run in runs)
        is_early = record.sent_s <= span.signal_s + EXCUSED_SENT_S
        return "excused" if was_at_work and is_early else "lost"

    def _describe(self, record, runs):
        span = self._find_stop(record)
        since_s = span.signal_s if span is not None else 0.0
        ends = [round(run.end_s - since_s, 2) for run in runs]
        return (
            f"{record.request_id.decode()}: {record.kind} {record.way} of "
            f"{record.work_s} s at {record.entry}, sent "
            f"{record.sent_s - since_s:.2f} s and closed "
            f"{record.ended_s - since_s:.2f} s after the signal, "
            f"ends of its runs {ends}"
        )
