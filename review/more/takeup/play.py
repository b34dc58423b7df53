"""A process is killed just after an engine with other software has come.

Consumers take up the streams that it had begun, at the other entries. All
engines of the version that began them still serve.
"""

import asyncio
import random
import re

from standins import case as case_module
from standins import engines
from standins import http

ZONES = ["ishikari-a", "shiribeshi-a", "kamikawa-a"]
OLD_ENGINES = 3
# Longer than a stream may last: an entry that knows less tells of each.
WARM_UP_S = 18.0
STREAMS = 30
STREAMS_S = 1.5
NEW_ENGINE_S = 5.0
KILL_AFTER_S = 0.3
EVENTS = 60
EVENT_S = 0.15
DEADLINE_MS = 15000
TAKE_UPS = 3
TAKE_UP_S = (0.5, 1.0)
NEW_STREAMS_PER_S = 5
PLAY_S = 12.0
STREAMS_MIN = 12


class Counts:
    """How many streams were taken up or begun, and how many went on."""

    def __init__(self):
        self.taken_up = 0
        self.went_on = 0
        self.new = 0
        self.begun = 0


async def play(case):
    """Kill an entry and take its streams up at the others."""
    for number in range(OLD_ENGINES):
        await new_engine(case, f"i-old-{number}", number, "v1").start()
    route = case_module.new_route(
        "rewrite",
        "stream",
        "kotoba",
        resumable=True,
        timeout_ms=DEADLINE_MS,
        goal_ms=2700,
    )
    services = [{"name": "kotoba", "max_conns": 630, "engine": {"slots": 128}}]
    case.store.put("op/config", case_module.new_config(7, [route], services))
    await case.start_entries(ZONES)
    await asyncio.sleep(WARM_UP_S)
    counts = Counts()
    async with asyncio.TaskGroup() as group:
        group.create_task(disturb(case))
        group.create_task(begin_new(case, counts))
        for number in range(STREAMS * len(ZONES)):
            group.create_task(consume(case, number, counts))
            await asyncio.sleep(STREAMS_S / STREAMS / len(ZONES))
    case.record(f"counts: {vars(counts)}")
    if counts.taken_up < STREAMS_MIN or not counts.new:
        if case.has_trouble:
            raise case_module.CannotRunError("too few streams were taken up")
        return
    share = counts.went_on / counts.taken_up
    if share < counts.begun / counts.new / 2:
        case.add_break(
            f"of {counts.taken_up} streams that were taken up"
            f" {counts.went_on} went on, of {counts.new} new ones"
            f" {counts.begun} began"
        )


def new_engine(case, engine_id, number, version):
    """Return an engine in one of the zones."""
    zone = ZONES[number % len(ZONES)]
    engine = engines.ModelEngine(case, engine_id, "kotoba", zone, version)
    engine.events = EVENTS
    engine.event_s = EVENT_S
    return engine


async def disturb(case):
    """Start an engine of another version, and kill an entry."""
    await asyncio.sleep(NEW_ENGINE_S)
    await new_engine(case, "i-new", 0, "v2").start()
    revision = case.store.revision
    case.record("an engine of v2 serves beside the others")
    await asyncio.sleep(KILL_AFTER_S)
    if not case.has_trouble:
        return
    read = case.store.read_revision_by_address
    unaware = [
        entry
        for entry in case.entries
        if read.get(entry.store_address, 0) < revision
    ]
    # Each entry reads the list about once a second.
    case.record(f"not yet read by {[entry.name for entry in unaware]}")
    killed = random.choice(unaware or case.entries)
    killed.kill()
    case.record(f"{killed.name} is killed")


async def consume(case, number, counts):
    """Read a stream; take it up elsewhere if it breaks off."""
    entry = case.entries[number % len(case.entries)]
    first_id = f"{number:012x}0000"
    answer = await send(case, entry, first_id, "", 0)
    last = find_last_event(answer.body)
    if answer.is_whole or not last:
        return
    counts.taken_up += 1
    for attempt in range(1, TAKE_UPS + 1):
        await asyncio.sleep(random.uniform(*TAKE_UP_S))
        others = [other for other in case.entries if other.is_running()]
        request_id = f"{number:012x}{attempt:04x}"
        answer = await send(
            case, random.choice(others), request_id, first_id, last
        )
        if find_last_event(answer.body) > last:
            counts.went_on += 1
            return


async def begin_new(case, counts):
    """Begin new streams at the entries that run."""
    await asyncio.sleep(NEW_ENGINE_S + KILL_AFTER_S + 0.2)
    number = 0
    end_s = case.now_s() + 3.0
    async with asyncio.TaskGroup() as group:
        while case.now_s() < end_s:
            number += 1
            group.create_task(begin(case, f"f{number:015x}", counts))
            await asyncio.sleep(1 / NEW_STREAMS_PER_S)


async def begin(case, request_id, counts):
    """Begin one new stream."""
    running = [entry for entry in case.entries if entry.is_running()]
    counts.new += 1
    answer = await send(case, random.choice(running), request_id, "", 0)
    counts.begun += bool(find_last_event(answer.body))


async def send(case, entry, request_id, first_id, last):
    """Send one try of a stream; return its `Answer`."""
    headers = case_module.new_headers(
        request_id,
        DEADLINE_MS,
        X_Model="m",
        X_Token_Counts="100,300",
        X_Prompt_Prefix=f"{request_id[:12]}:100",
    )
    if first_id:
        headers += [("Last-Event-Id", last), ("Resumes", first_id)]
    case.record(
        f"consumer sends {request_id} to {entry.name},"
        f" resumes {first_id or 'none'} after {last}"
    )
    client = http.Client(entry.front)
    answer = await client.send("POST", "/rewrite/2f", headers, b"prompt")
    client.close()
    case.record(
        f"consumer gets {answer.status} to {request_id} from {entry.name},"
        f" up to event {find_last_event(answer.body)},"
        f" whole: {answer.is_whole} {answer.error}"
    )
    return answer


def find_last_event(body):
    """Return the id of the last whole event, 0 without one."""
    ids = re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", body)
    return int(ids[-1]) if ids else 0


if __name__ == "__main__":
    case_module.main(play, __file__)
