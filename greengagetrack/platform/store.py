"""A source that reads the platform's key-value store by polling."""

import base64
import urllib.parse

import msgspec
import trio

from greengagetrack.connection.http import client
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import matching
from greengagetrack.connection import source
from greengagetrack.platform import document
from greengagetrack.platform import names

CALL_TIMEOUT_S = 1.0
PAGES_MAX = 200


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    current_rev: int
    has_more: bool = False

    def is_answer_to(self, query):
        """Return whether all items come after those of the page before."""
        after = query.get("after", "")
        return all(item.key > after for item in self.items)


class _Changes(msgspec.Struct):
    events: list[_Item]
    current_rev: int

    def is_answer_to(self, query):
        """Return whether this is what was asked for, no earlier changes."""
        return all(
            event.revision > query["after"]
            and event.key.startswith(query["path_prefix"])
            for event in self.events
        )


class _Dated(msgspec.Struct):
    """The content of an answer and the era that it belongs to."""

    era: int
    content: _Page | _Changes


class StoreSource(source.Source):
    """A source of the configuration and server entries in the store."""

    __slots__ = ("_address", "_pool")

    def __init__(self, address, pool):
        self._address = address
        self._pool = pool

    async def list_all(self):
        """Return a complete `Update`, or `Unreachable`."""
        items = []
        first = None
        query = {"path_prefix": ""}
        for _page in range(PAGES_MAX):
            answer = await self._get(names.RANGE_PATH, query, _Page)
            if not isinstance(answer, _Dated):
                return answer
            first = first or answer
            if answer.era != first.era:
                return source.Unreachable("restored between two pages")
            page = answer.content
            items += page.items
            if not page.has_more or not page.items:
                # Pages are not a snapshot: a later call of `list_changes`
                # with the first page's revision returns what changed
                # meanwhile.
                return _read_update(
                    items,
                    first.content.current_rev,
                    first.era,
                    is_complete=True,
                )
            query["after"] = page.items[-1].key
        return source.Unreachable("too many pages")

    async def list_changes(self, revision):
        """Return `Update`, `HistoryLost` or `Unreachable`."""
        query = {"path_prefix": "", "after": revision, "wait_ms": 0}
        answer = await self._get(names.WATCH_PATH, query, _Changes)
        if not isinstance(answer, _Dated):
            return answer
        changes = answer.content
        return _read_update(changes.events, changes.current_rev, answer.era)

    async def list_history(self, revision):
        """Return `History`, `HistoryLost` or `Unreachable`."""
        query = {"path_prefix": names.SERVERS_PREFIX}
        query |= {"after": revision, "wait_ms": 0}
        answer = await self._get(names.WATCH_PATH, query, _Changes)
        if not isinstance(answer, _Dated):
            return answer
        return _read_history(answer.content.events)

    async def _get(self, path, query, response_type):
        """Return the `_Dated` content, `HistoryLost` or `Unreachable`."""
        target = f"{path}?{urllib.parse.urlencode(query)}"
        status, body, era = 0, b"no answer in time", 0
        with trio.move_on_after(CALL_TIMEOUT_S):
            status, body, era = await self._call(target.encode())
        if status == 410:
            return source.HistoryLost()
        if status != 200:
            return source.Unreachable(f"{status} {body[:80]!r}")
        try:
            content = msgspec.json.decode(body, type=response_type)
        except document.DECODING_ERRORS as error:
            return self._reject(f"invalid response: {error}")
        if not content.is_answer_to(query):
            return self._reject("response to another request")
        return _Dated(era, content)

    def _reject(self, detail):
        """Return `Unreachable`; the own response may still be under way."""
        self._pool.drop_connections(self._address)
        return source.Unreachable(detail)

    async def _call(self, target):
        """Return status, body and era; status 0 means no response."""
        host = self._address.encode()
        request = client.RequestHead(b"GET", target, [(b"Host", host)])
        call = await self._pool.open_call(self._address, request, b"")
        if not isinstance(call, client.Call):
            return 0, call.detail.encode(), 0
        try:
            response = await call.receive_response(_identify)
        finally:
            call.finish()
        if isinstance(response, client.ResponseFailure):
            return 0, response.detail.encode(), 0
        head, body = response
        return head.status, body, _read_era(head.headers)


def _identify(_head, _body):
    """Return an `Identity`: the store repeats no id.

    `is_answer_to` judges the content.
    """
    return matching.Identity(is_own=True)


def _read_era(headers):
    text = fields.get_value(headers, names.STORE_ERA.lower(), b"").strip()
    return int(text) if text.isdigit() else 0


def _read_update(items, revision, era, is_complete=False):
    """Return an `Update` with the last item of each key in `items`."""
    item_by_key = {item.key: item for item in items}
    servers, removed, problems = [], [], []
    catalog = None
    for key, item in item_by_key.items():
        if key == names.CONFIG_KEY and not item.tombstone:
            catalog = _read_catalog(item.value)
            if isinstance(catalog, str):
                problems.append(catalog)
                catalog = None
        elif key.startswith(names.SERVERS_PREFIX):
            server_id = key[len(names.SERVERS_PREFIX) :]
            server = None
            if not item.tombstone:
                server = _read_server(server_id, item.value)
            if isinstance(server, str):
                problems.append(server)
            elif server is not None:
                servers.append(server)
                continue
            removed.append(server_id)
    return source.Update(
        revision=revision,
        catalog=catalog,
        servers=tuple(servers),
        removed=tuple(removed),
        is_complete=is_complete,
        problems=tuple(problems),
        era=era,
    )


def _read_history(events):
    servers = []
    seen_keys = set()
    is_complete = True
    for item in events:
        if item.tombstone:
            is_complete &= item.key in seen_keys
            continue
        server_id = item.key[len(names.SERVERS_PREFIX) :]
        server = _read_server(server_id, item.value)
        if not isinstance(server, str):
            servers.append(server)
            seen_keys.add(item.key)
    return source.History(tuple(servers), is_complete)


def _read_catalog(value):
    try:
        data = base64.b64decode(value)
    except ValueError as error:
        return f"{names.CONFIG_KEY}: {error}"
    return document.read_config(data)


def _read_server(server_id, value):
    try:
        data = base64.b64decode(value)
    except ValueError as error:
        return f"{names.SERVERS_PREFIX}{server_id}: {error}"
    return document.read_entry(server_id, data)


def new_store_source(address, pool):
    """Return the source that reads the store at `address`."""
    return StoreSource(address, pool)
