"""A stand-in of the platform's store: range and watch calls, eras."""

import base64
import json
import urllib.parse

from standins import http

JSON_HEADERS = (("Content-Type", "application/json"),)


class Store:
    """The items, their history and the era of one store."""

    def __init__(self):
        self.servers = []
        self.read_revision_by_address = {}
        self.revision = 400
        self.era = 1
        self.is_down = False
        self._item_by_key = {}
        self._events = []
        self._history_from = 0

    async def listen(self):
        """Listen at one more address, for one reader; return it.

        `read_revision_by_address` tells what its reader has seen.
        """
        server = http.Server(self._handle_at)
        await server.start()
        self.servers.append(server)
        return server.address

    def put(self, key, value):
        """Write a value as JSON; return its revision."""
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        old = self._item_by_key.get(key)
        item = {
            "key": key,
            "value": data,
            "revision": self.revision,
            "create_rev": old["create_rev"] if old else self.revision,
            "lease": 0,
        }
        self._item_by_key[key] = item
        self._events.append(item)
        return self.revision

    def delete(self, key):
        """Remove a key."""
        if self._item_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self._events.append(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    def compact(self):
        """Discard the history up to now."""
        self._history_from = self.revision
        self._events = []

    def copy(self):
        """Return a copy to restore later."""
        return dict(self._item_by_key), list(self._events), self.revision

    def restore(self, copy):
        """Come back from a copy, with the next era."""
        items, events, self.revision = copy
        self._item_by_key = dict(items)
        self._events = list(events)
        self.era += 1

    async def _handle_at(self, channel, request):
        await self._handle(channel, request)
        self.read_revision_by_address[request.get("host")] = self.revision

    async def _handle(self, channel, request):
        if self.is_down:
            channel.reset()
            return
        _method, target, _version = request.first_line.split(" ")
        path, _separator, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        prefix = fields.get("path_prefix", "")
        headers = [*JSON_HEADERS, ("Store-Era", self.era)]
        status, content = 404, {}
        if path == "/api/kv-range":
            status, content = 200, self._list(prefix)
        elif path == "/api/kv-watch":
            status, content = self._watch(prefix, int(fields["after"]))
        await channel.answer(status, headers, json.dumps(content).encode())

    def _list(self, prefix):
        items = [
            item
            for key, item in sorted(self._item_by_key.items())
            if key.startswith(prefix)
        ]
        return {
            "items": items,
            "has_more": False,
            "current_rev": self.revision,
        }

    def _watch(self, prefix, after):
        if after > self.revision or after < self._history_from:
            return 410, {}
        events = [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        return 200, {"events": events, "current_rev": self.revision}
