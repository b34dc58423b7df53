"""Entries that stand still after an engine has crashed under long prefixes."""

import asyncio
import itertools
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))

import fleet as fleet_module  # noqa: E402
import net  # noqa: E402

ENTRIES = 2
MODEL_ENGINES = 6
# The caller's requests at one entry, one after the other on each channel.
CHANNELS = 48
PARTS = 2200
# More than requests that are under way at the same time.
PREFIXES = 300
PREFILL_S = 2.0
IN_HAND = 8
CALM_S = 6.0
# The engine is back after some seconds.
DOWN_S = 4.5
WATCH_S = 30.0
ORDINARY_PER_S = 5.0
DEADLINE_MS = 1500
TIMEOUT_MS = 1500
SLACK_S = 0.5
# So many without an answer half a second after their time-out, and more than
# this share, break the rule; so does a process that answers nothing for long.
UNANSWERED_MIN = 8
UNANSWERED_SHARE = 0.25
STILL_MAX_S = 5.0


class ModelEngine(fleet_module.Engine):
    """An engine that reads a prompt for a while before it answers."""

    async def _run(self, request, reply, headers):
        await asyncio.sleep(PREFILL_S)
        await super()._run(request, reply, headers)


class Play:
    """A caller with long prefixes, ordinary ones, and a crash."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._random = random.Random(6)
        self._numbers = itertools.count(1)
        self._prefixes = [self._new_prefix() for _n in range(PREFIXES)]
        self._is_over = False
        self.answers = []
        self.checks = []
        self.sent = 0

    def _new_prefix(self):
        parts = self._random.sample(range(16**4), PARTS)
        return ",".join(f"{part:04x}:9" for part in parts)

    def _get_prefix(self, number):
        return self._prefixes[number % len(self._prefixes)]

    async def _call_long(self):
        """Send requests with many parts over a channel."""
        client = net.Client(self._fleet.entries[0].front)
        while not self._is_over:
            number = next(self._numbers)
            headers = fleet_module.new_headers(
                f"long{number:x}",
                more=[
                    ("X-Model", "m"),
                    ("X-Token-Counts", "19800,20"),
                    ("X-Prompt-Prefix", self._get_prefix(number)),
                ],
            )
            self.sent += 1
            try:
                await asyncio.wait_for(
                    client.ask("POST", "/draft/1", headers, b"prompt"), 8.0
                )
            except (OSError, asyncio.TimeoutError):
                client.close()
            await asyncio.sleep(0.1)
        client.close()

    async def _call_once(self, entry):
        """Send one ordinary request on a channel of its own."""
        number = next(self._numbers)
        sent_s = time.monotonic()
        client = net.Client(entry.front)
        headers = fleet_module.new_headers(f"look{number:x}", DEADLINE_MS)
        status = 0
        try:
            status, _headers, _body = await asyncio.wait_for(
                client.ask("GET", "/look/1", headers),
                TIMEOUT_MS / 1000 + SLACK_S,
            )
        except (OSError, asyncio.TimeoutError):
            pass
        client.close()
        self.answers.append((entry.name, sent_s, time.monotonic(), status))

    async def _call_ordinary(self, entry):
        """Send ordinary requests at a steady rate."""
        calls = []
        while not self._is_over:
            calls.append(asyncio.ensure_future(self._call_once(entry)))
            await asyncio.sleep(1 / ORDINARY_PER_S)
        await asyncio.gather(*calls)

    async def _find_busy(self, engines):
        """Return an engine that has some requests in hand."""
        while True:
            for engine in engines:
                if engine.server.in_hand >= IN_HAND:
                    return engine
            await asyncio.sleep(0.01)

    async def _ask_ready(self, entry):
        """Ask once a second whether an entry is ready, as the platform."""
        while not self._is_over:
            is_ready = await entry.is_ready()
            self.checks.append((entry.name, time.monotonic(), is_ready))
            await asyncio.sleep(1.0)

    async def run(self, engines):
        """Return whether the rule was broken, and a text."""
        fleet, record = self._fleet, self._fleet.record
        calls = [
            asyncio.ensure_future(self._call_ordinary(entry))
            for entry in fleet.entries
        ]
        calls += [
            asyncio.ensure_future(self._ask_ready(entry))
            for entry in fleet.entries
        ]
        calls += [
            asyncio.ensure_future(self._call_long()) for _n in range(CHANNELS)
        ]
        await asyncio.sleep(CALM_S)
        engine = await self._find_busy(engines)
        crash_s = time.monotonic()
        if fleet_module.has_trouble():
            record.write(
                "server crashes",
                server=engine.engine_id,
                in_hand=engine.server.in_hand,
            )
            engine.server.crash()
            await asyncio.sleep(DOWN_S)
            engine.born = int(time.time() * 1000)
            await engine.server.start()
            fleet.register(engine)
            record.write("server is back", server=engine.engine_id)
        await asyncio.sleep(max(crash_s + WATCH_S - time.monotonic(), 0))
        end_s = time.monotonic()
        self._is_over = True
        await asyncio.gather(*calls)
        return self._judge(crash_s, end_s)

    def _judge(self, crash_s, end_s):
        texts = []
        is_broken = False
        for entry in self._fleet.entries:
            mine = [a for a in self.answers if a[0] == entry.name]
            late = [a for a in mine if a[1] > crash_s]
            unanswered = [a for a in late if not a[3]]
            checks = [
                is_ready
                for name, at_s, is_ready in self.checks
                if name == entry.name and at_s > crash_s
            ]
            ends = [crash_s] + sorted(a[2] for a in mine if a[3])
            ends.append(max(end_s, ends[-1]))
            still_s = max(
                after - before
                for before, after in itertools.pairwise(ends)
                if after > crash_s
            )
            self._fleet.record.write(
                "ordinary requests",
                entry=entry.name,
                before_the_crash=len(mine) - len(late),
                after_it=len(late),
                unanswered=len(unanswered),
                longest_time_without_an_answer_s=round(still_s, 1),
                readiness_checks=len(checks),
                readiness_checks_missed=checks.count(False),
            )
            is_broken |= still_s > STILL_MAX_S or (
                len(unanswered) >= UNANSWERED_MIN
                and len(unanswered) > len(late) * UNANSWERED_SHARE
            )
            texts.append(
                f"{entry.name}: {len(unanswered)} of {len(late)} ordinary "
                f"requests unanswered, none answered for {still_s:.1f} s, "
                f"{checks.count(False)} of {len(checks)} readiness checks "
                f"missed"
            )
        return is_broken, "; ".join(texts)


async def play(fleet):
    """Start the deployment and play the case."""
    routes = [
        fleet_module.new_route(
            "draft", "stream", "model", sticky=True, resumable=True
        ),
        fleet_module.new_route(
            "look", "safe", "desk", timeout_ms=TIMEOUT_MS, goal_ms=175
        ),
    ]
    services = [
        {
            "name": "model",
            "health_path": "/healthz",
            "max_conns": 610,
            "engine": {"slots": 128, "kv_capacity": 741862, "stride": 5},
        },
        {"name": "desk", "health_path": "/healthz", "max_conns": 96},
    ]
    await fleet.start_store(fleet_module.new_config(1, routes, services))
    for number in range(MODEL_ENGINES):
        await fleet.add_engine(
            ModelEngine(f"i-model-{number}", "model", "stream")
        )
    for number in range(2):
        await fleet.add_engine(fleet_module.Engine(f"i-desk-{number}", "desk"))
    await fleet.start_entries(ENTRIES)
    return await Play(fleet).run(fleet.engines[:MODEL_ENGINES])


if __name__ == "__main__":
    sys.exit(fleet_module.run_case(os.path.dirname(__file__), play))
