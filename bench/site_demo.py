"""The tour on the users' platform: an entry before a stand-in of it."""

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
READY_CHECK_S = 0.02
KEY_BYTES = 16
WORDS_SHOWN = 8

REQUESTS = (
    ("a draft: two stages, then a stream", "/draft/1", b"POST"),
    ("an order, which may run once only", "/order/1?a=%2f", b"POST"),
    ("a look at the stock", "/stock/1", b"GET"),
)


async def start_entry(nursery, site, folder):
    """Start an entry before a site; return where callers connect."""
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
            await trio.sleep(READY_CHECK_S)
    return adapter.get_caller_address()


async def run_tour(console):
    """Send one request of each kind; return `(requests, wrong)`."""
    wrong = 0
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
                wrong += not _is_right(answer, runs)
                _show(console, answer, runs)
            nursery.cancel_scope.cancel()
    return len(REQUESTS), wrong


def _is_right(answer, runs):
    status, headers, _body = answer
    is_sealed = any(name == names.SEAL for name, _value in headers)
    return status == 200 and is_sealed and runs == 1


def _show(console, answer, runs):
    status, headers, body = answer
    seals = [value.decode() for name, value in headers if name == names.SEAL]
    words = body.decode().split()
    console.print(" ".join(words[:WORDS_SHOWN]), style="green")
    console.print(
        f"status {status}, {len(body)} bytes, {', '.join(seals)}, "
        f"run by {runs} engine",
        style="bold",
    )
