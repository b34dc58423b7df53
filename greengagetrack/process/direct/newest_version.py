"""Decides whether a word that the catalog is the newest may be taken.

A source that came back from an older copy shows an older catalog as the
newest one. An entry that has just started, or stood still, doesn't know
better, but the entries that ran on do, and tell it. So the first word after
a start, and of each era, is taken only after the peers were asked.
"""

import logging
import math

import trio

from greengagetrack.connection import source

_log = logging.getLogger(__name__)


class NewestVersion:
    """The newest version that this entry or one of its peers has known.

    `era` is the lowest era of the source in which `version` is known to have
    been there: in each later era, a word for an older version is wrong.
    Neither goes back while the entry runs. `confirmed_era` is the era of the
    last word that was taken.
    """

    __slots__ = (
        "_asking_started",
        "_held_version",
        "_is_asking",
        "_lease",
        "_word",
        "confirmed_era",
        "era",
        "version",
    )

    def __init__(self, lease):
        self._lease = lease
        self._held_version = 0
        self._asking_started = trio.Event()
        self._is_asking = False
        self._word = None
        self.version = 0
        self.era = 0
        self.confirmed_era = 0

    def start_asking(self):
        """Take no word until `end_asking`, as peers may know better."""
        self._is_asking = True
        self._asking_started.set()

    async def wait_asking(self):
        """Wait until the peers are to be asked."""
        await self._asking_started.wait()

    def is_word_certain(self):
        """Return whether a word has come from a source never restored."""
        return self._word is not None and self._word[1] == source.FIRST_ERA

    def end_asking(self):
        """Take the last word that came meanwhile."""
        self._is_asking = False
        self._asking_started = trio.Event()
        if self._word is not None:
            self.confirm(*self._word)
            self._word = None

    def hold(self, version, era):
        """Record the version that this entry holds from now on."""
        self._held_version = version
        self.hear(version, era)

    def hear(self, version, era):
        """Record a version that was in the source in an era."""
        was_behind = self.is_behind()
        if version > self.version:
            self.version, self.era = version, era
        elif version == self.version:
            self.era = min(self.era, era)
        if not self.is_behind():
            return
        if not was_behind:
            self._log("newer version known", "wait")
        if self.era < self.confirmed_era and self._lease.is_fresh():
            self._lease.lapse()
            self._log("confirmation taken back", "refuse")

    def is_behind(self):
        """Return whether a newer version is known than this entry holds."""
        return self._held_version < self.version

    def confirm(self, sent_s, era, version):
        """Take the word, of `sent_s`, that a version is the newest.

        `era` is the era of the source that said so. The version may be older
        than the one held, which is newer than the word then.
        """
        if self._is_asking:
            if sent_s >= (self._word or (-math.inf,))[0]:
                self._word = (sent_s, era, version)
            return
        is_wrong = version < self.version and self.era < era
        if not self.is_behind() and not is_wrong:
            self._lease.confirm(sent_s)
            self.confirmed_era = era

    def _log(self, message, decision):
        _log.info(
            message,
            extra={
                "decision": decision,
                "catalog_version": self._held_version,
                "newest_version": self.version,
                "era": self.era,
                "confirmed_era": self.confirmed_era,
            },
        )


def new_newest_version(lease):
    """Return the state of an entry that holds no catalog."""
    return NewestVersion(lease)
