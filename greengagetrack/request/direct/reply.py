"""The way an answer goes back to the caller, whatever its protocol."""

import abc


class Reply(abc.ABC):
    """Takes one answer: whole at once, or as a stream of events.

    A reply that was started and never finished reaches the caller as cut.
    """

    is_started = False

    @abc.abstractmethod
    async def send_whole(self, status, headers, body):
        """Send an answer that is complete."""

    @abc.abstractmethod
    async def start(self, status, headers):
        """Send the head of a stream."""

    @abc.abstractmethod
    async def send_part(self, data):
        """Send bytes of the stream."""

    @abc.abstractmethod
    async def finish(self):
        """Say that the stream is complete."""
