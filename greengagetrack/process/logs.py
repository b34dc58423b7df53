"""JSON logging, and recent decisions for the administration API."""

import collections
import datetime
import logging
import os
import sys
import time

import msgspec

DECISIONS_MAX = 2000
LINES_PER_S = 300
LINES_BURST = 1500
RESERVED_FOR_WARNINGS = 500
UNWRITTEN_MAX_BYTES = 262144

_STANDARD_ATTRIBUTES = frozenset(
    vars(logging.makeLogRecord({})).keys() | {"message", "asctime"}
)


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

    If the reader stops reading, lines are dropped and requests continue. A
    part of the rate budget is reserved for warnings and errors. The next
    line that is written has the number of dropped lines in `left_out`.
    """

    def __init__(self, descriptor, now_s=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._now_s = now_s
        self._budget = float(LINES_BURST)
        self._refilled_s = now_s()
        self._dropped_lines = 0
        self._unwritten = b""

    def emit(self, record):
        """Write a record; drop it above the rate or buffer limit."""
        if not self._try_acquire(record.levelno >= logging.WARNING):
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            record.left_out = self._dropped_lines
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            # Who logs has work to do, and no better place to tell of this.
            self._dropped_lines += 1
            return
        self._dropped_lines = 0
        self._write(line)

    def _try_acquire(self, is_warning):
        now_s = self._now_s()
        refilled = self._budget + (now_s - self._refilled_s) * LINES_PER_S
        self._budget = min(LINES_BURST, refilled)
        self._refilled_s = now_s
        if self._budget < (1 if is_warning else RESERVED_FOR_WARNINGS):
            return False
        self._budget -= 1
        return True

    def _write(self, line):
        if len(self._unwritten) > UNWRITTEN_MAX_BYTES:
            self._dropped_lines += 1
        else:
            self._unwritten += line
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
