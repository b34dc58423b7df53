"""A soak: load, overlapping faults by seed, and a judgement at the end."""

import os
import random
import signal

import msgspec
import trio

from bench.soak import faults as faults_module
from bench.soak import judge as judge_module
from bench.soak import site as site_module
from bench.standins import site as standins
from greengagetrack.connection.http import client
from greengagetrack.platform import names

CONSUMERS = 24
PAUSE_MAX_S = 0.3
START_LIMIT_S = 30.0
OLD_KEY_SHARE = 0.15
NEW_KEY_AFTER_S = 2.6
STAY_SHARE = 0.5
KEEP_SHARE = 0.6
COOL_S = 3.5
REST_S = 3.0
TARGETS = {
    "order": ("/order/{}?a=%2f", b"POST"),
    "stock": ("/stock/{}", b"GET"),
    "draft": ("/draft/{}", b"POST"),
}


class SoakResult(msgspec.Struct):
    """The one JSON line of a soak."""

    seed: int
    build: str
    requests: int
    served: int
    refused: int
    failed: int
    faults: list[str]
    broken: list[str]


class Soak:
    """One soak of one seed."""

    def __init__(self, site, seed, duration_s):
        self._site = site
        self._seed = seed
        self._duration_s = duration_s
        self._judge = judge_module.Judge()
        self._started_s = 0.0
        self._key_at = [(0.0, "key-1")]
        self._faults = faults_module.get_faults(seed, duration_s)

    async def run(self, build):
        """Return the `SoakResult`."""
        with trio.fail_after(START_LIMIT_S):
            await self._site.start()
        self._started_s = trio.current_time()
        end_s = self._started_s + self._duration_s
        async with trio.open_nursery() as nursery:
            for number in range(CONSUMERS):
                nursery.start_soon(self._consume, number, end_s)
            for fault in self._faults:
                nursery.start_soon(self._inject, fault)
        await trio.sleep(COOL_S)
        broken = self._judge.judge(
            list(self._site.engine_by_id.values()),
            site_module.REVOKE_MS / 1000,
            end_s - REST_S,
        )
        statuses = [each.status for each in self._judge.asked]
        return SoakResult(
            seed=self._seed,
            build=build,
            requests=len(statuses),
            served=statuses.count(200),
            refused=statuses.count(503) + statuses.count(401),
            failed=statuses.count(502) + statuses.count(504),
            faults=[str(fault) for fault in self._faults],
            broken=[self._explain(line) for line in broken],
        )

    def _explain(self, line):
        request_id = line.split()[1].rstrip(":").encode()
        return f"{line}; near it {self._judge.trace(request_id)}"

    async def _consume(self, number, end_s):
        generator = random.Random(f"{self._seed}-{number}")
        pool = client.new_pool(self._site._nursery)
        entry = generator.choice(self._site.entries)
        count = 0
        while trio.current_time() < end_s:
            entry = self._choose_entry(generator, entry, pool)
            kind = generator.choice(list(TARGETS))
            request_id = f"{number}.{count}".encode()
            count += 1
            await self._ask(generator, pool, entry, kind, request_id)
            await trio.sleep(generator.uniform(0.0, PAUSE_MAX_S))

    def _choose_entry(self, generator, entry, pool):
        """Choose as a balancer does; kept connections may be used on."""
        if pool.count_idle(entry.caller) and generator.random() < STAY_SHARE:
            return entry
        ready = [each for each in self._site.entries if each.is_in_rotation]
        return generator.choice(ready or self._site.entries)

    async def _ask(self, generator, pool, entry, kind, request_id):
        path, method = TARGETS[kind]
        path = path.format(request_id.decode())
        now = trio.current_time()
        known = [key for at_s, key in self._key_at if at_s <= now]
        key = known[-1]
        if generator.random() < OLD_KEY_SHARE:
            key = generator.choice(known)
        asked = judge_module.Asked(
            request_id, kind, path.encode(), key, entry.name, now
        )
        if generator.random() > KEEP_SHARE:
            pool.drop_connections(entry.caller)
        answer = await standins.ask(
            pool, entry.caller, path, request_id, method, key
        )
        asked.ended_s = trio.current_time()
        asked.status, headers, asked.body = answer
        asked.is_sealed = judge_module.is_sealed(headers)
        self._judge.asked.append(asked)

    async def _inject(self, fault):
        await trio.sleep_until(self._started_s + fault.at_s)
        word, _separator, place = fault.kind.partition(" ")
        span = judge_module.Span(
            fault.kind, "", trio.current_time(), float("inf")
        )
        self._judge.spans.append(span)
        if "entr" in place:
            await self._harm_entries(word, fault, span)
        elif place == "engine":
            await self._harm_engine(word, fault, span)
        elif word == "revoke":
            await self._revoke(place, fault.hold_s)
        else:
            await self._harm_store(place, fault.hold_s)
        span.end_s = trio.current_time()

    async def _harm_entries(self, word, fault, span):
        entries = self._site.entries
        if "all" not in fault.kind:
            entries = [entries[fault.number % len(entries)]]
            span.place = entries[0].name
        entries = [entry for entry in entries if not entry.is_busy]
        for entry in entries:
            entry.is_busy = True
        if word == "freeze":
            await self._freeze(entries, fault.hold_s)
        else:
            number = signal.SIGTERM if word == "stop" else signal.SIGKILL
            for entry in entries:
                entry.signal(number)
            with trio.move_on_after(site_module.STOP_LIMIT_S) as scope:
                for entry in entries:
                    await entry.wait()
            if scope.cancelled_caught:
                self._judge.broken.append(f"STOP -: {span.place} goes on")
            await trio.sleep(fault.hold_s)
            for entry in entries:
                entry.start()
        for entry in entries:
            entry.is_busy = False

    async def _freeze(self, entries, hold_s):
        for entry in entries:
            entry.signal(signal.SIGSTOP)
        await trio.sleep(hold_s)
        for entry in entries:
            entry.signal(signal.SIGCONT)

    async def _harm_engine(self, word, fault, span):
        engines = [
            engine
            for engine_id, engine in self._site.engine_by_id.items()
            if engine_id not in self._judge.left_s_by_engine
        ]
        engine = engines[fault.number % len(engines)]
        span.place = engine.engine_id
        wire = self._site.wire_by_engine[engine.engine_id]
        if word in ("leave", "restart"):
            await self._replace(word, engine, fault.hold_s)
            return
        wire.harm(word)
        await trio.sleep(fault.hold_s)
        wire.heal()

    async def _replace(self, word, engine, hold_s):
        """Let an engine go, announced or not, and a new one come."""
        await self._site.replace_engine(engine)
        if word == "leave":
            self._site.publish(engine, names.DRAINING)
        else:
            self._site.store.delete(names.SERVERS_PREFIX + engine.engine_id)
        self._judge.left_s_by_engine[engine.engine_id] = trio.current_time()
        await trio.sleep(hold_s)

    async def _harm_store(self, place, hold_s):
        store, wire = self._site.store, self._site.store_wire
        if place == "down":
            store.is_down = True
        elif place == "from the past":
            store.is_past = True
        else:
            wire.harm(place)
        await trio.sleep(hold_s)
        store.is_down = store.is_past = False
        wire.heal()

    async def _revoke(self, place, hold_s):
        """Take a key away, perhaps while nobody can read of it."""
        self._site.store.is_down |= place == "unseen"
        old = self._site.keys[-1]
        now = trio.current_time()
        self._judge.revoked_s_by_key[old] = now
        key = self._site.change_key()
        self._key_at.append((now + NEW_KEY_AFTER_S, key))
        if place == "unseen":
            await trio.sleep(hold_s + site_module.REVOKE_MS / 1000)
            self._site.store.is_down = False


async def _end_on_sigterm():
    """End as by Ctrl-C, so that no entry is left behind."""
    with trio.open_signal_receiver(signal.SIGTERM) as received:
        async for _signal in received:
            raise KeyboardInterrupt


async def _run(seed, duration_s, logs, build):
    os.makedirs(logs, exist_ok=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_end_on_sigterm)
        site = site_module.SoakSite(nursery, seed, logs, build)
        try:
            result = await Soak(site, seed, duration_s).run(build)
        finally:
            with trio.CancelScope(shield=True):
                await site.stop()
        nursery.cancel_scope.cancel()
    return result


def run_soak(seed, duration_s, logs, build=""):
    """Return the `SoakResult` of one seed; logs go to the folder `logs`."""
    return trio.run(_run, seed, duration_s, logs, build)
