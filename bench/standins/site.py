"""A small stand-in for the users' platform: a store, engines, stages.

All of it runs in one process on loopback. Engines record what they ran, so
that a test can compare it with the responses that callers received.
"""

import base64
import collections
import urllib.parse

import msgspec
import trio

from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection.http.client import failures
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import framing
from greengagetrack.connection.http import numbers
from greengagetrack.connection.http import server as server_module
from greengagetrack.platform import names
from greengagetrack.version import catalog

HOST = "127.0.0.1"
REQUEST_WORK_S = 0.01
STAGE_CALL_S = 0.02
EVENT_INTERVAL_S = 0.005
EVENT_COUNT = 4
CUT_EVENT_BYTES = 8
NOT_SENT = -1
REQUEST_BODY = b"body"
DEADLINE_MS = 2500
Framing = framing.Framing
JSON_HEADERS = [(b"Content-Type", b"application/json")]


async def start_http(nursery, handle):
    """Serve `handle(exchange)` on a free port; return the address."""
    server = server_module.new_server("", handle, catalog.CallerLimits)
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    nursery.start_soon(
        trio.serve_listeners, server.serve_connection, listeners
    )
    return f"{HOST}:{listeners[0].socket.getsockname()[1]}"


class StoreCopy(msgspec.Struct, frozen=True):
    """All that a store knew at a time."""

    revision: int
    item_by_key: dict
    events: list


class StoreStandIn:
    """A store of keys with revisions: range and watch calls, and faults."""

    def __init__(self):
        self.revision = 100
        self.calls = 0
        self.is_down = False
        self.is_rewound = False
        self.era = 1
        self._item_by_key = {}
        self._events = []

    def put(self, key, value):
        """Write a value as JSON."""
        data = base64.b64encode(msgspec.json.encode(value)).decode()
        self._put_data(key, data)

    def copy(self):
        """Return a copy, from which the store can be restored."""
        return StoreCopy(
            self.revision, dict(self._item_by_key), list(self._events)
        )

    def restore(self, copy):
        """Come back from a copy, in the next era.

        Servers write their records again at once.
        """
        server_items = self._get_server_items()
        self.era += 1
        self.revision = copy.revision
        self._item_by_key = dict(copy.item_by_key)
        self._events = list(copy.events)
        for key in self._get_server_items().keys() - server_items.keys():
            self.delete(key)
        for key, item in server_items.items():
            self._put_data(key, item["value"])

    def _get_server_items(self):
        return {
            key: item
            for key, item in self._item_by_key.items()
            if key.startswith(names.SERVERS_PREFIX)
        }

    def _put_data(self, key, data):
        self.revision += 1
        item = {"key": key, "revision": self.revision, "value": data}
        self._item_by_key[key] = item
        self._events.append(item)

    def has(self, key):
        """Return whether a key exists."""
        return key in self._item_by_key

    def delete(self, key):
        """Remove a key."""
        self.revision += 1
        self._item_by_key.pop(key, None)
        event = {"key": key, "revision": self.revision, "tombstone": True}
        self._events.append(event)

    async def handle(self, exchange):
        """Respond to one call."""
        self.calls += 1
        if self.is_down:
            await exchange.answer(503, [])
            return
        path, _separator, query = exchange.target.decode().partition("?")
        parameters = dict(
            urllib.parse.parse_qsl(query, keep_blank_values=True)
        )
        answer = {"current_rev": self.revision}
        if self.is_rewound and path == names.WATCH_PATH:
            # The revision is older than the one that the caller has seen.
            answer = {
                "current_rev": int(parameters["after"]) - 1,
                "events": [],
            }
        elif path == names.RANGE_PATH:
            answer["items"] = list(self._item_by_key.values())
        else:
            after = int(parameters["after"])
            answer["events"] = [
                event for event in self._events if event["revision"] > after
            ]
        headers = [*JSON_HEADERS, (names.STORE_ERA, b"%d" % self.era)]
        await exchange.answer(200, headers, msgspec.json.encode(answer))


def get_piece_name(handle):
    """Return what a handle names: request, stage and piece."""
    return handle.partition("/")[2].partition("@")[0]


class EngineStandIn:
    """An engine: plain, streaming, or one that makes pieces."""

    def __init__(self, engine_id, service, data_centre, is_stream=False):
        self.engine_id = engine_id
        # Under which it is registered now.
        self.instance_id = engine_id
        self.service = service
        self.data_centre = data_centre
        self.is_stream = is_stream
        self.address = ""
        self.runs = collections.Counter()
        self.run_log = []
        self.inputs_by_request = {}
        self.calls = []
        self.freed = set()
        self.is_silent = False
        # The requests per second that it names in its answers, if any.
        self.limit_per_s = None
        # It takes few requests until then, as its record says.
        self.warming_until_s = 0.0
        self.arrival_times = []
        # Streams have no length.
        self.is_unframed = False
        # Besides, they end inside their last event.
        self.is_breaking = False
        # It sends some answers once more, if its connections do that.
        self.is_copying = False
        # It sends an answer once more where its request comes again.
        self.is_repeating = False
        self.open_connections = set()
        self.connection_count = 0
        # Requests whose id an open connection has carried, and the copies.
        self.came_again_count = 0
        self.repeated_count = 0
        # It runs requests, and answers them with this status, if any.
        self.failure_status = None
        # Of its software; each event names it.
        self.version = "v1"
        # Changes when it starts again.
        self.born = 1
        self.event_count = EVENT_COUNT
        self.work_s = REQUEST_WORK_S
        # Before the head of a stream, and before a 421.
        self.head_s = 0.0
        self.misdirected_s = 0.0
        self.event_interval_s = EVENT_INTERVAL_S

    def get_registration(self, state=names.READY):
        """Return the record that the engine registers in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "state": state,
            "version": self.version,
            "slots": 8,
            "born": self.born,
            "cold_left_ms": self._get_warming_ms(),
        }

    def _get_warming_ms(self):
        left_s = self.warming_until_s - trio.current_time()
        return int(max(left_s, 0.0) * 1000)

    def get_work_s(self, exchange):
        """Return how long a request without events takes."""
        return self.work_s

    def get_event_interval_s(self, exchange, number):
        """Return the time before an event of a request."""
        return self.event_interval_s

    def get_event(self, exchange, number):
        """Return an event of a stream."""
        request_id = fields.get_value(
            exchange.headers, names.REQUEST_ID.lower()
        )
        return new_event(number, request_id, self.version)

    def get_copy(self, answer):
        """Return what is sent where an answer is sent once more."""
        return answer

    async def handle(self, exchange):
        """Serve one request by the protocol of the platform's engines."""
        self.arrival_times.append(trio.current_time())
        headers = exchange.headers
        expected_id = fields.get_value(headers, names.EXPECT_INSTANCE.lower())
        if expected_id not in (None, self.instance_id.encode()):
            await self._refuse(exchange, names.MISDIRECTED_STATUS)
        elif exchange.target == names.REPORT_PATH:
            body = msgspec.json.encode({"born": self.born})
            await exchange.answer(200, JSON_HEADERS, body)
        elif exchange.target == names.STAGE_RUN_PATH:
            await self._make_pieces(exchange)
        elif exchange.target == names.STAGE_FREE_PATH:
            body = msgspec.json.decode(exchange.body)
            self.freed.update(body["handles"])
            await exchange.answer(200, self._new_limit_headers())
        else:
            await self._run(exchange)

    async def _refuse(self, exchange, status):
        """Refuse a request, which has not run."""
        if status == names.MISDIRECTED_STATUS:
            await trio.sleep(self.misdirected_s)
        request_id = fields.get_value(
            exchange.headers, names.REQUEST_ID.lower()
        )
        headers = [(names.NOT_RUN, b"1")]
        if request_id is not None:
            headers.append((names.REQUEST_ID, request_id))
        await exchange.answer(status, headers)

    async def _make_pieces(self, exchange):
        items = msgspec.json.decode(exchange.body)["items"]
        self.calls.append(items)
        call = len(self.calls)
        await trio.sleep(STAGE_CALL_S)
        # A piece that is made again is another one, with a name of its own.
        results = [
            {
                "handle": f"{self.address}/{item['id']}"
                f"-{item['stage']}-{item['piece']}@{call}"
            }
            for item in items
        ]
        body = msgspec.json.encode({"items": results})
        headers = JSON_HEADERS + self._new_limit_headers()
        await exchange.answer(200, headers, body)

    def _new_limit_headers(self):
        if self.limit_per_s is None:
            return []
        return [(names.SERVER_LIMIT, str(self.limit_per_s).encode())]

    async def _run(self, exchange):
        headers = exchange.headers
        request_id = fields.get_value(headers, names.REQUEST_ID.lower())
        if request_id is None:
            await exchange.answer(400, [(names.NOT_RUN, b"1")])
            return
        self.runs[request_id] += 1
        self.run_log.append((request_id, trio.current_time(), exchange.target))
        self.inputs_by_request[request_id] = fields.get_value(
            headers, names.INPUTS.lower(), b""
        )
        if self.is_silent:
            await trio.sleep_forever()
        response_headers = [
            (names.REQUEST_ID, request_id),
            (names.SEAL, f"seal of {self.engine_id}".encode()),
            *self._new_limit_headers(),
        ]
        if not self.is_stream:
            await trio.sleep(self.get_work_s(exchange))
            body = exchange.method + b" " + exchange.target
            status = self.failure_status or 200
            await exchange.answer(status, response_headers, body)
            return
        after = numbers.read_count(
            fields.get_value(headers, names.LAST_EVENT_ID.lower(), b"0"),
            self.event_count,
        )
        if after is None:
            await exchange.answer(400, response_headers)
            return
        response_headers.append((b"Content-Type", names.EVENT_STREAM))
        is_breaking = self.is_breaking
        is_unframed = is_breaking or self.is_unframed
        await trio.sleep(self.head_s)
        await exchange.start(
            200,
            response_headers,
            Framing.CONNECTION if is_unframed else Framing.CHUNKS,
        )
        last = self.event_count
        for number in range(after + 1, last + 1):
            await trio.sleep(self.get_event_interval_s(exchange, number))
            event = self.get_event(exchange, number)
            is_cut = is_breaking and number == last
            await exchange.send(event[:CUT_EVENT_BYTES] if is_cut else event)
        await exchange.finish()


def new_event(number, request_id, version="v1"):
    """Return the event that an engine of a software version sends."""
    data = b"%s %s" % (request_id, version.encode())
    return b"id: %d\ndata: %s\n\n" % (number, data)


def _new_route(name, kind, service, **options):
    return {
        "name": name,
        "host": "site.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "goal_ms": 1000,
        "service": service,
        "attempts": 2,
        **options,
    }


def new_config(version=1, keys=("key-1",)):
    """Return a configuration with a route of each kind."""
    stages = [
        {"service": "prepare", "after": [], "bytes": 1000},
        {"service": "prepare", "after": [0], "bytes": 100},
    ]
    pieces = {"batch": 8, "call_ms": 20.0, "item_ms": 1.0, "headroom_mb": 1}
    return {
        "version": version,
        "routes": [
            _new_route("draft", "stream", "model", stages=stages)
            | {"resumable": True, "gap_aim_ms": 200},
            _new_route("order", "unsafe", "desk"),
            _new_route("stock", "safe", "desk"),
            _new_route("open", "safe", "desk", public=True),
        ],
        "services": [
            {"name": "model", "max_conns": 64, "engine": {"slots": 8}},
            {"name": "desk", "max_conns": 64},
            {"name": "prepare", "max_conns": 64, "pieces": pieces},
        ],
        "limits": {"idle_timeout_ms": 5000, "header_timeout_ms": 1000},
        "tenants": [{"name": "workshop", "api_keys": list(keys)}],
    }


class SiteStandIn:
    """The store and all engines of a small site."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = StoreStandIn()
        self.store_address = ""
        self.engine_by_id = {}

    async def start(self):
        """Start the store and six engines."""
        self.store_address = await start_http(self.nursery, self.store.handle)
        self.store.put(names.CONFIG_KEY, self.get_config())
        for number in (1, 2):
            await self.add_engine(f"desk-{number}", "desk")
            await self.add_engine(f"model-{number}", "model", is_stream=True)
            await self.add_engine(f"prepare-{number}", "prepare")

    def get_config(self):
        """Return the configuration to start with."""
        return new_config()

    async def add_engine(self, engine_id, service, is_stream=False):
        """Start one engine and register it."""
        engine = EngineStandIn(engine_id, service, "dc-a", is_stream)
        engine.address = await start_http(self.nursery, engine.handle)
        self.engine_by_id[engine_id] = engine
        self.publish(engine)

    def publish(self, engine, state=names.READY):
        """Write the record of an engine to the store."""
        key = names.SERVERS_PREFIX + engine.instance_id
        self.store.put(key, engine.get_registration(state))

    def rename(self, engine, instance_id):
        """Start an engine again under another id, with its connections.

        The old id stays listed.
        """
        engine.instance_id = instance_id
        engine.born += 1
        self.publish(engine)

    def withdraw(self, instance_id):
        """Remove the record of an engine from the store."""
        self.store.delete(names.SERVERS_PREFIX + instance_id)

    def count_runs(self, request_id):
        """Return how many times engines ran a request."""
        return sum(
            engine.runs[request_id] for engine in self.engine_by_id.values()
        )

    def get_node_file(self, name, ports, seeds, revoke_ms=5000):
        """Return the contents of the node file of an entry."""
        caller, ready, control = (f"{HOST}:{port}" for port in ports)
        return {
            "node": name,
            "role": "entry",
            "ip": HOST,
            "zone": "dc-a",
            "region": "north",
            "zones": {"dc-a": "north"},
            "listen": {"front": caller, "ready": ready, "control": control},
            "seeds": seeds,
            "bounds": {
                "revoke_ms": revoke_ms,
                "grace_s": 4,
                "budget_slack": 58,
            },
            "provider": {"address": self.store_address},
        }


class Consumer:
    """A client of one entry that opens a connection for each request."""

    def __init__(self, nursery, address):
        self._nursery = nursery
        self._address = address

    async def send(self, path, request_id, method=b"POST", key="key-1"):
        """Send a request; return the status, header fields and body."""
        pool = pool_module.new_pool(self._nursery)
        try:
            return await send_request(
                pool, self._address, path, request_id, method, key
            )
        finally:
            pool.drop_connections(self._address)


def new_request_head(
    path, request_id, method=b"POST", key="key-1", deadline_ms=DEADLINE_MS
):
    """Return the head of a request whose body is `REQUEST_BODY`."""
    headers = [
        (b"Host", b"site.example"),
        (names.REQUEST_ID, request_id),
        (names.DEADLINE_MS, b"%d" % deadline_ms),
        (names.PIECES, b"2,3"),
        (names.PIECE_KEY, b"key"),
        (b"Content-Length", b"%d" % len(REQUEST_BODY)),
    ]
    if key:
        headers.append((names.API_KEY, key.encode()))
    return heads.RequestHead(method, path.encode(), headers)


async def send_request(
    pool, address, path, request_id, method=b"POST", key="key-1"
):
    """Send a request over a connection of `pool`; return as `send_head`."""
    head = new_request_head(path, request_id, method, key)
    return await send_head(pool, address, head)


async def send_head(pool, address, head):
    """Send a request whose body is `REQUEST_BODY`.

    Return the status, the header fields and the body. The status is
    `NOT_SENT` if nothing was sent, and 0 if the response is incomplete.
    """
    call = await pool.open_call(address, head, REQUEST_BODY)
    if not isinstance(call, call_module.Call):
        is_sent = isinstance(call, failures.ResponseFailure)
        return 0 if is_sent else NOT_SENT, [], call.detail.encode()
    try:
        response_head = await call.receive_head(lambda _head: True)
        if isinstance(response_head, failures.ResponseFailure):
            return 0, [], response_head.detail.encode()
        body = b""
        while True:
            part = await call.receive_part()
            if isinstance(part, failures.ResponseFailure):
                return 0, response_head.headers, part.detail.encode()
            if part is None:
                return response_head.status, response_head.headers, body
            body += part
    finally:
        call.finish()
