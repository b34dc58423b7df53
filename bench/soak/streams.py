"""Streams on entries and engines that are real processes, judged by numbers.

Engines are killed and back within milliseconds to seconds, under their ids or
new ones, some of another software version, while entries stand still or are
killed. Callers take up what has broken off. What they got over all of their
tries shows each way in which a stream can be wrong: its numbers have a gap or
go back, it holds events of two versions, or it looks complete too soon.
"""

import itertools
import random
import signal

import msgspec
import trio

from bench import ports as ports_module
from bench.soak import event_reader
from bench.soak import site as site_module
from bench.standins import engine_process
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.platform import names

ENGINE_COUNT = 4
MODEL = "model"
VERSIONS = ("v1", "v2")
EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.1
UNFRAMED_EVERY = 3
DEADLINE_MS = 8000
TRIES_MAX = 3
TRY_TIMEOUT_S = 10.0
RETURN_S = (0.05, 0.4)
SLOW_READER_SHARE = 0.2
SLOW_READ_S = 0.4
FIRST_ROUND_S = 2.5
ROUND_PAUSE_S = 2.5
STILL_S = 1.2
KILL_SHARE = 0.2
JOINED_MAX = 2
# With the stages of `draft`, without them, and not to be resumed.
ROUTES = ("draft", "tale", "note")


class Round(msgspec.Struct, frozen=True):
    """One round of trouble.

    `still` says which entries stand still: `none`, `one` or `all`. `crash`
    says when engines crash: `before` the entries stand still, `during` that,
    or `after`. They are back `down_s` later, and the store hears of it
    `news_s` after that.
    """

    still: str
    crash: str
    down_s: float
    engine_count: int
    is_same_id: bool
    is_other_version: bool
    is_entry_killed: bool
    news_s: float = 0.0


def new_round(generator):
    """Return a round of trouble that `generator` draws."""
    return Round(
        still=generator.choice(("none", "one", "all")),
        crash=generator.choice(("before", "during", "after")),
        down_s=generator.choice((0.0, 0.05, 0.3, 1.0)),
        engine_count=generator.randint(1, ENGINE_COUNT - 1),
        is_same_id=generator.random() < 0.5,
        is_other_version=generator.random() < 0.5,
        is_entry_killed=generator.random() < KILL_SHARE,
        news_s=generator.choice((0.0, 0.3, 1.5)),
    )


class StreamRecord(msgspec.Struct):
    """What the caller of one stream got, over all tries.

    `numbers` and `versions` are those of its events. `is_whole` says that
    the last answer looked complete, `has_gone_on` that a take-up brought
    events or the end that was missing, and `foreign` counts the events that
    were made for another request.
    """

    route: str
    first_id: bytes = b""
    numbers: list[int] = []
    versions: list[str] = []
    tries: int = 0
    has_gone_on: bool = False
    is_whole: bool = False
    foreign: int = 0

    def is_out_of_order(self):
        """Return whether a number is missing, comes twice or goes back."""
        return self.numbers != list(range(1, len(self.numbers) + 1))

    def is_joined(self):
        """Return whether the stream has events of two versions."""
        return len(set(self.versions)) > 1

    def is_short(self):
        """Return whether the stream looks complete, but isn't."""
        return self.is_whole and self.numbers[-1:] != [EVENT_COUNT]


class StreamsResult(msgspec.Struct):
    """The JSON result of a run."""

    seed: int
    streams: int
    complete: int
    taken_up: int
    gone_on: int
    out_of_order: int
    joined: int
    short: int
    foreign: int
    rounds: int

    @property
    def broken(self):
        """What must not happen, as texts."""
        texts = []
        if self.out_of_order:
            texts.append(f"{self.out_of_order} streams out of order")
        if self.joined > JOINED_MAX:
            texts.append(f"{self.joined} streams of two versions")
        if self.short:
            texts.append(f"{self.short} streams look complete too soon")
        if self.foreign:
            texts.append(f"{self.foreign} events of other requests")
        return texts


def new_config():
    """Return a configuration with three routes of streams."""
    config = standin_site.new_config()
    draft = config["routes"][0] | {"timeout_ms": DEADLINE_MS, "attempts": 3}
    tale = draft | {"name": "tale", "path_prefix": "/tale/", "stages": []}
    note = tale | {
        "name": "note",
        "path_prefix": "/note/",
        "resumable": False,
        "attempts": 1,
    }
    config["routes"] = [draft, tale, note]
    return config


class StreamSite(site_module.SoakSite):
    """A site whose model engines are processes that can be killed."""

    def __init__(self, nursery, seed, logs, build, tree):
        super().__init__(nursery, seed, logs, build, tree=tree)
        self.models = []

    def get_config(self):
        """Return the configuration to start with."""
        return new_config()

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start an engine; those of models are processes."""
        if not is_stream:
            await super().add_engine(engine_id, service)
            return
        while len(self.models) < ENGINE_COUNT:
            number = len(self.models)
            model = engine_process.RestartingEngine(
                engine_process.EngineParameters(
                    f"{MODEL}-{number}",
                    MODEL,
                    ports_module.find_free_ports(1)[0],
                    VERSIONS[number % len(VERSIONS)],
                    0,
                    EVENT_COUNT,
                    EVENT_INTERVAL_S,
                    UNFRAMED_EVERY,
                )
            )
            self.models.append(model)
            await model.listen()
            self.publish(model)

    async def stop(self):
        """Kill the processes that this site started."""
        await super().stop()
        for model in self.models:
            model.stop()


class StreamsRun:
    """One run: streams at a steady rate, and rounds of trouble.

    The given `rounds` come first, drawn ones after them.
    """

    def __init__(self, site, seed, rate_per_s, duration_s, rounds):
        self._site = site
        self._generator = random.Random(f"streams-{seed}")
        self._round_generator = random.Random(f"rounds-{seed}")
        self._rate_per_s = rate_per_s
        self._duration_s = duration_s
        self._seed = seed
        self._ids = itertools.count(1)
        self._records = []
        self._rounds = list(rounds)
        self._round_count = 0

    async def run(self):
        """Return the `StreamsResult`."""
        end_s = trio.current_time() + self._duration_s
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_streams, nursery, end_s)
            await trio.sleep(FIRST_ROUND_S)
            while trio.current_time() < end_s:
                await self._play(self._pop_round())
                self._round_count += 1
                await trio.sleep(ROUND_PAUSE_S)
        records = self._records
        return StreamsResult(
            seed=self._seed,
            streams=len(records),
            complete=sum(
                record.is_whole and not record.is_short() for record in records
            ),
            taken_up=sum(record.tries > 1 for record in records),
            gone_on=sum(record.has_gone_on for record in records),
            out_of_order=sum(r.is_out_of_order() for r in records),
            joined=sum(record.is_joined() for record in records),
            short=sum(record.is_short() for record in records),
            foreign=sum(record.foreign for record in records),
            rounds=self._round_count,
        )

    def _pop_round(self):
        if self._rounds:
            return self._rounds.pop(0)
        return new_round(self._round_generator)

    async def _play(self, trouble):
        """Let engines crash around the time for which entries stand still."""
        entries = {
            "none": [],
            "one": [self._round_generator.choice(self._site.entries)],
            "all": self._site.entries,
        }[trouble.still]
        models = self._round_generator.sample(
            self._site.models, trouble.engine_count
        )
        for model in models:
            await model.prepare()
        if trouble.crash == "before":
            await self._kill(models)
        for entry in entries:
            entry.signal(signal.SIGSTOP)
        still_until_s = trio.current_time() + (STILL_S if entries else 0.0)
        if trouble.crash == "during":
            await trio.sleep(STILL_S / 4)
            await self._kill(models)
        if trouble.crash != "after":
            await self._start_again(models, trouble)
        await trio.sleep_until(max(still_until_s, trio.current_time()))
        for entry in entries:
            entry.signal(signal.SIGCONT)
        if trouble.crash == "after":
            await self._kill(models)
            await self._start_again(models, trouble)
        if trouble.is_entry_killed:
            await self._kill_entry()

    async def _kill(self, models):
        async with trio.open_nursery() as nursery:
            for model in models:
                nursery.start_soon(model.kill)

    async def _start_again(self, models, trouble):
        await trio.sleep(trouble.down_s)
        for model in models:
            old_key = names.SERVERS_PREFIX + model.engine_id
            if not trouble.is_same_id:
                model.parameters.engine_id = f"{MODEL}-{next(self._ids)}-next"
            if trouble.is_other_version:
                model.parameters.version = next(
                    version for version in VERSIONS if version != model.version
                )
            await model.listen()
            self._site.nursery.start_soon(
                self._tell, model, old_key, trouble.news_s
            )

    async def _tell(self, model, old_key, news_s):
        """Let the store hear of the new life of an engine."""
        await trio.sleep(news_s)
        if old_key != names.SERVERS_PREFIX + model.engine_id:
            self._site.store.delete(old_key)
        self._site.publish(model)

    async def _kill_entry(self):
        entry = self._round_generator.choice(self._site.entries)
        entry.signal(signal.SIGKILL)
        await entry.wait()
        entry.start()

    async def _send_streams(self, nursery, end_s):
        while trio.current_time() < end_s:
            nursery.start_soon(self._send_stream)
            await trio.sleep(self._generator.expovariate(self._rate_per_s))

    async def _send_stream(self):
        """Send one stream; take it up again while it is incomplete."""
        record = StreamRecord(self._generator.choice(ROUTES))
        self._records.append(record)
        read_s = 0.0
        if self._generator.random() < SLOW_READER_SHARE:
            read_s = SLOW_READ_S
        for number in range(TRIES_MAX):
            if number:
                await trio.sleep(self._generator.uniform(*RETURN_S))
            count = len(record.numbers)
            if count and record.route == "note":
                # It may not be resumed.
                return
            record.tries += bool(count) or number == 0
            await self._try_once(record, read_s)
            has_more = record.is_whole or count < len(record.numbers)
            record.has_gone_on |= count > 0 and has_more
            if record.is_whole:
                return

    async def _try_once(self, record, read_s):
        request_id = b"%d" % next(self._ids)
        entry = self._generator.choice(self._site.entries)
        pool = pool_module.new_pool(self._site.nursery)
        head = _new_head(record, request_id)

        async def receive(events):
            for event in events:
                _add_event(record, event, head)
            await trio.sleep(read_s)
            return True

        with trio.move_on_after(TRY_TIMEOUT_S):
            record.is_whole = await event_reader.read_events(
                pool, entry.caller_address, head, receive
            )
        if record.numbers and not record.first_id:
            record.first_id = request_id
        pool.drop_connections(entry.caller_address)


def _new_head(record, request_id):
    head = standin_site.new_request_head(
        f"/{record.route}/{request_id.decode()}",
        request_id,
        deadline_ms=DEADLINE_MS,
    )
    if record.numbers:
        head.headers.append((names.LAST_EVENT_ID, b"%d" % record.numbers[-1]))
        head.headers.append((names.RESUMES, record.first_id))
    return head


def _add_event(record, event, head):
    """Add one event, as the stand-ins write them."""
    id_line, data_line = event.split(b"\n")
    _name, request_id, version = data_line.split()
    record.numbers.append(int(id_line.split()[1]))
    record.versions.append(version.decode())
    record.foreign += (names.REQUEST_ID, request_id) not in head.headers


def run_streams(
    seed, rate_per_s, duration_s, logs, build="", tree="", rounds=()
):
    """Run streams on processes that are killed or stand still.

    The trouble begins with the given `rounds`. The entries run the code of
    the checkout `tree`, by default of this one. Return the `StreamsResult`;
    their logs are written to the folder `logs`.
    """

    def new_site(nursery):
        return StreamSite(nursery, seed, logs, build, tree)

    async def run(site):
        run = StreamsRun(site, seed, rate_per_s, duration_s, rounds)
        return await run.run()

    return trio.run(site_module.play, logs, new_site, run)
