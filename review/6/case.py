"""An engine crashes under a few requests with prompts of many parts.

Do the entries go on, and do ordinary callers still get answers?
"""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

import site3  # noqa: E402
import trio  # noqa: E402

ZONE = "lalitpur-a"
ENTRIES = 3
ENGINES = 6
# Of one caller, all at one entry, in flight when the engine crashes.
LARGE_REQUESTS = 3
LARGE_PARTS = 2200
ORDINARY_PER_S = 6.0
DEADLINE_MS = 5000
CRASH_S = 8.0
DOWN_S = 4.5
SECONDS = 40.0
# Two questions in a row without an answer take a machine out.
HANG_S = 3.0
STARVED = 0.25
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-query",
            "host": "kits.example",
            "path_prefix": "/query/",
            "kind": "stream",
            "timeout_ms": 5000,
            "goal_ms": 2200,
            "priority": 1,
            "service": "rope",
            "attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 400,
        },
    ],
    "services": [
        {
            "name": "rope",
            "health_path": "/healthz",
            "max_conns": 610,
            "engine": {"slots": 128, "kv_capacity": 741862, "stride": 5},
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "own", "api_keys": ["k1"]},
        {"name": "other", "api_keys": ["k2"]},
    ],
}


async def run(trouble, record, folder):
    async with trio.open_nursery() as nursery:
        site = site3.Site(nursery, folder)
        try:
            await site.start_store(CONFIG)
            for _engine in range(ENGINES):
                engine = site3.Engine("rope", ZONE, is_stream=True)
                engine.work_s, engine.events, engine.gap_s = 0.6, 5, 0.05
                await site.add_engine(engine)
            await site.start_entries([ZONE] * ENTRIES)
            code = await play(site, trouble, record)
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return code


async def play(site, trouble, record):
    start_s = trio.current_time()
    end_s = start_s + SECONDS
    results = {"calm": [], "trouble": []}
    large = set()
    longest_s = {entry.name: 0.0 for entry in site.entries}

    def get_s():
        return trio.current_time() - start_s

    async def ask(key, prefix, entry):
        """Return the status of one request."""
        channel = await site3.open_channel(entry)
        if channel is None:
            return "no channel"
        request_id = site3.new_id()
        if key == "k2":
            large.add(request_id)
        request = site3.new_request(
            "POST",
            "/query/",
            request_id,
            {
                "Api-Key": key,
                "X-Deadline-Ms": str(DEADLINE_MS),
                "X-Model": "m",
                "X-Token-Counts": "2300,25",
                "X-Prompt-Prefix": prefix,
            },
            b"x" * 40,
        )
        answer = await channel.ask(request, DEADLINE_MS / 1000 + 0.5)
        channel.stream.socket.close()
        return answer[0] if answer else "none"

    async def ask_ordinary(entry, name):
        sent_s = get_s()
        status = await ask("k1", f"a1b2:341,{site3.new_id()[:8]}:1959", entry)
        results[name].append(status)
        record.write(
            f"ordinary at {entry.name}: {status} after "
            f"{get_s() - sent_s:.2f} s"
        )

    async def ask_large():
        parts = random.sample(range(0x1000, 0x10000), LARGE_PARTS)
        prefix = ",".join(f"{part:x}:1" for part in parts)
        sent_s = get_s()
        status = await ask("k2", prefix, site.entries[0])
        record.write(
            f"{LARGE_PARTS} parts: {status} after {get_s() - sent_s:.2f} s"
        )

    async def watch(entry):
        """Ask an entry once a second whether it is ready."""
        while trio.current_time() < end_s:
            sent_s = get_s()
            is_answered = False
            while not is_answered and trio.current_time() < end_s:
                # One question waits for up to a second.
                is_answered = await entry.is_ready()
                if not is_answered:
                    await trio.sleep(0.05)
            spent_s = get_s() - sent_s
            longest_s[entry.name] = max(longest_s[entry.name], spent_s)
            if spent_s > 0.5:
                record.write(
                    f"{entry.name}: ready again after {spent_s:.2f} s"
                )
            await trio.sleep(0.5)

    async def crash():
        await trio.sleep(CRASH_S - 0.3)
        for _request in range(LARGE_REQUESTS):
            nursery.start_soon(ask_large)
        await trio.sleep(0.3)
        if not trouble:
            return
        engine = max(site.engines, key=lambda one: len(large & set(one.runs)))
        engine.scope.cancel()
        record.write(
            f"engine {engine.id} crashes, with "
            f"{len(large & set(engine.runs))} of these requests"
        )
        await trio.sleep(3.6)
        site.store.delete(f"servers/{engine.id}")
        await trio.sleep(DOWN_S - 3.6)
        engine = site3.Engine("rope", ZONE, is_stream=True)
        engine.work_s, engine.events, engine.gap_s = 0.6, 5, 0.05
        await site.add_engine(engine)

    async with trio.open_nursery() as nursery:
        for entry in site.entries:
            nursery.start_soon(watch, entry)
        nursery.start_soon(crash)
        count = 0
        while get_s() < SECONDS - DEADLINE_MS / 1000:
            name = "calm" if get_s() < CRASH_S - 1.0 else "trouble"
            nursery.start_soon(
                ask_ordinary, site.entries[count % ENTRIES], name
            )
            count += 1
            await trio.sleep(1 / ORDINARY_PER_S)
    shares = {}
    for name, statuses in results.items():
        served = sum(status == 200 for status in statuses)
        shares[name] = served / len(statuses)
        record.write(f"{name}: {served} of {len(statuses)} served")
    record.write(
        "longest without a ready answer: "
        + ", ".join(
            f"{name} {value:.1f} s" for name, value in longest_s.items()
        )
    )
    return int(
        max(longest_s.values()) > HANG_S
        or shares["trouble"] < STARVED * shares["calm"]
    )


if __name__ == "__main__":
    sys.exit(site3.run_case(run, HERE))
