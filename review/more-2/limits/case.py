"""A configuration raises the limit on heads: are kept channels served?"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-3"))

import site3  # noqa: E402
import trio  # noqa: E402

ZONE = "lalitpur-a"
CHANNELS = 20
BEFORE_BYTES, AFTER_BYTES = 8192, 16384
HEAD_BYTES = 12_000
# A head of this size comes in several segments.
SEGMENT_GAP_S = 0.02
CHANGE_S = 4.0
APPLY_S = 2.5
SECONDS = 25.0
DENIED_MAX = 5


def new_config(version, head_bytes):
    return {
        "version": version,
        "routes": [
            {
                "name": "r-stock",
                "host": "kits.example",
                "path_prefix": "/stock/",
                "kind": "safe",
                "timeout_ms": 1500,
                "goal_ms": 175,
                "priority": 0,
                "service": "ledger",
                "attempts": 2,
                "public": False,
            },
        ],
        "services": [
            {"name": "ledger", "health_path": "/healthz", "max_conns": 96}
        ],
        "limits": {
            "max_header_bytes": head_bytes,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "own", "api_keys": ["k1"]}],
    }


async def run(trouble, record, folder):
    async with trio.open_nursery() as nursery:
        site = site3.Site(nursery, folder)
        try:
            await site.start_store(
                new_config(7, BEFORE_BYTES if trouble else AFTER_BYTES)
            )
            for _engine in range(3):
                await site.add_engine(site3.Engine("ledger", ZONE))
            await site.start_entries([ZONE])
            code = await play(site, trouble, record)
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return code


async def play(site, trouble, record):
    entry = site.entries[0]
    start_s = trio.current_time()
    counts = {}

    async def consume(number):
        await trio.sleep(number * 0.05)
        channel = await site3.open_channel(entry)
        while trio.current_time() < start_s + SECONDS:
            is_after = (
                trio.current_time() >= start_s + CHANGE_S + APPLY_S + 0.5
            )
            size = HEAD_BYTES if is_after else 600
            request = site3.new_request(
                "GET",
                "/stock/1",
                site3.new_id(),
                {
                    "Api-Key": "k1",
                    "X-Deadline-Ms": "1500",
                    "X-Note": "n" * (size - 200),
                },
            )
            middle = len(request) * 3 // 4
            if is_after:
                await channel.stream.send_all(request[:middle])
                await trio.sleep(SEGMENT_GAP_S)
                request = request[middle:]
            answer = await channel.ask(request, 3.0)
            status = answer[0] if answer else "none"
            key = ("after" if is_after else "before", status)
            counts[key] = counts.get(key, 0) + 1
            record.write(f"channel {number}: head of {size} bytes: {status}")
            if not answer or answer[1].get("connection") == "close":
                channel.stream.socket.close()
                channel = await site3.open_channel(entry)
            await trio.sleep(1.0)

    async with trio.open_nursery() as nursery:
        for number in range(CHANNELS):
            nursery.start_soon(consume, number)
        await trio.sleep(CHANGE_S)
        if trouble:
            site.store.put("op/config", new_config(9, AFTER_BYTES))
            record.write(f"max_header_bytes is {AFTER_BYTES}")
    denied = sum(
        count
        for (when, status), count in counts.items()
        if when == "after" and status != 200
    )
    record.write(f"answers {counts}, denied {denied}")
    return int(denied > DENIED_MAX + sum(counts.values()) / 500)


if __name__ == "__main__":
    sys.exit(site3.run_case(run, HERE))
