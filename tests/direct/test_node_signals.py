"""Signals that reach a node's process while it starts."""

import json
import os
import signal
import subprocess
import sys
import time

import pytest
import trio

from bench import ports as ports_module
from bench.soak import site as site_module
from greengagetrack.process.direct import containment as containment_module
from greengagetrack.process.direct import daemon
from greengagetrack.process import stop as stop_module
from tests.direct import fakes

EXIT_SETTINGS = 2


class FakeAdapter:
    """Counts how often the settings were read again."""

    def __init__(self):
        self.reload_count = 0

    def reload(self):
        """Count."""
        self.reload_count += 1
        return daemon.Reload()


class FakeEntry:
    """Contains errors."""

    def __init__(self):
        self.containment = containment_module.new_containment()


def test_sighup_at_the_start_does_not_end_the_process(tmp_path):
    path = tmp_path / "node.json"
    # The process waits in the first read of its settings.
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "greengagetrack.command.greengagetrackd"],
        env={**os.environ, "GREENGAGETRACK_NODE_FILE": str(path)},
        stderr=subprocess.PIPE,
    )
    with open(path, "wb") as file:
        process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
        file.write(b"{}")
    _output, errors = process.communicate(timeout=20)
    assert process.returncode == EXIT_SETTINGS, errors
    assert b"node.json" in errors


def _start_daemon(path):
    return subprocess.Popen(
        [sys.executable, "-m", "greengagetrack.command.greengagetrackd"],
        env={
            **os.environ,
            "GREENGAGETRACK_NODE_FILE": str(path),
            "GREENGAGETRACK_PEER_KEYS": "6b" * 16,
        },
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def _new_node_file(ports):
    caller, ready, control, store = (f"127.0.0.1:{port}" for port in ports)
    node_file = {
        "node": "node-1",
        "role": "entry",
        # The metrics port is the same on all machines.
        "ip": site_module.find_network(os.getpid()) + ".1",
        "zone": "dc-a",
        "region": "north",
        "listen": {"front": caller, "ready": ready, "control": control},
        "bounds": {"grace_s": 4},
        "provider": {"address": store},
    }
    return json.dumps(node_file).encode()


def test_sigterm_at_the_start_stops_the_process_in_order(tmp_path):
    """The process was killed by the signal, as if it had crashed."""
    path = tmp_path / "node.json"
    os.mkfifo(path)
    process = _start_daemon(path)
    with open(path, "wb") as file:
        process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        file.write(_new_node_file(ports_module.find_free_ports(4)))
    output, errors = process.communicate(timeout=20)
    assert process.returncode == daemon.EXIT_OK, errors
    assert b'"stopped"' in output
    assert b'"started"' not in output


def test_sigterm_between_start_and_handlers_is_a_stop():
    async def check(nursery):
        async def run(stop):
            return stop.drain_requested.is_set()

        for was_requested in (True, False):
            code = await stop_module.run_until_stopped(
                run, lambda is_early=was_requested: is_early
            )
            assert code is was_requested

    fakes.run_with_mock_clock(check)


def test_sigterm_that_is_repeated_until_the_exit_does_not_change_its_code(
    tmp_path,
):
    path = tmp_path / "node.json"
    path.write_bytes(_new_node_file(ports_module.find_free_ports(4)))
    process = _start_daemon(path)
    while b'"started"' not in process.stdout.readline():
        assert process.poll() is None, process.stderr.read()
    while process.poll() is None:
        process.send_signal(signal.SIGTERM)
        time.sleep(0.0005)
    assert process.returncode == daemon.EXIT_OK, process.stderr.read()


@pytest.mark.parametrize("signals", [0, 1])
def test_settings_changed_while_starting_are_read_again(signals):
    adapter = FakeAdapter()

    async def check(nursery):
        nursery.start_soon(daemon._reload_on_sighup, adapter, FakeEntry())
        await trio.sleep(0.1)
        for _signal in range(signals):
            os.kill(os.getpid(), signal.SIGHUP)
        await trio.sleep(0.1)
        assert adapter.reload_count == 1 + signals

    fakes.run_with_mock_clock(check)


@pytest.mark.contains_error
def test_failed_reload_leaves_the_entry_and_the_next_reload():
    class FailingAdapter(FakeAdapter):
        def reload(self):
            super().reload()
            raise ZeroDivisionError("unforeseen")

    adapter = FailingAdapter()

    async def check(nursery):
        nursery.start_soon(daemon._reload_on_sighup, adapter, FakeEntry())
        for _signal in range(2):
            await trio.sleep(0.1)
            os.kill(os.getpid(), signal.SIGHUP)
        await trio.sleep(0.1)
        assert adapter.reload_count == 3

    fakes.run_with_mock_clock(check)


@pytest.mark.parametrize(
    ("numbers", "is_exit_requested"),
    [
        ([signal.SIGTERM], False),
        ([signal.SIGTERM, signal.SIGTERM], False),
        ([signal.SIGINT], False),
        ([signal.SIGINT, signal.SIGTERM], False),
        ([signal.SIGTERM, signal.SIGINT], True),
        ([signal.SIGINT, signal.SIGINT], True),
    ],
)
def test_repeated_sigterm_cuts_no_request_short(numbers, is_exit_requested):
    """Orders in hand got no answer when a supervisor repeated its signal."""
    stop = stop_module.Stop()

    async def check(nursery):
        nursery.start_soon(stop.watch_signals)
        for number in numbers:
            await trio.sleep(0.1)
            os.kill(os.getpid(), number)
        await trio.sleep(0.1)
        assert stop.drain_requested.is_set()
        assert stop.exit_requested.is_set() is is_exit_requested

    fakes.run_with_mock_clock(check)
