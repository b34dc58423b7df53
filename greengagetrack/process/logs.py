"""Logs as JSON lines, and the recent decisions for administration."""

import collections
import datetime
import logging
import sys

import msgspec

DECISIONS_MAX = 2000

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
