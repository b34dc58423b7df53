"""One part of a prompt must not crash servers one after the other."""

import random

import hypothesis
from hypothesis import strategies
import trio

from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module
from greengagetrack.version import catalog
from tests.direct import crashing_servers
from tests.direct import fakes

# What the users' rule allows from `STABLE_S` after the fifth crash.
STABLE_S = 4.0
FREE_CRASHES = 5
LATE_REQUESTS_MAX = 3
REQUEST_INTERVAL_S = 0.1
HARMFUL_SHARE = 0.12
PART_CRASHES_SERVERS = outcome_module.Reason.PART_CRASHES_SERVERS
TRAFFIC_S = 30.0
NEWS_INTERVAL_S = 0.4
ROUTE = fakes.new_route(
    repeat=catalog.Repeat.STREAM, is_resumable=True, target_gap_ms=100.0
)
SERVERS = [fakes.new_server(f"s{number}") for number in range(9)]
DOCUMENTS = 4


class Fleet:
    """Entries with requests of one kind, some of which have the part.

    Entries tell each other news, of which a share is lost. `held` has the
    parts because of which requests were refused.
    """

    def __init__(self, nursery, generator, entry_count=4, lost_share=0.0):
        self._nursery = nursery
        self._random = generator
        self._lost_share = lost_share
        self.gateway = crashing_servers.CrashingGateway(SERVERS)
        self.entries = [self._new_entry() for _entry in range(entry_count)]
        self.sound_results = []
        self.held = set()

    def _new_entry(self):
        return fakes.FakeEntry(self._nursery, self.gateway, SERVERS)

    def restart(self, index):
        """Replace an entry by one that knows nothing."""
        self.entries[index] = self._new_entry()

    async def run(self, harmful_share):
        """Send requests for `TRAFFIC_S`, and news all the while."""
        with trio.move_on_after(TRAFFIC_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._exchange_news)
                for number in range(int(TRAFFIC_S / REQUEST_INTERVAL_S)):
                    is_harmful = self._random.random() < harmful_share
                    nursery.start_soon(self._send, number, is_harmful)
                    await trio.sleep(REQUEST_INTERVAL_S)
                nursery.cancel_scope.cancel()

    async def _exchange_news(self):
        while True:
            await trio.sleep(NEWS_INTERVAL_S)
            for sender in self.entries:
                news = sender.crash_guard.new_news()
                for receiver in self.entries:
                    if self._random.random() >= self._lost_share:
                        receiver.crash_guard.apply_news(news)

    def _new_parts(self, number, is_harmful):
        # The part lies under a sound one that has few other requests.
        if is_harmful:
            shared = ("first", "doc0", self.gateway.harmful_part)
        else:
            shared = ("first", f"doc{self._random.randrange(DOCUMENTS)}")
        return crashing_servers.new_parts(*shared, own=f"own{number}")

    async def _send(self, number, is_harmful):
        parts = self._new_parts(number, is_harmful)
        request_id = b"r%d" % number
        self.gateway.parts_by_request[request_id] = parts
        entry = self._random.choice(self.entries)
        sent_s = trio.current_time()
        result, _reply = await entry.serve(
            ROUTE, request_id=request_id, parts=parts, prompt_tokens=1800
        )
        is_served = isinstance(result, direct_outcome.Relayed)
        if not is_harmful:
            self.sound_results.append((sent_s, is_served))
        if getattr(result, "reason", None) is PART_CRASHES_SERVERS:
            self.held.add(result.detail.removeprefix("part "))

    async def crash_servers(self, count, interval_s=0.0):
        """Crash some servers for another cause."""
        chosen = self._random.sample(SERVERS, count)
        for server in chosen:
            self.gateway.crash(server.server_id)
            await trio.sleep(interval_s)

    def count_late_requests(self):
        """Return how many requests with the part came too late."""
        crash_times = self.gateway.crash_times
        if len(crash_times) < FREE_CRASHES:
            return 0
        from_s = crash_times[FREE_CRASHES - 1] + STABLE_S
        return sum(time_s > from_s for time_s in self.gateway.harmful_times)

    def get_sound_share(self):
        """Return the share of sound requests served after the crashes."""
        crash_times = self.gateway.crash_times[:FREE_CRASHES]
        from_s = (crash_times[-1] if crash_times else 0.0) + 2 * STABLE_S
        served = [
            is_served
            for sent_s, is_served in self.sound_results
            if sent_s > from_s
        ]
        return sum(served) / len(served)


def _run(check):
    fakes.run_with_mock_clock(check)


def test_part_that_crashes_servers_reaches_few_more_of_them():
    async def check(nursery):
        fleet = Fleet(nursery, random.Random(1), entry_count=1)
        await fleet.run(HARMFUL_SHARE)
        assert len(fleet.gateway.crash_times) >= 3
        assert fleet.count_late_requests() <= LATE_REQUESTS_MAX

    _run(check)


@hypothesis.settings(max_examples=8)
@hypothesis.given(
    seed=strategies.integers(0, 1000),
    harmful_share=strategies.sampled_from([0.05, 0.12, 0.3]),
    lost_share=strategies.sampled_from([0.0, 0.3]),
    restarted_at_s=strategies.sampled_from([None, 3.0, 12.0]),
    crash_count=strategies.sampled_from([0, 4]),
)
def test_entries_hold_the_part_and_no_sound_one(
    seed, harmful_share, lost_share, restarted_at_s, crash_count
):
    async def check(nursery):
        fleet = Fleet(nursery, random.Random(seed), 4, lost_share)

        async def disturb():
            if restarted_at_s is not None:
                await trio.sleep(restarted_at_s)
                fleet.restart(0)
            await fleet.crash_servers(crash_count)

        nursery.start_soon(disturb)
        await fleet.run(harmful_share)
        assert fleet.count_late_requests() <= LATE_REQUESTS_MAX
        assert fleet.held <= {fleet.gateway.harmful_part}
        assert fleet.get_sound_share() > 0.9

    _run(check)


@hypothesis.settings(max_examples=8)
@hypothesis.given(
    seed=strategies.integers(0, 1000),
    crashes=strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0.3, 1.0, 3.0]),
            strategies.sampled_from([1, 3, 9]),
            strategies.sampled_from([0.0, 0.2]),
        ),
        max_size=6,
    ),
)
def test_ordinary_crashes_blame_no_sound_part(seed, crashes):
    async def check(nursery):
        fleet = Fleet(nursery, random.Random(seed))

        async def disturb():
            for pause_s, count, interval_s in crashes:
                await trio.sleep(pause_s)
                await fleet.crash_servers(count, interval_s)

        nursery.start_soon(disturb)
        await fleet.run(harmful_share=0.0)
        assert not fleet.held

    _run(check)


def test_part_that_is_sound_again_is_released_everywhere():
    """An entry that was restarted may serve it before it hears of it."""

    async def check(nursery):
        fleet = Fleet(nursery, random.Random(2))
        await fleet.run(HARMFUL_SHARE)
        assert fleet.held == {fleet.gateway.harmful_part}
        parts = (fleet.gateway.harmful_part,)
        request = (
            fleet.entries[0]
            .admit(ROUTE, parts=crashing_servers.new_parts(*parts))
            .request
        )
        fleet.entries[0].crash_guard.record_sound(request)
        for _round in range(2):
            for sender in fleet.entries:
                news = sender.crash_guard.new_news()
                for receiver in fleet.entries:
                    receiver.crash_guard.apply_news(news)
        assert [
            entry.crash_guard.find_held(request) for entry in fleet.entries
        ] == [None] * 4

    _run(check)
