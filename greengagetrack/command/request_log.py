"""Collects the log lines of a request from several processes, in order."""

import msgspec


def parse_line(text):
    """Return the fields of a log line, or None if it has no JSON object.

    Text before the JSON, such as a time or a name that a log collector
    added, is ignored.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].strip())
    except msgspec.DecodeError:
        return None
    return fields if isinstance(fields, dict) else None


def find_lines(request_id, texts):
    """Return the fields of all lines about a request, oldest first."""
    lines = []
    for text in texts:
        # Most lines are about other requests; skip them without decoding.
        if request_id not in text:
            continue
        fields = parse_line(text)
        if fields is not None and _is_about(fields, request_id):
            lines.append(fields)
    return sorted(lines, key=lambda fields: fields.get("time", ""))


def _is_about(fields, request_id):
    if fields.get("request") == request_id:
        return True
    requests = fields.get("requests")
    if isinstance(requests, list) and request_id in requests:
        return True
    listed = fields.get("left_out_requests", {})
    return any(request_id in ids for ids in listed.values())


def format_line(fields):
    """Return the fields of a log line as text for display."""
    omitted = ("time", "level", "logger", "message", "process", "requests")
    details = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in omitted and value not in ("", None)
    )
    time = fields.get("time", "")[11:23]
    return f"{time} {fields.get('process', '')} {fields['message']}: {details}"
