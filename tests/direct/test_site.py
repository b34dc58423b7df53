"""Tests of complete entries on loopback with a stand-in platform."""

import json
import logging

import pytest
import trio

from bench import ports as ports_module
from bench.standins import site as site_module
from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection import seal
from greengagetrack.platform import adapter as adapter_module
from greengagetrack.platform import names
from greengagetrack.process.direct import daemon
from greengagetrack.process import logs
from greengagetrack.process import stop as stop_module
from tests.direct import loopback

KEYS = seal.new_key_ring([b"k" * 16])
LIMIT_S = 20.0


class Node:
    """One entry that runs in this process."""

    def __init__(self, adapter, site):
        self.stop = stop_module.Stop()
        self.cancel_scope = trio.CancelScope()
        self.exit_code = None
        self.entry = None
        self.address = adapter.get_caller_address()
        self._adapter = adapter
        self._site = site

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        with self.cancel_scope:
            async with trio.open_nursery() as nursery:

                async def run():
                    self.exit_code = await daemon.run(
                        self._adapter, KEYS, self.stop, EntryStatus
                    )

                class EntryStatus:
                    @staticmethod
                    def started(entry):
                        self.entry = entry

                nursery.start_soon(run)
                while self.entry is None or not self.entry.is_ready():
                    await trio.sleep(0.02)
                task_status.started()


def run_with_nodes(tmp_path, check, count=1, revoke_ms=5000):
    """Run `check(site, nodes, nursery)` once all entries are ready."""

    async def main():
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                site = site_module.SiteStandIn(nursery)
                await site.start()
                port_sets = [
                    ports_module.find_free_ports(4) for _n in range(count)
                ]
                seeds = [
                    f"{site_module.HOST}:{ports[2]}" for ports in port_sets
                ]
                nodes = []
                for index, ports in enumerate(port_sets):
                    path = tmp_path / f"node-{index}.json"
                    node_file = site.get_node_file(
                        f"node-{index}", ports[:3], seeds, revoke_ms
                    )
                    path.write_text(json.dumps(node_file))
                    adapter = adapter_module.new_adapter(str(path), ports[3])
                    node = Node(adapter, site)
                    await nursery.start(node.run)
                    nodes.append(node)
                await check(site, nodes, nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_request_of_each_kind_is_served(tmp_path):
    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        status, headers, body = await consumer.send("/order/1?a=%2f", b"r1")
        assert (status, body) == (200, b"POST /order/1?a=%2f")
        assert (names.SEAL, b"seal of desk-1") in headers or (
            names.SEAL,
            b"seal of desk-2",
        ) in headers
        status, _headers, body = await consumer.send("/draft/1", b"r2")
        assert status == 200
        assert body.count(b"id: ") == site_module.EVENT_COUNT
        status, _headers, _body = await consumer.send("/stock/", b"r3", b"GET")
        assert status == 200
        assert [
            site.count_runs(request) for request in (b"r1", b"r2", b"r3")
        ] == [1, 1, 1]

    run_with_nodes(tmp_path, check)


def test_rejection_by_the_http_server_names_its_request(tmp_path, caplog):
    async def check(_site, nodes, _nursery):
        stream = await loopback.open_stream(nodes[0].address)
        await stream.send_all(
            b"POST /order/1 HTTP/1.1\r\nHost: site.example\r\n"
            b"X-Request-Id: q1\r\nContent-Length: 2000000000\r\n\r\n"
        )
        answer = await loopback.read_all(stream)
        assert answer.startswith(b"HTTP/1.1 413 ")

    with caplog.at_level(logging.INFO):
        run_with_nodes(tmp_path, check)
    lines = [
        record
        for record in caplog.records
        if getattr(record, "request", None) == "q1"
    ]
    assert [line.status for line in lines] == [413]


def test_line_of_a_request_that_is_not_admitted_is_kept_longest(
    tmp_path, caplog
):
    async def check(_site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        status, _headers, _body = await consumer.send("/nothing/1", b"q1")
        assert status == 404

    with caplog.at_level(logging.INFO):
        run_with_nodes(tmp_path, check)
    (line,) = [
        record
        for record in caplog.records
        if getattr(record, "request", None) == "q1"
    ]
    assert logs.get_rank(line) is logs.Rank.OUTCOME


def test_engine_gets_exactly_results_of_its_request(tmp_path):
    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        async with trio.open_nursery() as request_nursery:
            for number in range(12):
                request_nursery.start_soon(
                    consumer.send, "/draft/1", b"q%d" % number
                )
        for engine in site.engine_by_id.values():
            for request_id, inputs in engine.inputs_by_request.items():
                handles = inputs.decode().split(",")
                expected = [f"{request_id.decode()}-1-{n}" for n in range(3)]
                pieces = list(map(site_module.get_piece_name, handles))
                assert pieces == expected
        for engine in site.engine_by_id.values():
            for item in (item for call in engine.calls for item in call):
                if item["stage"] == 0:
                    assert item["key"] == "key"
                    assert "inputs" not in item
                else:
                    assert [
                        site_module.get_piece_name(handle)
                        for handle in item["inputs"]
                    ] == [f"{item['id']}-0-{n}" for n in range(2)]

    run_with_nodes(tmp_path, check)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/", "key-1", 404),
        ("/order/1", "bad", 401),
        ("/open/1", "", 200),
    ],
)
def test_route_and_key_determine_status(tmp_path, path, key, status):
    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        answer = await consumer.send(path, b"r1", key=key)
        assert answer[0] == status

    run_with_nodes(tmp_path, check)


def test_revoked_key_is_refused_and_public_routes_stay_open(tmp_path):
    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        site.store.put(names.CONFIG_KEY, site_module.new_config(2, ["new"]))
        await trio.sleep(1.4)
        assert (await consumer.send("/order/1", b"r1"))[0] == 401
        assert (await consumer.send("/order/1", b"r2", key="new"))[0] == 200
        site.store.is_down = True
        await trio.sleep(2.4)
        # The key may have been revoked while the store is down.
        assert (await consumer.send("/order/1", b"r3", key="new"))[0] == 503
        assert (await consumer.send("/nowhere/", b"r4"))[0] == 503
        assert (await consumer.send("/open/1", b"r5", key=""))[0] == 200
        assert site.count_runs(b"r3") == 0

    run_with_nodes(tmp_path, check, revoke_ms=3000)


def test_leaving_engine_gets_no_new_work(tmp_path):
    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        leaving = site.engine_by_id["desk-1"]
        site.publish(leaving, names.DRAINING)
        site.store.delete(names.SERVERS_PREFIX + "model-1")
        await trio.sleep(1.4)
        for number in range(10):
            await consumer.send("/order/1", b"o%d" % number)
            await consumer.send("/draft/1", b"d%d" % number)
        assert not leaving.runs
        assert not site.engine_by_id["model-1"].runs
        assert site.count_runs(b"o9") == 1

    run_with_nodes(tmp_path, check)


def test_drain_completes_running_and_new_requests(tmp_path):
    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        answers = []

        async def send(number):
            answers.append(await consumer.send("/draft/1", b"r%d" % number))

        async with trio.open_nursery() as request_nursery:
            for number in range(4):
                request_nursery.start_soon(send, number)
            await trio.sleep(0.03)
            nodes[0].stop.request()
            await trio.sleep(0.5)
            assert not nodes[0].entry.is_ready()
            request_nursery.start_soon(send, 4)
        assert [status for status, _headers, _body in answers] == [200] * 5
        while nodes[0].exit_code is None:
            await trio.sleep(0.05)
        assert nodes[0].exit_code == daemon.EXIT_OK

    run_with_nodes(tmp_path, check)


def test_request_late_in_drain_is_refused(tmp_path):
    """Late requests are refused, as they might not end in time.

    An entry accepted requests 7 s after the stop signal and cut them off
    (deployment federation, run hunt-4f78-39: three violations of the soak
    rule LOST).
    """

    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        for number in (1, 2):
            site.engine_by_id[f"desk-{number}"].is_silent = True
        answers = {}

        async def send(name):
            answers[name] = await consumer.send("/order/1", name)

        async with trio.open_nursery() as request_nursery:
            nodes[0].stop.request()
            await trio.sleep(1.9)
            # Its engine does not answer within the grace period.
            request_nursery.start_soon(send, b"early")
            await trio.sleep(1.0)
            request_nursery.start_soon(send, b"late")
        assert answers[b"late"][0] == 503
        assert site.count_runs(b"late") == 0
        assert answers[b"early"][0] == 504
        assert site.count_runs(b"early") == 1

    run_with_nodes(tmp_path, check)


def test_silent_engine_does_not_duplicate_order(tmp_path):
    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        for number in (1, 2):
            site.engine_by_id[f"desk-{number}"].is_silent = True
        status, _headers, _body = await consumer.send("/order/1", b"r1")
        assert status == 504
        assert site.count_runs(b"r1") == 1
        status, _headers, _body = await consumer.send("/stock/1", b"r2")
        assert status == 504
        assert site.count_runs(b"r2") == 2

    run_with_nodes(tmp_path, check)


def test_loss_of_pool_owner_fails_no_request(tmp_path):
    async def check(site, nodes, nursery):
        consumers = [
            site_module.Consumer(nursery, node.address) for node in nodes
        ]
        await trio.sleep(1.0)
        pools = [node.entry._pools for node in nodes]
        owns_pool = [
            node_pools.get_owner(node_pools.get_pool("prepare", "dc-a"))
            is None
            for node_pools in pools
        ]
        assert sorted(owns_pool) == [False, True]
        lost_index = owns_pool.index(True)
        answers = []

        async def send(index, number):
            consumer = consumers[index]
            answer = await consumer.send("/draft/1", b"r%d" % number)
            answers.append(answer[0])

        async with trio.open_nursery() as request_nursery:
            for number in range(6):
                request_nursery.start_soon(send, 1 - lost_index, number)
            await trio.sleep(0.02)
            nodes[lost_index].cancel_scope.cancel()
        assert answers == [200] * 6
        for number in range(6):
            assert site.count_runs(b"r%d" % number) == 1

    run_with_nodes(tmp_path, check, count=2)


@pytest.mark.contains_error
def test_failed_long_send_fails_its_request_only(tmp_path, monkeypatch):
    send_all = trio.SocketStream.send_all

    async def fail_one(stream, data):
        if names.EXPECT_INSTANCE in data and b"r1" in data:
            raise ZeroDivisionError("unforeseen")
        await send_all(stream, data)

    monkeypatch.setattr(trio.SocketStream, "send_all", fail_one)
    monkeypatch.setattr(call_module, "INLINE_SEND_MAX_BYTES", 0)

    async def check(site, nodes, nursery):
        consumer = site_module.Consumer(nursery, nodes[0].address)
        statuses = [
            (await consumer.send("/order/1", request_id))[0]
            for request_id in (b"r0", b"r1", b"r2")
        ]
        assert statuses == [200, 502, 200]
        metrics, _headers = nodes[0].entry.metrics.render([])
        assert b'boundary="send"' in metrics

    run_with_nodes(tmp_path, check)
