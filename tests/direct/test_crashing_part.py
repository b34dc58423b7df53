"""One part of a prompt must not crash servers one after the other."""

import trio

from greengagetrack.version import catalog
from tests.direct import crashing_servers
from tests.direct import fakes

# What the users' rule allows from `STABLE_S` after the fifth crash.
STABLE_S = 4.0
FREE_CRASHES = 5
LATE_REQUESTS_MAX = 3
REQUEST_INTERVAL_S = 0.1
GUILTY_EVERY = 8
TRAFFIC_S = 30.0
ROUTE = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, target_gap_ms=100.0
)
SERVERS = [fakes.new_server(f"s{number}") for number in range(9)]


class Traffic:
    """Requests of one kind at several entries, some with the part."""

    def __init__(self, nursery, gateway, entries):
        self._nursery = nursery
        self._gateway = gateway
        self._entries = entries
        self.sound_outcomes = []

    async def run(self):
        """Send requests for `TRAFFIC_S`."""
        for number in range(int(TRAFFIC_S / REQUEST_INTERVAL_S)):
            self._nursery.start_soon(self._send, number)
            await trio.sleep(REQUEST_INTERVAL_S)

    async def _send(self, number):
        is_guilty = number % GUILTY_EVERY == 0
        shared = ["first", f"doc{number % 5}"]
        if is_guilty:
            shared[1:1] = [self._gateway.guilty_part]
        parts = crashing_servers.new_parts(*shared, own=f"own{number}")
        request_id = b"r%d" % number
        self._gateway.parts_by_request[request_id] = parts
        entry = self._entries[number % len(self._entries)]
        result, _reply = await entry.serve(
            ROUTE, request_id=request_id, parts=parts, prompt_tokens=1800
        )
        if not is_guilty:
            self.sound_outcomes.append((trio.current_time(), result))


def count_late_requests(gateway):
    """Return how many requests with the part came too late for the rule."""
    if len(gateway.crash_times) < FREE_CRASHES:
        return 0
    from_s = gateway.crash_times[FREE_CRASHES - 1] + STABLE_S
    return sum(time_s > from_s for time_s in gateway.guilty_times)


def test_part_that_crashes_servers_reaches_few_more_of_them():
    async def check(nursery):
        gateway = crashing_servers.CrashingGateway(SERVERS)
        entry = fakes.FakeEntry(nursery, gateway, SERVERS)
        await Traffic(nursery, gateway, [entry]).run()
        assert count_late_requests(gateway) <= LATE_REQUESTS_MAX

    fakes.run_with_mock_clock(check)
