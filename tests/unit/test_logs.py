"""Which log lines are kept where not all can be written."""

import collections
import json
import logging
import os

import pytest

from greengagetrack.command import request_log
from greengagetrack.process import left_out_lines
from greengagetrack.process import logs

REFUSED = {
    "level": logging.WARNING,
    "msg": "request refused",
    "decision": "refuse",
    "outcome": "draining",
}
CHOSEN = {
    "level": logging.INFO,
    "msg": "server chosen",
    "decision": "route",
}
FAILED = {
    "level": logging.WARNING,
    "msg": "attempt failed",
    "decision": "attempt",
}
SUSPECTED = {
    "level": logging.INFO,
    "msg": "server suspected",
    "decision": "suspect",
}


class Log:
    """A handler on a pipe, on a clock that a test sets."""

    def __init__(self):
        self.now_s = 0.0
        self._reader, writer = os.pipe()
        os.set_blocking(self._reader, False)
        os.set_blocking(writer, False)
        self.handler = logs.BoundedHandler(writer, lambda: self.now_s)
        self.handler.setFormatter(logs.JsonFormatter("p"))
        self._data = b""

    def emit(self, fields, request=None):
        fields = dict(fields)
        if request is not None:
            fields["request"] = request
        fields["levelno"] = fields["level"]
        fields["levelname"] = logging.getLevelName(fields.pop("level"))
        self.handler.handle(logging.makeLogRecord(fields))

    def receive(self):
        """Read what was written, which may end within a line."""
        try:
            while data := os.read(self._reader, 1 << 20):
                self._data += data
        except BlockingIOError:
            pass

    def read(self):
        """Read what was written; return the fields of all lines so far."""
        self.receive()
        return [json.loads(line) for line in self._data.splitlines()]


def emit(log, fields, request=None):
    log.emit(fields, request)
    log.receive()


def emit_and_read(log, fields, request=None):
    log.emit(fields, request)
    return log.read()


@pytest.mark.parametrize(
    "fields",
    [
        REFUSED,
        REFUSED | {"msg": "request ended", "decision": "end"},
        REFUSED | {"msg": "closed", "decision": "close"},
        REFUSED
        | {
            "msg": "unforeseen error",
            "decision": "contain",
            "level": logging.ERROR,
        },
    ],
)
@pytest.mark.parametrize("others", [CHOSEN, FAILED, SUSPECTED])
def test_fate_of_a_request_is_written_after_a_flood(fields, others):
    log = Log()
    for number in range(3 * logs.LINES_BURST):
        emit(log, others, f"o{number}")
    written = len(log.read())
    for number in range(logs.LINES_BURST // 3):
        emit(log, fields, f"r{number}")
    lines = log.read()[written:]
    assert [line["request"] for line in lines] == [
        f"r{number}" for number in range(logs.LINES_BURST // 3)
    ]
    assert lines[0]["left_out"] == 3 * logs.LINES_BURST - written
    assert lines[0]["left_out_by_message"] == {
        others["msg"]: lines[0]["left_out"]
    }
    assert "left_out" not in lines[1]


@pytest.mark.parametrize("event", [FAILED, SUSPECTED])
def test_event_is_written_after_a_flood_of_routine_lines(event):
    log = Log()
    for number in range(3 * logs.LINES_BURST):
        emit(log, CHOSEN, f"o{number}")
    request = "r" if event is FAILED else None
    assert emit_and_read(log, event, request)[-1]["message"] == event["msg"]


def test_refusals_above_the_rate_are_listed_by_outcome():
    log = Log()
    count = 3 * logs.LINES_BURST
    for number in range(count):
        fields = REFUSED | {"outcome": "draining" if number % 3 else "no"}
        emit(log, fields, f"r{number}")
    assert len(log.read()) == logs.LINES_BURST
    log.now_s += 1.0
    line = emit_and_read(log, CHOSEN | {"msg": "next"}, "o")[-1]
    # A routine line waits for more of the budget than that.
    assert line["request"] == f"r{logs.LINES_BURST - 1}"
    line = emit_and_read(log, REFUSED, "last")[-1]
    assert line["request"] == "last"
    listed = line["left_out_requests"]
    expected = collections.defaultdict(list)
    for number in range(logs.LINES_BURST, count):
        outcome = "draining" if number % 3 else "no"
        expected[f"request refused {outcome}"].append(f"r{number}")
    assert listed == expected
    assert line["left_out_by_message"] == {
        "request refused": count - logs.LINES_BURST,
        "next": 1,
    }
    texts = [json.dumps(line) for line in log.read()]
    for number in range(0, count, 7):
        assert len(request_log.find_lines(f"r{number}", texts)) == 1


def test_listed_ids_are_bounded_and_the_rest_is_counted():
    log = Log()
    ids = ["x" * 4000 + str(number) for number in range(9)]
    for _number in range(logs.LINES_BURST):
        emit(log, REFUSED, "r")
    for request_id in (*ids, "\xe9"):
        emit(log, REFUSED, request_id)
    log.now_s += 1.0
    line = emit_and_read(log, REFUSED, "last")[-1]
    (listed,) = line["left_out_requests"].values()
    assert listed == ids[: left_out_lines.LISTED_MAX_BYTES // 4001]
    assert line["left_out"] == len(ids) + 1


def test_outcome_that_may_have_run_is_listed_as_such():
    lines = left_out_lines.new_left_out_lines()
    record = logging.makeLogRecord(
        {
            "msg": "request ended",
            "request": "r",
            "outcome": "unknown",
            "reason": "backend_failed",
            "may_have_run": True,
        }
    )
    lines.add(record, is_listed=True)
    following = logging.makeLogRecord({})
    lines.describe_in(following)
    assert following.left_out_requests == {
        "request ended unknown backend_failed may_have_run": ["r"]
    }


def test_stalled_reader_loses_no_count_and_routine_lines_first():
    log = Log()
    # Each second there is rate for all lines; only the buffer is short.
    text = "x" * 2000
    for number in range(400):
        log.now_s += 1.0
        log.emit(CHOSEN | {"text": text}, f"o{number}")
    for number in range(40):
        log.now_s += 1.0
        log.emit(REFUSED | {"text": text}, f"r{number}")
    assert len(log.handler._unwritten) <= logs.UNWRITTEN_MAX_BYTES
    for number in range(8):
        # The pipe takes a part of the buffer each time.
        log.receive()
        log.now_s += 1.0
        log.emit(FAILED, f"f{number}")
    lines = log.read()
    left_out = sum(line.get("left_out", 0) for line in lines)
    written = collections.Counter(line["message"] for line in lines)
    total = log.handler.get_left_out()
    assert written["request refused"] == 40
    assert total["server chosen"] == 400 - written["server chosen"] > 0
    assert left_out == total.total()


def test_flood_of_refusals_of_a_stalled_reader_is_told_later():
    log = Log()
    text = "x" * 2000
    for number in range(400):
        log.now_s += 1.0
        log.emit(REFUSED | {"text": text}, f"r{number}")
    dropped = log.handler.get_left_out()["request refused"]
    assert dropped > 0
    for _number in range(8):
        log.receive()
        log.now_s += 1.0
        log.emit(REFUSED, "last")
    texts = [json.dumps(line) for line in log.read()]
    for number in range(400):
        assert len(request_log.find_lines(f"r{number}", texts)) == 1


def test_refusals_leave_room_for_errors_of_the_process():
    """What a caller sent crowded out the trace of an error."""
    log = Log()
    for number in range(2 * logs.LINES_BURST):
        emit(log, REFUSED, f"r{number}")
    error = {"level": logging.ERROR, "msg": "unforeseen error"}
    lines = emit_and_read(log, error)
    assert lines[-1]["message"] == "unforeseen error"


@pytest.mark.parametrize(
    ("fields", "rank"),
    [
        ({"request": "r"}, logs.Rank.ROUTINE),
        ({"requests": ["r"]}, logs.Rank.ROUTINE),
        ({"request_count": 3}, logs.Rank.EVENT),
    ],
)
def test_line_that_counts_requests_is_no_routine_line(fields, rank):
    """The line 'stopped' was among the first to be dropped."""
    record = logging.makeLogRecord({"levelno": logging.INFO, **fields})
    assert logs.get_rank(record) is rank


def test_line_with_a_number_of_requests_is_no_line_about_one():
    """The log of a version before could not be searched."""
    line = json.dumps({"message": "stopped", "requests": 3})
    assert request_log.find_lines("r", [line]) == []
