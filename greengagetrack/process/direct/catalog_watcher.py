"""Polls the source for the catalog and the list of servers.

Each successful poll brings the changes of both and confirms that the
catalog is the newest. The catalog version never decreases.
"""

import logging
import math

import trio

from greengagetrack.connection import source as source_module
from greengagetrack.process.direct import containment as containment_module
from greengagetrack.process.direct import newest_version
from greengagetrack.process.direct import stream_lives

# The poll period as a fraction of the bound on applying a change, and of the
# lease: a confirmation must come before the last one ends.
POLL_PERIOD_RATIO = 0.44
POLL_PERIOD_MIN_S = 0.1
RETRY_S = 0.25
# Between two polls out of turn.
REFRESH_PERIOD_S = 0.4
REFRESH_TIMEOUT_S = 0.8

_log = logging.getLogger(__name__)


class CatalogWatcher:
    """A poller of one source that applies its updates."""

    __slots__ = (
        "_bounds_changed",
        "_containment",
        "_directory",
        "_is_source_behind",
        "_is_source_reachable",
        "_poll_lock",
        "_poll_period_s",
        "_random",
        "_read_s",
        "_sent_s",
        "_source",
        "catalog",
        "catalog_changed",
        "era",
        "lease",
        "newest",
        "revision",
        "stream_lives",
    )

    def __init__(
        self, source, directory, lease, change_bound_s, generator, containment
    ):
        self._source = source
        self._containment = containment
        self._directory = directory
        self._random = generator
        self._is_source_behind = False
        self._is_source_reachable = None
        self._poll_lock = trio.Lock()
        # When the last poll was sent, and the last one that was answered.
        self._sent_s = self._read_s = -math.inf
        self.lease = lease
        self._bounds_changed = trio.Event()
        self.apply_bounds(change_bound_s)
        self.newest = newest_version.new_newest_version(lease)
        self.stream_lives = stream_lives.new_stream_lives()
        self.catalog = None
        self.revision = None
        self.era = 0
        self.catalog_changed = trio.Event()

    def apply_bounds(self, change_bound_s):
        """Poll as the bounds on changes and keys need it, at once first.

        The lease has the bound on keys.
        """
        bound_s = min(change_bound_s, self.lease.bound_s)
        self._poll_period_s = max(
            bound_s * POLL_PERIOD_RATIO, POLL_PERIOD_MIN_S
        )
        event, self._bounds_changed = self._bounds_changed, trio.Event()
        event.set()

    def get_catalog(self):
        """Return the current catalog, or None before the first one."""
        return self.catalog

    def get_version(self):
        """Return the current catalog version, 0 before the first one."""
        return 0 if self.catalog is None else self.catalog.version

    async def run(self):
        """Poll the source until cancelled."""
        while True:
            is_answered = False
            # Where each poll fails, the lease ends, and so does readiness.
            with self._containment.contain("poll"):
                async with self._poll_lock:
                    is_answered = await self._poll_once()
            if is_answered:
                pause_s = self._poll_period_s * self._random.uniform(0.85, 1.0)
                with trio.move_on_after(pause_s):
                    await self._bounds_changed.wait()
            else:
                await trio.sleep(RETRY_S * self._random.uniform(0.8, 1.2))

    async def refresh(self):
        """Return whether the source, asked from now on, has answered.

        All who wait for that share one poll.
        """
        asked_s = trio.current_time()
        with trio.move_on_after(REFRESH_TIMEOUT_S):
            async with self._poll_lock:
                if self._sent_s < asked_s:
                    await trio.sleep_until(self._sent_s + REFRESH_PERIOD_S)
                    await self._poll_once()
        return self._read_s >= asked_s

    async def _poll_once(self):
        """Poll the source once; return whether it answered."""
        self._sent_s = trio.current_time()
        sent_s = self.lease.now_s()
        if self.revision is None:
            answer = await self._source.list_all()
        else:
            answer = await self._source.list_changes(self.revision)
        if isinstance(answer, source_module.HistoryLost):
            _log.info("change history lost", extra={"decision": "list again"})
            self.revision = None
            return False
        self._update_reachability(answer)
        if isinstance(answer, source_module.Unreachable):
            return False
        return self._apply_update(answer, sent_s)

    async def read_past(self):
        """Learn what was published before this entry was started.

        The source keeps a history of limited age; the oldest revision that
        it still knows is found by halving.
        """
        known = self.revision
        if known is None:
            return
        lost = -1
        history = None
        while known - lost > 1:
            middle = 0 if lost < 0 else (known + lost) // 2
            answer = await self._source.list_history(middle)
            if isinstance(answer, source_module.Unreachable):
                return
            if isinstance(answer, source_module.HistoryLost):
                lost = middle
                continue
            history, known = answer, middle
            if lost < 0:
                break
        if history is None or history.is_complete:
            servers = history.servers if history else ()
            self._directory.versions.record_past(servers, trio.current_time())

    def _update_reachability(self, answer):
        is_reachable = not isinstance(answer, source_module.Unreachable)
        if is_reachable == self._is_source_reachable:
            return
        if is_reachable and self._is_source_reachable is not None:
            self._directory.start_removal_grace()
        self._is_source_reachable = is_reachable
        _log.info(
            "source reachable" if is_reachable else "source unreachable",
            extra={
                "decision": "dependency",
                "detail": "" if is_reachable else answer.detail,
                "catalog_version": self.get_version(),
                "freshness_age_s": self.lease.get_age_s(),
            },
        )

    def _apply_update(self, update, sent_s):
        """Apply an update; return whether it is as new as what is known."""
        is_restored = update.era > self.era
        if is_restored and not update.is_complete:
            # The changes after a revision of another era say nothing.
            _log.warning(
                "source restored",
                extra={
                    "decision": "list again",
                    "era": update.era,
                    "known_era": self.era,
                },
            )
            self.revision = None
            return False
        is_older = update.era < self.era or (
            not is_restored
            and self.revision is not None
            and update.revision < self.revision
        )
        if is_older:
            # An older state doesn't confirm that the catalog is the newest.
            _log.warning(
                "outdated answer",
                extra={
                    "decision": "ignore",
                    "revision": update.revision,
                    "known_revision": self.revision,
                    "era": update.era,
                    "known_era": self.era,
                },
            )
            return True
        for problem in update.problems:
            _log.warning(
                "published record unreadable",
                extra={"decision": "ignore", "detail": problem},
            )
        # At the start, everything that is listed is new.
        is_restored = is_restored and self.catalog is not None
        if is_restored:
            self.newest.start_asking()
        # Before the servers: it says how they are while they are warming.
        self._apply_catalog(update)
        self._directory.apply_update(update, is_restored)
        self.revision = update.revision
        self.era = update.era
        self._read_s = self._sent_s
        listed = update.catalog
        if listed is not None:
            # A restored source may lack the version that is in force.
            self._is_source_behind = listed.version < self.get_version()
        if self.catalog is not None and not self._is_source_behind:
            self.newest.confirm(sent_s, update.era, self.get_version())
        return True

    def _apply_catalog(self, update):
        catalog = update.catalog
        if catalog is None or catalog.version <= self.get_version():
            return
        before = self.get_version()
        self.catalog = catalog
        self.newest.hold(catalog.version, update.era)
        now_s = trio.current_time()
        self.stream_lives.record(catalog, now_s)
        if update.is_first_catalog:
            self.stream_lives.learn_past(0.0, now_s)
        event, self.catalog_changed = self.catalog_changed, trio.Event()
        event.set()
        _log.info(
            "catalog accepted",
            extra={
                "decision": "accept",
                "catalog_version": catalog.version,
                "before": before,
            },
        )


def new_catalog_watcher(
    source, directory, lease, change_bound_s, generator, containment=None
):
    """Return a watcher without a catalog.

    `change_bound_s` is the time within which a change must be in force.
    """
    containment = containment or containment_module.new_containment()
    return CatalogWatcher(
        source, directory, lease, change_bound_s, generator, containment
    )
