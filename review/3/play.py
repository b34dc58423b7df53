"""An engine spoils the id of an event of a stream, and breaks off.

Consumers keep channels for other requests, which sound engines run.
"""

import asyncio
import random

from standins import case as case_module
from standins import engines
from standins import http

ZONES = ["ishikari-a", "shiribeshi-a", "kamikawa-a"]
MODELS = 6
# 2 of the 6 engines, a share under 0.35.
GARBLING_ENGINES = 2
# Every 40th answer, a share of 0.025.
GARBLED_EVERY = 40
GARBLED_EVENT = 3
# After this, all entries have run for `stable_window_ms`.
GARBLE_FROM_S = 6.0
GARBLE_S = 6.5
PLAY_S = 15.0
STREAMS_PER_S = 80
CHANNELS = 30
DESK_WORK_S = 0.1
RESTART_S = 1.0
# More than three such closings break the rule.
CLOSED_MAX = 3


class GarblingModelEngine(engines.ModelEngine):
    """A model engine that spoils some answers and breaks them off."""

    def __init__(self, case, engine_id, zone):
        super().__init__(case, engine_id, "kotoba", zone)
        self.events = 6
        self.event_s = 0.02
        self.is_garbling = False
        self.answers = 0

    async def run(self, channel, request, request_id):
        """Stream the events, or some of them and a spoiled one."""
        self.answers += self.is_garbling
        if not self.is_garbling or self.answers % GARBLED_EVERY:
            await super().run(channel, request, request_id)
            return
        headers = [
            *self.new_headers(request_id),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        await channel.send(http.new_response(200, headers, length=False))
        for number in range(1, GARBLED_EVENT):
            await channel.send(http.new_chunk(self.new_event(number)))
        event = self.new_event(GARBLED_EVENT)
        start = event.index(b"%d" % GARBLED_EVENT)
        spoiled = event[:start] + b"\0" + event[start + 1 :]
        self.case.record(f"{self.engine_id} spoils {request_id}: {spoiled!r}")
        await channel.send(http.new_chunk(spoiled))
        await asyncio.sleep(self.event_s)
        raise http.BrokenChannelError("broken off")


async def play(case):
    """Stream while engines garble; use kept channels beside that."""
    models = [
        GarblingModelEngine(case, f"i-kotoba-{number}", ZONES[number % 3])
        for number in range(MODELS)
    ]
    desks = [
        engines.Engine(case, f"i-desk-{zone}", "orderdesk", zone)
        for zone in ZONES
    ]
    for desk in desks:
        desk.work_s = DESK_WORK_S
    for engine in [*models, *desks]:
        await engine.start()
    routes = [
        case_module.new_route("rewrite", "stream", "kotoba", resumable=True),
        case_module.new_route("order", "unsafe", "orderdesk", attempts=1),
    ]
    services = [
        {"name": "kotoba", "max_conns": 630, "engine": {"slots": 128}},
        {"name": "orderdesk", "max_conns": 400},
    ]
    case.store.put("op/config", case_module.new_config(7, routes, services))
    await case.start_entries(ZONES)
    closed = []
    end_s = case.now_s() + PLAY_S
    async with asyncio.TaskGroup() as group:
        watching = group.create_task(restart_ended(case))
        group.create_task(garble(case, models))
        orders = [
            group.create_task(order(case, number, end_s, closed))
            for number in range(CHANNELS)
        ]
        number = 0
        while case.now_s() < end_s:
            number += 1
            group.create_task(stream(case, number))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.wait(orders)
        watching.cancel()
    if len(closed) > CLOSED_MAX:
        case.add_break(
            f"{len(closed)} requests of kept channels ran at sound engines"
            f" and their channels were closed without an answer: {closed}"
        )


async def garble(case, models):
    """Let some engines garble for a while."""
    await asyncio.sleep(GARBLE_FROM_S)
    if not case.has_trouble:
        return
    garbling = random.sample(models, GARBLING_ENGINES)
    case.record(f"garble: {[engine.engine_id for engine in garbling]}")
    for engine in garbling:
        engine.is_garbling = True
    await asyncio.sleep(GARBLE_S)
    for engine in garbling:
        engine.is_garbling = False
    case.record("garble ends")


async def restart_ended(case):
    """Start entries again that have ended by themselves."""
    while True:
        for entry in case.entries:
            if not entry.is_running():
                code = entry.process.returncode
                case.record(f"{entry.name} has ended by itself, exit {code}")
                case.record(f"it wrote: {entry.find_error()}")
                await asyncio.sleep(RESTART_S)
                entry.start()
                await entry.wait_until_ready()
        await asyncio.sleep(0.02)


async def order(case, channel, end_s, closed):
    """Send orders over one kept channel, one after the other."""
    entry = case.entries[channel % len(case.entries)]
    client = http.Client(entry.front)
    number = 0
    while case.now_s() < end_s:
        number += 1
        request_id = f"{channel:04x}{number:012x}"
        headers = case_module.new_headers(request_id, 1500)
        is_kept = client.requests > 0
        answer = await client.send("POST", "/order/2f", headers, b"order")
        case.record(
            f"consumer gets {answer.status} to {request_id}"
            f" from {entry.name} {answer.error}"
        )
        if not answer.status and is_kept and request_id in case.run_ids:
            closed.append(request_id)
        if answer.error:
            client = http.Client(entry.front)
            await asyncio.sleep(0.3)


async def stream(case, number):
    """Send a request for a stream."""
    request_id = f"f{number:015x}"
    headers = case_module.new_headers(
        request_id,
        X_Model="m",
        X_Token_Counts="100,30",
        X_Prompt_Prefix=f"{number:08x}:100",
    )
    entry = random.choice(case.entries)
    client = http.Client(entry.front)
    answer = await client.send("POST", "/rewrite/2f", headers, b"prompt")
    case.record(
        f"consumer gets {answer.status} to {request_id} from {entry.name},"
        f" whole: {answer.is_whole} {answer.error}"
    )
    client.close()


if __name__ == "__main__":
    case_module.main(play, __file__)
