"""Data centres that are evacuated: their servers get nothing more.

The source says so, and entries tell each other in their digests, so that one
that can't read the source hears it too. Each word has the era and revision of
the source at which it held, and an older word never replaces a newer one.
"""

import logging

import msgspec
import trio

from greengagetrack.connection import direct_messages

RECORDS_MAX = 256
# How long peers are told that an evacuation was taken back. One that asks
# with an older word is told for as long again.
READMISSION_TOLD_S = 10.0

_log = logging.getLogger(__name__)


class Evacuation(msgspec.Struct, frozen=True, order=True):
    """Whether a data centre is evacuated, at a revision of the source.

    The newer word is the greater one. Of two for the same revision that is
    the one that sends nothing there.
    """

    era: int
    revision: int
    is_evacuated: bool


class Evacuations:
    """The last word on each data centre that was ever evacuated.

    `data_centres` are those that are evacuated; the set is never replaced.
    """

    __slots__ = ("_told_until_s_by_name", "_word_by_name", "data_centres")

    def __init__(self):
        self._word_by_name = {}
        self._told_until_s_by_name = {}
        self.data_centres = set()

    def apply_update(self, update):
        """Apply a `source.Update`."""
        for name in update.readmitted:
            self._apply(name, _new_word(update, False), "source")
        for name in update.evacuated:
            self._apply(name, _new_word(update, True), "source")
        if update.is_complete:
            for name in self.data_centres - set(update.evacuated):
                self._apply_unlisted(name, update)

    def _apply_unlisted(self, name, update):
        """Apply that a complete update doesn't list an evacuation.

        A source that was restored may lack it. It holds until the source
        names the data centre again, since nobody has taken it back.
        """
        if self._word_by_name[name].era < update.era:
            _log.warning(
                "evacuation is not in the restored source",
                extra={
                    "decision": "evacuation",
                    "data_centre": name,
                    "era": update.era,
                },
            )
            return
        self._apply(name, _new_word(update, False), "source")

    def apply_messages(self, messages):
        """Apply what a peer tells; return whether that changes something."""
        before = set(self.data_centres)
        for message in messages[:RECORDS_MAX]:
            word = Evacuation(
                message.era, message.revision, message.is_evacuated
            )
            self._apply(message.data_centre, word, "peer")
        return before != self.data_centres

    def _apply(self, name, word, heard_from):
        known = self._word_by_name.get(name)
        if known is None and len(self._word_by_name) >= RECORDS_MAX:
            return
        if known is not None and word <= known:
            if word < known and not known.is_evacuated:
                self._tell(name)
            return
        self._word_by_name[name] = word
        if word.is_evacuated == (name in self.data_centres):
            return
        if word.is_evacuated:
            self.data_centres.add(name)
        else:
            self.data_centres.discard(name)
            self._tell(name)
        _log_change(name, word, heard_from)

    def _tell(self, name):
        until_s = trio.current_time() + READMISSION_TOLD_S
        self._told_until_s_by_name[name] = until_s

    def new_messages(self):
        """Return messages for a peer, none in calm."""
        now = trio.current_time()
        return [
            direct_messages.Evacuation(
                name, word.is_evacuated, word.era, word.revision
            )
            for name, word in self._word_by_name.items()
            if word.is_evacuated
            or now < self._told_until_s_by_name.get(name, now)
        ]


def _new_word(update, is_evacuated):
    return Evacuation(update.era, update.revision, is_evacuated)


def _log_change(name, word, heard_from):
    _log.info(
        "data centre evacuated"
        if word.is_evacuated
        else "data centre readmitted",
        extra={
            "decision": "evacuation",
            "data_centre": name,
            "heard_from": heard_from,
            "era": word.era,
            "revision": word.revision,
        },
    )


def new_evacuations():
    """Return no evacuations."""
    return Evacuations()
