"""Tests of the HTTP API for callers."""

import json

import pytest
import trio
import trio.testing

from bench import deployment as deployment_module
from bench.standins import records
from bench import virtual
from greengagetrack.connection import callers

WARM_UP_S = 15.0
HEADERS = {"Greengagetrack-Organisation": "workshop"}


def _run_with_app(check):
    """Run `check(client, cluster)` with a deployment on a mock clock."""

    async def run():
        async with trio.open_nursery() as nursery:
            cluster = virtual.VirtualCluster(
                nursery, deployment_module.KITAMURA
            )
            await cluster.start()
            await trio.sleep(WARM_UP_S)
            app = callers.new_app(cluster.get_entry())
            await check(app.test_client(), cluster)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.01))


async def _post(client, pipeline, body, **headers):
    response = await client.post(
        f"/v1/pipelines/{pipeline}",
        data=body,
        headers={
            **HEADERS,
            **{name.replace("_", "-"): text for name, text in headers.items()},
        },
    )
    return response, json.loads(await response.get_data())


@pytest.mark.parametrize(
    ("pipeline", "body", "headers", "status", "reason"),
    [
        ("nothing", b"{}", {}, 404, "pipeline_unknown"),
        ("stock", b"not JSON", {}, 400, "body_invalid"),
        ("stock", b"[1]", {}, 400, "body_invalid"),
        ("stock", b"\xff\xfe", {}, 400, "body_invalid"),
        ("stock", b"[" * 5000, {}, 400, "body_invalid"),
        (
            "stock",
            b'{"a": "' + b"x" * callers.BODY_MAX_BYTES + b'"}',
            {},
            413,
            "body_too_large",
        ),
        (
            "stock",
            b"{}",
            {"Greengagetrack_Organisation": "nobody"},
            403,
            "organisation_unknown",
        ),
        (
            "stock",
            b"{}",
            {"Greengagetrack_Deadline_Ms": "-5"},
            400,
            "deadline_invalid",
        ),
        (
            "stock",
            b"{}",
            {"Greengagetrack_Deadline_Ms": "soon"},
            400,
            "deadline_invalid",
        ),
        (
            "stock",
            b"{}",
            {"Greengagetrack_Deadline_Ms": "999999999999"},
            400,
            "deadline_invalid",
        ),
        (
            "order",
            b"{}",
            {"Idempotency_Key": "x" * 300},
            400,
            "key_invalid",
        ),
        (
            "order",
            b"{}",
            {"Greengagetrack_Ticket": "forged"},
            400,
            "ticket_forged",
        ),
    ],
)
def test_bad_input_is_refused(pipeline, body, headers, status, reason):
    async def check(client, cluster):
        response, problem = await _post(client, pipeline, body, **headers)
        assert response.status_code == status
        assert problem["reason"] == reason
        assert problem["retry_after_ms"] > 0
        content_type = response.headers["Content-Type"]
        assert content_type == "application/problem+json"

    _run_with_app(check)


def test_a_stream_ends_with_done():
    async def check(client, cluster):
        response = await client.post(
            "/v1/pipelines/engraving",
            data=b'{"marker": "m"}',
            headers={**HEADERS, "Accept": "text/event-stream"},
        )
        events = (await response.get_data()).decode().strip().split("\n\n")
        assert events[-1].startswith("event: done")
        assert events[0].startswith("event: tokens")
        tokens = [
            token
            for event in events[:-1]
            for token in json.loads(event.split("data: ")[1])["tokens"]
        ]
        assert "".join(tokens) == records.get_text("m", 24)

    _run_with_app(check)


def test_a_ticket_runs_one_order_once():
    async def check(client, cluster):
        issued = await client.post("/v1/tickets/order", headers=HEADERS)
        assert issued.status_code == 201
        ticket = json.loads(await issued.get_data())["ticket"]
        for _repeat in range(2):
            response, answer = await _post(
                client,
                "order",
                b'{"marker": "m"}',
                Greengagetrack_Ticket=ticket,
            )
            assert response.status_code == 200
            assert answer["result"]["marker"] == "m"
        assert cluster.count_executions("m") == 1
        response, problem = await _post(
            client,
            "order",
            b'{"marker": "other"}',
            Greengagetrack_Ticket=ticket,
        )
        assert response.status_code == 422
        assert problem["reason"] == "key_reused"
        assert cluster.count_executions("other") == 0

    _run_with_app(check)


def test_an_engine_call_is_cancelled_when_the_caller_leaves():
    async def check(client, cluster):
        with trio.move_on_after(1.0):
            await client.post(
                "/v1/pipelines/product-sheet",
                data=b'{"marker": "m"}',
                headers=HEADERS,
            )
        await trio.sleep(5.0)
        engine_executions = [
            execution
            for execution in cluster.records.executions
            if execution.service == "writer"
        ]
        assert len(engine_executions) == 1
        assert not engine_executions[0].is_whole
        assert engine_executions[0].engine_ms < 2000

    _run_with_app(check)
