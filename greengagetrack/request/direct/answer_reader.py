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

    __slots__ = (
        "_answer",
        "_attempt",
        "_held",
        "_patience",
        "_request",
        "_services",
    )

    def __init__(self, services, request, attempt, answer, patience):
        self._services = services
        self._request = request
        self._attempt = attempt
        self._answer = answer
        self._patience = patience
        self._held = services.held_bytes.new_answer(attempt.server.server_id)

    async def read_body(self):
        """Return the whole body, or a `Failure`.

        The body is held until `release` is called.
        """
        body = bytearray()
        while len(body) <= RESPONSE_MAX_BYTES:
            part = await self._answer.receive_part()
            if isinstance(part, gateway.Failure):
                return part
            if part is None:
                return await self.check_server() or bytes(body)
            body += part
            failure = self.hold(len(body))
            if failure is not None:
                return failure
        return _new_failure("answer exceeds the size limit")

    def hold(self, size):
        """Hold so many bytes of the answer; return a `Failure` if too many."""
        if self._held.resize(size):
            return None
        return _new_failure("no room for more bytes of answers")

    def release(self):
        """Hold no bytes of the answer any more."""
        self._held.resize(0)

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
        if not await checks.is_going_on(self._attempt.server):
            return _new_failure(
                "the connection closed and the server may have crashed"
            )
        # It may have been reset meanwhile.
        problem = self._answer.find_end_problem()
        return _new_failure(problem) if problem else None

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


def _new_failure(detail):
    return gateway.Failure(_Reason.BACKEND_FAILED, _Ran.UNKNOWN, detail)


def new_answer_reader(services, request, attempt, answer, patience):
    """Return a reader of the answer of an attempt.

    `patience` is that of the run, with a server that sends nothing.
    """
    return AnswerReader(services, request, attempt, answer, patience)
