"""The platform's formats and names, and where the names may be used."""

import ast
import base64
import json
import pathlib

import hypothesis
from hypothesis import strategies
import pytest
import trio

from greengagetrack.connection import gateway
from greengagetrack.connection.http.client import pool as pool_module
from greengagetrack.connection.http import server as server_module
from greengagetrack.connection import source as source_module
from greengagetrack.platform import adapter as adapter_module
from greengagetrack.platform import callers
from greengagetrack.platform import document
from greengagetrack.platform import engines
from greengagetrack.platform import names
from greengagetrack.platform import settings as settings_module
from greengagetrack.platform import store
from greengagetrack.request import outcome
from greengagetrack.version import catalog
from tests.direct import loopback

PACKAGE = pathlib.Path(settings_module.__file__).parents[1]
ENTRY = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "version": "v1.2",
    "slots": 4,
    "sequence": 3,
    "born": 17,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "H.example",
            "path_prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 6000,
            "goal_ms": 920,
            "backends": [{"service": "svc", "weight": 90}],
            "attempts": 2,
            "stages": [
                {"service": "pool", "after": [], "bytes": 3000000},
                {"service": "pool", "after": [0], "bytes": 10},
            ],
            "resumable": True,
            "gap_aim_ms": 400,
        },
        {
            "name": "q",
            "host": "h.example",
            "path_prefix": "/a/b/",
            "kind": "unsafe",
            "timeout_ms": 800,
            "service": "svc",
            "public": True,
        },
    ],
    "services": [
        {"name": "svc", "max_conns": 9, "engine": {"slots": 128}},
        {
            "name": "pool",
            "pieces": {"batch": 10, "call_ms": 150.0, "item_ms": 13.2},
        },
    ],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
    "later": {"unknown": True},
}


def _get_platform_names():
    """Return the names that only the platform package may contain."""
    found = set()
    for value in vars(names).values():
        text = value.decode() if isinstance(value, bytes) else value
        if isinstance(text, str) and (
            text.startswith(("X-", "/api/", "op/", "servers/"))
            or text == "Api-Key"
        ):
            found.add(text)
    return found


def test_platform_names_are_used_only_in_platform_package():
    platform_names = _get_platform_names()
    assert len(platform_names) > 10
    for path in PACKAGE.rglob("*.py"):
        if "platform" in path.relative_to(PACKAGE).parts[:1]:
            continue
        text = path.read_text()
        for name in platform_names:
            assert name not in text, f"{path} names {name}"


def test_platform_package_imports_no_policy():
    policies = {
        "chooser",
        "budget",
        "batcher",
        "pools",
        "graph",
        "catalog_watcher",
    }
    for path in (PACKAGE / "platform").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                imported = {alias.name for alias in node.names}
                assert not imported & policies, path


def test_read_config_returns_catalog():
    config = document.read_config(json.dumps(CONFIG).encode())
    assert config.version == 7
    route = config.find_route("h.example", "/a/x")
    assert route.repeat is catalog.Repeat.STREAM
    assert route.is_idempotent
    assert route.services == (catalog.WeightedService("svc", 90),)
    assert route.get_final_stages() == [1]
    assert config.find_route("h.example", "/a/b/c").name == "q"
    assert config.find_route("h.example", "/b/") is None
    assert config.find_route("other", "/a/") is None
    assert config.find_organisation("k").name == "t"
    assert config.find_organisation("x") is None
    assert config.limits.idle_timeout_s == 15
    assert config.service_by_name["pool"].batching.batch_max == 10


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"version": "seven"}',
        json.dumps({**CONFIG, "routes": [{"name": 1}]}).encode(),
        json.dumps(
            {**CONFIG, "routes": [{**CONFIG["routes"][1], "kind": "odd"}]}
        ).encode(),
    ],
)
def test_invalid_config_returns_error_text(data):
    assert document.read_config(data).startswith("op/config: ")


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": 7},
        {"address": "nowhere"},
        {"address": ":80"},
        {"state": "asleep"},
        {"state": None},
        {"version": None},
        {"slots": "four"},
    ],
)
def test_invalid_entry_returns_error_text(change):
    data = json.dumps({**ENTRY, **change}).encode()
    assert isinstance(document.read_entry("i-1", data), str)


# Such an entry ended every entry process that read the list.
@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:" + "8" * 30},
        {"address": "10.0.0.1:\u0668\u0660"},
        {"address": "10.0.0.1\0:80"},
        {"address": "localhost:80"},
        {"address": "10.0.0.256:80"},
        {"slots": 10**300},
        {"slots": -1},
        {"born": 10**300},
        {"born": -1},
        {"version": "v" * 5000},
        {"service": "s" * 5000},
        {"zone": "z" * 5000},
    ],
)
def test_entry_with_values_out_of_range_returns_error_text(change):
    data = json.dumps({**ENTRY, **change}).encode()
    assert isinstance(document.read_entry("i-1", data), str)


def _change(path, value):
    """Return `CONFIG` as bytes, with the value at a path replaced."""
    config = json.loads(json.dumps(CONFIG))
    *parents, last = path
    place = config
    for key in parents:
        place = place[key]
    place[last] = value
    return json.dumps(config).encode()


# Each is a number that raises where it is used, or that fits no message.
@pytest.mark.parametrize(
    "path, value",
    [
        (("version",), 10**300),
        (("version",), -1),
        (("routes", 0, "timeout_ms"), -1),
        (("routes", 0, "timeout_ms"), 1e300),
        (("routes", 0, "goal_ms"), -1),
        (("routes", 0, "priority"), 10**300),
        (("routes", 0, "attempts"), 10**300),
        (("routes", 0, "name"), "n" * 5000),
        (("routes", 0, "backends", 0, "weight"), -1),
        (("routes", 0, "backends", 0, "weight"), 1e308),
        (("routes", 0, "stages", 0, "bytes"), -1),
        (("routes", 0, "stages", 0, "bytes"), 1e308),
        (("routes", 0, "stages", 1, "after"), [-1]),
        (("routes", 0, "stages", 1, "after"), [1]),
        (("routes", 0, "stages", 1, "after"), [2]),
        (("routes", 0, "stages", 1, "after"), [10**300]),
        (("services", 1, "pieces", "batch"), 0),
        (("services", 1, "pieces", "batch"), -1),
        (("services", 1, "pieces", "call_ms"), -1),
        (("services", 1, "pieces", "slots"), -1),
        (("services", 1, "pieces", "headroom_mb"), 1e308),
        (("services", 1, "pieces", "headroom_mb"), -1),
        (("services", 1, "pieces", "handle_s"), -1),
        (("services", 0, "max_conns"), 10**300),
        (("services", 0, "engine"), {"stride": 0}),
        (("services", 0, "engine"), {"kv_capacity": 1e308}),
        (("limits",), {"idle_timeout_ms": -1}),
        (("limits",), {"idle_timeout_ms": 1e308}),
        (("limits",), {"max_header_bytes": -1}),
        (("tenants", 0, "name"), "a\nb"),
        (("tenants", 0, "name"), "a\0"),
        (("tenants", 0, "name"), " a"),
        (("tenants", 0, "priority"), 10**300),
    ],
)
def test_config_with_values_out_of_range_returns_error_text(path, value):
    assert isinstance(document.read_config(_change(path, value)), str)


@pytest.mark.parametrize("server_id", ["", "a\nb", "a\0", " a", "i" * 5000])
def test_entry_whose_id_fits_no_header_returns_error_text(server_id):
    data = json.dumps(ENTRY).encode()
    assert isinstance(document.read_entry(server_id, data), str)


DEEP = b"[" * 100_000 + b"]" * 100_000


@pytest.mark.parametrize(
    "data",
    [
        DEEP,
        b'{"service": %s}' % DEEP,
        b'{"other": %s}' % DEEP,
        b"\xff\xfe",
        b"1e999999",
        b'{"slots": 1e999999}',
    ],
)
def test_entry_of_any_bytes_returns_error_text(data):
    assert isinstance(document.read_entry("i-1", data), str)
    assert isinstance(document.read_config(data), str)


@hypothesis.given(strategies.binary(max_size=200), strategies.text())
def test_no_bytes_of_an_entry_raise(data, server_id):
    assert isinstance(document.read_entry(server_id, data), str)


def test_odd_entry_leaves_the_others_in_service():
    page = {
        "items": [
            _new_item("servers/i-1", ENTRY),
            _new_item("servers/i-2", DEEP),
            _new_item("servers/i-3", {**ENTRY, "born": 10**300}),
        ],
        "current_rev": 7,
    }

    async def check(source, _targets):
        update = await source.list_all()
        assert [s.server_id for s in update.servers] == ["i-1"]
        assert len(update.problems) == 2

    _run_with_store([(200, page)], check)


@pytest.mark.parametrize(
    "odd",
    [
        None,
        7,
        {},
        {"key": 7, "revision": 1},
        {"key": "servers/i-2", "revision": "x"},
        {"key": "servers/i-2", "revision": 10**300},
        {"key": "servers/i-2", "revision": 1, "value": 7},
        {"key": "k" * 5000, "revision": 1},
    ],
)
def test_odd_item_of_a_page_leaves_the_others_in_service(odd):
    sound = _new_item("servers/i-1", ENTRY)
    page = {"items": [odd, sound], "current_rev": 7}
    changes = {"events": [odd, sound], "current_rev": 8}

    async def check(source, _targets):
        for update in (await source.list_all(), await source.list_changes(0)):
            assert [s.server_id for s in update.servers] == ["i-1"]
            assert len(update.problems) == 1
        history = await source.list_history(0)
        assert [s.server_id for s in history.servers] == ["i-1"]
        assert not history.is_complete

    _run_with_store([(200, page), (200, changes), (200, changes)], check)


def test_unreadable_page_does_not_end_the_list_as_complete():
    page = {"items": [None, {}], "current_rev": 7, "has_more": True}

    async def check(source, _targets):
        answer = await source.list_all()
        assert isinstance(answer, source_module.Unreachable)

    _run_with_store([(200, page)], check)


@pytest.mark.parametrize("current_rev", [-1, 10**300, "7", None, 1.5])
def test_page_with_an_odd_revision_is_unreachable(current_rev):
    body = {"items": [], "current_rev": current_rev}

    async def check(source, _targets):
        answer = await source.list_all()
        assert isinstance(answer, source_module.Unreachable)

    _run_with_store([(200, body)], check)


@pytest.mark.parametrize("era", [b"9" * 5000, b"\xb2", b"-1", b"1_0", b""])
def test_odd_era_of_the_store_ends_nothing(era):
    page = {"items": [], "current_rev": 7}

    async def check(source, _targets):
        update = await source.list_all()
        assert update.revision == 7
        assert update.era == 0

    _run_with_store([(200, page, (b"Store-Era", era))], check)


def test_entry_returns_server_with_incarnation():
    server = document.read_entry("i-1", json.dumps(ENTRY).encode())
    assert server == gateway.Server(
        "i-1",
        "svc",
        "10.0.0.1:80",
        "z",
        slots=4,
        incarnation=17,
        software_version="v1.2",
    )


def _new_item(key, value=None, revision=1):
    item = {"key": key, "revision": revision}
    if value is None:
        return {**item, "tombstone": True}
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {**item, "value": base64.b64encode(data).decode()}


def _run_with_store(responses, check):
    """Run `check(source, targets)` against a store with given responses."""
    remaining = list(responses)
    targets = []

    async def handle(exchange):
        targets.append(exchange.target)
        status, body, *headers = remaining.pop(0)
        if status is None:
            await trio.sleep_forever()
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        await exchange.answer(status, headers, data)

    async def main():
        async with trio.open_nursery() as nursery:
            server = server_module.new_server("", handle, catalog.CallerLimits)
            address = await loopback.start_raw_server(
                nursery, server.serve_connection
            )
            pool = pool_module.new_pool(nursery)
            await check(store.new_store_source(address, pool), targets)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_list_all_reads_all_pages_at_first_revision():
    async def check(source, targets):
        update = await source.list_all()
        assert update.revision == 10
        assert update.is_complete
        assert [server.server_id for server in update.servers] == ["i-1"]
        assert update.catalog.version == 7
        assert b"after=op%2Fconfig" in targets[1]

    _run_with_store(
        [
            (
                200,
                {
                    "items": [_new_item("op/config", CONFIG)],
                    "current_rev": 10,
                    "has_more": True,
                },
            ),
            (
                200,
                {
                    "items": [_new_item("servers/i-1", ENTRY)],
                    "current_rev": 12,
                },
            ),
        ],
        check,
    )


@pytest.mark.parametrize(
    ("first", "is_first"), [({"create_rev": 4}, True), ({}, False)]
)
def test_the_store_tells_whether_a_catalog_replaced_another(first, is_first):
    """Streams of an earlier one may last longer (review/8)."""
    item = _new_item("op/config", CONFIG, revision=4)
    replaced = {**item, "revision": 5, "create_rev": 4}
    pages = [
        (200, {"items": [{**item, **first}], "current_rev": 7}),
        (200, {"items": [replaced], "current_rev": 7}),
    ]

    async def check(source, _targets):
        assert (await source.list_all()).is_first_catalog is is_first
        assert not (await source.list_all()).is_first_catalog

    _run_with_store(pages, check)


def test_answers_of_the_store_carry_its_era():
    async def check(source, targets):
        assert (await source.list_all()).era == 3
        assert (await source.list_changes(1)).era == 4
        restored = await source.list_all()
        assert isinstance(restored, source_module.Unreachable)

    era = b"Store-Era"
    page = {"items": [_new_item("servers/i-1", ENTRY)], "current_rev": 1}
    more = {**page, "has_more": True}
    _run_with_store(
        [
            (200, page, (era, b"3")),
            (200, {"events": [], "current_rev": 1}, (era, b"4")),
            (200, more, (era, b"4")),
            (200, page, (era, b"5")),
        ],
        check,
    )


def test_a_configuration_that_is_no_base64_is_a_problem():
    async def check(source, targets):
        update = await source.list_all()
        assert len(update.problems) == 1
        assert update.catalog is None

    item = {"key": "op/config", "revision": 1, "value": "a"}
    _run_with_store([(200, {"items": [item], "current_rev": 1})], check)


class Observer(gateway.ServerObserver):
    """Records what servers say of themselves."""

    def __init__(self):
        self.leaving = []
        self.pauses = []
        self.limits = []
        self.made = None
        self.warming = []
        self.loads = []

    def record_leaving(self, published):
        self.leaving.append(published.server_id)

    def record_pause(self, published, pause_s):
        self.pauses.append((published.server_id, pause_s))

    def record_limit(self, published, limit_per_s):
        self.limits.append(limit_per_s)

    def record_warming(self, published, left_s):
        self.warming.append(left_s)

    def record_load(self, published, load, sent_s):
        self.loads.append(load)


@pytest.mark.parametrize(
    ("status", "headers", "leaving", "pauses", "limits"),
    [
        (200, [(b"Server-Leaving", b"1")], ["i-1"], [], [None]),
        (503, [(b"Retry-After", b"2.5")], [], [("i-1", 2.5)], [None]),
        (503, [(b"Retry-After", b"soon")], [], [], [None]),
        (503, [(b"Retry-After", b"-1")], [], [], [None]),
        (200, [(b"Retry-After", b"2.5")], [], [], [None]),
        # Another server's answer says nothing of the one that was asked.
        (421, [(b"Server-Leaving", b"1")], [], [], []),
        (200, [(b"Server-Limit", b"1.1")], [], [], [1.1]),
        (503, [(b"Server-Limit", b"0")], [], [], [0.0]),
        (503, [(b"X-Not-Run", b"1")], [], [], [None]),
        # What can't be read neither names a limit nor ends one.
        (200, [(b"Server-Limit", b"few")], [], [], []),
        (200, [(b"Server-Limit", b"inf")], [], [], []),
        (200, [(b"Server-Limit", b"-2")], [], [], []),
    ],
)
def test_what_engines_say_of_themselves_is_observed(
    status, headers, leaving, pauses, limits
):
    observer = observe_answers(status, headers)
    # Both calls, the request and the one for pieces, are observed.
    assert observer.leaving == leaving * 2
    assert observer.pauses == pauses * 2
    assert observer.limits == limits * 2
    is_refused = (b"X-Not-Run", b"1") in headers
    assert getattr(observer.made, "is_full", False) == is_refused
    load = gateway.ServerLoad(3, 2, 3)
    assert observer.loads == ([] if status == 421 else [load, load])


@pytest.mark.parametrize(
    ("status", "value", "warming"),
    [
        (200, b"1500", [1.5]),
        (503, b"40.5", [0.0405]),
        (200, b"0", []),
        (200, b"soon", []),
        (200, b"inf", []),
        (421, b"1500", []),
    ],
)
def test_warming_that_engines_tell_of_is_observed(status, value, warming):
    observer = observe_answers(status, [(b"X-Cold-Ms", value)])
    assert observer.warming == warming * 2


def observe_answers(status, headers):
    """Return the `Observer` of two answers of an engine."""
    observer = Observer()

    async def handle(exchange):
        told = [*headers, (b"X-Engine-Load", b"3,2,3")]
        await exchange.answer(status, told, b"{}")

    async def main():
        async with trio.open_nursery() as nursery:
            server = server_module.new_server("", handle, catalog.CallerLimits)
            address = await loopback.start_raw_server(
                nursery, server.serve_connection
            )
            engine_gateway = engines.new_engine_gateway(
                pool_module.new_pool(nursery)
            )
            engine_gateway.set_observer(observer)
            published = gateway.Server("i-1", "svc", address, "z")
            host = [(b"Host", b"h")]
            request = gateway.ServerRequest(
                b"rid", b"GET", b"/", host, b"", 500
            )
            answer = await engine_gateway.open_answer(published, request)
            answer.finish()
            made = await engine_gateway.run_pieces(published, [])
            nursery.cancel_scope.cancel()
        observer.made = made

    trio.run(main)
    return observer


def test_list_changes_returns_removals_and_problems():
    async def check(source, targets):
        update = await source.list_changes(8)
        assert set(update.removed) == {"i-2", "i-3"}
        assert [server.server_id for server in update.servers] == ["i-1"]
        assert len(update.problems) == 1
        assert update.catalog is None
        assert isinstance(
            await source.list_changes(11), source_module.HistoryLost
        )
        assert isinstance(
            await source.list_changes(11), source_module.Unreachable
        )
        assert isinstance(
            await source.list_changes(11), source_module.Unreachable
        )

    _run_with_store(
        [
            (
                200,
                {
                    "events": [
                        _new_item("servers/i-1", b"\x00", 9),
                        _new_item("servers/i-1", ENTRY, 10),
                        _new_item("servers/i-2", None, 11),
                        _new_item("servers/i-3", b"\xff{", 12),
                    ],
                    "current_rev": 12,
                },
            ),
            (410, {}),
            (503, {}),
            (None, {}),
        ],
        check,
    )


def test_reserved_and_hop_by_hop_fields_are_not_forwarded():
    class Exchange:
        method = b"POST"
        target = b"/a/%2e?q=1"
        body = b"body"
        received_s = 1.0
        headers = [
            (b"Host", b"H.example:80"),
            (b"X-Request-Id", b"rid"),
            (b"X-Model", b"m"),
            (b"X-Token-Counts", b"10,20"),
            (b"X-Prompt-Prefix", b"aa:3,bb:4"),
            (b"X-Pieces", b"2,0"),
            (b"X-Deadline-Ms", b"900"),
            (b"Api-Key", b"k"),
            (b"X-Tenant", b"forged"),
            (b"x-hold", b"forged"),
            (b"X-Pin-Ms", b"forged"),
            (b"X-Kv-Backup", b"forged"),
            (b"Kv-From", b"forged"),
            (b"Kv-Fetch", b"forged"),
            (b"X-Inputs", b"forged"),
            (b"X-Expect-Instance", b"forged"),
            (b"X-Request-Priority", b"0"),
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Two", b"a"),
            (b"X-Two", b"b"),
        ]

    request = callers.read_request(Exchange)
    assert request.headers == [
        (b"Host", b"H.example:80"),
        (b"X-Request-Id", b"rid"),
        (b"X-Model", b"m"),
        (b"X-Token-Counts", b"10,20"),
        (b"X-Prompt-Prefix", b"aa:3,bb:4"),
        (b"X-Pieces", b"2,0"),
        (b"X-Two", b"a"),
        (b"X-Two", b"b"),
    ]
    assert request.host == "h.example"
    assert request.deadline_ms == 900
    assert request.api_key == "k"
    assert request.piece_counts == (2, 0)
    assert request.parts == (("aa", 3), ("bb", 4))
    assert (request.prompt_tokens, request.output_tokens) == (10, 20)


def test_error_status_follows_outcome():
    refused = outcome.Refused(outcome.Reason.NO_CAPACITY, retry_after_ms=250)
    assert callers.get_error_response(refused) == (
        503,
        [(b"Retry-After", b"0.250")],
    )
    for reason in outcome.Reason:
        status, _headers = callers.get_error_response(outcome.Unknown(reason))
        assert status in (502, 504)


async def _open_answer(nursery, exchanges, request):
    """Return what a request to an engine gets that keeps its exchanges."""

    async def handle(exchange):
        exchanges.append(exchange)
        await exchange.answer(200, [(b"X-Request-Id", b"rid")], b"ok")

    server = server_module.new_server("", handle, catalog.CallerLimits)
    address = await loopback.start_raw_server(nursery, server.serve_connection)
    engine_gateway = engines.new_engine_gateway(pool_module.new_pool(nursery))
    return await engine_gateway.open_answer(
        gateway.Server("i-1", "svc", address, "z"), request
    )


def test_request_to_engine_has_fields_of_this_system():
    exchanges = []

    async def main():
        async with trio.open_nursery() as nursery:
            answer = await _open_answer(
                nursery,
                exchanges,
                gateway.ServerRequest(
                    request_id=b"rid",
                    method=b"POST",
                    target=b"/a/../%2e",
                    headers=[(b"Host", b"h"), (b"Last-Event-Id", b"1")],
                    body=b"",
                    left_ms=700,
                    organisation="t",
                    priority=2,
                    inputs=("h1", "h2"),
                    resume_after=b"5",
                ),
            )
            assert answer.status == 200
            assert await answer.receive_part() == b"ok"
            answer.finish()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert exchanges[0].target == b"/a/../%2e"
    sent = dict(exchanges[0].headers)
    assert sent[b"X-Expect-Instance"] == b"i-1"
    assert sent[b"X-Deadline-Ms"] == b"700"
    assert sent[b"X-Tenant"] == b"t"
    assert sent[b"X-Request-Priority"] == b"2"
    assert sent[b"X-Inputs"] == b"h1,h2"
    assert sent[b"Last-Event-Id"] == b"5"
    assert sent[b"Content-Length"] == b"0"


def test_invalid_node_file_raises_error(tmp_path):
    path = tmp_path / "node.json"
    with pytest.raises(ValueError, match="can't be read"):
        settings_module.read_node_file(str(path))
    path.write_text('{"node": 1}')
    with pytest.raises(ValueError, match="is invalid"):
        settings_module.read_node_file(str(path))


NODE = {
    "node": "front-1",
    "role": "front",
    "ip": "127.0.0.1",
    "zone": "z",
    "region": "n",
    "provider": {"address": "127.0.0.1:7"},
    "listen": {
        "front": "127.0.0.1:1",
        "ready": "127.0.0.1:2",
        "control": "127.0.0.1:3",
    },
    "bounds": {"revoke_ms": 4000},
}
ODD_NODE_FILES = [
    b"",
    b"\xff\xfe",
    DEEP,
    b'{"later": %s}' % DEEP,
    b"9" * 5000,
    b" " * 2_000_000,
] + [
    json.dumps({**NODE, **change}).encode()
    for change in (
        {"ip": "localhost"},
        {"listen": {}},
        {"listen": {**NODE["listen"], "front": "127.0.0.1:99999"}},
        {"listen": {**NODE["listen"], "ready": "127.0.0.1"}},
        {"listen": {**NODE["listen"], "control": "a\0:1"}},
        {"provider": {"address": "nowhere"}},
        {"bounds": {"revoke_ms": -1}},
        {"bounds": {"revoke_ms": 1e300}},
        {"bounds": {"grace_s": -1}},
        {"bounds": {"budget_window_s": 0}},
        {"bounds": {"drain_ms": 0}},
        {"bounds": {"config_apply_ms": 0}},
        {"limits": {"memory_mb": -1}},
        {"limits": {"cores": -1}},
        {"limits": {"cpu_share": 1e308, "cores": 1e308}},
        {"node": "n" * 5000},
    )
]


@pytest.mark.parametrize("data", ODD_NODE_FILES)
def test_odd_node_file_is_named_and_the_settings_in_force_stay(tmp_path, data):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(NODE))
    adapter = adapter_module.new_adapter(str(path), 9464)
    settings = adapter.get_settings()
    path.write_bytes(data)
    with pytest.raises(ValueError, match="node.json' "):
        adapter_module.new_adapter(str(path), 9464)
    reload = adapter.reload()
    assert "node.json' " in reload.problem
    assert not reload.changed and not reload.needs_restart
    assert adapter.get_settings() == settings
    assert adapter.get_grace_s() == 8
    path.write_text(json.dumps({**NODE, "bounds": {"grace_s": 5}}))
    assert "bounds.grace_s" in adapter.reload().changed
    assert adapter.get_grace_s() == 5


def test_odd_seed_is_no_peer(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps({**NODE, "seeds": ["nowhere", "a:0", "a:1"]}))
    settings = adapter_module.new_adapter(str(path), 9464).get_settings()
    assert settings.seeds == ("a:1",)


def test_node_file_that_is_no_file_is_named(tmp_path):
    with pytest.raises(ValueError, match="can't be read"):
        settings_module.read_node_file(str(tmp_path))
    with pytest.raises(ValueError, match="can't be read"):
        settings_module.read_node_file(str(tmp_path / "a\0b"))


@pytest.mark.parametrize("is_allowed", [True, False])
def test_request_goes_only_over_a_connection_that_its_check_allows(is_allowed):
    exchanges = []
    opened = []

    async def check(opened_s):
        await trio.lowlevel.checkpoint()
        opened.append(opened_s)
        return is_allowed

    async def main():
        async with trio.open_nursery() as nursery:
            answer = await _open_answer(
                nursery,
                exchanges,
                gateway.ServerRequest(
                    b"rid",
                    b"GET",
                    b"/",
                    [(b"Host", b"h")],
                    b"",
                    500,
                    check=check,
                ),
            )
            assert isinstance(answer, gateway.Answer) is is_allowed
            if not is_allowed:
                assert answer.ran is outcome.Ran.NO
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(exchanges) == is_allowed
    assert len(opened) == 1
