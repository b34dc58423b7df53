"""Memory of an entry whose caller sends long ids of prompt parts."""

import asyncio
import os
import sys

sys.path.insert(
    0, os.path.join(os.path.dirname(__file__), "..", "..", "standins-2")
)

import fleet as fleet_module  # noqa: E402
import net  # noqa: E402

ENGINES = 9
# Of the smallest front machines of the grown sites.
MEMORY_MB = 200
MAX_FDS = 4100
CALLERS = 16
REQUESTS = 22_000
# With the other fields the head stays below `max_header_bytes`.
ID_CHARS = 15_600
SESSIONS = 60
SAMPLE_S = 0.25
PLAY_S = 95.0
MIB = 1024 * 1024


class Play:
    """Callers that send requests until the end, and the memory."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._sent = 0
        self._end_s = 0.0
        self._is_over = False
        self.peak_bytes = []
        self.counts = {}

    def _new_fields(self, number):
        session = f"{0x5C1E0000 + number % SESSIONS:08x}:410"
        shared = os.urandom(ID_CHARS // 2).hex()
        if fleet_module.has_trouble():
            return [("X-Prompt-Prefix", f"{shared}:800,{session}")]
        # The same size of head, with an id of the usual length.
        return [
            ("X-Prompt-Prefix", f"{shared[:8]}:800,{session}"),
            ("X-Note", shared[8:]),
        ]

    async def call(self):
        """Send requests over one connection, one after the other."""
        entry = self._fleet.entries[0]
        client = net.Client(entry.front)
        loop = asyncio.get_running_loop()
        while self._sent < REQUESTS and not self._is_over:
            if loop.time() > self._end_s:
                break
            self._sent += 1
            number = self._sent
            headers = fleet_module.new_headers(
                f"r{number:x}",
                more=[
                    ("X-Model", "m"),
                    ("X-Token-Counts", "1210,10"),
                    *self._new_fields(number),
                ],
            )
            try:
                status, _headers, _body = await client.ask(
                    "POST", f"/draft/{number}", headers, b"prompt"
                )
            except OSError:
                status = 0
            self.counts[status] = self.counts.get(status, 0) + 1
            if number % 500 == 0:
                self._fleet.record.write(
                    "sent",
                    request=f"r{number:x}",
                    status=status,
                    head_bytes=sum(len(n) + len(v) + 4 for n, v in headers),
                )
        client.close()

    async def run(self):
        """Return whether the bound on memory was broken, and a text."""
        fleet = self._fleet
        entries = fleet.entries
        limit = MEMORY_MB * MIB
        start_bytes = [entry.read_memory_bytes() for entry in entries]
        peaks = self.peak_bytes = list(start_bytes)
        loop = asyncio.get_running_loop()
        self._end_s = loop.time() + PLAY_S
        callers = [asyncio.ensure_future(self.call()) for _n in range(CALLERS)]
        while not all(caller.done() for caller in callers):
            await asyncio.sleep(SAMPLE_S)
            if any(entry.process.poll() is not None for entry in entries):
                return True, "an entry has ended"
            for number, entry in enumerate(entries):
                peaks[number] = max(peaks[number], entry.read_memory_bytes())
            fleet.record.write("memory", mib=_to_mib(peaks), sent=self._sent)
            if max(peaks) > limit:
                # Here the platform kills the process.
                self._is_over = True
                break
        await asyncio.gather(*callers)
        ran = sum(len(engine.runs) for engine in fleet.engines)
        fleet.record.write("answered", by_status=self.counts, ran=ran)
        return max(peaks) > limit, (
            f"{_to_mib(peaks)} MiB at {[entry.name for entry in entries]} "
            f"after {self._sent} requests to the first, "
            f"{_to_mib(start_bytes)} MiB at the start, {MEMORY_MB} MiB "
            f"allowed; answers {self.counts}"
        )


def _to_mib(sizes):
    return [round(size / MIB) for size in sizes]


async def play(fleet):
    """Start the deployment and play the case."""
    routes = [
        fleet_module.new_route(
            "draft", "stream", "model", sticky=True, resumable=True
        )
    ]
    services = [
        {
            "name": "model",
            "health_path": "/healthz",
            "max_conns": 610,
            "engine": {"slots": 128, "kv_capacity": 741862, "stride": 5},
        }
    ]
    await fleet.start_store(fleet_module.new_config(1, routes, services))
    for number in range(ENGINES):
        engine = fleet_module.Engine(f"i-model-{number}", "model", "stream")
        engine.event_count = 2
        engine.event_interval_s = 0.002
        await fleet.add_engine(engine)
    limits = fleet_module.LIMITS | {
        "memory_mb": MEMORY_MB,
        "max_fds": MAX_FDS,
    }
    await fleet.start_entries(2, {"limits": limits})
    return await Play(fleet).run()


if __name__ == "__main__":
    sys.exit(fleet_module.run_case(os.path.dirname(__file__), play))
