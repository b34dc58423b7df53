"""Changes of a large configuration that an entry can't catch up with."""

import asyncio
import os
import sys
import time

sys.path.insert(
    0, os.path.join(os.path.dirname(__file__), "..", "..", "standins-2")
)

import fleet as fleet_module  # noqa: E402
import net  # noqa: E402

# The configuration has nearly the most bytes that a value may have.
VALUE_MAX_BYTES = 1_048_576
TENANTS = 13_000
CUT_S = 4.5
CHANGES = 12
GAP_S = 0.33
APPLY_S = 2.5
STABLE_S = 4.0
CALM_S = 4.0
PERIOD_S = 0.1
END_S = 24.0
LATE_MIN = 10


class GatedStore:
    """The way of one entry to the store, which may be cut."""

    def __init__(self, store):
        self._store = store
        self.is_cut = False
        self.answers = []
        self.server = net.Server(self.handle)

    async def handle(self, request, reply):
        """Answer as the store does, or not at all."""
        while self.is_cut:
            await asyncio.sleep(0.05)
        await self._store.handle(request, reply)
        self.answers.append(time.monotonic())


class Play:
    """A caller on a kept channel, and changes in quick succession."""

    def __init__(self, fleet, gate):
        self._fleet = fleet
        self._gate = gate
        self._version = 1
        self._acked_s = None
        self.is_over = False
        self.runs = []

    def new_config(self, service):
        """Return the next configuration."""
        routes = [
            fleet_module.new_route("look", "safe", service, public=True),
            fleet_module.new_route("order", "unsafe", "desk", attempts=1),
        ]
        services = [
            {"name": "old", "max_conns": 96},
            {"name": "new", "max_conns": 96},
            {"name": "desk", "max_conns": 96},
        ]
        config = fleet_module.new_config(self._version, routes, services)
        config["tenants"] += [
            {
                "name": f"workshop-{number:05d}",
                "api_keys": [f"9dnn2ctnfzs989anu6ws{number:05d}"],
            }
            for number in range(TENANTS)
        ]
        return config

    def _publish(self, service):
        self._version += 3
        config = self.new_config(service)
        self._fleet.store.put("op/config", config)
        self._acked_s = time.monotonic()
        self._fleet.record.write(
            "configuration acknowledged",
            version=self._version,
            look_goes_to=service,
            value_bytes=len(fleet_module.encode(config)) * 3 // 4,
        )

    async def _change(self):
        """Change the configuration in quick succession."""
        for number in range(CHANGES):
            self._publish("new")
            await asyncio.sleep(GAP_S)

    async def _call(self, entry):
        """Send requests over one channel that stays open."""
        client = net.Client(entry.front)
        number = 0
        while not self.is_over:
            number += 1
            sent_s = time.monotonic()
            headers = fleet_module.new_headers(
                f"{entry.name}-{number:x}", 1500, key=""
            )
            try:
                status, _headers, body = await client.ask(
                    "GET", "/look/1", headers
                )
            except OSError:
                status, body = 0, b""
            service = body.rpartition(b" ")[2].decode()
            self.runs.append((entry.name, sent_s, status, service))
            if number % 10 == 0:
                self._fleet.record.write(
                    "answered",
                    entry=entry.name,
                    status=status,
                    service=service,
                )
            await asyncio.sleep(PERIOD_S)
        client.close()

    async def run(self):
        """Return whether the rule was broken, and a text."""
        record = self._fleet.record
        calls = [
            asyncio.ensure_future(self._call(entry))
            for entry in self._fleet.entries
        ]
        await asyncio.sleep(CALM_S)
        if fleet_module.has_trouble():
            self._gate.is_cut = True
            record.write("front-1 is cut off from the store")
        cut_end_s = time.monotonic() + CUT_S
        await asyncio.sleep(0.2)
        await self._change()
        await asyncio.sleep(max(cut_end_s - time.monotonic(), 0))
        self._gate.is_cut = False
        healed_s = time.monotonic()
        record.write("front-1 reaches the store")
        await asyncio.sleep(END_S)
        self.is_over = True
        await asyncio.gather(*calls)
        due_s = max(self._acked_s + APPLY_S, healed_s + STABLE_S)
        return self._judge(due_s, healed_s)

    def _judge(self, due_s, healed_s):
        late = {}
        for name, sent_s, status, service in self.runs:
            if sent_s > due_s and status == 200 and service == "old":
                late.setdefault(name, []).append(sent_s)
        asked = [
            at_s
            for at_s in self._gate.answers
            if healed_s < at_s < healed_s + STABLE_S
        ]
        text = ", ".join(
            f"{name}: {len(times)} requests run by the old service, the "
            f"last sent {max(times) - self._acked_s:.1f} s after the ack"
            for name, times in late.items()
        )
        is_broken = any(len(times) >= LATE_MIN for times in late.values())
        return is_broken, (
            f"{text or 'none run by the old service'}; front-1 took "
            f"{len(asked)} whole answers of the store in the first "
            f"{STABLE_S:.0f} s after the cut"
        )


async def play(fleet):
    """Start the deployment and play the case."""
    gate = GatedStore(fleet.store)
    case = Play(fleet, gate)
    await gate.server.start()
    config = case.new_config("old")
    size = len(fleet_module.encode(config)) * 3 // 4
    if size > VALUE_MAX_BYTES:
        raise ValueError(f"{size} bytes are too many for a value")
    await fleet.start_store(config)
    for service in ("old", "new", "desk"):
        for number in (1, 2):
            await fleet.add_engine(
                fleet_module.Engine(f"i-{service}-{number}", service)
            )
    await fleet.start_entries(
        2,
        change_by_number={
            0: {"provider": {"address": gate.server.address}},
        },
    )
    return await case.run()


if __name__ == "__main__":
    sys.exit(fleet_module.run_case(os.path.dirname(__file__), play))
