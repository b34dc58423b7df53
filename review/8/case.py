"""Streams that go on at another software version after a shorter time-out."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins-2"))

import fleet as fleet_module  # noqa: E402
import net  # noqa: E402

ENTRIES = 3
EVENTS = 56
EVENT_S = 0.25
LONG_MS = 15000
SHORT_MS = 5000
CALM_S = 5.0
LONG_STREAMS = 36
LONG_PER_S = 18.0
SHORT_PER_S = 4.0
SHORT_EVENTS = 4
# From the first long stream on.
NEW_VERSION_S = 2.5
CHANGE_S = 3.0
REMOVED_S = 3.5
LOST_S = 11.0
# Half of the channels of one machine are reset.
RESET_MACHINE = 0
RESET_EVERY = 2
END_S = 17.0
JOINED_MAX = 2


class Play:
    """Long streams of one version, whose callers lose their channels."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._random = random.Random(10)
        self._loss_s = 0.0
        self._is_over = False
        self.streams = {}
        self.counts = {"begun": 0, "taken up": 0, "gone on": 0}

    def new_config(self, version, timeout_ms):
        """Return a configuration with the time-out of the streams."""
        options = {"sticky": True, "resumable": True, "gap_aim_ms": 400}
        routes = [
            fleet_module.new_route(
                "draft",
                "stream",
                "model",
                timeout_ms=timeout_ms,
                goal_ms=2100,
                **options,
            )
        ]
        services = [
            {
                "name": "model",
                "health_path": "/healthz",
                "max_conns": 610,
                "engine": {"slots": 128, "kv_capacity": 741862, "stride": 5},
            }
        ]
        return fleet_module.new_config(version, routes, services)

    async def _try_once(self, entry, request_id, taken, until_s):
        """Add the versions of the events that come to `taken`."""
        left_ms = LONG_MS
        more = [("X-Model", "m"), ("X-Token-Counts", "600,280")]
        if taken["versions"]:
            spent_s = time.monotonic() - taken["sent_s"]
            left_ms = int(LONG_MS - spent_s * 1000)
            last = taken["first"] + len(taken["versions"]) - 1
            more.append(("Last-Event-Id", str(last)))
            more.append(("Resumes", taken["id"]))
        headers = fleet_module.new_headers(request_id, left_ms, more=more)
        client = net.Client(entry.front)
        status = 0
        text = b""
        try:
            await client.send("POST", "/draft/x", headers, b"prompt")
            status, _answered = await client.receive_head()
            while status == 200:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                chunk = await asyncio.wait_for(client.receive_chunk(), left_s)
                if not chunk:
                    break
                text += chunk
                *events, text = text.split(b"\n\n")
                for event in events:
                    lines = event.decode().split("\n")
                    taken["versions"].append(lines[1].partition(": ")[2])
        except (OSError, ValueError, asyncio.TimeoutError):
            pass
        finally:
            client.close()
        return status

    async def _send_long(self, number):
        """Send one stream; its caller loses the channel and takes it up."""
        entries = self._fleet.entries
        taken = {
            "id": f"long{number:x}",
            "first": 1,
            "versions": [],
            "sent_s": time.monotonic(),
        }
        self.streams[taken["id"]] = taken
        turn, machine = divmod(number, len(entries))
        first = entries[machine]
        is_reset = machine == RESET_MACHINE and turn % RESET_EVERY == 0
        until_s = taken["sent_s"] + LONG_MS / 1000
        await self._try_once(
            first, taken["id"], taken, self._loss_s if is_reset else until_s
        )
        count = len(taken["versions"])
        self._fleet.record.write(
            "channel reset" if is_reset else "ended",
            stream=taken["id"],
            entry=first.name,
            events=count,
            versions=sorted(set(taken["versions"])),
        )
        self.counts["begun"] += bool(count)
        if not count or not is_reset:
            return
        await asyncio.sleep(self._random.uniform(0.05, 0.3))
        second = entries[(number + 1) % len(entries)]
        self.counts["taken up"] += 1
        status = await self._try_once(
            second, taken["id"] + ".1", taken, until_s
        )
        self.counts["gone on"] += len(taken["versions"]) > count
        self._fleet.record.write(
            "taken up",
            stream=taken["id"],
            entry=second.name,
            status=status,
            events=len(taken["versions"]),
            versions=taken["versions"],
        )

    async def _send_short(self, number):
        """Send one stream whose caller wants its first events only."""
        entry = self._fleet.entries[number % ENTRIES]
        client = net.Client(entry.front)
        headers = fleet_module.new_headers(f"short{number:x}", SHORT_MS)
        try:
            await client.send("POST", "/draft/y", headers, b"prompt")
            status, _answered = await asyncio.wait_for(
                client.receive_head(), SHORT_MS / 1000
            )
            for _event in range(SHORT_EVENTS):
                if status != 200 or not await client.receive_chunk():
                    break
        except (OSError, asyncio.TimeoutError):
            pass
        client.close()

    async def _send_all_short(self):
        tasks = []
        while not self._is_over:
            task = asyncio.ensure_future(self._send_short(len(tasks)))
            tasks.append(task)
            await asyncio.sleep(1 / SHORT_PER_S)
        await asyncio.gather(*tasks)

    async def run(self, old_engines, new_engines):
        """Return whether the rule was broken, and a text."""
        fleet, record = self._fleet, self._fleet.record
        shorts = asyncio.ensure_future(self._send_all_short())
        await asyncio.sleep(CALM_S)
        start_s = time.monotonic()
        self._loss_s = start_s + LOST_S
        longs = []
        for number in range(LONG_STREAMS):
            longs.append(asyncio.ensure_future(self._send_long(number)))
            await asyncio.sleep(1 / LONG_PER_S)
        await _sleep_until(start_s + NEW_VERSION_S)
        for engine in new_engines:
            await fleet.add_engine(engine)
        record.write("engines of version 2 are in service")
        await _sleep_until(start_s + CHANGE_S)
        if fleet_module.has_trouble():
            fleet.store.put("op/config", self.new_config(4, SHORT_MS))
            record.write("time-out changed", before=LONG_MS, now=SHORT_MS)
        await _sleep_until(start_s + REMOVED_S)
        for engine in old_engines:
            fleet.store.delete(f"servers/{engine.engine_id}")
        record.write("entries of version 1 removed; it serves on")
        await asyncio.gather(*longs)
        await _sleep_until(start_s + END_S)
        self._is_over = True
        await shorts
        joined = [
            stream
            for stream in self.streams.values()
            if len(set(stream["versions"])) > 1
        ]
        return len(joined) > JOINED_MAX, (
            f"{len(joined)} of {len(self.streams)} streams hold events of "
            f"two versions; {self.counts}"
        )


async def _sleep_until(time_s):
    await asyncio.sleep(max(time_s - time.monotonic(), 0))


def _new_engines(version):
    engines = []
    for number in (1, 2):
        engine = fleet_module.Engine(
            f"i-model-{version}-{number}", "model", "stream", version
        )
        engine.event_count = EVENTS
        engine.event_interval_s = EVENT_S
        engines.append(engine)
    return engines


async def play(fleet):
    """Start the deployment and play the case."""
    case = Play(fleet)
    await fleet.start_store(case.new_config(1, LONG_MS))
    old_engines = _new_engines("1")
    for engine in old_engines:
        await fleet.add_engine(engine)
    await fleet.start_entries(ENTRIES)
    return await case.run(old_engines, _new_engines("2"))


if __name__ == "__main__":
    sys.exit(fleet_module.run_case(os.path.dirname(__file__), play))
