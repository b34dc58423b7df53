"""Long part names in prompts: does each entry stay within its memory?"""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

import site3  # noqa: E402
import trio  # noqa: E402

ZONE = "lalitpur-a"
MEMORY_MB = 200
MAX_FDS = 4100
ENGINES = 9
DESKS = 3
STOCK_SHARE = 0.25
SECONDS = 100.0
# The limit of the configuration is 16,384 bytes for a whole head.
ID_CHARS = 15_000
ORDINARY_CHARS = 8
CLIENTS = 60
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-draft",
            "host": "kits.example",
            "path_prefix": "/draft/",
            "kind": "stream",
            "timeout_ms": 8000,
            "goal_ms": 1600,
            "priority": 0,
            "service": "rope",
            "attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 400,
        },
        {
            "name": "r-stock",
            "host": "kits.example",
            "path_prefix": "/stock/",
            "kind": "safe",
            "timeout_ms": 8000,
            "goal_ms": 1600,
            "priority": 0,
            "service": "ledger",
            "attempts": 2,
            "public": False,
        },
    ],
    "services": [
        {
            "name": "rope",
            "health_path": "/healthz",
            "max_conns": 610,
            "engine": {"slots": 128, "kv_capacity": 741862, "stride": 5},
        },
        {"name": "ledger", "health_path": "/healthz", "max_conns": 96},
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


def new_name(chars):
    """Return a hexadecimal id of a part."""
    return f"{random.getrandbits(chars * 4):0{chars}x}"


async def run(trouble, record, folder):
    """Return 1 if an entry took more memory than its machine has."""
    async with trio.open_nursery() as nursery:
        site = site3.Site(nursery, folder)
        try:
            await site.start_store(CONFIG)
            for _engine in range(ENGINES):
                engine = site3.Engine("rope", ZONE, is_stream=True)
                engine.work_s, engine.events, engine.gap_s = 0.15, 1, 0.0
                await site.add_engine(engine)
            for _desk in range(DESKS):
                engine = site3.Engine("ledger", ZONE)
                engine.work_s = 0.05
                await site.add_engine(engine)
            limits = dict(site3.LIMITS, memory_mb=MEMORY_MB, max_fds=MAX_FDS)
            await site.start_entries([ZONE], limits)
            code = await play(site, trouble, record)
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return code


async def play(site, trouble, record):
    entry = site.entries[0]
    start_mb = peak_mb = entry.get_memory_mb()
    chars = ID_CHARS if trouble else ORDINARY_CHARS
    statuses = {"own": {}, "other": {}}
    end_s = trio.current_time() + SECONDS

    async def ask_always(tenant, key, chars, pause_s):
        channel = None
        while trio.current_time() < end_s:
            channel = channel or await site3.open_channel(entry)
            if channel is None:
                continue
            path = "/stock/" if random.random() < STOCK_SHARE else "/draft/"
            request = site3.new_request(
                "POST",
                path,
                site3.new_id(),
                {
                    "Api-Key": key,
                    "X-Deadline-Ms": "8000",
                    "X-Model": "m",
                    "X-Token-Counts": "620,20",
                    "X-Prompt-Prefix": f"{new_name(chars)}:620",
                },
                b"x" * 40,
            )
            answer = await channel.ask(request, 8.0)
            status = answer[0] if answer else "none"
            if answer is None or answer[1].get("connection") == "close":
                channel = None
            counts = statuses[tenant]
            counts[status] = counts.get(status, 0) + 1
            await trio.sleep(pause_s)

    async with trio.open_nursery() as nursery:
        for _client in range(CLIENTS):
            nursery.start_soon(ask_always, "other", "k2", chars, 0.0)
        nursery.start_soon(ask_always, "own", "k1", ORDINARY_CHARS, 0.2)
        while trio.current_time() < end_s:
            memory_mb = entry.get_memory_mb()
            peak_mb = max(peak_mb, memory_mb)
            record.write(f"memory {memory_mb:.0f} MB, answers {statuses}")
            if memory_mb > MEMORY_MB or entry.process.poll() is not None:
                break
            await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    record.write(
        f"start {start_mb:.0f} MB, peak {peak_mb:.0f} MB of "
        f"{MEMORY_MB} MB; ended by itself: {entry.process.poll()}"
    )
    return int(peak_mb > MEMORY_MB or entry.process.poll() is not None)


if __name__ == "__main__":
    sys.exit(site3.run_case(run, HERE))
