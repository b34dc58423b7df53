"""Whether an answer that was read from another process is complete.

The end of a body proves less than it seems to: a server that breaks off may
close its connection in an orderly way, or end a stream in the middle of an
event. Every reader of an answer asks here before it takes one for complete.
"""

from greengagetrack.connection.http import framing as framing_module


def is_body_end_proven(framing):
    """Return whether the framing alone proves that a body is complete.

    Without this proof the server is asked whether it is still in the same
    lifetime: one that crashed has closed its connections in the same way.
    """
    return framing is not framing_module.Framing.CONNECTION


def find_stream_problem(framing, splitter):
    """Return why a stream that has ended is incomplete, or "".

    `splitter` is the `EventSplitter` that has received all of its body::

        splitter.feed(b"id: 1\\ndata: x\\n\\nid: 2\\nda")
        assert find_stream_problem(Framing.CHUNKS, splitter)
    """
    if splitter.is_inside_event():
        return "the stream ended inside an event"
    if not is_body_end_proven(framing) and not splitter.event_count:
        return "the connection closed before the first event"
    return ""


def find_framing_problem(read_framing, sent_framing):
    """Return why the end of an answer can't be passed on, or "".

    A resumed stream is sent with the framing of its first answer. The end
    of a later one must prove as much.
    """
    if is_body_end_proven(read_framing) or not is_body_end_proven(
        sent_framing
    ):
        return ""
    return "the connection closed, which doesn't prove an end"
