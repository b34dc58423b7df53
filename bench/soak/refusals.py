"""Engines that run requests and fail them, and what callers are told.

Of what may run once only, a caller that is told "not run" sends it again. So
each such word is compared with what the engines ran. What an engine answers
and may be passed on has to reach the caller as it is.
"""

import collections
import itertools
import random

import msgspec
import trio

from bench.soak import site as site_module
from bench.standins import copies
from bench.standins import failing_engine
from bench.standins import site as standin_site
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import fields
from greengagetrack.platform import names

CALLERS_PER_ENTRY = 10
PAUSE_MAX_S = 0.1
ENGINES_PER_SERVICE = 4
MODEL = "model"
# Those that may run once only, and those that may be repeated.
ONCE_KINDS = ("order", "note", "letter")
KINDS = (*ONCE_KINDS, "stock", "draft")


class CallRecord(msgspec.Struct):
    """A request, and what its caller was answered."""

    request_id: bytes
    kind: str
    status: int = 0
    seal: bytes = b""
    body: bytes = b""


class RefusalsResult(msgspec.Struct):
    """The JSON result of a run.

    `untrue` has the requests that ran and were told not to have, by their
    kind and by what misled the entry. `changed` counts the failures of
    engines that callers did not get as they were, `passed_on` the others.
    """

    seed: int
    requests: int
    served: int
    told_not_run: int
    untrue: dict[str, int]
    twice: int
    passed_on: int
    changed: int

    @property
    def broken(self):
        """What must not happen, as texts."""
        texts = [
            f"REFUSED: {count} were told 'not run', and ran: {name}"
            for name, count in self.untrue.items()
        ]
        if self.twice:
            texts.append(f"TWICE: {self.twice} ran at two engines")
        if self.changed:
            texts.append(f"MIXED: {self.changed} failures were changed")
        return texts


def new_config():
    """Return a configuration with routes that may and may not be repeated."""
    config = standin_site.new_config()
    by_name = {route["name"]: route for route in config["routes"]}
    draft = by_name["draft"]
    letter = draft | {
        "name": "letter",
        "path_prefix": "/letter/",
        "resumable": False,
    }
    note = letter | {"name": "note", "path_prefix": "/note/", "stages": []}
    config["routes"] += [letter, note]
    for route in config["routes"]:
        if route["name"] in ONCE_KINDS:
            # So that some refusals are true.
            route["attempts"] = 1
    return config


class RefusalsSite(site_module.SoakSite):
    """A site without proxies, whose engines fail requests that they ran."""

    def get_config(self):
        """Return the configuration to start with."""
        return new_config()

    async def start(self):
        """Start more engines of each service, and the entries."""
        for number in range(3, ENGINES_PER_SERVICE + 1):
            await self.add_engine(f"desk-{number}", "desk")
            await self.add_engine(f"{MODEL}-{number}", MODEL, is_stream=True)
        await super().start()

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start an engine; the first of its service fails no request."""
        generator = random.Random(f"refusals-{self._seed}-{engine_id}")
        engine = failing_engine.FailingEngine(
            engine_id, service, is_stream, generator
        )
        engine.is_copying = engine_id.endswith("-1")
        engine.address = await copies.start_engine(
            self.nursery, engine, generator
        )
        self.engine_by_id[engine_id] = engine
        self.publish(engine)


class RefusalsRun:
    """One run: callers of all entries, for some seconds."""

    def __init__(self, site, seed, duration_s):
        self._site = site
        self._seed = seed
        self._duration_s = duration_s
        self._ids = itertools.count(1)
        self._records = []

    async def run(self):
        """Return the `RefusalsResult`."""
        end_s = trio.current_time() + self._duration_s
        async with trio.open_nursery() as nursery:
            for entry in self._site.entries:
                for number in range(CALLERS_PER_ENTRY):
                    nursery.start_soon(self._call, entry, number, end_s)
        return self._judge()

    async def _call(self, entry, number, end_s):
        generator = random.Random(f"{self._seed}-{entry.name}-{number}")
        pool = pool_module.new_pool(self._site.nursery)
        while trio.current_time() < end_s:
            kind = generator.choice(KINDS)
            await self._send(pool, entry.caller_address, kind)
            await trio.sleep(generator.uniform(0.0, PAUSE_MAX_S))

    async def _send(self, pool, address, kind):
        record = CallRecord(b"%d" % next(self._ids), kind)
        method = b"GET" if kind == "stock" else b"POST"
        record.status, headers, record.body = await standin_site.send_request(
            pool, address, f"/{kind}/1", record.request_id, method
        )
        record.seal = fields.get_value(headers, names.SEAL.lower(), b"")
        self._records.append(record)

    def _judge(self):
        untrue = collections.Counter()
        result = RefusalsResult(
            self._seed, len(self._records), 0, 0, untrue, 0, 0, 0
        )
        for record in self._records:
            runs = self._site.count_runs(record.request_id)
            result.served += record.status == 200
            if record.status in failing_engine.NOT_RUN_STATUSES:
                result.told_not_run += 1
                if runs:
                    untrue[self._describe(record)] += 1
            if record.kind in ONCE_KINDS:
                result.twice += runs > 1
                self._judge_relayed(record, result)
        return result

    def _get_failures(self, record):
        """Return what engines that failed a request answered."""
        return [
            engine.failed_by_request[record.request_id]
            for engine in self._site.engine_by_id.values()
            if record.request_id in engine.failed_by_request
        ]

    def _describe(self, record):
        """Return the kind of a request, and what misled its entry."""
        is_own = any(
            failed.has_run and failed.promises_not_run
            for failed in self._get_failures(record)
        )
        cause = "status without a mark" if is_own else "other's refusal"
        return f"{record.kind}, {cause}"

    def _judge_relayed(self, record, result):
        """Compare what engines answered with what their caller got."""
        for failed in self._get_failures(record):
            if not failed.is_relayable:
                continue
            sent = (failed.status, failing_engine.SEAL, failing_engine.BODY)
            is_same = sent == (record.status, record.seal, record.body)
            result.passed_on += is_same
            result.changed += not is_same


def run_refusals(seed, duration_s, logs, build="", tree=""):
    """Run engines that fail requests; return the `RefusalsResult`.

    The entries run the code of the checkout `tree`, by default of this one.
    Their logs are written to the folder `logs`.
    """

    def new_site(nursery):
        return RefusalsSite(nursery, seed, logs, build, tree=tree)

    async def run(site):
        return await RefusalsRun(site, seed, duration_s).run()

    return trio.run(site_module.play, logs, new_site, run)
