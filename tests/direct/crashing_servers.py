"""Servers that crash on a part of a prompt, for tests on a mock clock."""

import trio

from greengagetrack.request import outcome
from tests.direct import fakes

DOWN_S = 3.0
PREFILL_S = 0.05
EVENT_INTERVAL_S = 0.03
EVENT_COUNT = 5


def new_parts(*shared, own="own"):
    """Return the parts of a prompt, the last of which isn't shared."""
    return tuple((part, 600) for part in (*shared, own))


class _CrashableAnswer(fakes.ScriptedAnswer):
    """A stream that breaks off when its server crashes."""

    def __init__(self, server, first):
        super().__init__(200, (), is_events=True)
        self._server = server
        self._lifetime = server.lifetime
        self._next = first

    async def receive_part(self):
        await trio.sleep(EVENT_INTERVAL_S)
        if self._server.lifetime != self._lifetime:
            return fakes.new_failure(outcome.Ran.UNKNOWN)
        if self._next > EVENT_COUNT:
            return None
        self._next += 1
        return b"id: %d\ndata: x\n\n" % (self._next - 1)


class _BrokenAnswer(fakes.ScriptedAnswer):
    """The answer that crashes its server: a head and half an event."""

    def __init__(self):
        parts = (b"id: 1\nda", 0.01, fakes.new_failure(outcome.Ran.UNKNOWN))
        super().__init__(200, parts, is_events=True)


class _Server:
    """The state of one server: its lifetime, and when it is up again."""

    def __init__(self):
        self.lifetime = 0
        self.up_from_s = 0.0

    def is_up(self):
        return trio.current_time() >= self.up_from_s

    def crash(self):
        self.lifetime += 1
        self.up_from_s = trio.current_time() + DOWN_S


class CrashingGateway(fakes.FakeGateway):
    """A gateway to servers that crash on `harmful_part` or `harmful_body`.

    All entries of a test share one. `crash_times` has the crashes that these
    have caused, `harmful_times` the requests with them that reached a
    server. Answers are streams unless `is_plain` is set.
    """

    def __init__(
        self,
        servers,
        harmful_part="harmful",
        harmful_body=b"harmful",
        is_plain=False,
    ):
        super().__init__()
        self.harmful_part = harmful_part
        self.harmful_body = harmful_body
        self.is_plain = is_plain
        self.parts_by_request = {}
        self.server_by_id = {server.server_id: _Server() for server in servers}
        self.crash_times = []
        self.harmful_times = []
        self.sound_count = 0

    async def open_answer(self, server, request):
        state = self.server_by_id[server.server_id]
        if not state.is_up():
            return fakes.new_failure(
                outcome.Ran.NO, is_connection_failure=True
            )
        parts = self.parts_by_request.get(request.request_id, ())
        is_harmful = (
            self.harmful_part in [part for part, _tokens in parts]
            or request.body == self.harmful_body
        )
        if is_harmful:
            self.harmful_times.append(trio.current_time())
        lifetime = state.lifetime
        await trio.sleep(PREFILL_S)
        if state.lifetime != lifetime:
            return fakes.new_failure(outcome.Ran.UNKNOWN)
        if is_harmful:
            self.crash(server.server_id)
            self.crash_times.append(trio.current_time())
            if self.is_plain:
                return fakes.new_failure(outcome.Ran.UNKNOWN)
            return _BrokenAnswer()
        self.sound_count += 1
        if self.is_plain:
            return fakes.ScriptedAnswer()
        first = int(request.resume_after or b"0") + 1
        return _CrashableAnswer(state, first)

    def crash(self, server_id):
        """Crash a server for `DOWN_S`."""
        self.server_by_id[server_id].crash()

    async def is_refusing(self, server):
        await trio.sleep(0.002)
        return not self.server_by_id[server.server_id].is_up()
