"""Logs as JSON lines, and the recent decisions for administration."""

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
FAILURES_RESERVED = 500
UNWRITTEN_MAX_BYTES = 262144

_STANDARD = frozenset(
    vars(logging.makeLogRecord({})).keys() | {"message", "asctime"}
)


def get_fields(record):
    """Return the fields of a log record, as they are written."""
    moment = datetime.datetime.fromtimestamp(
        record.created, datetime.timezone.utc
    )
    fields = {
        "time": moment.isoformat(timespec="milliseconds"),
        "level": record.levelname,
        "logger": record.name,
        "message": record.getMessage(),
    }
    for name, value in vars(record).items():
        if name not in _STANDARD:
            fields[name] = value
    if record.exc_info:
        fields["exception"] = logging.Formatter().formatException(
            record.exc_info
        )
    return fields


class JsonFormatter(logging.Formatter):
    """Writes each record as one line of JSON."""

    def __init__(self, process):
        super().__init__()
        self._process = process

    def format(self, record):
        """Return the line of a record."""
        fields = get_fields(record)
        fields["process"] = self._process
        return msgspec.json.encode(fields, enc_hook=str).decode()


class DecisionHandler(logging.Handler):
    """Keeps the newest log lines about requests and decisions."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.records = collections.deque(maxlen=DECISIONS_MAX)

    def emit(self, record):
        """Keep a record that tells of a decision or of a request."""
        if hasattr(record, "decision") or hasattr(record, "request"):
            self.records.append(record)

    def get_recent(self, count):
        """Return the fields of the newest records, oldest first."""
        return [get_fields(record) for record in list(self.records)[-count:]]

    def get_story(self, request_id):
        """Return the fields of all kept records about a request."""
        return [
            get_fields(record)
            for record in self.records
            if getattr(record, "request", None) == request_id
        ]


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor, bounded and never waiting.

    A reader that stops reading costs lines, not requests. Failures have a
    part of the budget to themselves, and what was left out is counted in
    the next line that goes out.
    """

    def __init__(self, descriptor, now_s=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._now_s = now_s
        self._budget = float(LINES_BURST)
        self._filled_s = now_s()
        self._left_out = 0
        self._unwritten = b""

    def emit(self, record):
        """Write a record if the budget and the reader allow it."""
        if not self._take(record.levelno >= logging.WARNING):
            self._left_out += 1
            return
        if self._left_out:
            record.left_out = self._left_out
            self._left_out = 0
        self._write(self.format(record).encode() + b"\n")

    def _take(self, is_failure):
        now_s = self._now_s()
        grown = self._budget + (now_s - self._filled_s) * LINES_PER_S
        self._budget = min(LINES_BURST, grown)
        self._filled_s = now_s
        if self._budget < (1 if is_failure else FAILURES_RESERVED):
            return False
        self._budget -= 1
        return True

    def _write(self, line):
        if len(self._unwritten) > UNWRITTEN_MAX_BYTES:
            self._left_out += 1
        else:
            self._unwritten += line
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            # The reader is slow or gone: later lines try again.
            return
        self._unwritten = self._unwritten[written:]


def set_up_bounded(process, level, descriptor=1):
    """Log JSON lines to a file descriptor, bounded and never waiting."""
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor)
    handler.setFormatter(JsonFormatter(process))
    root = logging.getLogger("greengagetrack")
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
    return handler


def set_up(process, level, stream=None):
    """Log JSON lines to `stream`; return the handler of decisions."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(process))
    decisions = DecisionHandler()
    root = logging.getLogger("greengagetrack")
    root.handlers = [handler, decisions]
    root.setLevel(level)
    root.propagate = False
    return decisions
