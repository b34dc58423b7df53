"""JSON logging, and recent decisions for the administration API."""

import collections
import datetime
import enum
import logging
import os
import sys
import time

import msgspec

from greengagetrack.process import left_out_lines

DECISIONS_MAX = 2000
LINES_PER_S = 300
LINES_BURST = 1500
UNWRITTEN_MAX_BYTES = 262144

# Decisions after which a request has no other line.
_OUTCOME_DECISIONS = frozenset(("refuse", "end", "close"))

_STANDARD_ATTRIBUTES = frozenset(
    vars(logging.makeLogRecord({})).keys() | {"message", "asctime"}
)


class Rank(enum.Enum):
    """How long a line is kept where not all can be written.

    `ROUTINE` lines tell of requests that go well, `OUTCOME` lines what became
    of one that was refused, failed or may have run. What callers send can't
    crowd out `ERROR` lines.
    """

    ROUTINE = enum.auto()
    EVENT = enum.auto()
    OUTCOME = enum.auto()
    ERROR = enum.auto()


# Of the burst and of the buffer, what lines of a rank may use.
_SHARES = {
    Rank.ROUTINE: 1 / 3,
    Rank.EVENT: 2 / 3,
    Rank.OUTCOME: 1.0,
    # A reserve beyond both, so that others leave room for errors.
    Rank.ERROR: 1.1,
}


def get_rank(record):
    """Return the `Rank` of a log record."""
    if record.levelno >= logging.ERROR:
        return Rank.ERROR
    if record.levelno >= logging.WARNING:
        if getattr(record, "decision", None) in _OUTCOME_DECISIONS:
            return Rank.OUTCOME
        return Rank.EVENT
    if hasattr(record, "request") or hasattr(record, "requests"):
        return Rank.ROUTINE
    return Rank.EVENT


def get_fields(record):
    """Return the fields of the JSON line of a log record."""
    created = datetime.datetime.fromtimestamp(
        record.created, datetime.timezone.utc
    )
    fields = {
        "time": created.isoformat(timespec="milliseconds"),
        "level": record.levelname,
        "logger": record.name,
        "message": record.getMessage(),
    }
    for name, value in vars(record).items():
        if name not in _STANDARD_ATTRIBUTES:
            fields[name] = value
    if record.exc_info:
        fields["exception"] = logging.Formatter().formatException(
            record.exc_info
        )
    return fields


class JsonFormatter(logging.Formatter):
    """A formatter that writes each record as one line of JSON."""

    def __init__(self, process):
        super().__init__()
        self._process = process

    def format(self, record):
        """Return the JSON line of a record."""
        fields = get_fields(record)
        fields["process"] = self._process
        return msgspec.json.encode(fields, enc_hook=str).decode()


class DecisionHandler(logging.Handler):
    """A handler that keeps the newest records on requests and decisions."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.records = collections.deque(maxlen=DECISIONS_MAX)

    def emit(self, record):
        """Keep a record that has a `decision` or a `request` field."""
        if hasattr(record, "decision") or hasattr(record, "request"):
            self.records.append(record)

    def get_recent(self, count):
        """Return the fields of the newest records, oldest first."""
        return [get_fields(record) for record in list(self.records)[-count:]]

    def get_request_log(self, request_id):
        """Return the fields of all kept records of a request, oldest first."""
        return [
            get_fields(record)
            for record in self.records
            if getattr(record, "request", None) == request_id
        ]


class BoundedHandler(logging.Handler):
    """A rate-limited handler that never blocks on its file descriptor.

    If the reader stops reading, lines are dropped and requests continue.
    What a rank may use of the rate and of the buffer grows with the rank.
    The next line that is written tells what was dropped.
    """

    def __init__(self, descriptor, now_s=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._now_s = now_s
        self._budget = float(LINES_BURST)
        self._refilled_s = now_s()
        self._left_out = left_out_lines.new_left_out_lines()
        self._unwritten = b""

    def get_left_out(self):
        """Return how many lines were dropped, by message."""
        return self._left_out.total_by_message

    def emit(self, record):
        """Write a record; drop it above the rate or buffer limit."""
        rank = get_rank(record)
        if not self._has_space(rank) or not self._try_acquire(rank):
            self._left_out.add(record, rank in (Rank.OUTCOME, Rank.ERROR))
            return
        self._left_out.describe_in(record)
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            # Who logs has work to do, and no better place to tell of this.
            self._left_out.add(record, is_listed=False)
            return
        self._left_out.clear()
        self._unwritten += line
        self._write()

    def _has_space(self, rank):
        if len(self._unwritten) <= UNWRITTEN_MAX_BYTES * _SHARES[rank]:
            return True
        # The reader may have read meanwhile.
        self._write()
        return len(self._unwritten) <= UNWRITTEN_MAX_BYTES * _SHARES[rank]

    def _try_acquire(self, rank):
        now_s = self._now_s()
        refilled = self._budget + (now_s - self._refilled_s) * LINES_PER_S
        self._budget = min(LINES_BURST, refilled)
        self._refilled_s = now_s
        reserved = LINES_BURST * (1 - _SHARES[rank])
        if self._budget < (reserved or 1):
            return False
        self._budget -= 1
        return True

    def _write(self):
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            # The reader is slow or has exited; the next line retries.
            return
        self._unwritten = self._unwritten[written:]


def set_up_bounded(process, level, descriptor=1):
    """Log JSON lines to a file descriptor, rate-limited and non-blocking."""
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(JsonFormatter(process))
    root = logging.getLogger("greengagetrack")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
    return handler


def set_up(process, level, stream=None):
    """Log JSON lines to `stream`; return the decision handler."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(process))
    decisions = DecisionHandler()
    root = logging.getLogger("greengagetrack")
    root.handlers = [handler, decisions]
    root.setLevel(level)
    root.propagate = False
    return decisions
