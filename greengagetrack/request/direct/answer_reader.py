"""Reads the answer of one attempt to its end, and judges how it went."""

from greengagetrack.connection import answer_end
from greengagetrack.connection import gateway
from greengagetrack.request import outcome

RESPONSE_MAX_BYTES = 8 * 1024 * 1024
# An event after this time shows that the begin of an answer went well.
SOUND_AFTER_S = 0.1

_Reason = outcome.Reason
_Ran = outcome.Ran


class AnswerReader:
    """The answer of one attempt and what it says of its server."""

    __slots__ = ("_answer", "_attempt", "_patience", "_request", "_services")

    def __init__(self, services, request, attempt, answer, patience):
        self._services = services
        self._request = request
        self._attempt = attempt
        self._answer = answer
        self._patience = patience

    async def read_body(self):
        """Return the whole body, a `Failure`, or `Unknown` if too long."""
        parts, size = [], 0
        while True:
            part = await self._answer.receive_part()
            if isinstance(part, gateway.Failure):
                return part
            if part is None:
                failure = await self.check_server()
                return failure or b"".join(parts)
            parts.append(part)
            size += len(part)
            if size > RESPONSE_MAX_BYTES:
                return outcome.Unknown(
                    _Reason.BACKEND_FAILED, "answer exceeds the size limit"
                )

    async def receive_part(self, progress_s, has_begun):
        """Return bytes of a stream, None at its end, or a `Failure`.

        `progress_s` is when the last event came, or the head of the answer
        if `has_begun` is false.
        """
        part = await self._patience.receive_part(
            self._answer.receive_part, progress_s, has_begun
        )
        if part is None:
            part = await self.check_server()
        return part

    async def check_server(self):
        """Return a `Failure` if the end of the answer may be a crash."""
        if answer_end.is_body_end_proven(self._answer.framing):
            return None
        checks = self._services.lifetime_checks
        if await checks.is_going_on(self._attempt.server):
            return None
        return gateway.Failure(
            _Reason.BACKEND_FAILED,
            _Ran.UNKNOWN,
            "the connection closed and the server may have crashed",
        )

    def record_progress(self, progress_s):
        """Record an event at `progress_s`."""
        if progress_s >= self._attempt.begun_s + SOUND_AFTER_S:
            self.record_sound()

    def record_sound(self):
        """Record once that the answer goes well."""
        if not self._attempt.is_sound:
            self._attempt.is_sound = True
            self._services.crash_guard.record_sound(self._request)

    def record_whole(self):
        """Record that the answer came to its end."""
        self.record_sound()
        self._services.crash_guard.record_whole(self._request)


def new_answer_reader(services, request, attempt, answer, patience):
    """Return a reader of the answer of an attempt.

    `patience` is that of the run, with a server that sends nothing.
    """
    return AnswerReader(services, request, attempt, answer, patience)
