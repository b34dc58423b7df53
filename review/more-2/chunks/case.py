"""Ordinary callers beside a caller whose bodies come in tiny chunks."""

import asyncio
import os
import sys
import time

sys.path.insert(
    0, os.path.join(os.path.dirname(__file__), "..", "..", "standins-2")
)

import fleet as fleet_module  # noqa: E402
import net  # noqa: E402

CHANNELS = 12
# Of each body, far below `max_body_bytes`.
BODY_BYTES = 480_000
TINY_BYTES = 1
USUAL_BYTES = 8000
WRITE_BYTES = 20_000
CALM_S = 5.0
PLAY_S = 25.0
CLIENT_TIMEOUT_S = 8.0
ORDINARY_PER_S = 5.0
TIMEOUT_MS = 1500
SLACK_S = 0.5
UNANSWERED_MIN = 8
UNANSWERED_SHARE = 0.25


def new_body(chunk_bytes):
    """Return a body in chunks of a size, without its end, in parts."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    part = chunk * (WRITE_BYTES // chunk_bytes)
    return [part] * (BODY_BYTES // WRITE_BYTES)


class Play:
    """A caller with bodies in chunks, and ordinary ones."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._is_over = False
        self._number = 0
        self.answers = []
        self.checks = []
        self.uploads = {}
        self.sent_bytes = 0

    async def _upload(self, channel, parts):
        """Send one request with a body in parts; return the status."""
        self._number += 1
        headers = fleet_module.new_headers(
            f"up{channel:x}-{self._number:x}",
            8000,
            more=[("Transfer-Encoding", "chunked")],
        )
        lines = [f"POST /order/{channel} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(lines) + "\r\n\r\n"
        host, _separator, port = self._fleet.entries[0].front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(head.encode())
            for part in parts:
                writer.write(part)
                await writer.drain()
                self.sent_bytes += len(part)
                if self._is_over:
                    return "over"
            writer.write(b"0\r\n\r\n")
            line = await reader.readline()
            return line.decode().split(" ")[1] if line else "closed"
        finally:
            writer.close()

    async def _upload_all(self, channel, parts):
        """Send requests with bodies, one after the other."""
        while not self._is_over:
            try:
                status = await asyncio.wait_for(
                    self._upload(channel, parts), CLIENT_TIMEOUT_S
                )
            except (OSError, asyncio.TimeoutError):
                status = "none"
            self.uploads[status] = self.uploads.get(status, 0) + 1
            await asyncio.sleep(0.05)

    async def _call_once(self, entry):
        """Send one ordinary request on a channel of its own."""
        self._number += 1
        sent_s = time.monotonic()
        client = net.Client(entry.front)
        headers = fleet_module.new_headers(f"look{self._number:x}", TIMEOUT_MS)
        status = 0
        try:
            status, _headers, _body = await asyncio.wait_for(
                client.ask("GET", "/look/1", headers),
                TIMEOUT_MS / 1000 + SLACK_S,
            )
        except (OSError, asyncio.TimeoutError):
            pass
        client.close()
        self.answers.append((sent_s, status))

    async def _call_ordinary(self, entry):
        calls = []
        while not self._is_over:
            calls.append(asyncio.ensure_future(self._call_once(entry)))
            await asyncio.sleep(1 / ORDINARY_PER_S)
        await asyncio.gather(*calls)

    async def _ask_ready(self, entry):
        """Ask once a second whether an entry is ready, as the platform."""
        while not self._is_over:
            at_s = time.monotonic()
            self.checks.append((at_s, await entry.is_ready()))
            await asyncio.sleep(1.0)

    async def run(self):
        """Return whether the rule was broken, and a text."""
        entry = self._fleet.entries[0]
        tasks = [
            asyncio.ensure_future(self._call_ordinary(entry)),
            asyncio.ensure_future(self._ask_ready(entry)),
        ]
        await asyncio.sleep(CALM_S)
        begin_s = time.monotonic()
        is_tiny = fleet_module.has_trouble()
        parts = new_body(TINY_BYTES if is_tiny else USUAL_BYTES)
        tasks += [
            asyncio.ensure_future(self._upload_all(channel, parts))
            for channel in range(CHANNELS)
        ]
        await asyncio.sleep(PLAY_S)
        self._is_over = True
        spent_s = time.monotonic() - begin_s
        await asyncio.gather(*tasks)
        return self._judge(begin_s, spent_s)

    def _judge(self, begin_s, spent_s):
        late = [status for sent_s, status in self.answers if sent_s > begin_s]
        unanswered = late.count(0)
        checks = [is_ready for at_s, is_ready in self.checks if at_s > begin_s]
        self._fleet.record.write(
            "ordinary requests",
            before=len(self.answers) - len(late),
            beside_the_bodies=len(late),
            unanswered=unanswered,
            answered_200=late.count(200),
            readiness_checks=len(checks),
            readiness_checks_missed=checks.count(False),
            bodies=self.uploads,
            mb_per_s=round(self.sent_bytes / spent_s / 1e6, 2),
        )
        is_broken = (
            unanswered >= UNANSWERED_MIN
            and unanswered > len(late) * UNANSWERED_SHARE
        )
        return is_broken, (
            f"{unanswered} of {len(late)} ordinary requests unanswered, "
            f"{checks.count(False)} of {len(checks)} readiness checks "
            f"missed, beside {self.sent_bytes / spent_s / 1e6:.2f} MB/s of "
            f"bodies {self.uploads}"
        )


async def play(fleet):
    """Start the deployment and play the case."""
    routes = [
        fleet_module.new_route(
            "look", "safe", "desk", timeout_ms=TIMEOUT_MS, goal_ms=175
        ),
        fleet_module.new_route("order", "unsafe", "desk", attempts=1),
    ]
    services = [{"name": "desk", "health_path": "/healthz", "max_conns": 960}]
    await fleet.start_store(fleet_module.new_config(1, routes, services))
    for number in range(3):
        await fleet.add_engine(fleet_module.Engine(f"i-desk-{number}", "desk"))
    await fleet.start_entries(1)
    return await Play(fleet).run()


if __name__ == "__main__":
    sys.exit(fleet_module.run_case(os.path.dirname(__file__), play))
