"""Stand-ins of backend servers: engines, stage pools, plain services.

Each can be told to be dead, fail, refuse, slow down, stall, be leaving or
to ignore fencing numbers; docs/ref/backends.md gives the protocol.
"""

import collections

import msgspec
import trio

from bench.standins import records as records_module

TOKENS_PER_LINE = 4
PREFIXES_MAX = 32
LOAD_LAG_S = 0.2


class Condition(msgspec.Struct):
    """What a stand-in was told to do."""

    is_dead: bool = False
    is_failing: bool = False
    is_refusing: bool = False
    is_stalled: bool = False
    is_leaving: bool = False
    ignores_fencing: bool = False
    slow_factor: float = 1.0
    load_s: float = 0.0


class CallBody(msgspec.Struct):
    """The body of a call or of a completion."""

    request_id: str
    input: dict
    priority: int = 0
    resume_from: int = 0
    budget_ms: int = 0


class Profile(msgspec.Struct, frozen=True):
    """How fast a stand-in is, and how much it takes at a time."""

    slots: int = 8
    call_ms: float = 20.0
    prefill_ms: float = 120.0
    token_ms: float = 10.0


class Dead(Exception):
    """The server is dead: the connection must break."""


class Server:
    """One backend server: slots, a queue by priority, and records."""

    def __init__(self, name, service, profile, records):
        self.name = name
        self.service = service
        self.profile = profile
        self.records = records
        self.condition = Condition()
        self.running = 0
        self.model = ""
        self.fencing = 0
        self.loads = 0
        self.last_call_s = 0.0
        self._waiting = []
        self._numbers = 0
        self._prefixes = collections.OrderedDict()
        self._events = []

    def get_load(self):
        """Return the load report."""
        return {
            "slots": self.profile.slots,
            "running": self.running,
            "is_leaving": self.condition.is_leaving,
            "model": self.model,
            "fencing": self.fencing,
        }

    def get_cache_events(self, after):
        """Return the cache events behind a number; old ones are gone."""
        first = max(after, len(self._events) - PREFIXES_MAX)
        return {
            "next": len(self._events),
            "has_gap": first > after,
            "events": self._events[first:],
        }

    def load_model(self, model, fencing):
        """Return whether the order to load a model was taken."""
        is_old = fencing <= self.fencing
        if is_old and not self.condition.ignores_fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        self.model = model
        self.loads += 1
        self._prefixes.clear()
        return True

    def has_model_for(self, body):
        """Return whether the model that a completion needs is loaded."""
        return body.input.get("model", "") in ("", self.model)

    def check_alive(self):
        """Break the connection of a server that is dead."""
        if self.condition.is_dead:
            raise Dead(self.name)

    async def _enter(self, priority):
        """Take a slot, the more important calls first."""
        if self.running < self.profile.slots and not self._waiting:
            self.running += 1
            return
        self._numbers += 1
        entry = (-priority, self._numbers, trio.Event())
        self._waiting.append(entry)
        self._waiting.sort(key=lambda each: each[:2])
        try:
            await entry[2].wait()
        except trio.Cancelled:
            if entry in self._waiting:
                self._waiting.remove(entry)
            else:
                self._leave()
            raise

    def _leave(self):
        if self._waiting:
            # The slot passes on to the next one that waits.
            self._waiting.pop(0)[2].set()
        else:
            self.running -= 1

    async def _work(self, duration_ms):
        """Spend time, longer if slowed and forever if stalled."""
        while self.condition.is_stalled:
            await trio.sleep(0.02)
            self.check_alive()
        await trio.sleep(duration_ms * self.condition.slow_factor / 1000)
        self.check_alive()

    async def call(self, body):
        """Return the result of one call and its time."""
        self.check_alive()
        self.last_call_s = trio.current_time()
        await self._enter(body.priority)
        try:
            execution = self._record(body)
            started_s = trio.current_time()
            try:
                await self._work(self.profile.call_ms)
            finally:
                spent_ms = (trio.current_time() - started_s) * 1000
                execution.engine_ms = spent_ms
            execution.is_whole = True
        finally:
            self._leave()
        result = {
            "stage": execution.stage,
            "marker": execution.marker,
            "server": self.name,
        }
        return {"result": result, "engine_ms": execution.engine_ms}

    def _record(self, body):
        marker = str(body.input.get("request", {}).get("marker", ""))
        stage = str(body.input.get("stage", ""))
        return self.records.start(
            self.name, self.service, stage, marker, body.request_id
        )

    def _note_prefix(self, prefix):
        """Return whether a prompt prefix was cached, and cache it."""
        is_cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not is_cached:
            self._events.append({"action": "added", "prefix": prefix})
        if len(self._prefixes) > PREFIXES_MAX:
            gone, _none = self._prefixes.popitem(last=False)
            self._events.append({"action": "removed", "prefix": gone})
        return is_cached

    async def complete(self, body):
        """Yield the lines of a streamed completion."""
        self.check_alive()
        self.last_call_s = trio.current_time()
        await self._enter(body.priority)
        started_s = trio.current_time()
        execution = self._record(body)
        try:
            is_cached = self._note_prefix(str(body.input.get("prefix", "")))
            prefill_ms = self.profile.prefill_ms
            if is_cached:
                prefill_ms /= 4
                execution.reused_tokens = 64
            await self._work(prefill_ms)
            async for line in self._generate(body, execution):
                yield line
            execution.is_whole = True
            spent_ms = (trio.current_time() - started_s) * 1000
            yield {
                "offset": int(body.input.get("max_tokens", 0)),
                "done": True,
                "engine_ms": spent_ms,
                "reused_tokens": execution.reused_tokens,
            }
        finally:
            spent_ms = (trio.current_time() - started_s) * 1000
            execution.engine_ms = spent_ms
            self._leave()

    async def _generate(self, body, execution):
        total = int(body.input.get("max_tokens", 0))
        index = body.resume_from
        while index < total:
            count = min(TOKENS_PER_LINE, total - index)
            # A full batch is slower for each of its streams.
            crowding = 1 + 0.5 * self.running / self.profile.slots
            await self._work(self.profile.token_ms * count * crowding)
            tokens = [
                records_module.get_token(execution.marker, index + each)
                for each in range(count)
            ]
            execution.tokens += count
            yield {"offset": index, "tokens": tokens}
            index += count
