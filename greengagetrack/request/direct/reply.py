"""Interface to send an answer to a caller, for any protocol."""

import abc


class Reply(abc.ABC):
    """Receiver of one answer: complete, or as a stream of events.

    If a stream is started and never finished, the caller can tell that it
    is incomplete. `framing` is that of the server's answer; its caller's is
    no stronger, since it would vouch for what the server did not.
    """

    is_started = False

    @abc.abstractmethod
    def record_passed_on(self):
        """Record that the request may be sent to a server from now on."""

    @abc.abstractmethod
    async def send_whole(self, status, headers, body, framing):
        """Send a complete answer."""

    @abc.abstractmethod
    async def start(self, status, headers, framing):
        """Send the status and headers of a stream."""

    @abc.abstractmethod
    async def send_part(self, data):
        """Send bytes of the stream."""

    @abc.abstractmethod
    async def finish(self):
        """Mark the stream as complete."""
