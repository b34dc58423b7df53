"""One caller asks for many pieces: do ordinary callers get answers?"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-3"))

import site3  # noqa: E402
import trio  # noqa: E402

ZONE = "lalitpur-a"
SECONDS = 40.0
DEADLINE_S = 5.0
# The rules call a kind of request starved below a quarter.
STARVED = 0.25
WARM_S = 10.0
ORDINARY_PER_S = 4.0
LARGE_PAUSE_S = 0.2
LARGE_PIECES = "4096,1,1"
STAGES = {
    "roll": (13, 150.0, 9.84615, 58.5, 3),
    "desk": (57, 150.0, 2.26667, 10.0588, 3),
    "notice": (86, 150.0, 1.45116, 1.6125, 5),
}


def new_stage(name):
    batch, call_ms, item_ms, room_mb, _count = STAGES[name]
    return {
        "slots": 1,
        "queue": 2,
        "batch": batch,
        "call_ms": call_ms,
        "item_ms": item_ms,
        "headroom_mb": room_mb,
        "handle_s": 4.0,
        "link_mbps": 10000,
    }


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
            "attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
            "gap_aim_ms": 400,
            "stages": [
                {"service": "roll", "after": [], "bytes": 8000},
                {"service": "desk", "after": [0], "bytes": 60000},
                {"service": "notice", "after": [1], "bytes": 6000},
            ],
        },
    ],
    "services": [
        {
            "name": "rope",
            "health_path": "/healthz",
            "max_conns": 610,
            "engine": {"slots": 128, "kv_capacity": 741862, "stride": 5},
        },
    ]
    + [
        {
            "name": name,
            "health_path": "/healthz",
            "max_conns": 610,
            "pieces": new_stage(name),
        }
        for name in STAGES
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
            for _engine in range(9):
                engine = site3.Engine("rope", ZONE, is_stream=True)
                engine.work_s, engine.events, engine.gap_s = 0.08, 5, 0.02
                await site.add_engine(engine)
            for name in STAGES:
                for _engine in range(STAGES[name][4]):
                    await site.add_engine(
                        site3.Engine(name, ZONE, pieces=new_stage(name))
                    )
            await site.start_entries([ZONE, ZONE])
            code = await play(site, trouble, record)
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return code


async def play(site, trouble, record):
    start_s = trio.current_time()
    results = {"calm": [], "trouble": []}
    large = []

    async def ask_once(key, pieces, entry, left_s):
        """Return the status of one attempt, and when to come back."""
        channel = await site3.open_channel(entry)
        if channel is None:
            return "no channel", None
        request_id = site3.new_id()
        request = site3.new_request(
            "POST",
            "/query/",
            request_id,
            {
                "Api-Key": key,
                "X-Deadline-Ms": str(int(left_s * 1000)),
                "X-Model": "m",
                "X-Token-Counts": "2300,25",
                "X-Pieces": pieces,
                "X-Piece-Key": request_id[:12],
                "X-Prompt-Prefix": f"a1b2:341,{request_id[:8]}:1959",
            },
            b"x" * 40,
        )
        answer = await channel.ask(request, left_s + 2.0)
        channel.stream.socket.close()
        if answer is None:
            return "none", None
        return answer[0], answer[1].get("retry-after")

    async def ask(key, pieces, entry, results):
        """Ask, and come back once when the entry says so."""
        sent_s = trio.current_time()
        end_s = sent_s + DEADLINE_S
        status, return_s = await ask_once(key, pieces, entry, DEADLINE_S)
        tries = 1
        if status == 503 and return_s is not None:
            # As long as the page lets a consumer wait.
            left_s = end_s - trio.current_time()
            await trio.sleep(max(min(float(return_s), left_s / 3), 0.0))
            left_s = end_s - trio.current_time()
            if left_s > 0.1:
                other = site.entries[1 - site.entries.index(entry)]
                status, _time = await ask_once(key, pieces, other, left_s)
                tries = 2
        results.append(status)
        record.write(
            f"{key} pieces {pieces}: {status}, {tries} tries, after "
            f"{trio.current_time() - sent_s:.2f} s"
        )

    async def ask_large():
        await trio.sleep(WARM_S)
        while trio.current_time() < start_s + SECONDS:
            await ask("k2", LARGE_PIECES, site.entries[0], large)
            await trio.sleep(LARGE_PAUSE_S)

    async with trio.open_nursery() as nursery:
        count = 0
        if trouble:
            nursery.start_soon(ask_large)
        while (now := trio.current_time()) < start_s + SECONDS:
            entry = site.entries[count % 2]
            name = "calm" if now < start_s + WARM_S else "trouble"
            nursery.start_soon(ask, "k1", "1,6,16", entry, results[name])
            count += 1
            await trio.sleep(1 / ORDINARY_PER_S)
            if count % 8 == 0:
                memory = [f"{one.get_memory_mb():.0f}" for one in site.entries]
                record.write(f"memory {memory} MB")
    calls = sum(len(engine.calls) for engine in site.engines)
    shares = {}
    for name, statuses in results.items():
        served = sum(status == 200 for status in statuses)
        shares[name] = served / len(statuses)
        record.write(f"{name}: {served} of {len(statuses)} served")
    record.write(f"large: {large}; calls for pieces {calls}")
    return int(shares["trouble"] < STARVED * shares["calm"])


if __name__ == "__main__":
    sys.exit(site3.run_case(run, HERE))
