"""Replays of long prompts beside short ones, without a network.

Eight servers read 57 prompt tokens in a ms, in chunks between the tokens of
the streams that run there. Six entries choose servers, and learn of each
other's work every 0.4 s. In the middle third long prompts come in a burst.
"""

import collections
import heapq
import itertools
import random

import msgspec
import pytest
import trio
import trio.testing

from greengagetrack.connection import source
from greengagetrack.process.direct import chooser as chooser_module
from greengagetrack.process.direct.decisions import interference
from greengagetrack.process.direct import directory as directory_module
from greengagetrack.request.direct import attempt as attempt_module
from greengagetrack.request.direct import request as request_module
from greengagetrack.version import catalog
from tests.direct import fakes

SERVERS = 8
ENTRIES = 6
DIGEST_PERIOD_S = 0.4
STEP_S = 0.003
CHUNK_TOKENS = 2048
TOKENS_PER_S = 57_000
TOKENS_PER_EVENT = 6
DURATION_S = 12.0
DRAIN_S = 5.0
SUBJECTS = 24
SEEDS = range(24)
SERVICES = [catalog.Service("svc", connections_max=4000)]


class Kind(msgspec.Struct, frozen=True):
    """Requests that arrive `per_s`, `burst` times as many in a burst.

    Each shares `shared_tokens` with others on the same of `SUBJECTS`.
    """

    name: str
    new_tokens: int
    shared_tokens: int
    events: int
    target_s: float
    gap_s: float
    per_s: float
    burst: float = 1.0


LONG = Kind("long", 2890, 6300, 9, 0.5, 0.2, 21.0, burst=3.0)
MIDDLE = Kind("middle", 1800, 568, 4, 0.5, 0.2, 21.0)
SHORT = Kind("short", 543, 172, 47, 0.15, 0.2, 24.0)
KINDS = (LONG, MIDDLE, SHORT)


class Stream:
    """One request at its server."""

    def __init__(self, kind, attempt, choice, estimate):
        self.kind = kind
        self.attempt = attempt
        self.estimate = estimate
        self.new_tokens = self.unread = choice.new_tokens
        self.server_id = choice.server.server_id
        self.tokens = kind.events * TOKENS_PER_EVENT
        self.started_s = self.last_s = trio.current_time()
        self.first_s = None
        self.gap_s = 0.0

    def generate(self):
        """Generate one token; return whether it was the last one."""
        self.tokens -= 1
        if self.tokens % TOKENS_PER_EVENT == 0:
            self._record_event()
        if self.tokens == 0:
            self.attempt.server.outstanding -= 1
        return self.tokens == 0

    def _record_event(self):
        now = trio.current_time()
        if self.first_s is None:
            self.first_s = now - self.started_s
            self.attempt.record_first_event(self.estimate)
        else:
            self.gap_s = max(self.gap_s, now - self.last_s)
        self.last_s = now

    @property
    def is_in_time(self):
        """Whether all of its events came within the targets."""
        return (
            self.first_s is not None
            and self.first_s <= self.kind.target_s
            and self.gap_s <= self.kind.gap_s
        )


class Engine:
    """A server that reads prompts in order, a chunk a step."""

    def __init__(self, site):
        self.site = site
        self.reading = collections.deque()
        self.running = []
        self.is_busy = False

    def add(self, stream):
        self.reading.append(stream)
        if not self.is_busy:
            self.is_busy = True
            self._start_step()

    def _start_step(self):
        budget = CHUNK_TOKENS
        while self.reading and budget:
            first = self.reading[0]
            size = min(budget, first.unread)
            first.unread -= size
            budget -= size
            if not first.unread:
                self.running.append(self.reading.popleft())
        read = CHUNK_TOKENS - budget
        step_s = STEP_S + len(self.running) * 5e-5 + read / TOKENS_PER_S
        self.site.call_later(step_s, self._end_step)

    def _end_step(self):
        self.running = [one for one in self.running if not one.generate()]
        self.is_busy = bool(self.running or self.reading)
        if self.is_busy:
            self._start_step()


class Site:
    """The entries and the servers, and what happens in order of time."""

    def __init__(self, kinds, seed):
        self.generator = random.Random(seed)
        self.kinds = kinds
        self.events = []
        self.numbers = itertools.count()
        self.engines = {f"e{n}": Engine(self) for n in range(SERVERS)}
        self.streams = []
        self.directories = []
        self.choosers = []
        for number in range(ENTRIES):
            self._add_entry(random.Random(f"{seed}/{number}"))

    def _add_entry(self, generator):
        servers = [fakes.new_server(name, slots=64) for name in self.engines]
        directory = directory_module.new_directory(lambda server: None)
        directory.apply_update(
            source.Update(1, servers=tuple(servers), is_complete=True)
        )
        current = fakes.new_catalog(services=SERVICES)
        self.directories.append(directory)
        self.choosers.append(
            chooser_module.new_chooser(
                directory, lambda: current, "dc-a", fakes.REGIONS, generator
            )
        )

    def call_later(self, delay_s, call):
        entry = (trio.current_time() + delay_s, next(self.numbers), call)
        heapq.heappush(self.events, entry)

    def tell(self, reporter):
        loads = self.directories[reporter].get_own_loads()
        for number, directory in enumerate(self.directories):
            if number != reporter:
                directory.update_reported_loads(
                    f"n{reporter}", loads, trio.current_time()
                )
        self.call_later(DIGEST_PERIOD_S, lambda: self.tell(reporter))

    def arrive(self, kind):
        now = trio.current_time()
        rate = kind.per_s
        if DURATION_S / 3 < now < DURATION_S * 2 / 3:
            rate *= kind.burst
        if now < DURATION_S:
            self.call_later(
                self.generator.expovariate(rate), lambda: self.arrive(kind)
            )
            self.send(kind)

    def send(self, kind):
        number = self.generator.randrange(ENTRIES)
        chooser = self.choosers[number]
        request = self._new_request(kind)
        choice = chooser.choose_server("svc", request)
        server = choice.server
        shared_part = request.parts[0][0]
        for directory in self.directories:
            directory.record_reported_part(
                shared_part, server.server_id, True, False
            )
        attempt = attempt_module.new_attempt(server, choice)
        server.outstanding += 1
        server.prefill_tokens += choice.new_tokens
        estimate = chooser.get_first_event_estimate("svc")
        stream = Stream(kind, attempt, choice, estimate)
        self.streams.append(stream)
        self.engines[server.server_id].add(stream)

    def _new_request(self, kind):
        own_part = f"{next(self.numbers):x}"
        subject = self.generator.randrange(SUBJECTS)
        return request_module.DirectRequest(
            request_id=own_part.encode(),
            method=b"POST",
            target=b"/",
            host="h",
            headers=[],
            body=b"",
            received_s=trio.current_time(),
            parts=(
                (f"{kind.name}{subject}", kind.shared_tokens),
                (own_part, kind.new_tokens),
            ),
            prompt_tokens=kind.new_tokens + kind.shared_tokens,
        )

    def run(self, clock):
        for number in range(ENTRIES):
            self.call_later(
                number * DIGEST_PERIOD_S / ENTRIES,
                lambda number=number: self.tell(number),
            )
        for kind in self.kinds:
            self.call_later(0.0, lambda kind=kind: self.arrive(kind))
        while self.events:
            due_s, _number, call = heapq.heappop(self.events)
            if due_s > DURATION_S + DRAIN_S:
                break
            clock.jump(max(due_s - trio.current_time(), 0.0))
            call()


def _replay(kinds, seed, due_ratio):
    """Return all `Stream` of one play."""
    clock = trio.testing.MockClock()

    async def main():
        site = Site(kinds, seed)
        site.run(clock)
        return site.streams

    usual_ratio = interference.DUE_RATIO
    interference.DUE_RATIO = due_ratio
    try:
        return trio.run(main, clock=clock)
    finally:
        interference.DUE_RATIO = usual_ratio


def _replay_seeds(due_ratio):
    plays = [_replay(KINDS, seed, due_ratio) for seed in SEEDS]
    return list(itertools.chain.from_iterable(plays))


def _get_share_in_time(streams, kind):
    of_kind = [stream for stream in streams if stream.kind is kind]
    return sum(stream.is_in_time for stream in of_kind) / len(of_kind)


@pytest.fixture(scope="module")
def without():
    """Return the streams of plays that ask only for the own wait."""
    return _replay_seeds(0.0)


@pytest.fixture(scope="module")
def streams():
    """Return the streams of the same plays with the product's choice."""
    return _replay_seeds(interference.DUE_RATIO)


def test_short_prompts_are_in_time_more_often(streams, without):
    gain = _get_share_in_time(streams, SHORT)
    gain -= _get_share_in_time(without, SHORT)
    assert gain > 0.02


@pytest.mark.parametrize("kind", [LONG, MIDDLE], ids=lambda kind: kind.name)
def test_other_prompts_keep_their_share_in_time(streams, without, kind):
    loss = _get_share_in_time(without, kind)
    loss -= _get_share_in_time(streams, kind)
    assert loss < 0.01


def test_shared_parts_are_not_scattered(streams, without):
    tokens = sum(stream.new_tokens for stream in streams)
    assert tokens < 1.02 * sum(stream.new_tokens for stream in without)


@pytest.mark.parametrize("kind", [LONG, SHORT], ids=lambda kind: kind.name)
def test_no_server_is_set_aside(streams, kind):
    """Each has a part; in a single play cached prefixes may leave it none."""
    counts = collections.Counter(
        stream.server_id for stream in streams if stream.kind is kind
    )
    mean = counts.total() / SERVERS
    assert all(counts[f"e{n}"] > mean / 2 for n in range(SERVERS))


def test_prompts_of_one_size_go_where_they_went_before():
    alike = (msgspec.structs.replace(MIDDLE, shared_tokens=0, per_s=90.0),)
    servers = [
        [stream.server_id for stream in _replay(alike, 1, due_ratio)]
        for due_ratio in (0.0, interference.DUE_RATIO)
    ]
    assert servers[0] == servers[1]
