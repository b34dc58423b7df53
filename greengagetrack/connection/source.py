"""The interface to the source of the catalog and the server list."""

import abc

import msgspec

from greengagetrack.connection import gateway
from greengagetrack.version import catalog as catalog_module

# That of a source that never came back from a copy: it rises each time.
FIRST_ERA = 0


class Unreachable(msgspec.Struct, frozen=True):
    """A request to the source without a usable answer."""

    detail: str = ""


class HistoryLost(msgspec.Struct, frozen=True):
    """The source has dropped the changes since the given revision."""


class Update(msgspec.Struct, frozen=True):
    """The changes up to `revision`, or the complete state at it.

    `catalog` is None if it is unchanged or unreadable. `removed` has the
    ids of servers that are removed or whose record can't be read. With
    `is_complete`, servers that are not listed are removed. `era` rises when
    the source was restored from an older copy; revisions compare within
    one era only. `evacuated` has the data centres whose servers are to get
    nothing, `readmitted` those for which that was taken back; a complete
    update names all that are evacuated. `is_first_catalog` says that no
    other one was published before `catalog`.
    """

    revision: int
    catalog: catalog_module.Catalog | None = None
    servers: tuple[gateway.Server, ...] = ()
    removed: tuple[str, ...] = ()
    is_complete: bool = False
    problems: tuple[str, ...] = ()
    era: int = 0
    evacuated: tuple[str, ...] = ()
    readmitted: tuple[str, ...] = ()
    is_first_catalog: bool = False


class History(msgspec.Struct, frozen=True):
    """All server records published after a revision, replaced ones too.

    `is_complete` is false if a server was removed of which no record is
    among them.
    """

    servers: tuple[gateway.Server, ...] = ()
    is_complete: bool = True


class Source(abc.ABC):
    """A read-only source of the published catalog and servers."""

    @abc.abstractmethod
    async def list_all(self):
        """Return a complete `Update`, or `Unreachable`."""

    @abc.abstractmethod
    async def list_changes(self, revision):
        """Return `Update`, `HistoryLost` or `Unreachable`."""

    @abc.abstractmethod
    async def list_history(self, revision):
        """Return `History`, `HistoryLost` or `Unreachable`."""
