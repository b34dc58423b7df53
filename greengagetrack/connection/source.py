"""Where the catalog and the list of backend servers come from."""

import abc

import msgspec

from greengagetrack.connection import gateway
from greengagetrack.version import catalog as catalog_module


class Unreachable(msgspec.Struct, frozen=True):
    """The source gave no usable answer."""

    detail: str = ""


class HistoryLost(msgspec.Struct, frozen=True):
    """The source no longer knows what changed since that revision."""


class Update(msgspec.Struct, frozen=True):
    """What the source says as of `revision`.

    `catalog` is None where it is unchanged or unreadable. `removed` holds
    the ids of servers that are gone or whose entry can't be read. A whole
    listing has `is_complete`: what it doesn't name is gone.
    """

    revision: int
    catalog: catalog_module.Catalog | None = None
    servers: tuple[gateway.Server, ...] = ()
    removed: tuple[str, ...] = ()
    is_complete: bool = False
    problems: tuple[str, ...] = ()


class Source(abc.ABC):
    """A published, read-only source of the catalog and the servers."""

    @abc.abstractmethod
    async def list_all(self):
        """Return a complete `Update`, or `Unreachable`."""

    @abc.abstractmethod
    async def list_changes(self, revision):
        """Return `Update`, `HistoryLost` or `Unreachable`."""
