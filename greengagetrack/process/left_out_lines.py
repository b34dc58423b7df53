"""What is kept of log lines that were not written."""

import collections

# Of all ids that are kept between two lines that are written.
LISTED_MAX_BYTES = 16384


class LeftOutLines:
    """Lines that were dropped since the last one that was written.

    They are counted by message. Of a line that tells what became of a
    request, the id and the outcome are kept as well, up to a limit. In the
    next line, `left_out_requests` lists the ids by message and outcome; the
    lines counted beyond these have no name in the log.
    """

    __slots__ = (
        "_count_by_message",
        "_ids_by_outcome",
        "_listed_bytes",
        "total_by_message",
    )

    def __init__(self):
        self.total_by_message = collections.Counter()
        self.clear()

    def clear(self):
        """Start anew, after a line that told what was left out."""
        self._count_by_message = collections.Counter()
        self._ids_by_outcome = {}
        self._listed_bytes = 0

    def add(self, record, is_listed):
        """Count a line, and keep the id of its request if `is_listed`."""
        # Messages are constants of the program, so there are few.
        self._count_by_message[record.msg] += 1
        self.total_by_message[record.msg] += 1
        request_id = getattr(record, "request", "")
        if is_listed and request_id:
            self._list(record, request_id)

    def _list(self, record, request_id):
        # A caller may send an id of any length and with any byte.
        listed_bytes = self._listed_bytes + len(request_id)
        if listed_bytes > LISTED_MAX_BYTES or not request_id.isascii():
            return
        self._listed_bytes = listed_bytes
        outcome = _describe_outcome(record)
        self._ids_by_outcome.setdefault(outcome, []).append(request_id)

    def describe_in(self, record):
        """Add to a record that will be written what was left out."""
        if not self._count_by_message:
            return
        record.left_out = self._count_by_message.total()
        record.left_out_by_message = dict(self._count_by_message)
        if self._ids_by_outcome:
            record.left_out_requests = self._ids_by_outcome


def _describe_outcome(record):
    """Return the message of a record and what became of its request."""
    values = (
        getattr(record, name, "") for name in ("outcome", "reason", "status")
    )
    words = [record.msg, *(str(value) for value in values if value)]
    if getattr(record, "may_have_run", False):
        words.append("may_have_run")
    return " ".join(words)


def new_left_out_lines():
    """Return an empty record of lines that were left out."""
    return LeftOutLines()
