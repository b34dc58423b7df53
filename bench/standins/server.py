"""Stand-ins for backend servers: engines, stage pools, plain services.

The injected faults of each are set in its `Condition`; the protocol is in
docs/ref/backends.md.
"""

import collections

import msgspec
import trio

from bench.standins import records as records_module

TOKENS_PER_LINE = 4
MAX_PREFIXES = 32
LOAD_LAG_S = 0.2


class Condition(msgspec.Struct):
    """The injected faults of a stand-in."""

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
    """The speed and the concurrency of a stand-in."""

    slots: int = 8
    call_ms: float = 20.0
    prefill_ms: float = 120.0
    token_ms: float = 10.0


class DeadServerError(Exception):
    """The server is dead, so its connections must break."""


class Server:
    """A backend server with slots, a priority queue and records."""

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
        self._waiters = []
        self._arrival_count = 0
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
        """Return the cache events after a number, except dropped old ones."""
        first = max(after, len(self._events) - MAX_PREFIXES)
        return {
            "next": len(self._events),
            "has_gap": first > after,
            "events": self._events[first:],
        }

    def load_model(self, model, fencing):
        """Load a model and return True, unless the fencing number is old."""
        is_old = fencing <= self.fencing
        if is_old and not self.condition.ignores_fencing:
            return False
        self.fencing = max(self.fencing, fencing)
        self.model = model
        self.loads += 1
        self._prefixes.clear()
        return True

    def has_model_for(self, body):
        """Return whether the model that a completion requires is loaded."""
        return body.input.get("model", "") in ("", self.model)

    def check_alive(self):
        """Raise `DeadServerError` if the server is dead."""
        if self.condition.is_dead:
            raise DeadServerError(self.name)

    async def _acquire_slot(self, priority):
        """Wait for a slot; calls of higher priority get one first."""
        if self.running < self.profile.slots and not self._waiters:
            self.running += 1
            return
        self._arrival_count += 1
        waiter = (-priority, self._arrival_count, trio.Event())
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda queued: queued[:2])
        try:
            await waiter[2].wait()
        except trio.Cancelled:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            else:
                self._release_slot()
            raise

    def _release_slot(self):
        if self._waiters:
            # Hands the slot to the first waiting call.
            self._waiters.pop(0)[2].set()
        else:
            self.running -= 1

    async def _simulate_work(self, duration_ms):
        """Sleep for the duration, times the slow factor, once not stalled."""
        while self.condition.is_stalled:
            await trio.sleep(0.02)
            self.check_alive()
        await trio.sleep(duration_ms * self.condition.slow_factor / 1000)
        self.check_alive()

    async def call(self, body):
        """Execute a call; return its result and the time it took."""
        self.check_alive()
        self.last_call_s = trio.current_time()
        await self._acquire_slot(body.priority)
        try:
            execution = self._start_record(body)
            started_s = trio.current_time()
            try:
                await self._simulate_work(self.profile.call_ms)
            finally:
                spent_ms = (trio.current_time() - started_s) * 1000
                execution.engine_ms = spent_ms
            execution.is_whole = True
        finally:
            self._release_slot()
        result = {
            "stage": execution.stage,
            "marker": execution.marker,
            "server": self.name,
        }
        return {"result": result, "engine_ms": execution.engine_ms}

    def _start_record(self, body):
        marker = str(body.input.get("request", {}).get("marker", ""))
        stage = str(body.input.get("stage", ""))
        return self.records.start(
            self.name, self.service, stage, marker, body.request_id
        )

    def _cache_prefix(self, prefix):
        """Cache a prompt prefix; return whether it was cached before."""
        is_cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not is_cached:
            self._events.append({"action": "added", "prefix": prefix})
        if len(self._prefixes) > MAX_PREFIXES:
            evicted, _none = self._prefixes.popitem(last=False)
            self._events.append({"action": "removed", "prefix": evicted})
        return is_cached

    async def complete(self, body):
        """Execute a completion; yield the lines of its stream."""
        self.check_alive()
        self.last_call_s = trio.current_time()
        await self._acquire_slot(body.priority)
        started_s = trio.current_time()
        execution = self._start_record(body)
        try:
            is_cached = self._cache_prefix(str(body.input.get("prefix", "")))
            prefill_ms = self.profile.prefill_ms
            if is_cached:
                prefill_ms /= 4
                execution.reused_tokens = 64
            await self._simulate_work(prefill_ms)
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
            self._release_slot()

    async def _generate(self, body, execution):
        total = int(body.input.get("max_tokens", 0))
        index = body.resume_from
        while index < total:
            count = min(TOKENS_PER_LINE, total - index)
            # A full batch is slower for each of its streams.
            batch_factor = 1 + 0.5 * self.running / self.profile.slots
            await self._simulate_work(
                self.profile.token_ms * count * batch_factor
            )
            tokens = [
                records_module.get_token(execution.marker, index + number)
                for number in range(count)
            ]
            execution.tokens += count
            yield {"offset": index, "tokens": tokens}
            index += count
