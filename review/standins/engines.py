"""Stand-ins of the platform's engines: plain, streaming and of stages."""

import asyncio
import json
import time

from standins import http

NOT_RUN = (("X-Not-Run", "1"),)


class Engine:
    """A plain engine; the others differ in `run`.

    `case.run_ids` tells which requests engines began to run.
    """

    def __init__(self, case, engine_id, service, zone, version="v1"):
        self.case = case
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.version = version
        self.state = "ready"
        self.slots = 8
        self.work_s = 0.02
        self.address = "127.0.0.1:0"
        self.server = None
        self.born = 0

    async def start(self):
        """Listen and register in the store."""
        self.server = http.Server(self._handle)
        await self.server.start(self.address)
        self.address = self.server.address
        self.born = int(time.time() * 1000)
        self.publish()

    def publish(self):
        """Write the entry of this engine to the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        self.case.store.put(f"servers/{self.engine_id}", entry)

    def remove(self):
        """Remove the entry of this engine from the store."""
        self.case.store.delete(f"servers/{self.engine_id}")

    def crash(self):
        """End at once; nothing is said to the store."""
        self.server.crash()
        self.case.record(f"engine {self.engine_id} crashes")

    async def _handle(self, channel, request):
        expected = request.get("x-expect-instance")
        if expected is not None and expected != self.engine_id:
            instance = ("X-Instance-Id", self.engine_id)
            await channel.answer(421, [*NOT_RUN, instance])
            return
        method, target, _version = request.first_line.split(" ")
        if target == "/api/stage-run":
            await self.run_stage(channel, request)
        elif target == "/api/stage-free":
            await channel.answer(200, [("Content-Type", "application/json")])
        elif method == "GET" and target == "/healthz":
            instance = ("X-Instance-Id", self.engine_id)
            await channel.answer(200, [instance])
        else:
            request_id = request.get("x-request-id", "")
            self.case.record(f"{self.engine_id} runs {request_id} {target}")
            self.case.run_ids.add(request_id)
            await self.run(channel, request, request_id)

    def new_headers(self, request_id):
        """Return the header fields of an answer."""
        seal = f"seal.{self.engine_id}.{request_id}"
        return [("X-Request-Id", request_id), ("X-Engine-Seal", seal)]

    async def run(self, channel, request, request_id):
        """Run a request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"answer of {self.engine_id} to {request_id}".encode()
        await channel.answer(200, self.new_headers(request_id), body)

    async def run_stage(self, channel, request):
        """Refuse a call for pieces."""
        await channel.answer(404)


class StageEngine(Engine):
    """An engine that makes pieces of stages.

    `case.made` has the item of each result, by its handle. The answer to a
    call that bears an `X-Request-Id` echoes it.
    """

    def __init__(self, case, engine_id, service, zone):
        super().__init__(case, engine_id, service, zone)
        self.call_s = 0.03
        self.calls = 0
        self.slots = 1

    async def run_stage(self, channel, request):
        """Make the pieces of one call."""
        items = json.loads(request.body)["items"]
        await asyncio.sleep(self.call_s)
        self.calls += 1
        results = []
        for number, item in enumerate(items):
            handle = f"{self.address}/{self.calls:06x}{number:04x}"
            self.case.made[handle] = item
            results.append({"handle": handle})
        names = [f"{i['id']}/{i['stage']}/{i['piece']}" for i in items]
        self.case.record(f"{self.engine_id} makes {' '.join(names)}")
        headers = [("Content-Type", "application/json")]
        request_id = request.get("x-request-id")
        if request_id is not None:
            headers.append(("X-Request-Id", request_id))
        body = json.dumps({"items": results}).encode()
        await self.answer_pieces(channel, headers, body)

    async def answer_pieces(self, channel, headers, body):
        """Send the answer of a call."""
        await channel.answer(200, headers, body)


class ModelEngine(Engine):
    """An engine that streams events, which name its software version."""

    def __init__(self, case, engine_id, service, zone, version="v1"):
        super().__init__(case, engine_id, service, zone, version)
        self.slots = 128
        self.events = 20
        self.event_s = 0.1

    async def run(self, channel, request, request_id):
        """Stream the events after `Last-Event-Id`."""
        after = int(request.get("last-event-id") or 0)
        headers = [
            *self.new_headers(request_id),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        await channel.send(http.new_response(200, headers, length=False))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            await channel.send(http.new_chunk(self.new_event(number)))
        await channel.send(http.LAST_CHUNK)

    def new_event(self, number):
        """Return the bytes of an event."""
        text = f"id: {number}\ndata: {self.version} {self.engine_id}\n\n"
        return text.encode()
