"""Puts a request's log lines of several processes together in order."""

import msgspec


def read_line(text):
    """Return the fields of a log line, or None if it is none.

    What stands before the JSON (a time or a name that a collector added)
    is passed over.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:].strip())
    except msgspec.DecodeError:
        return None
    return fields if isinstance(fields, dict) else None


def find_story(request_id, texts):
    """Return the fields of all lines about a request, oldest first."""
    story = []
    for text in texts:
        # Most lines are about others: they need no decoding.
        if request_id not in text:
            continue
        fields = read_line(text)
        if fields is not None and _is_about(fields, request_id):
            story.append(fields)
    return sorted(story, key=lambda fields: fields.get("time", ""))


def _is_about(fields, request_id):
    if fields.get("request") == request_id:
        return True
    return request_id in fields.get("requests", ())


def tell_line(fields):
    """Return one line of a story as text for a person."""
    left_out = ("time", "level", "logger", "message", "process", "requests")
    rest = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in left_out and value not in ("", None)
    )
    moment = fields.get("time", "")[11:23]
    return f"{moment} {fields.get('process', '')} {fields['message']}: {rest}"
