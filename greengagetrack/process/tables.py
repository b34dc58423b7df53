"""Keeps the newest table in force in this process.

Versions only rise. Every message between processes carries a version, and
who hears a higher one fetches it from there. A few entries of each data
centre watch the configuration service; the others read it only when no
peer has been heard for a while.
"""

import logging
import random

import trio

from greengagetrack.connection import messages
from greengagetrack.version import checks
from greengagetrack.version import loader
from greengagetrack.version import rank
from greengagetrack.version import table as table_module

WATCHERS_PER_DATA_CENTRE = 2
WATCH_WAIT_S = 3.0
WATCH_PAUSE_S = 0.2
WATCH_PAUSE_MAX_S = 5.0
RELAY_SILENCE_S = 10.0
CHECK_PERIOD_S = 1.0
FETCH_TIMEOUT_S = 2.0
FETCH_PAUSE_S = 0.2
REJECTED_MAX = 16

_log = logging.getLogger(__name__)


class Rejection:
    """A version that was refused, and why."""

    __slots__ = ("findings", "source", "version")

    def __init__(self, version, findings, source):
        self.version = version
        self.findings = findings
        self.source = source


class TableKeeper:
    """Reads, fetches, checks and serves versions of the table."""

    __slots__ = (
        "_accepting",
        "_config",
        "_content_by_digest",
        "_data_centre",
        "_fetch_from",
        "_is_partial",
        "_links",
        "_name",
        "_random",
        "_refused_manifests",
        "_run_sync",
        "_vm_view",
        "accepted",
        "changed",
        "config_version",
        "heard_at_s",
        "heard_version",
        "rejections",
        "revision",
        "table",
    )

    def __init__(
        self, name, data_centre, config, vm_view, links, is_partial, generator
    ):
        self._name = name
        self._data_centre = data_centre
        self._config = config
        self._vm_view = vm_view
        self._links = links
        self._is_partial = is_partial
        self._random = generator
        self._run_sync = trio.to_thread.run_sync
        self._accepting = trio.Lock()
        self._content_by_digest = {}
        self._fetch_from = ""
        self._refused_manifests = set()
        self.table = None
        self.changed = trio.Event()
        self.accepted = trio.Event()
        self.heard_version = 0
        self.heard_at_s = None
        self.config_version = 0
        self.revision = -1
        self.rejections = []

    def read_inline(self):
        """Read tables in the calling task: for tests on a mock clock."""

        async def run_sync(function, *arguments):
            await trio.lowlevel.checkpoint()
            return function(*arguments)

        self._run_sync = run_sync

    def get_table(self):
        """Return the table in force, or None before the first one."""
        return self.table

    def get_version(self):
        """Return the version in force, 0 before the first one."""
        return self.table.version if self.table is not None else 0

    def hear(self, version, address):
        """Note a peer's version; fetch it from there if it is higher."""
        self.heard_at_s = trio.current_time()
        if version > max(self.get_version(), self.heard_version):
            self.heard_version = version
        if version > self.get_version():
            self._wake(address)

    def _wake(self, address):
        event, self.changed = self.changed, trio.Event()
        self._fetch_from = address
        event.set()

    async def keep_config(self):
        """Watch the configuration service while it is this one's turn."""
        failures = 0
        while True:
            if not self._is_reader():
                await self._pause(CHECK_PERIOD_S)
                continue
            value = await self._config.watch(
                table_module.MANIFEST_KEY, self.revision, WATCH_WAIT_S
            )
            if value is None:
                # A service that was reset can give a revision that is
                # known to another text, so the value itself is compared
                # now and then.
                value = await self._config.read(table_module.MANIFEST_KEY)
            if value is None:
                failures = min(failures + 1, 8)
                pause_s = WATCH_PAUSE_S * 2**failures
                await self._pause(min(pause_s, WATCH_PAUSE_MAX_S))
                continue
            failures = 0
            if await self._take_value(value):
                self.revision = value.revision
            await self._pause(WATCH_PAUSE_S)

    async def read_config_once(self):
        """Read the configuration service once, as at the start."""
        value = await self._config.read(table_module.MANIFEST_KEY)
        if value is not None and await self._take_value(value):
            self.revision = value.revision

    def _is_reader(self):
        entries = self._vm_view.get_entries(data_centre=self._data_centre)
        names = [vm.name for vm in entries]
        watchers = rank.rank("watch", names)[:WATCHERS_PER_DATA_CENTRE]
        if self._name in watchers:
            return True
        if self.heard_at_s is None:
            return True
        return trio.current_time() - self.heard_at_s > RELAY_SILENCE_S

    async def _pause(self, seconds):
        await trio.sleep(seconds * self._random.uniform(0.5, 1.5))

    async def _take_value(self, value):
        """Return whether the manifest needs no second look."""
        if value.text in self._refused_manifests:
            return True
        manifest = loader.read_manifest(value.text)
        if isinstance(manifest, list):
            self._refuse(0, value.text, manifest, "configuration service")
            return True
        self.config_version = manifest.version
        if manifest.version <= self.get_version():
            if manifest.version < self.get_version():
                _log.warning(
                    "configuration service is behind; nothing is reverted",
                    extra={
                        "decision": "table_kept",
                        "config_version": manifest.version,
                        "table_version": self.get_version(),
                    },
                )
            return True
        texts = await self._collect(manifest, self._read_document)
        if texts is None:
            return False
        await self._accept(value.text, manifest, texts, "configuration")
        return True

    async def _read_document(self, key, _digest):
        value = await self._config.read(key)
        return value.text if value is not None else None

    async def _collect(self, manifest, read):
        """Return the documents of a manifest, or None if one is missing."""
        held = self.table.text_by_key if self.table is not None else {}
        texts = {}
        for key, digest in manifest.documents.items():
            if not loader.is_wanted(key, not self._is_partial):
                continue
            text = held.get(key)
            if text is None or loader.get_digest(text) != digest:
                text = await read(key, digest)
            if text is None or loader.get_digest(text) != digest:
                # Published in another order, or changed meanwhile.
                return None
            texts[key] = text
        return texts

    async def keep_fetching(self):
        """Fetch higher versions from the peers that told of them."""
        while True:
            event = self.changed
            if self.heard_version <= self.get_version():
                await event.wait()
            address = self._fetch_from
            await self.fetch(address)
            if self.heard_version > self.get_version():
                # The peer may be gone: the next one that tells of the
                # version is asked.
                self.heard_version = self.get_version()
                await self._pause(FETCH_PAUSE_S)

    async def fetch(self, address):
        """Fetch the table of one peer; return whether it answered."""
        link = self._links.get_link(address)
        reply = await link.ask(messages.FetchManifest(), FETCH_TIMEOUT_S)
        if not isinstance(reply, messages.Manifest):
            return False
        if reply.version <= self.get_version():
            return True
        manifest = loader.read_manifest(reply.text)
        if reply.text in self._refused_manifests:
            return True
        if isinstance(manifest, list):
            self._refuse(reply.version, reply.text, manifest, address)
            return True

        async def read(key, digest):
            question = messages.FetchDocument(key=key, digest=digest)
            answer = await link.ask(question, FETCH_TIMEOUT_S)
            if isinstance(answer, messages.Document) and answer.text:
                return answer.text
            return None

        texts = await self._collect(manifest, read)
        if texts is not None:
            await self._accept(reply.text, manifest, texts, address)
        return True

    async def _accept(self, text, manifest, texts, source):
        """Put a version in force if it is higher and has no errors."""
        async with self._accepting:
            if manifest.version <= self.get_version():
                return
            # Reading a whole table takes a while; a thread keeps the
            # tasks of this process going.
            table, findings = await self._run_sync(
                loader.build_table,
                text,
                texts,
                self._content_by_digest,
                self._is_partial,
            )
            if table is None:
                self._refuse(manifest.version, text, findings, source)
                return
            # No await between the comparison and the assignment.
            if table.version > self.get_version():
                self.table = table
                self.accepted.set()
                self.accepted = trio.Event()
                _log.info(
                    "table in force",
                    extra={
                        "decision": "table_accepted",
                        "table_version": table.version,
                        "source": source,
                    },
                )

    def _refuse(self, version, text, findings, source):
        self._refused_manifests.add(text)
        self.rejections.append(Rejection(version, findings, source))
        del self.rejections[:-REJECTED_MAX]
        errors = [
            str(finding)
            for finding in findings
            if finding.level is checks.Level.ERROR
        ]
        _log.error(
            "table refused; the one in force stays",
            extra={
                "decision": "table_refused",
                "refused_version": version,
                "table_version": self.get_version(),
                "errors": errors[:20],
            },
        )

    def get_manifest(self):
        """Return the manifest in force, as an answer to a peer."""
        if self.table is None:
            return messages.Manifest(0, b"")
        return messages.Manifest(self.table.version, self.table.manifest)

    def get_document(self, request):
        """Return a document in force, as an answer to a peer."""
        text = b""
        if self.table is not None:
            text = self.table.text_by_key.get(request.key, b"")
        if text and loader.get_digest(text) != request.digest:
            text = b""
        return messages.Document(text)


def new_table_keeper(
    name, data_centre, config, vm_view, links, is_partial, seed=None
):
    """Return a keeper that has no table yet.

    With `is_partial` it leaves the organisations out, as agents do.
    """
    generator = random.Random(seed)
    return TableKeeper(
        name, data_centre, config, vm_view, links, is_partial, generator
    )
