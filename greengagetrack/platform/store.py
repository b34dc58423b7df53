"""A source that reads the platform's key-value store by polling."""

import base64
from typing import Annotated
import urllib.parse

import msgspec
import trio

from greengagetrack.connection.http.client import call as call_module
from greengagetrack.connection.http.client import failures
from greengagetrack.connection.http.client import heads
from greengagetrack.connection.http import fields
from greengagetrack.connection.http import matching
from greengagetrack.connection.http import numbers
from greengagetrack.connection import source
from greengagetrack.platform import document
from greengagetrack.platform import names

CALL_TIMEOUT_S = 1.0
PAGES_MAX = 200
KEY_MAX_CHARS = 1000


class _Item(msgspec.Struct):
    key: Annotated[str, msgspec.Meta(max_length=KEY_MAX_CHARS)]
    revision: numbers.Count
    value: str = ""
    tombstone: bool = False
    # That of its first value; 0 is that of none.
    create_rev: numbers.Count = 0


class _Page(msgspec.Struct):
    # Decoded one by one, so that an odd item leaves the others.
    items: list[msgspec.Raw]
    current_rev: numbers.Count
    has_more: bool = False

    def get_raw_items(self):
        """Return what is decoded one by one."""
        return self.items

    @staticmethod
    def is_answer_to(query, items):
        """Return whether all items come after those of the page before."""
        after = query.get("after", "")
        return all(item.key > after for item in items)


class _Changes(msgspec.Struct):
    events: list[msgspec.Raw]
    current_rev: numbers.Count

    def get_raw_items(self):
        """Return what is decoded one by one."""
        return self.events

    @staticmethod
    def is_answer_to(query, items):
        """Return whether this is what was asked for, no earlier changes."""
        return all(
            item.revision > query["after"]
            and item.key.startswith(query["path_prefix"])
            for item in items
        )


class _Dated(msgspec.Struct):
    """The content of an answer and the era that it belongs to.

    `problems` tells which of its items can't be read.
    """

    era: int
    content: _Page | _Changes
    items: list[_Item]
    problems: list[str]


class StoreSource(source.Source):
    """A source of the configuration and server entries in the store."""

    __slots__ = ("_address", "_pool")

    def __init__(self, address, pool):
        self._address = address
        self._pool = pool

    async def list_all(self):
        """Return a complete `Update`, or `Unreachable`."""
        items, problems = [], []
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
            items += answer.items
            problems += answer.problems
            if answer.problems and not answer.items and page.has_more:
                return source.Unreachable("no readable item on a page")
            if not page.has_more or not answer.items:
                # Pages are not a snapshot: a later call of `list_changes`
                # with the first page's revision returns what changed
                # meanwhile.
                return _read_update(
                    items,
                    problems,
                    first.content.current_rev,
                    first.era,
                    is_complete=True,
                )
            query["after"] = answer.items[-1].key
        return source.Unreachable("too many pages")

    async def list_changes(self, revision):
        """Return `Update`, `HistoryLost` or `Unreachable`."""
        query = {"path_prefix": "", "after": revision, "wait_ms": 0}
        answer = await self._get(names.WATCH_PATH, query, _Changes)
        if not isinstance(answer, _Dated):
            return answer
        return _read_update(
            answer.items,
            answer.problems,
            answer.content.current_rev,
            answer.era,
        )

    async def list_history(self, revision):
        """Return `History`, `HistoryLost` or `Unreachable`."""
        query = {"path_prefix": names.SERVERS_PREFIX}
        query |= {"after": revision, "wait_ms": 0}
        answer = await self._get(names.WATCH_PATH, query, _Changes)
        if not isinstance(answer, _Dated):
            return answer
        return _read_history(answer.items, answer.problems)

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
        items, problems = _read_items(content.get_raw_items())
        if not content.is_answer_to(query, items):
            return self._reject("response to another request")
        return _Dated(era, content, items, problems)

    def _reject(self, detail):
        """Return `Unreachable`; the own response may still be under way."""
        self._pool.drop_connections(self._address)
        return source.Unreachable(detail)

    async def _call(self, target):
        """Return status, body and era; status 0 means no response."""
        host = self._address.encode()
        request = heads.RequestHead(b"GET", target, [(b"Host", host)])
        call = await self._pool.open_call(self._address, request, b"")
        if not isinstance(call, call_module.Call):
            return 0, call.detail.encode(), 0
        try:
            response = await call.receive_response(_identify)
        finally:
            call.finish()
        if isinstance(response, failures.ResponseFailure):
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
    return numbers.read_count(text, numbers.COUNT_MAX) or 0


def _read_items(raw_items):
    """Return the items, and the problems of those that are unreadable."""
    items, problems = [], []
    for raw in raw_items:
        try:
            items.append(msgspec.json.decode(raw, type=_Item))
        except document.DECODING_ERRORS as error:
            problems.append(f"item {bytes(raw)[:80]!r}: {error}")
    return items, problems


def _read_update(items, problems, revision, era, is_complete=False):
    """Return an `Update` with the last item of each key in `items`."""
    item_by_key = {item.key: item for item in items}
    servers, removed = [], []
    evacuated, readmitted = [], []
    problems = list(problems)
    catalog = None
    is_first_catalog = False
    for key, item in item_by_key.items():
        if key == names.CONFIG_KEY and not item.tombstone:
            catalog = _read_catalog(item.value)
            is_first_catalog = item.revision == item.create_rev
            if isinstance(catalog, str):
                problems.append(catalog)
                catalog = None
        elif key.startswith(names.EVACUATION_PREFIX):
            data_centre = key[len(names.EVACUATION_PREFIX) :]
            (readmitted if item.tombstone else evacuated).append(data_centre)
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
        evacuated=tuple(evacuated),
        readmitted=tuple(readmitted),
        is_first_catalog=is_first_catalog,
    )


def _read_history(items, problems):
    servers = []
    seen_keys = set()
    # What can't be read may be a server of any version.
    is_complete = not problems
    for item in items:
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
