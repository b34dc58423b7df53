"""Results that are freed at an address that another service has by now."""

import asyncio
import os
import sys
import time

sys.path.insert(
    0, os.path.join(os.path.dirname(__file__), "..", "..", "standins-2")
)

import fleet as fleet_module  # noqa: E402
import net  # noqa: E402

REQUESTS_PER_S = 20.0
CALM_S = 5.0
# What the engine asks for when it turns a call away.
RETRY_AFTER_S = 8
LEAVING_AFTER_S = 0.5
DRAIN_S = 2.5
# It serves a little longer than it has to.
LINGER_S = 0.3
REUSE_AFTER_S = 2.0
END_S = 4.0


class PieceEngine(fleet_module.Engine):
    """An engine of a stage that may be full for one call."""

    is_full = False
    turned_away = 0

    async def handle(self, request, reply):
        """Turn one call away while it is full, else serve it."""
        if self.is_full and request.target == "/api/stage-run":
            self.is_full = False
            self.turned_away += 1
            headers = [
                ("X-Not-Run", "1"),
                ("Retry-After", str(RETRY_AFTER_S)),
                ("X-Engine-Load", "1,2,1"),
            ]
            request_id = request.get("X-Request-Id")
            if request_id:
                headers.append(("X-Request-Id", request_id))
            await reply.whole(503, headers)
            return
        await super().handle(request, reply)


class Play:
    """Callers, and an engine that is full for a moment and then leaves."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.sent_ids = set()
        self.counts = {}
        self.is_over = False

    async def _send(self, number):
        request_id = f"q{number:x}"
        self.sent_ids.add(request_id)
        headers = fleet_module.new_headers(
            request_id,
            more=[
                ("X-Model", "m"),
                ("X-Token-Counts", "600,20"),
                ("X-Pieces", "3,3"),
                ("X-Piece-Key", "7c1e07a291bd"),
            ],
        )
        client = net.Client(self._fleet.entries[0].front)
        try:
            status, _headers, _body = await client.ask(
                "POST", f"/draft/{number}", headers, b"prompt"
            )
        except OSError:
            status = 0
        client.close()
        self.counts[status] = self.counts.get(status, 0) + 1

    async def send_all(self):
        """Send requests at a steady rate until the end."""
        number = 0
        tasks = []
        while not self.is_over:
            number += 1
            tasks.append(asyncio.ensure_future(self._send(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def run(self, engine):
        """Return whether the rule was broken, and a text."""
        record = self._fleet.record
        sending = asyncio.ensure_future(self.send_all())
        await asyncio.sleep(CALM_S)
        engine.is_full = True
        while engine.is_full:
            await asyncio.sleep(0.01)
        paused_s = time.monotonic()
        record.write(
            "call turned away",
            server=engine.engine_id,
            retry_after_s=RETRY_AFTER_S,
        )
        if fleet_module.has_trouble():
            await self._replace(engine)
        await asyncio.sleep(
            max(paused_s + RETRY_AFTER_S + END_S - time.monotonic(), 0)
        )
        self.is_over = True
        await sending
        return self._judge()

    async def _replace(self, engine):
        """Let the engine leave, and another service have its address."""
        fleet, record = self._fleet, self._fleet.record
        await asyncio.sleep(LEAVING_AFTER_S)
        engine.more_headers.append(("Server-Leaving", "1"))
        fleet.register(engine, "draining")
        record.write("server leaves", server=engine.engine_id)
        await asyncio.sleep(DRAIN_S + LINGER_S)
        address = engine.address
        engine.server.crash()
        fleet.store.delete(f"servers/{engine.engine_id}")
        record.write("server has left", address=address)
        await asyncio.sleep(REUSE_AFTER_S)
        port = int(address.rpartition(":")[2])
        new = fleet_module.Engine("i-desk-2", "desk", port=port)
        await fleet.add_engine(new)
        record.write(
            "address is used again",
            server=new.engine_id,
            service=new.service,
            address=new.address,
        )

    def _judge(self):
        """Return whether an engine ran what no consumer sent, and a text."""
        unasked = []
        for engine in self._fleet.engines:
            for at_s, request in engine.runs:
                request_id = request.get("X-Request-Id")
                if request_id in self.sent_ids:
                    continue
                unasked.append(request_id)
                self._fleet.record.write(
                    "ran unasked",
                    server=engine.engine_id,
                    service=engine.service,
                    request=request_id,
                    method=request.method,
                    target=request.target,
                    body=request.body.decode()[:200],
                    expected=request.get("X-Expect-Instance"),
                )
        ran = sum(len(engine.runs) for engine in self._fleet.engines)
        return bool(unasked), (
            f"{len(unasked)} of {ran} requests that engines ran have an id "
            f"that no consumer sent; answers {self.counts}"
        )


async def play(fleet):
    """Start the deployment and play the case."""
    stages = [
        {"service": "prepare", "after": [], "bytes": 8000},
        {"service": "finish", "after": [0], "bytes": 6000},
    ]
    routes = [
        fleet_module.new_route(
            "draft", "stream", "model", stages=stages, resumable=True
        ),
        fleet_module.new_route("order", "unsafe", "desk", attempts=1),
    ]
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": 16,
        "call_ms": 150.0,
        "item_ms": 1.0,
        "headroom_mb": 58.5,
        "handle_s": 4.0,
        "link_mbps": 10000,
    }
    services = [
        {"name": "model", "max_conns": 610, "engine": {"slots": 128}},
        {"name": "desk", "health_path": "/healthz", "max_conns": 96},
        {"name": "prepare", "max_conns": 610, "pieces": pieces},
        {"name": "finish", "max_conns": 610, "pieces": pieces},
    ]
    await fleet.start_store(fleet_module.new_config(1, routes, services))
    await fleet.add_engine(fleet_module.Engine("i-desk-1", "desk"))
    for number in (1, 2):
        for engine in (
            fleet_module.Engine(f"i-model-{number}", "model", "stream"),
            PieceEngine(f"i-finish-{number}", "finish", "pieces"),
            PieceEngine(f"i-prepare-{number}", "prepare", "pieces"),
        ):
            await fleet.add_engine(engine)
    leaving = fleet.engines[-1]
    await fleet.start_entries(1)
    return await Play(fleet).run(leaving)


if __name__ == "__main__":
    sys.exit(fleet_module.run_case(os.path.dirname(__file__), play))
