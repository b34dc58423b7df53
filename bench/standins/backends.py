"""HTTP server for all backend stand-ins of a deployment, on one port."""

import msgspec
import quart
import quart_trio
import trio

from bench.standins import server as server_module

_call_decoder = msgspec.json.Decoder(server_module.CallBody)


def _new_json_response(body, status=200):
    return quart.Response(
        msgspec.json.encode(body), status, content_type="application/json"
    )


def _new_failure_response(ran, detail, status=503):
    body = {"ran": ran, "detail": detail, "retry_after_ms": 100}
    return _new_json_response(body, status)


async def _read_call_body():
    return _call_decoder.decode(await quart.request.get_data())


def new_app(server_by_name, records):
    """Return the application that serves these backend servers."""
    app = quart_trio.QuartTrio("backends")
    app.config["RESPONSE_TIMEOUT"] = None
    # Silences the errors that dead servers raise to break connections.
    app.logger.disabled = True

    def get_injected_failure(server):
        server.check_alive()
        if server.condition.is_refusing:
            return _new_failure_response("no", "injected refusal")
        if server.condition.is_failing:
            return _new_failure_response("unknown", "injected failure", 500)
        return None

    @app.post("/servers/<name>/v1/call")
    async def call(name):
        server = server_by_name[name]
        failure = get_injected_failure(server)
        if failure is not None:
            return failure
        return _new_json_response(await server.call(await _read_call_body()))

    @app.post("/servers/<name>/v1/completions")
    async def complete(name):
        server = server_by_name[name]
        failure = get_injected_failure(server)
        if failure is not None:
            return failure
        body = await _read_call_body()
        if not server.has_model_for(body):
            return _new_failure_response("no", "the model is not loaded")

        async def write():
            async for line in server.complete(body):
                yield msgspec.json.encode(line) + b"\n"

        return quart.Response(
            write(), 200, content_type="application/x-ndjson"
        )

    @app.get("/servers/<name>/v1/load")
    async def load(name):
        server = server_by_name[name]
        server.check_alive()
        return _new_json_response(server.get_load())

    @app.get("/servers/<name>/v1/cache/events")
    async def cache_events(name):
        server = server_by_name[name]
        server.check_alive()
        after = int(quart.request.args.get("after", "0"))
        return _new_json_response(server.get_cache_events(after))

    @app.post("/servers/<name>/v1/orders")
    async def order(name):
        server = server_by_name[name]
        server.check_alive()
        body = await quart.request.get_json()
        await trio.sleep(server.condition.load_s)
        if server.load_model(body["model"], body["fencing"]):
            return _new_json_response({"model": server.model})
        return _new_failure_response("no", "the fencing number is old", 409)

    _add_control_routes(app, server_by_name, records)
    return app


def _add_control_routes(app, server_by_name, records):
    @app.post("/servers/<name>/control")
    async def control(name):
        server = server_by_name[name]
        body = await quart.request.get_data()
        server.condition = msgspec.json.decode(
            body, type=server_module.Condition
        )
        return _new_json_response({})

    @app.get("/records")
    async def get_records():
        return _new_json_response(records.executions)

    @app.get("/servers")
    async def get_servers():
        return _new_json_response(
            {
                name: {
                    **server.get_load(),
                    "last_call_s": server.last_call_s,
                    "loads": server.loads,
                }
                for name, server in server_by_name.items()
            }
        )
