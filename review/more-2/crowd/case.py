"""Many small requests in flight: does an entry stay within its memory?"""

import os
import resource
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-3"))

import site3  # noqa: E402
import trio  # noqa: E402

ZONE = "lalitpur-a"
MEMORY_MB = 200
MAX_FDS = 4100
ENGINES = 22
# Half of the descriptors that are not reserved, less a margin.
CALLERS = 1900
BODY_BYTES = 52_000
CALM_CALLERS = 40
ORDINARY_PER_S = 4.0
SECONDS = 40.0
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-draft",
            "host": "kits.example",
            "path_prefix": "/draft/",
            "kind": "stream",
            "timeout_ms": 15000,
            "goal_ms": 2100,
            "priority": 0,
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
            "max_conns": 720,
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
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 20000), hard))
    async with trio.open_nursery() as nursery:
        site = site3.Site(nursery, folder)
        try:
            await site.start_store(CONFIG)
            for _engine in range(ENGINES):
                engine = site3.Engine("rope", ZONE, is_stream=True)
                engine.work_s, engine.events, engine.gap_s = 2.0, 20, 0.5
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
    counts = {"k1": {}, "k2": {}}
    end_s = trio.current_time() + SECONDS

    async def ask(key, body_bytes):
        channel = await site3.open_channel(entry)
        status = "refused"
        if channel is not None:
            name = site3.new_id()
            request = site3.new_request(
                "POST",
                "/draft/",
                name,
                {
                    "Api-Key": key,
                    "X-Deadline-Ms": "15000",
                    "X-Model": "m",
                    "X-Token-Counts": "620,100",
                    "X-Prompt-Prefix": f"a1b2:103,{name[:8]}:517",
                },
                b"x" * body_bytes,
            )
            answer = await channel.ask(request, 16.0)
            status = answer[0] if answer else "none"
            channel.stream.socket.close()
        counts[key][status] = counts[key].get(status, 0) + 1

    async def ask_always():
        while trio.current_time() < end_s:
            await ask("k2", BODY_BYTES)
            await trio.sleep(0.05)

    async def ask_ordinary():
        async with trio.open_nursery() as inner:
            while trio.current_time() < end_s:
                inner.start_soon(ask, "k1", 1400)
                await trio.sleep(1 / ORDINARY_PER_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask_ordinary)
        for number in range(CALLERS if trouble else CALM_CALLERS):
            nursery.start_soon(ask_always)
        while trio.current_time() < end_s:
            memory_mb = entry.get_memory_mb()
            peak_mb = max(peak_mb, memory_mb)
            runs = sum(sum(e.runs.values()) for e in site.engines)
            record.write(f"memory {memory_mb:.0f} MB, {counts}, runs {runs}")
            if entry.process.poll() is not None:
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
