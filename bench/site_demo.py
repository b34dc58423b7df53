"""Demo requests to an entry in direct mode on a platform stand-in."""

import os
import tempfile

import msgspec
import trio

from bench import ports as ports_module
from bench.standins import site as site_module
from greengagetrack.connection import seal
from greengagetrack.platform import adapter as adapter_module
from greengagetrack.platform import names
from greengagetrack.process.direct import daemon
from greengagetrack.process import stop as stop_module

READY_TIMEOUT_S = 10.0
READY_POLL_S = 0.02
KEY_BYTES = 16
WORDS_SHOWN = 8

REQUESTS = (
    ("a draft: two stages, then a stream", "/draft/1", b"POST"),
    ("an order, which may run only once", "/order/1?a=%2f", b"POST"),
    ("a stock query", "/stock/1", b"GET"),
)


async def start_entry(nursery, site, folder):
    """Start an entry on a site; return the address for callers."""
    ports = ports_module.find_free_ports(4)
    path = os.path.join(folder, "entry-1.json")
    node_file = site.get_node_file("entry-1", ports[:3], [])
    with open(path, "wb") as file:
        file.write(msgspec.json.encode(node_file))
    adapter = adapter_module.new_adapter(path, ports[3])
    keys = seal.new_key_ring([os.urandom(KEY_BYTES)])
    entry = await nursery.start(daemon.run, adapter, keys, stop_module.Stop())
    with trio.fail_after(READY_TIMEOUT_S):
        while not entry.is_ready():
            await trio.sleep(READY_POLL_S)
    return adapter.get_caller_address()


async def run_site_demo(console):
    """Send one request of each kind; return `(requests, failed)`."""
    failed = 0
    with tempfile.TemporaryDirectory(prefix="greengagebench-") as folder:
        async with trio.open_nursery() as nursery:
            site = site_module.SiteStandIn(nursery)
            await site.start()
            address = await start_entry(nursery, site, folder)
            consumer = site_module.Consumer(nursery, address)
            for number, (title, path, method) in enumerate(REQUESTS):
                console.rule(f"users' platform: {title}")
                request_id = b"demo-%d" % number
                answer = await consumer.send(path, request_id, method)
                runs = site.count_runs(request_id)
                failed += not _is_correct(answer, runs)
                _print_answer(console, answer, runs)
            nursery.cancel_scope.cancel()
    return len(REQUESTS), failed


def _is_correct(answer, runs):
    status, headers, _body = answer
    is_sealed = any(name == names.SEAL for name, _value in headers)
    return status == 200 and is_sealed and runs == 1


def _print_answer(console, answer, runs):
    status, headers, body = answer
    seals = [value.decode() for name, value in headers if name == names.SEAL]
    words = body.decode().split()
    console.print(" ".join(words[:WORDS_SHOWN]), style="green")
    console.print(
        f"status {status}, {len(body)} bytes, {', '.join(seals)}, "
        f"run {runs} time(s)",
        style="bold",
    )
