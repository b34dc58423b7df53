"""Updates the table of this process to the highest published version.

Versions only rise. Messages between processes carry a version, and a
process that receives a higher one fetches it from the sender. A few entries
of each data centre watch the configuration service; the other processes
watch it only after `PEER_CONTACT_TIMEOUT_S` without contact to a peer.
"""

import logging
import random

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.version import checks
from greengagetrack.version import loader
from greengagetrack.version import rendezvous
from greengagetrack.version import table as table_module

WATCHERS_PER_DATA_CENTRE = 2
WATCH_WAIT_S = 3.0
WATCH_PAUSE_S = 0.2
WATCH_PAUSE_MAX_S = 5.0
PEER_CONTACT_TIMEOUT_S = 10.0
ROLE_CHECK_PERIOD_S = 1.0
FETCH_TIMEOUT_S = 2.0
FETCH_RETRY_DELAY_S = 0.2
REJECTED_MAX = 16

_log = logging.getLogger(__name__)


class Rejection:
    """A rejected version of the table and the findings against it."""

    __slots__ = ("findings", "source", "version")

    def __init__(self, version, findings, source):
        self.version = version
        self.findings = findings
        self.source = source


class TableUpdater:
    """Component that reads, fetches, validates and serves the table."""

    __slots__ = (
        "_accept_lock",
        "_config",
        "_document_by_digest",
        "_data_centre",
        "_fetch_address",
        "_is_partial",
        "_links",
        "_name",
        "_random",
        "_rejected_manifests",
        "_run_sync",
        "_vm_view",
        "accepted",
        "announced_version",
        "config_version",
        "last_contact_s",
        "rejections",
        "revision",
        "table",
        "version_announced",
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
        self._accept_lock = trio.Lock()
        self._document_by_digest = {}
        self._fetch_address = ""
        self._rejected_manifests = set()
        self.table = None
        self.version_announced = trio.Event()
        self.accepted = trio.Event()
        self.announced_version = 0
        self.last_contact_s = None
        self.config_version = 0
        self.revision = -1
        self.rejections = []

    def disable_threads(self):
        """Build tables in the calling task, for tests on a mock clock."""

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

    def record_peer_version(self, version, address):
        """Record contact with a peer; request its version if it is higher."""
        self.last_contact_s = trio.current_time()
        if version > max(self.get_version(), self.announced_version):
            self.announced_version = version
        if version > self.get_version():
            self._request_fetch(address)

    def _request_fetch(self, address):
        event, self.version_announced = self.version_announced, trio.Event()
        self._fetch_address = address
        event.set()

    async def watch_config(self):
        """Watch the configuration service while this process has to."""
        failures = 0
        while True:
            if not self._must_watch_config():
                await self._sleep_jittered(ROLE_CHECK_PERIOD_S)
                continue
            value = await self._config.watch(
                table_module.MANIFEST_KEY, self.revision, WATCH_WAIT_S
            )
            if value is None:
                # After a reset, the service can give a new value the
                # revision of an old one. The watch misses that, so the
                # value is read as well.
                value = await self._config.read(table_module.MANIFEST_KEY)
            if value is None:
                failures = min(failures + 1, 8)
                pause_s = WATCH_PAUSE_S * 2**failures
                await self._sleep_jittered(min(pause_s, WATCH_PAUSE_MAX_S))
                continue
            failures = 0
            if await self._process_manifest(value):
                self.revision = value.revision
            await self._sleep_jittered(WATCH_PAUSE_S)

    async def read_config_once(self):
        """Read the configuration service once, at the start."""
        value = await self._config.read(table_module.MANIFEST_KEY)
        if value is not None and await self._process_manifest(value):
            self.revision = value.revision

    def _must_watch_config(self):
        entries = self._vm_view.get_entries(data_centre=self._data_centre)
        names = [vm.name for vm in entries]
        watchers = rendezvous.rank("watch", names)[:WATCHERS_PER_DATA_CENTRE]
        if self._name in watchers:
            return True
        if self.last_contact_s is None:
            return True
        return (
            trio.current_time() - self.last_contact_s > PEER_CONTACT_TIMEOUT_S
        )

    async def _sleep_jittered(self, seconds):
        await trio.sleep(seconds * self._random.uniform(0.5, 1.5))

    async def _process_manifest(self, value):
        """Apply a manifest; return False if it must be read again."""
        if value.text in self._rejected_manifests:
            return True
        manifest = loader.read_manifest(value.text)
        if isinstance(manifest, list):
            self._reject(0, value.text, manifest, "configuration service")
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
        texts = await self._collect_documents(manifest, self._read_document)
        if texts is None:
            return False
        await self._accept(value.text, manifest, texts, "configuration")
        return True

    async def _read_document(self, key, _digest):
        value = await self._config.read(key)
        return value.text if value is not None else None

    async def _collect_documents(self, manifest, read):
        """Return the documents of a manifest, or None if one is missing."""
        text_by_key = self.table.text_by_key if self.table is not None else {}
        texts = {}
        for key, digest in manifest.documents.items():
            if not loader.needs_document(key, not self._is_partial):
                continue
            text = text_by_key.get(key)
            if text is None or loader.get_digest(text) != digest:
                text = await read(key, digest)
            if text is None or loader.get_digest(text) != digest:
                # The document was published after its manifest, or has
                # changed since.
                return None
            texts[key] = text
        return texts

    async def fetch_announced(self):
        """Fetch higher versions from the peers that announced them."""
        while True:
            event = self.version_announced
            if self.announced_version <= self.get_version():
                await event.wait()
            address = self._fetch_address
            await self.fetch(address)
            if self.announced_version > self.get_version():
                # The peer may have stopped. Resetting the version lets the
                # next peer that announces it trigger a fetch.
                self.announced_version = self.get_version()
                await self._sleep_jittered(FETCH_RETRY_DELAY_S)

    async def fetch(self, address):
        """Fetch the table of a peer; return whether the peer replied."""
        link = self._links.get_link(address)
        reply = await link.request(
            agent_messages.FetchManifest(), FETCH_TIMEOUT_S
        )
        if not isinstance(reply, agent_messages.Manifest):
            return False
        if reply.version <= self.get_version():
            return True
        manifest = loader.read_manifest(reply.text)
        if reply.text in self._rejected_manifests:
            return True
        if isinstance(manifest, list):
            self._reject(reply.version, reply.text, manifest, address)
            return True

        async def read(key, digest):
            request = agent_messages.FetchDocument(key=key, digest=digest)
            document = await link.request(request, FETCH_TIMEOUT_S)
            if isinstance(document, agent_messages.Document) and document.text:
                return document.text
            return None

        texts = await self._collect_documents(manifest, read)
        if texts is not None:
            await self._accept(reply.text, manifest, texts, address)
        return True

    async def _accept(self, text, manifest, texts, source):
        """Put a version in force if it is higher and has no errors."""
        async with self._accept_lock:
            if manifest.version <= self.get_version():
                return
            # Building a whole table takes a while. It runs in a thread so
            # that it does not block the event loop.
            table, findings = await self._run_sync(
                loader.build_table,
                text,
                texts,
                self._document_by_digest,
                self._is_partial,
            )
            if table is None:
                self._reject(manifest.version, text, findings, source)
                return
            # There must be no await between comparison and assignment.
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

    def _reject(self, version, text, findings, source):
        self._rejected_manifests.add(text)
        self.rejections.append(Rejection(version, findings, source))
        del self.rejections[:-REJECTED_MAX]
        errors = [
            str(finding)
            for finding in findings
            if finding.level is checks.Level.ERROR
        ]
        _log.error(
            "table rejected; keeping the current one",
            extra={
                "decision": "table_refused",
                "refused_version": version,
                "table_version": self.get_version(),
                "errors": errors[:20],
            },
        )

    def get_manifest(self):
        """Return the reply to `FetchManifest`."""
        if self.table is None:
            return agent_messages.Manifest(0, b"")
        return agent_messages.Manifest(self.table.version, self.table.manifest)

    def get_document(self, request):
        """Return the reply to `FetchDocument`."""
        text = b""
        if self.table is not None:
            text = self.table.text_by_key.get(request.key, b"")
        if text and loader.get_digest(text) != request.digest:
            text = b""
        return agent_messages.Document(text)


def new_table_updater(
    name, data_centre, config, vm_view, links, is_partial, seed=None
):
    """Return an updater that has no table yet.

    With `is_partial`, as in agents, it omits the organisations.
    """
    generator = random.Random(seed)
    return TableUpdater(
        name, data_centre, config, vm_view, links, is_partial, generator
    )
