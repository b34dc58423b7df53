"""Responses of the administration API match its OpenAPI document."""

import json

import msgspec
import trio
import trio.testing

from bench import deployment as deployment_module
from bench import virtual
from greengagetrack.connection import admin
from greengagetrack.process import logs
from greengagetrack.process import settings

FLAGS = {"role": "entry", "name": "e1", "region": "r", "data_centre": "d"}


def test_every_documented_path_returns_its_type():
    async def run():
        async with trio.open_nursery() as nursery:
            cluster = virtual.VirtualCluster(
                nursery, deployment_module.KITAMURA
            )
            await cluster.start()
            await trio.sleep(15)
            raw_by_name = settings.collect_values(FLAGS, {})
            values = settings.Settings(raw_by_name, FLAGS)
            decisions = logs.DecisionHandler()
            app = admin.new_entry_app(cluster.get_entry(), values, decisions)
            client = app.test_client()
            response = await client.get("/admin/v1/openapi.json")
            document = json.loads(await response.get_data())
            assert set(document["paths"]) == {
                operation.path for operation in admin.ENTRY_OPERATIONS
            }
            for operation in admin.ENTRY_OPERATIONS:
                path = operation.path.replace("{request_id}", "none")
                response = await client.get(path)
                assert response.status_code == 200
                body = await response.get_data()
                msgspec.json.decode(body, type=operation.response_type)
            page = await (await client.get("/")).get_data()
            # The status page loads no external assets.
            assert b"http" not in page
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0.01))
