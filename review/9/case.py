"""The entries are stopped and started in turn, as planned.

Engines of two software versions serve side by side. Do the streams that end
with their entry go on when their consumers take them up again?
"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))

import h11  # noqa: E402
import site3  # noqa: E402
import trio  # noqa: E402

ZONE = "lalitpur-a"
ENTRIES = 4
ENGINES_PER_VERSION = 3
VERSIONS = ("1.4", "1.5")
EVENTS = 48
GAP_S = 0.25
DEADLINE_S = 15.0
HISTORY_S = 20.0
FIRST_STOP_S = 16.0
STOP_GAP_S = 3.0
DOWN_S = 0.5
GRACE_S = 8.0
END_S = 55.0
STABLE_S = 4.0
READY_S = 0.5
MISSES_MAX = 2
STREAMS_PER_S = 5.0
RETRY_S = 0.3
TRIES_MAX = 4
# The rule counts from so many streams that are taken up.
TAKEN_UP_MIN = 12
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-dye",
            "host": "kits.example",
            "path_prefix": "/dye/",
            "kind": "stream",
            "timeout_ms": 15000,
            "goal_ms": 2100,
            "priority": 0,
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


class Store(site3.Store):
    """A store that has run for long, and keeps 20 s of history."""

    def __init__(self):
        super().__init__()
        self.put_s = []
        self.first_known = 0

    def forget(self, age_s):
        """Drop the history that is older than so many seconds."""
        kept = []
        for event in self.events:
            if trio.current_time() - event["at_s"] > age_s:
                self.first_known = max(self.first_known, event["revision"])
            else:
                kept.append(event)
        self.events = kept

    def put(self, key, value):
        super().put(key, value)
        self.events[-1]["at_s"] = trio.current_time()

    def delete(self, key):
        super().delete(key)
        self.events[-1]["at_s"] = trio.current_time()

    async def handle(self, request, fields, body, connection):
        self.forget(HISTORY_S)
        target = request.target.decode()
        if target.startswith("/api/kv-watch"):
            after = int(target.partition("after=")[2].partition("&")[0])
            if after < self.first_known:
                return 410, [], b""
        return await super().handle(request, fields, body, connection)


class VersionedEngine(site3.Engine):
    """An engine whose events name its software version."""

    def __init__(self, version):
        super().__init__("rope", ZONE, is_stream=True)
        self.version = version
        self.work_s, self.events, self.gap_s = 0.1, EVENTS, GAP_S

    def get_entry(self, state="ready"):
        return dict(super().get_entry(state), version=self.version)

    async def run(self, request, fields, body, connection):
        self.runs[fields["x-request-id"]] += 1
        after = int(fields.get("last-event-id", "0"))
        return self._write(connection, fields["x-request-id"], after)

    async def _write(self, connection, request_id, after):
        await trio.sleep(self.work_s)
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
        for number in range(after + 1, self.events + 1):
            await trio.sleep(self.gap_s)
            event = f"id: {number}\ndata: {self.version}\n\n"
            yield connection.send(h11.Data(data=event.encode()))
        yield connection.send(h11.EndOfMessage())


class Stream:
    """A stream of one consumer, over all of its attempts."""

    def __init__(self, number):
        self.number = number
        self.first_id = ""
        self.last = 0
        self.status = None
        self.is_whole = False
        self.is_broken = False
        self.versions = set()
        self.tries = 0


async def read_stream(channel, stream, record):
    """Read events; return the status of the answer, None without one."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method="GET", target="/", headers=[("Host", "x")])
    )
    connection.send(h11.EndOfMessage())
    status, rest = None, b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return status
        if event is h11.NEED_DATA:
            connection.receive_data(await channel.stream.receive_some(65536))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data) and status == 200:
            rest += event.data
            *events, rest = rest.split(b"\n\n")
            for one in events:
                number = int(one.split(b"\n")[0][4:])
                if number != stream.last + 1:
                    stream.is_broken = True
                    record.write(
                        f"{stream.number}: event {number} after {stream.last}"
                    )
                stream.last = number
                stream.versions.add(one.split(b"\n")[1][6:].decode())
        elif isinstance(event, h11.EndOfMessage):
            if status == 200:
                stream.is_whole = True
            return status
        elif isinstance(event, h11.ConnectionClosed):
            return status


async def run(trouble, record, folder):
    async with trio.open_nursery() as nursery:
        site = site3.Site(nursery, folder)
        site.store = Store()
        try:
            await site.start_store(CONFIG)
            for version in VERSIONS * ENGINES_PER_VERSION:
                await site.add_engine(VersionedEngine(version))
            # All of this was written long ago.
            await trio.sleep(0.1)
            site.store.forget(0.0)
            await site.start_entries([ZONE] * ENTRIES)
            code = await play(site, trouble, record)
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return code


class Balancer:
    """Chooses an entry in rotation for a new channel, as the platform does."""

    def __init__(self, entries):
        self.entries = entries
        self.misses = {entry.name: 0 for entry in entries}
        self.in_touch_s = {entry.name: 0.0 for entry in entries}
        self._count = 0

    async def watch(self, entry):
        """Ask an entry once a second whether it is ready."""
        while True:
            is_ready = await entry.is_ready()
            self.misses[entry.name] += 1
            if is_ready:
                self.misses[entry.name] = 0
            await trio.sleep(1.0)

    def choose(self, last):
        """Return an entry in rotation, another one than the last."""
        ready = [
            entry
            for entry in self.entries
            if self.misses[entry.name] < MISSES_MAX and entry is not last
        ]
        self._count += 1
        ready = ready or self.entries
        return ready[self._count % len(ready)]


async def play(site, trouble, record):
    start_s = trio.current_time()
    balancer = Balancer(site.entries)
    streams = []
    # Whether each went on, or began, at a machine in touch.
    taken_up = {}
    begun = {}

    def get_s():
        return trio.current_time() - start_s

    async def consume(number):
        stream = Stream(number)
        streams.append(stream)
        end_s = trio.current_time() + DEADLINE_S
        entry = None
        for attempt in range(TRIES_MAX):
            left_s = end_s - trio.current_time()
            if left_s < 0.5 or stream.is_whole:
                break
            if attempt:
                await trio.sleep(RETRY_S)
                left_s = end_s - trio.current_time()
            entry = balancer.choose(entry)
            channel = await site3.open_channel(entry)
            if channel is None:
                continue
            request_id = site3.new_id()
            fields = {
                "Api-Key": "k1",
                "X-Model": "m",
                "X-Deadline-Ms": str(int(left_s * 1000)),
                "X-Token-Counts": "620,300",
                "X-Prompt-Prefix": f"a1b2:103,{request_id[:8]}:517",
            }
            is_taken_up = stream.last > 0
            if is_taken_up:
                fields["Last-Event-Id"] = str(stream.last)
                fields["Resumes"] = stream.first_id
            before, sent_s = stream.last, get_s()
            status = None
            with trio.move_on_after(left_s + 1.0):
                try:
                    await channel.stream.send_all(
                        site3.new_request(
                            "POST", "/dye/", request_id, fields, b"x" * 40
                        )
                    )
                    status = await read_stream(channel, stream, record)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
            channel.stream.socket.close()
            if not before and stream.last:
                stream.first_id = request_id
            is_going_on = stream.last > before
            is_in_touch = sent_s >= balancer.in_touch_s[entry.name]
            record.write(
                f"{number} {request_id} {'taken up' if is_taken_up else 'new'}"
                f" at {entry.name}, in touch {is_in_touch}, sent {sent_s:.2f} "
                f"s: status {status}, events {before} to {stream.last}, whole "
                f"{stream.is_whole}, versions {sorted(stream.versions)}"
            )
            if is_in_touch:
                results = taken_up if is_taken_up else begun
                results[number] = results.get(number, False) or is_going_on

    async def restart(entry):
        balancer.in_touch_s[entry.name] = float("inf")
        entry.process.terminate()
        stopped_s = get_s()
        record.write(f"SIGTERM to {entry.name}")
        with trio.move_on_after(GRACE_S):
            while entry.process.poll() is None:
                await trio.sleep(0.02)
        record.write(
            f"{entry.name} ended with {entry.process.poll()} after "
            f"{get_s() - stopped_s:.2f} s"
        )
        entry.stop()
        await trio.sleep(DOWN_S)
        entry.start()
        # Its processes run from now on.
        balancer.in_touch_s[entry.name] = get_s() + STABLE_S
        while not await entry.is_ready():
            await trio.sleep(0.05)
        record.write(f"{entry.name} is ready")

    async def restart_all():
        await trio.sleep(FIRST_STOP_S)
        for entry in site.entries:
            nursery.start_soon(restart, entry)
            await trio.sleep(STOP_GAP_S)

    async with trio.open_nursery() as nursery:
        for entry in site.entries:
            nursery.start_soon(balancer.watch, entry)
        if trouble:
            nursery.start_soon(restart_all)
        async with trio.open_nursery() as inner:
            for number in range(int((END_S - DEADLINE_S) * STREAMS_PER_S)):
                inner.start_soon(consume, number)
                await trio.sleep(1 / STREAMS_PER_S)
        nursery.cancel_scope.cancel()
    mixed = sum(len(one.versions) > 1 for one in streams)
    record.write(
        f"new streams: {sum(begun.values())} of {len(begun)} began; taken up: "
        f"{sum(taken_up.values())} of {len(taken_up)} went on; whole "
        f"{sum(one.is_whole for one in streams)} of {len(streams)}; "
        f"{mixed} of two versions"
    )
    if not begun:
        return 2
    if len(taken_up) < TAKEN_UP_MIN:
        return int(sum(begun.values()) < 0.5 * len(begun))
    share = sum(taken_up.values()) / len(taken_up)
    return int(share < 0.5 * sum(begun.values()) / len(begun) or mixed > 2)


if __name__ == "__main__":
    sys.exit(site3.run_case(run, HERE))
