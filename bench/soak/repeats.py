"""Engines that send an answer once more where its id comes again.

An id comes again over a connection where an engine has started under another
id at its address, and where a caller comes back with the id that was refused
or answered. Callers are told "not run" only of what did not run, and get
only the answer to what they sent last.
"""

import collections
import functools
import itertools
import random

import msgspec
import trio

from bench.soak import renames as renames_module
from bench.soak import site as site_module
from bench.standins import copies
from bench.standins import failing_engine
from bench.standins import repeating_engine
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module

CALLERS_PER_ENTRY = 10
PAUSE_MAX_S = 0.1
# Of the requests that a caller sends with an id.
SENDINGS_MAX = 4
AGAIN_AFTER_ANSWER_SHARE = 0.3
SOUND = "sound"
# Those that may run once only, and those that may be repeated.
ONCE_KINDS = ("order", "note")
KINDS = (*ONCE_KINDS, "stock", "draft", SOUND)
STREAM_KINDS = ("note", "draft")
SAFE_KINDS = ("stock", SOUND)
NOT_RUN_STATUSES = failing_engine.NOT_RUN_STATUSES


class Trouble(msgspec.Struct, frozen=True):
    """What engines and callers do."""

    full_share: float = 0.0
    is_repeating: bool = False
    is_renaming: bool = False
    has_repeated_ids: bool = False


TROUBLE_BY_NAME = {
    "repeats": Trouble(0.4, True, True, True),
    "renames": Trouble(is_repeating=True, is_renaming=True),
    "refusals": Trouble(0.4),
    "none": Trouble(),
}


class SendingRecord(msgspec.Struct):
    """One sending of a request, and what its caller was answered."""

    kind: str
    target: bytes
    status: int = 0
    body: bytes = b""


class RepeatsResult(msgspec.Struct):
    """The JSON result of a run.

    `untrue` has the requests that ran and were told not to have, by kind;
    `twice` those that ran twice in one sending of their caller and must not;
    `mixed` the whole answers that belong to another sending. `came_again`
    counts the requests that reached an engine with an id that one of its open
    connections had carried, and `copies` those that met an earlier answer.
    """

    seed: int
    trouble: str
    requests: int = 0
    served: int = 0
    told_not_run: int = 0
    untrue: dict[str, int] = {}
    twice: int = 0
    mixed: dict[str, int] = {}
    came_again: int = 0
    copies: int = 0
    renames: int = 0
    sound: int = 0
    sound_served: int = 0
    connections_per_s: float = 0.0

    @property
    def broken(self):
        """What must not happen, as texts."""
        texts = [
            f"REFUSED: {count} were told 'not run', and ran: {kind}"
            for kind, count in self.untrue.items()
        ]
        if self.twice:
            texts.append(f"TWICE: {self.twice} ran twice in one sending")
        texts += [
            f"MIXED: {count} got the answer to another sending: {kind}"
            for kind, count in self.mixed.items()
        ]
        return texts


def new_config():
    """Return a configuration with a route of each kind."""
    config = standin_site.new_config()
    by_name = {route["name"]: route for route in config["routes"]}
    note = by_name["draft"] | {
        "name": "note",
        "path_prefix": "/note/",
        "resumable": False,
        "stages": [],
    }
    sound = by_name["stock"] | {
        "name": SOUND,
        "path_prefix": f"/{SOUND}/",
        "service": SOUND,
    }
    config["routes"] += [note, sound]
    config["services"].append({"name": SOUND, "max_conns": 64})
    return config


class RepeatsSite(site_module.SoakSite):
    """A site without proxies, whose engines keep their answers by id."""

    trouble = Trouble()

    def get_config(self):
        """Return the configuration to start with."""
        return new_config()

    async def start(self):
        """Start engines that nothing happens to, and the entries."""
        for number in (1, 2):
            await self.add_engine(f"{SOUND}-{number}", SOUND)
        await super().start()

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start an engine; some services have no trouble."""
        generator = random.Random(f"repeats-{self._seed}-{engine_id}")
        engine = repeating_engine.RepeatingEngine(
            engine_id, service, is_stream, generator
        )
        if service != SOUND:
            engine.full_share = self.trouble.full_share
            engine.is_repeating = self.trouble.is_repeating
        engine.address = await copies.start_engine(
            self.nursery, engine, generator
        )
        self.engine_by_id[engine_id] = engine
        self.publish(engine)

    def new_renames(self, engine):
        """Return the changes of the id of an engine."""
        generator = random.Random(f"renames-{self._seed}-{engine.engine_id}")
        return renames_module.new_renames(self, engine, generator)


class RepeatsRun:
    """One run: callers of all entries, for some seconds."""

    def __init__(self, site, result, duration_s):
        self._site = site
        self._result = result
        self._duration_s = duration_s
        self._trouble = TROUBLE_BY_NAME[result.trouble]
        self._numbers = itertools.count(1)
        self._records = []
        self._renames = []

    async def run(self):
        """Return the `RepeatsResult`."""
        end_s = trio.current_time() + self._duration_s
        opened_before = self._sum("connection_count")
        async with trio.open_nursery() as nursery:
            if self._trouble.is_renaming:
                self._start_renames(nursery, end_s)
            for entry in self._site.entries:
                for number in range(CALLERS_PER_ENTRY):
                    nursery.start_soon(self._call, entry, number, end_s)
        opened = self._sum("connection_count") - opened_before
        self._result.connections_per_s = round(opened / self._duration_s, 2)
        self._judge()
        return self._result

    def _start_renames(self, nursery, end_s):
        for engine in self._site.engine_by_id.values():
            if engine.service in ("desk", "model"):
                renames = self._site.new_renames(engine)
                self._renames.append(renames)
                nursery.start_soon(renames.run, end_s)

    def _sum(self, name):
        engines = self._site.engine_by_id.values()
        return sum(getattr(engine, name) for engine in engines)

    async def _call(self, entry, number, end_s):
        generator = random.Random(f"{self._result.seed}-{entry.name}-{number}")
        pool = pool_module.new_pool(self._site.nursery)
        send = functools.partial(self._send, pool, entry.caller_address)
        while trio.current_time() < end_s:
            kind = generator.choice(KINDS)
            request_id = b"%d" % next(self._numbers)
            for _sending in range(SENDINGS_MAX):
                status = await send(kind, request_id)
                await trio.sleep(generator.uniform(0.0, PAUSE_MAX_S))
                if not self._trouble.has_repeated_ids:
                    break
                draw = generator.random()
                if status == 200 and draw >= AGAIN_AFTER_ANSWER_SHARE:
                    break

    async def _send(self, pool, address, kind, request_id):
        """Send a request with a target of its own; return the status."""
        path = f"/{kind}/{next(self._numbers)}"
        record = SendingRecord(kind, path.encode())
        record.status, _headers, record.body = await standin_site.send_request(
            pool, address, path, request_id, get_method(kind)
        )
        self._records.append(record)
        return record.status

    def _judge(self):
        runs_by_target = collections.Counter(
            target
            for engine in self._site.engine_by_id.values()
            for _request_id, _at_s, target in engine.run_log
        )
        result = self._result
        result.requests = len(self._records)
        untrue, mixed = collections.Counter(), collections.Counter()
        for record in self._records:
            runs = runs_by_target[record.target]
            is_refused = record.status in NOT_RUN_STATUSES
            is_served = record.status == 200
            result.served += is_served
            result.told_not_run += is_refused
            untrue[record.kind] += is_refused and runs > 0
            mixed[record.kind] += is_served and not is_own_answer(record)
            result.twice += record.kind in ONCE_KINDS and runs > 1
            result.sound += record.kind == SOUND
            result.sound_served += record.kind == SOUND and is_served
        # Only what was counted.
        result.untrue, result.mixed = dict(+untrue), dict(+mixed)
        result.came_again = self._sum("came_again_count")
        result.copies = self._sum("repeated_count")
        result.renames = sum(renames.count for renames in self._renames)


def get_method(kind):
    """Return the method of a kind of request."""
    return b"GET" if kind in SAFE_KINDS else b"POST"


def is_own_answer(record):
    """Return whether the body belongs to the sending."""
    return record.body == repeating_engine.get_body(
        get_method(record.kind), record.target, record.kind in STREAM_KINDS
    )


def run_repeats(seed, trouble, duration_s, logs, build="", tree=""):
    """Run engines that repeat their answers; return the `RepeatsResult`.

    The entries run the code of the checkout `tree`, by default of this one.
    Their logs are written to the folder `logs`.
    """

    def new_site(nursery):
        site = RepeatsSite(nursery, seed, logs, build, tree=tree)
        site.trouble = TROUBLE_BY_NAME[trouble]
        return site

    async def run(site):
        result = RepeatsResult(seed, trouble)
        return await RepeatsRun(site, result, duration_s).run()

    return trio.run(site_module.play, logs, new_site, run)
