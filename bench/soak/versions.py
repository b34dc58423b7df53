"""Streams on entry processes whose engines run several software versions.

Each event of a stand-in engine names its version. Callers lose their
streams, or the entries do, and callers take them up again at any entry. A
stream that holds events of two versions is joined.
"""

import itertools
import random
import signal

import msgspec
import trio

from bench.soak import event_reader
from bench.soak import site as site_module
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.platform import names

EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.06
ENGINES_PER_VERSION = 2
STREAM_MODEL = "model"
LOST_SHARE = 0.3
TRIES_MAX = 3
TRY_TIMEOUT_S = 4.0
RETURN_S = (0.05, 0.4)
# An entry counts as in touch this long after it was started.
STABLE_S = 4.0
TAKE_UPS_MIN = 12
JOINED_MAX = 2
SHARE_FACTOR = 0.5


class Step(msgspec.Struct, frozen=True):
    """What happens at a time, in seconds from the first stream.

    `action` is `start` or `end` of all engines of a version, `swap` for all
    engines to be back at once with the versions exchanged, or `kill` of all
    entries at once.
    """

    at_s: float
    action: str
    version: str = ""


# By the name of the fault; version v1 serves from the start.
STEPS_BY_FAULT = {
    "resets": (Step(1.0, "start", "v2"),),
    "kills": (
        Step(1.0, "start", "v2"),
        Step(5.0, "kill"),
        Step(13.0, "kill"),
    ),
    "gone": (
        Step(1.0, "start", "v2"),
        Step(7.0, "end", "v1"),
        Step(7.3, "kill"),
        Step(13.0, "start", "v3"),
        Step(15.0, "end", "v2"),
    ),
    "swaps": (
        Step(1.0, "start", "v2"),
        *(Step(at_s, "swap") for at_s in range(3, 20, 2)),
    ),
}
DURATION_S = 20.0


class StreamRecord(msgspec.Struct):
    """One stream over all tries of its caller.

    `events` are the ids and versions of its events. `is_stable` says that
    it was sent, and `is_taken_up` that it was first taken up, while all
    entries had run for a while; the latter only counts while servers of its
    version are in service. `has_gone_on` says that a take-up brought events.
    """

    is_stable: bool
    first_id: bytes = b""
    events: list[tuple[int, str]] = []
    is_taken_up: bool | None = None
    has_gone_on: bool = False

    @property
    def versions(self):
        """The versions of the events."""
        return {version for _number, version in self.events}


class VersionResult(msgspec.Struct):
    """The JSON result of a run.

    `begun` and `gone_on` of `streams` and `taken_up` count those that were
    sent while all entries had run for a while.
    """

    seed: int
    fault: str
    streams: int
    begun: int
    taken_up: int
    gone_on: int
    joined: int
    complete: int

    @property
    def broken(self):
        """What must not happen, as texts."""
        texts = []
        if self.joined > JOINED_MAX:
            texts.append(f"{self.joined} streams of two versions")
        if self.taken_up >= TAKE_UPS_MIN and self.streams:
            share = self.gone_on / self.taken_up
            begun_share = self.begun / self.streams
            if share < begun_share * SHARE_FACTOR:
                texts.append(
                    f"{share:.2f} of the streams went on, "
                    f"{begun_share:.2f} of the new ones began"
                )
        return texts


class VersionSite(site_module.SoakSite):
    """A site whose model engines come and go by version."""

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start an engine; those of models write many events."""
        await super().add_engine(engine_id, service, is_stream)
        engine = self.engine_by_id[engine_id]
        if is_stream:
            engine.event_count = EVENT_COUNT
            engine.event_interval_s = EVENT_INTERVAL_S

    async def start_version(self, version):
        """Start the model engines of a version."""
        for number in range(ENGINES_PER_VERSION):
            engine_id = f"{STREAM_MODEL}-{version}-{number}"
            await self.add_engine(engine_id, STREAM_MODEL, is_stream=True)
            engine = self.engine_by_id[engine_id]
            engine.version = version
            self.publish(engine)

    def end_version(self, version):
        """End the model engines of a version and remove their records."""
        for engine in list(self.engine_by_id.values()):
            if engine.is_stream and engine.version == version:
                self.store.delete(names.SERVERS_PREFIX + engine.engine_id)
                proxy = self.proxy_by_engine[engine.engine_id]
                proxy.inject("cut")
                proxy.reset()

    def swap_versions(self):
        """Start all model engines again, each as one of the other version.

        They keep their ids and addresses.
        """
        engines = [e for e in self.engine_by_id.values() if e.is_stream]
        versions = [engine.version for engine in engines]
        for engine, version in zip(engines, reversed(versions), strict=True):
            self.restart_engine(engine, version)


class VersionRun:
    """One run: streams at a steady rate while versions and entries change."""

    def __init__(self, site, seed, fault, rate_per_s):
        self._site = site
        self._generator = random.Random(seed)
        self._steps = STEPS_BY_FAULT[fault]
        self._rate_per_s = rate_per_s
        self._records = []
        self._unstable_until_s = 0.0
        self._ids = itertools.count(1)

    async def run(self, seed, fault):
        """Return the `VersionResult`."""
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_streams, nursery, started_s)
            for step in self._steps:
                await trio.sleep_until(started_s + step.at_s)
                await self._apply(step)
        records = self._records
        stable = [record for record in records if record.is_stable]
        taken_up = [record for record in records if record.is_taken_up]
        return VersionResult(
            seed=seed,
            fault=fault,
            streams=len(stable),
            begun=sum(bool(record.events) for record in stable),
            taken_up=len(taken_up),
            gone_on=sum(record.has_gone_on for record in taken_up),
            joined=sum(len(record.versions) > 1 for record in records),
            complete=sum(
                len(record.events) == EVENT_COUNT for record in records
            ),
        )

    async def _apply(self, step):
        if step.action == "start":
            await self._site.start_version(step.version)
        elif step.action == "end":
            self._site.end_version(step.version)
        elif step.action == "swap":
            self._site.swap_versions()
        else:
            await self._kill_entries()

    async def _kill_entries(self):
        for entry in self._site.entries:
            entry.signal(signal.SIGKILL)
        for entry in self._site.entries:
            await entry.wait()
            entry.start()
        self._unstable_until_s = trio.current_time() + STABLE_S

    def _is_stable(self):
        return trio.current_time() >= self._unstable_until_s

    async def _send_streams(self, nursery, started_s):
        while trio.current_time() < started_s + DURATION_S:
            nursery.start_soon(self._send_stream)
            await trio.sleep(self._generator.expovariate(self._rate_per_s))

    async def _send_stream(self):
        """Send one stream, and take it up again while it is incomplete."""
        record = StreamRecord(self._is_stable())
        self._records.append(record)
        for number in range(TRIES_MAX):
            if number:
                await trio.sleep(self._generator.uniform(*RETURN_S))
            if record.events and record.is_taken_up is None:
                record.is_taken_up = self._is_stable() and self._is_served(
                    record
                )
            count = len(record.events)
            await self._try_once(record, is_lost=number == 0)
            record.has_gone_on |= 0 < count < len(record.events)
            if len(record.events) == EVENT_COUNT:
                return

    def _is_served(self, record):
        """Return whether servers of the version of a stream are published."""
        version = record.events[0][1]
        return any(
            self._site.store.has(names.SERVERS_PREFIX + engine.engine_id)
            for engine in self._site.engine_by_id.values()
            if engine.is_stream and engine.version == version
        )

    async def _try_once(self, record, is_lost):
        request_id = b"%d" % next(self._ids)
        head = standin_site.new_request_head(
            f"/draft/{request_id.decode()}", request_id
        )
        if record.events:
            last_number = record.events[-1][0]
            head.headers.append((names.LAST_EVENT_ID, b"%d" % last_number))
            head.headers.append((names.RESUMES, record.first_id))
        events_max = EVENT_COUNT
        if is_lost and self._generator.random() < LOST_SHARE:
            events_max = self._generator.randrange(1, EVENT_COUNT)
        entry = self._generator.choice(self._site.entries)
        pool = pool_module.new_pool(self._site.nursery)

        async def receive(events):
            record.events += [_read_event(event) for event in events]
            return len(record.events) < events_max

        with trio.move_on_after(TRY_TIMEOUT_S):
            await event_reader.read_events(
                pool, entry.caller_address, head, receive
            )
        if record.events and not record.first_id:
            record.first_id = request_id
        pool.drop_connections(entry.caller_address)


def _read_event(event):
    """Return the id and the version of an event."""
    id_line, data_line = event.split(b"\n")
    return int(id_line.split()[1]), data_line.split()[-1].decode()


def run_versions(seed, fault, rate_per_s, logs):
    """Run entry processes on engines of two software versions.

    `fault` is a key of `STEPS_BY_FAULT`. Callers lose some of their streams
    in each run. Return the `VersionResult`; the logs of the entries are
    written to the folder `logs`.
    """

    def new_site(nursery):
        return VersionSite(nursery, seed, logs, "")

    async def run(site):
        run = VersionRun(site, seed, fault, rate_per_s)
        return await run.run(seed, fault)

    return trio.run(site_module.play, logs, new_site, run)
