"""The store drops its history while engines and entries are replaced.

Both are planned: a release of the engines, and a restart of the entries in
turn. Does a stream that a consumer takes up
again hold events of two software versions?
"""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-3"))

import h11  # noqa: E402
import site3  # noqa: E402
import trio  # noqa: E402

ZONE = "lalitpur-a"
ENTRIES = 3
# Of each version at the start: half of all engines are replaced.
ENGINES = 2
RELEASE_GAP_S = 1.0
EVENTS = 52
GAP_S = 0.25
DEADLINE_S = 15.0
HISTORY_S = 20.0
OLD, NEW = "1.4", "1.5"
RELEASE_S = 4.0
# They serve for longer than drain_ms.
OLD_LEAVE_S = 11.6
DROP_HISTORY_S = 11.8
FIRST_STOP_S = 5.0
STOP_GAP_S = 1.3
GRACE_S = 8.0
DOWN_S = 0.5
END_S = 32.0
STREAMS_PER_S = 8.0
RETRY_S = 1.0
TRIES_MAX = 6
# The rule is broken from so many streams on.
TAKEN_UP_MIN = 3
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
            for version in (OLD, NEW) * ENGINES:
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


async def play(site, trouble, record):
    start_s = trio.current_time()
    streams = []

    def get_s():
        return trio.current_time() - start_s

    async def consume(number):
        stream = Stream(number)
        streams.append(stream)
        end_s = trio.current_time() + DEADLINE_S
        for attempt in range(TRIES_MAX):
            left_s = end_s - trio.current_time()
            if left_s < 0.3 or stream.is_whole:
                break
            if attempt:
                await trio.sleep(min(RETRY_S, left_s))
                left_s = end_s - trio.current_time()
                if left_s < 0.3:
                    break
            entry = site.entries[(number + attempt) % ENTRIES]
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
            stream.tries += is_taken_up
            kind = "taken up" if is_taken_up else "new"
            record.write(
                f"{number} {request_id} {kind} at {entry.name}, sent "
                f"{sent_s:.2f} s: status {status}, events {before} to "
                f"{stream.last}, whole {stream.is_whole}, versions "
                f"{sorted(stream.versions)}"
            )

    async def release():
        """Replace all engines: the new ones start, the old ones drain."""
        old = [one for one in site.engines if one.version == OLD]
        await trio.sleep(RELEASE_S)
        for engine in old:
            await site.add_engine(VersionedEngine(NEW))
            site.store.put(
                f"servers/{engine.id}", engine.get_entry("draining")
            )
            record.write(f"{engine.id} of {OLD} drains, a new one is ready")
            await trio.sleep(RELEASE_GAP_S)
        await trio.sleep(OLD_LEAVE_S - RELEASE_S - len(old) * RELEASE_GAP_S)
        for engine in old:
            site.store.delete(f"servers/{engine.id}")
            engine.scope.cancel()
        record.write(f"the engines of {OLD} have left")

    async def drop_history():
        await trio.sleep(DROP_HISTORY_S)
        site.store.forget(0.0)
        record.write("the store drops its history")

    async def restart(entry):
        record.write(f"SIGTERM to {entry.name}")
        entry.process.terminate()
        with trio.move_on_after(GRACE_S):
            while entry.process.poll() is None:
                await trio.sleep(0.02)
        record.write(f"{entry.name} ended with {entry.process.poll()}")
        entry.stop()
        await trio.sleep(DOWN_S)
        entry.start()
        while not await entry.is_ready():
            await trio.sleep(0.05)
        record.write(f"{entry.name} is ready")

    async def restart_all():
        await trio.sleep(FIRST_STOP_S)
        for entry in site.entries:
            nursery.start_soon(restart, entry)
            await trio.sleep(STOP_GAP_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(release)
        nursery.start_soon(restart_all)
        if trouble:
            nursery.start_soon(drop_history)
        for number in range(int((END_S - DEADLINE_S) * STREAMS_PER_S)):
            nursery.start_soon(consume, number)
            await trio.sleep(1 / STREAMS_PER_S)
    mixed = [one for one in streams if len(one.versions) > 1]
    taken_up = [one for one in streams if one.tries]
    record.write(
        f"{len(streams)} streams, {sum(one.is_whole for one in streams)} "
        f"whole, {len(taken_up)} taken up, {len(mixed)} of two versions"
    )
    if not any(one.is_whole for one in streams):
        return 2
    return int(
        len(mixed) >= TAKEN_UP_MIN or any(one.is_broken for one in streams)
    )


if __name__ == "__main__":
    sys.exit(site3.run_case(run, HERE))
