"""A request crashes each engine that begins to run it, and comes again.

The engines send the head of an answer at once, and begin to run the request
some time later. How often does it reach engines after the third crash?
"""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-3"))

import h11  # noqa: E402
import site3  # noqa: E402
import trio  # noqa: E402

ZONE = "lalitpur-a"
ENTRIES = 3
ENGINES = 9
# Between the head and the first event: the queue and the prompt.
PREFILL_S = 0.8
EVENTS = 5
GAP_S = 0.05
BACK_S = 3.0
ORDINARY_PER_S = 6.0
CALM_S = 5.0
PERIOD_S = 2.0
SECONDS = 60.0
STABLE_S = 4.0
CRASHES = 3
RETRIES_MAX = 3
DEADLINE_MS = 8000
BAD_BODY = b"the body of the request that crashes engines"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-query",
            "host": "kits.example",
            "path_prefix": "/query/",
            "kind": "stream",
            "timeout_ms": 8000,
            "goal_ms": 1600,
            "priority": 1,
            "service": "rope",
            "attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 400,
        },
    ],
    "services": [
        {
            "name": "rope",
            "health_path": "/healthz",
            "max_conns": 610,
            "engine": {"slots": 128, "kv_capacity": 741862, "stride": 5},
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "own", "api_keys": ["k1"]}],
}


class FragileEngine(site3.Engine):
    """An engine that one request crashes as it begins to run it."""

    def __init__(self, play):
        super().__init__("rope", ZONE, is_stream=True)
        self._play = play

    async def run(self, request, fields, body, connection):
        """Run a request of a consumer."""
        is_bad = body == BAD_BODY and self._play.trouble
        if body == BAD_BODY:
            self._play.record_arrival(self, fields["x-request-id"])
        return self._write(connection, fields["x-request-id"], is_bad)

    async def _write(self, connection, request_id, is_bad):
        yield connection.send(
            h11.Response(
                status_code=200,
                headers=[
                    ("X-Request-Id", request_id),
                    ("X-Engine-Seal", f"s.{self.id}"),
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked"),
                ],
            )
        )
        await trio.sleep(PREFILL_S)
        if is_bad:
            self._play.crash(self)
            await trio.sleep_forever()
        self.runs[request_id] += 1
        for number in range(1, EVENTS + 1):
            await trio.sleep(GAP_S)
            event = f"id: {number}\ndata: {request_id} {number}\n\n"
            yield connection.send(h11.Data(data=event.encode()))
        yield connection.send(h11.EndOfMessage())


class Play:
    """What happens in a run, and what is counted."""

    def __init__(self, site, trouble, record):
        self.site = site
        self.trouble = trouble
        self._record = record
        self.crash_times = []
        self.late_arrivals = []

    def record_arrival(self, engine, request_id):
        """Record that the request reaches an engine."""
        now = trio.current_time()
        is_late = (
            len(self.crash_times) >= CRASHES
            and now > self.crash_times[CRASHES - 1] + STABLE_S
        )
        if is_late:
            self.late_arrivals.append(request_id)
        self._record.write(f"{request_id} reaches {engine.id}, late {is_late}")

    def crash(self, engine):
        """Let an engine crash, and be back after some seconds."""
        self.crash_times.append(trio.current_time())
        self._record.write(f"{engine.id} crashes")
        self.site.nursery.start_soon(self._crash, engine)

    async def _crash(self, engine):
        engine.scope.cancel()
        await trio.sleep(BACK_S)
        engine.scope = trio.CancelScope()
        engine.born = int(time.time() * 1000)
        port = int(engine.address.rpartition(":")[2])
        await site3.listen(
            self.site.nursery, engine.handle, engine.scope, port
        )
        self.site.store.put(f"servers/{engine.id}", engine.get_entry())


async def run(trouble, record, folder):
    """Return 1 if the request reaches engines too often."""
    async with trio.open_nursery() as nursery:
        site = site3.Site(nursery, folder)
        play = Play(site, trouble, record)
        try:
            await site.start_store(CONFIG)
            for _engine in range(ENGINES):
                await site.add_engine(FragileEngine(play))
            await site.start_entries([ZONE] * ENTRIES)
            code = await consume_all(play, record)
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return code


async def consume_all(play, record):
    """Send the requests; return the code of the case."""
    site = play.site
    start_s = trio.current_time()
    statuses = []

    async def ask(entry, body, last_part):
        channel = await site3.open_channel(entry)
        request = site3.new_request(
            "POST",
            "/query/a",
            site3.new_id(),
            {
                "Api-Key": "k1",
                "X-Deadline-Ms": str(DEADLINE_MS),
                "X-Model": "m",
                "X-Token-Counts": "2300,25",
                "X-Prompt-Prefix": f"a1b2:341,{last_part}:1959",
            },
            body,
        )
        answer = await channel.ask(request, DEADLINE_MS / 1000 + 0.5)
        channel.stream.socket.close()
        return answer[0] if answer else "none"

    async def ask_ordinary(entry):
        name = site3.new_id()
        statuses.append(await ask(entry, name.encode(), name[:8]))

    async def ask_bad(entry):
        status = await ask(entry, BAD_BODY, "c0ffee11")
        record.write(f"bad request at {entry.name}: {status}")

    count = 0
    async with trio.open_nursery() as nursery:
        next_bad_s = start_s + CALM_S
        while (now := trio.current_time()) < start_s + SECONDS:
            entry = site.entries[count % ENTRIES]
            nursery.start_soon(ask_ordinary, entry)
            if now >= next_bad_s:
                next_bad_s = now + PERIOD_S
                nursery.start_soon(ask_bad, entry)
            count += 1
            await trio.sleep(1 / ORDINARY_PER_S)
    served = sum(status == 200 for status in statuses)
    record.write(
        f"ordinary: {served} of {len(statuses)} answered 200; crashes "
        f"{len(play.crash_times)}; late arrivals {len(play.late_arrivals)} "
        f"of {len(set(play.late_arrivals))} requests"
    )
    return int(len(set(play.late_arrivals)) > RETRIES_MAX)


if __name__ == "__main__":
    sys.exit(site3.run_case(run, HERE))
