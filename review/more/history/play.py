"""All entries are killed after the store has discarded its history.

Engines of a newer version have come, and those of the older one have left the
list before, but still serve the streams that they began.
"""

import asyncio
import random
import re

from standins import case as case_module
from standins import engines
from standins import http

ZONES = ["ishikari-a", "shiribeshi-a", "kamikawa-a"]
STREAMS = 40
STREAMS_S = 2.0
RELEASE_S = 3.0
COMPACT_AFTER_S = 1.5
KILL_AFTER_S = 0.5
DOWN_S = 0.8
EVENTS = 60
EVENT_S = 0.2
DEADLINE_MS = 15000
TRIES = 6
TAKE_UP_S = (0.4, 1.2)
# More than two streams of two versions break the rule.
MIXED_MAX = 2


async def play(case):
    """Stream through the release and the kill."""
    old = [new_engine(case, "old", number, "v1") for number in range(3)]
    for engine in old:
        await engine.start()
    route = case_module.new_route(
        "rewrite", "stream", "kotoba", resumable=True, timeout_ms=DEADLINE_MS
    )
    services = [{"name": "kotoba", "max_conns": 630, "engine": {"slots": 128}}]
    case.store.put("op/config", case_module.new_config(7, [route], services))
    await case.start_entries(ZONES)
    await asyncio.sleep(2.0)
    mixed = []
    async with asyncio.TaskGroup() as group:
        group.create_task(disturb(case, old))
        for number in range(STREAMS):
            group.create_task(consume(case, number, mixed))
            await asyncio.sleep(STREAMS_S / STREAMS)
    if len(mixed) > MIXED_MAX:
        case.add_break(f"{len(mixed)} streams of two versions")


def new_engine(case, name, number, version):
    """Return an engine in one of the zones."""
    engine_id = f"i-{name}-{number}"
    zone = ZONES[number]
    engine = engines.ModelEngine(case, engine_id, "kotoba", zone, version)
    engine.events = EVENTS
    engine.event_s = EVENT_S
    return engine


async def disturb(case, old):
    """Release a version; discard the history; kill all entries."""
    await asyncio.sleep(RELEASE_S)
    for number in range(3):
        await new_engine(case, "new", number, "v2").start()
    for engine in old:
        engine.remove()
    case.record("engines of v2 have come, those of v1 have left the list")
    if not case.has_trouble:
        return
    await asyncio.sleep(COMPACT_AFTER_S)
    case.store.compact()
    case.record("the store has discarded its history")
    await asyncio.sleep(KILL_AFTER_S)
    for entry in case.entries:
        entry.kill()
    case.record("all entries are killed")
    await asyncio.sleep(DOWN_S)
    for entry in case.entries:
        entry.start()


async def consume(case, number, mixed):
    """Read a stream to its end, over several tries."""
    first_id, body = "", b""
    for attempt in range(TRIES):
        request_id = f"{number:012x}{attempt:04x}"
        headers = case_module.new_headers(
            request_id,
            DEADLINE_MS,
            X_Model="m",
            X_Token_Counts="100,300",
            X_Prompt_Prefix=f"{number:08x}:100",
        )
        if first_id:
            last = re.findall(rb"id: (\d+)\n", body)[-1].decode()
            headers += [("Last-Event-Id", last), ("Resumes", first_id)]
        client = http.Client(random.choice(case.entries).front)
        answer = await client.send("POST", "/rewrite/2f", headers, b"prompt")
        client.close()
        events = answer.body[: answer.body.rfind(b"\n\n") + 2]
        if len(events) < 4:
            events = b""
        if events and not first_id:
            first_id = request_id
        body += events
        case.record(f"consumer gets {answer.status} to {request_id}")
        if answer.status == 200 and answer.is_whole:
            break
        await asyncio.sleep(random.uniform(*TAKE_UP_S))
    versions = set(re.findall(rb"data: (\w+) ", body))
    if len(versions) > 1:
        mixed.append(number)


if __name__ == "__main__":
    case_module.main(play, __file__)
