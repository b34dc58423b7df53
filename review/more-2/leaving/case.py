"""All entries restart at once soon after an engine left as planned.

Do the streams that their consumers take up again go on?
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
ENGINES = 7
EVENTS = 36
GAP_S = 0.25
DEADLINE_S = 15.0
HISTORY_S = 20.0
LEAVE_S = 3.0
# drain_ms of the settings, and longer than any stream here.
SERVES_ON_S = 12.0
KILL_S = 10.0
DOWN_S = 0.5
END_S = 32.0
# stable_window_ms of the settings.
STABLE_S = 4.0
STREAMS_PER_S = 4.0
RETRY_S = 2.0
TRIES_MAX = 6
# The rule counts from so many streams that are taken up.
TAKEN_UP_MIN = 12
HAS_LEAVING = os.environ.get("LEAVING", "1") != "0"
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


class Stream:
    """A stream of one consumer, over all of its attempts."""

    def __init__(self, number):
        self.number = number
        self.first_id = ""
        self.last = 0
        self.status = None
        self.is_whole = False
        self.is_broken = False


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
            for _engine in range(ENGINES):
                engine = site3.Engine("rope", ZONE, is_stream=True)
                engine.work_s, engine.events, engine.gap_s = 0.1, EVENTS, GAP_S
                await site.add_engine(engine)
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
    in_touch_s = [0.0]
    taken_up = []
    begun = []

    def get_s():
        return trio.current_time() - start_s

    async def consume(number):
        stream = Stream(number)
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
            is_going_on = stream.last > before
            kind = "taken up" if is_taken_up else "new"
            record.write(
                f"{number} {request_id} {kind} at {entry.name}, sent "
                f"{sent_s:.2f} s: status {status}, events {before} to "
                f"{stream.last}, whole {stream.is_whole}"
            )
            if in_touch_s[0] and sent_s >= in_touch_s[0]:
                (taken_up if is_taken_up else begun).append(is_going_on)
        if stream.is_broken:
            begun.append(False)

    async def leave():
        """One engine leaves as planned, without reporting `draining`."""
        engine = site.engines[0]
        await trio.sleep(LEAVE_S)
        site.store.delete(f"servers/{engine.id}")
        record.write(f"engine {engine.id} leaves: its entry is removed")
        await trio.sleep(SERVES_ON_S)
        engine.scope.cancel()
        record.write(f"engine {engine.id} exits")

    async def kill_entries():
        await trio.sleep(KILL_S)
        for entry in site.entries:
            entry.stop()
        record.write("all entries are killed")
        await trio.sleep(DOWN_S)
        for entry in site.entries:
            entry.start()
        for entry in site.entries:
            while not await entry.is_ready():
                await trio.sleep(0.05)
        in_touch_s[0] = get_s() + STABLE_S
        record.write(
            f"all entries are ready again, in touch from {in_touch_s[0]:.2f} s"
        )

    async with trio.open_nursery() as nursery:
        if HAS_LEAVING:
            nursery.start_soon(leave)
        if trouble:
            nursery.start_soon(kill_entries)
        else:
            in_touch_s[0] = STABLE_S
        for number in range(int((END_S - DEADLINE_S) * STREAMS_PER_S)):
            nursery.start_soon(consume, number)
            await trio.sleep(1 / STREAMS_PER_S)
    record.write(
        f"new streams: {sum(begun)} of {len(begun)} began; taken up: "
        f"{sum(taken_up)} of {len(taken_up)} went on"
    )
    if not begun or (trouble and len(taken_up) < TAKEN_UP_MIN):
        return 2
    if len(taken_up) < TAKEN_UP_MIN:
        return int(not all(begun))
    share = sum(taken_up) / len(taken_up)
    return int(share < 0.5 * sum(begun) / len(begun))


if __name__ == "__main__":
    sys.exit(site3.run_case(run, HERE))
