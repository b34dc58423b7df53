"""An engine crashes while an entry that reads its answers stands still.

Some answers of the engine have neither a length nor chunks. It is back
before the entry wakes.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

from standins import case as case_module
from standins import http

ZONES = ["ishikari-a", "ishikari-a", "shiribeshi-a", "shiribeshi-a"]
ZONES += ["kamikawa-a"]
ENGINES = 6
# On half of the engines, every 20th answer: a share of 0.05.
UNFRAMED_ENGINES = 3
UNFRAMED_EVERY = 20
EVENTS = 30
STREAMS_PER_S = 60
PLAY_S = 20.0
# One of the 5 entries stands still for 3.5 s, one of the 6 engines is down
# for 2 s meanwhile.
FREEZE_FROM_S = 8.0
FREEZE_S = 3.5
CRASH_AFTER_S = 0.2
DOWN_S = 2.0
# Three intervals of silence after the crash, an engine's entry is removed.
EXPIRY_S = 3.8
# The stream that is hit has begun at least and at most so long before.
BEGUN_S = (0.5, 2.0)
DEADLINE_MS = 15000


class EngineProcess:
    """An engine in a process of its own."""

    def __init__(self, case, number):
        self.number = number
        self.lifetime = 0
        self.address = "127.0.0.1:0"
        self.zone = ZONES[number % len(ZONES)]
        self.begun_s_by_request = {}
        self._case = case
        self._process = None

    @property
    def engine_id(self):
        """The id of this lifetime."""
        return f"i-kotoba-{self.number}-{self.lifetime}"

    async def start(self):
        """Start the process, and register it in the store."""
        self.lifetime += 1
        every = UNFRAMED_EVERY if self.number < UNFRAMED_ENGINES else 0
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            str(pathlib.Path(__file__).with_name("engine.py")),
            self.address,
            self.engine_id,
            str(every),
            stdout=asyncio.subprocess.PIPE,
        )
        line = await self._process.stdout.readline()
        self.address = line.decode().split()[1]
        self._case.store.put(
            f"servers/{self.engine_id}",
            {
                "service": "kotoba",
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 128,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": 1,
                "born": int(time.time() * 1000),
            },
        )
        self._case.record(f"{self.engine_id} listens at {self.address}")

    async def read(self):
        """Note the unframed answers that the process begins."""
        while True:
            line = await self._process.stdout.readline()
            if not line:
                return
            request_id = line.decode().split()[1]
            self.begun_s_by_request[request_id] = self._case.now_s()
            self._case.record(f"{self.engine_id} begins {request_id} unframed")

    async def kill(self):
        """Kill the process; its entry stays in the store for a while."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


async def play(case):
    """Stream while an entry stands still and an engine crashes."""
    engines = [EngineProcess(case, number) for number in range(ENGINES)]
    try:
        for engine in engines:
            await engine.start()
        await play_streams(case, engines)
    finally:
        for engine in engines:
            await engine.kill()


async def play_streams(case, engines):
    """Start the entries and send the requests."""
    route = case_module.new_route(
        "notes", "stream", "kotoba", attempts=1, timeout_ms=DEADLINE_MS
    )
    services = [{"name": "kotoba", "max_conns": 630, "engine": {"slots": 128}}]
    case.store.put("op/config", case_module.new_config(7, [route], services))
    await case.start_entries(ZONES)
    entry_by_request = {}
    readers = [asyncio.create_task(engine.read()) for engine in engines]
    async with asyncio.TaskGroup() as group:
        group.create_task(disturb(case, engines, entry_by_request))
        for number in range(int(PLAY_S * STREAMS_PER_S)):
            group.create_task(send(case, number, entry_by_request))
            await asyncio.sleep(1 / STREAMS_PER_S)
    for reader in readers:
        reader.cancel()


async def disturb(case, engines, entry_by_request):
    """Let an entry stand still, and an engine crash meanwhile."""
    await asyncio.sleep(FREEZE_FROM_S)
    if not case.has_trouble:
        return
    request_id, engine = await choose_stream(case, engines)
    entry = entry_by_request[request_id]
    entry.process.send_signal(signal.SIGSTOP)
    case.record(f"{entry.name} stands still, which relays {request_id}")
    frozen_s = case.now_s()
    await asyncio.sleep(CRASH_AFTER_S)
    case.record(f"{engine.engine_id} is killed")
    old_id = engine.engine_id
    await engine.kill()
    await asyncio.sleep(DOWN_S)
    await engine.start()
    await asyncio.sleep(max(frozen_s + FREEZE_S - case.now_s(), 0))
    entry.process.send_signal(signal.SIGCONT)
    case.record(f"{entry.name} wakes")
    await asyncio.sleep(EXPIRY_S - FREEZE_S)
    case.store.delete(f"servers/{old_id}")


async def choose_stream(case, engines):
    """Return an unframed stream that is under way, and its engine."""
    first_s, last_s = BEGUN_S
    while True:
        now_s = case.now_s()
        streams = [
            (request_id, engine)
            for engine in engines
            for request_id, begun_s in engine.begun_s_by_request.items()
            if first_s <= now_s - begun_s <= last_s
        ]
        if streams:
            return random.choice(streams)
        await asyncio.sleep(0.05)


async def send(case, number, entry_by_request):
    """Send a request and count the events of its answer."""
    request_id = f"{number:016x}"
    entry = random.choice(case.entries)
    entry_by_request[request_id] = entry
    headers = case_module.new_headers(
        request_id,
        DEADLINE_MS,
        X_Model="m",
        X_Token_Counts="100,150",
        X_Prompt_Prefix=f"{number:08x}:100",
    )
    client = http.Client(entry.front)
    answer = await client.send("POST", "/notes/2f", headers, b"prompt")
    client.close()
    events = answer.body.count(b"\n\n")
    framing = answer.headers.get("transfer-encoding", "ends with its channel")
    case.record(
        f"consumer gets {answer.status} to {request_id} from {entry.name},"
        f" {framing}, {events} events, whole: {answer.is_whole} {answer.error}"
    )
    if answer.status == 200 and answer.is_whole and events != EVENTS:
        case.add_break(
            f"{request_id} looks complete with {events} of {EVENTS} events"
        )


if __name__ == "__main__":
    case_module.main(play, __file__)
