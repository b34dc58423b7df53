"""Whether an answer that was read from another process is complete.

The end of a body proves less than it seems to: a server that breaks off may
close its connection in an orderly way, or end a stream in the middle of an
event. Every reader of an answer asks here before it takes one for complete.

An answer may overtake its request. What ends while the request is still on
its way ends early: the server can't have read all that it answers.
"""

import msgspec

from greengagetrack.connection.http import framing as framing_module


class Sending(msgspec.Struct, frozen=True):
    """How far a request has come when its answer ends.

    `is_written` says that all of it was handed to the system. Of that, the
    system of the server has not received `unreceived_bytes`. `error` is what
    has happened to the connection, such as a reset.
    """

    is_written: bool
    unreceived_bytes: int = 0
    error: str = ""


def find_sending_problem(framing, sending):
    """Return why the end of a connection is no end of an answer, or "".

    A reset is told once: after the task that writes has heard of it, the
    one that reads finds an end like that of an orderly close. So the end of
    an answer without a length counts only if its request went all the way::

        sending = Sending(is_written=False)
        assert find_sending_problem(Framing.CONNECTION, sending)
        assert not find_sending_problem(Framing.LENGTH, sending)
    """
    if is_body_end_proven(framing):
        return ""
    if not sending.is_written:
        return "the connection closed before the request was written"
    if sending.error:
        return f"the connection closed, then: {sending.error}"
    if sending.unreceived_bytes:
        return "the connection closed before the request was received"
    return ""


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
