"""An entry outlives callers that nobody controls.

Each test plays one crowd against a real entry process that is told of a
small machine. It doesn't check times nor how much of the crowd is served.
"""

import os

import pytest
import trio

from bench.soak import raw_client
from bench.soak import site as soak_site
from greengagetrack.platform import names
from tests.direct import crowds

MEMORY_MB = 152
DESCRIPTORS_MAX = 1535
SAMPLE_S = 0.02
ASK_PAUSE_S = 0.25
ASK_MAX = 40


class SmallSite(soak_site.SoakSite):
    """A site with one entry, on a small machine."""

    def change_node_file(self, index, node_file):
        """Lower the limits of the entry's machine."""
        node_file["limits"] = {
            "memory_mb": MEMORY_MB,
            "max_fds": DESCRIPTORS_MAX,
        }


class ProcessUse:
    """The most memory and descriptors that a process has had."""

    def __init__(self, process):
        self._process = process
        self.descriptors = 0
        self.memory_mb = 0.0

    async def watch(self):
        """Look again and again until cancelled or the process has ended."""
        while self._process.poll() is None:
            self.look()
            await trio.sleep(SAMPLE_S)

    def look(self):
        """Read what the process has now, and had at most."""
        folder = f"/proc/{self._process.pid}"
        with open(f"{folder}/status") as file:
            fields = dict(line.split(":", 1) for line in file)
        # A process that has just ended has no memory.
        peak_kb = fields.get("VmHWM", "0").split()[0]
        self.memory_mb = max(self.memory_mb, int(peak_kb) * 1024 / 1e6)
        count = len(os.listdir(f"{folder}/fd"))
        self.descriptors = max(self.descriptors, count)


async def _wait_for_200(nursery, address, path):
    for number in range(ASK_MAX):
        request_id = b"ordinary-%d" % number
        if await crowds.ask(nursery, address, path, request_id) == 200:
            return True
        await trio.sleep(ASK_PAUSE_S)
    return False


def _run(tmp_path, check):
    def new_site(nursery):
        return SmallSite(nursery, 1, str(tmp_path), "", entry_count=1)

    trio.run(soak_site.play, str(tmp_path), new_site, check)


def _play(tmp_path, *parts):
    """Play crowds, as `(caller, is_at_readiness_port, size)`, and check."""

    async def check(site):
        entry = site.entries[0]
        use = ProcessUse(entry.process)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(use.watch)
            all_crowds = []
            for new_caller, is_at_readiness_port, size in parts:
                address = entry.caller_address
                if is_at_readiness_port:
                    address = entry.ready_address
                all_crowds.append(
                    crowds.Crowd(nursery, new_caller, address, size)
                )
            for crowd in all_crowds:
                await crowd.wait()
            # The crowd's connections are still open.
            ready_path = names.READY_PATH.decode()
            is_ready = await _wait_for_200(
                nursery, entry.ready_address, ready_path
            )
            is_served = await _wait_for_200(
                nursery, entry.caller_address, "/order/1"
            )
            nursery.cancel_scope.cancel()
        use.look()
        figures = f"{use.memory_mb:.0f} MB, {use.descriptors} descriptors"
        print(figures)
        assert entry.process.poll() is None, "the process has ended"
        assert is_ready and is_served, f"not answered; {figures}"
        assert use.memory_mb < MEMORY_MB, figures
        assert use.descriptors < DESCRIPTORS_MAX, figures

    _run(tmp_path, check)


def test_single_request_of_the_largest_size_is_served(tmp_path):
    """The bounds of a small machine hold nothing back in calm."""

    async def check(site):
        stream = await raw_client.open_stream(site.entries[0].caller_address)
        async with stream:
            for new_caller in (crowds.WholeBody, crowds.WholeChunkedBody):
                await new_caller(stream).send()
                assert await raw_client.AnswerReader(stream).read() == 200

    _run(tmp_path, check)


def test_announced_bodies_stop_before_their_end(tmp_path):
    _play(tmp_path, (crowds.AnnouncedBody, False, 120))


def test_chunked_bodies_stop_before_their_end(tmp_path):
    _play(tmp_path, (crowds.ChunkedBody, False, 120))


def test_whole_legal_bodies_come_at_once(tmp_path):
    _play(tmp_path, (crowds.WholeBody, False, 120))


def test_announced_bodies_are_far_over_the_limit(tmp_path):
    _play(tmp_path, (crowds.OversizedAnnouncedBody, False, 60))


def test_chunked_bodies_are_far_over_the_limit(tmp_path):
    _play(tmp_path, (crowds.OversizedChunkedBody, False, 60))


def test_requests_are_sent_ahead_with_answers_unread(tmp_path):
    _play(tmp_path, (crowds.RequestsAhead, False, 200))


def test_readiness_checks_are_sent_ahead_with_answers_unread(tmp_path):
    _play(tmp_path, (crowds.ChecksAhead, True, 200))


def test_bodies_stop_before_their_end_at_the_readiness_port(tmp_path):
    _play(tmp_path, (crowds.ChunkedBody, True, 120))


def test_heads_stay_unfinished(tmp_path):
    _play(tmp_path, (crowds.UnfinishedHead, False, 600))


def test_heads_have_many_fields(tmp_path):
    _play(tmp_path, (crowds.ManyFields, False, 600))


@pytest.mark.parametrize("is_at_readiness_port", [False, True])
def test_connections_stay_idle(tmp_path, is_at_readiness_port):
    _play(tmp_path, (crowds.IdleConnection, is_at_readiness_port, 1700))


def test_bodies_and_requests_ahead_come_together(tmp_path):
    _play(
        tmp_path,
        (crowds.ChunkedBody, False, 60),
        (crowds.RequestsAhead, False, 100),
        (crowds.ChecksAhead, True, 100),
    )
