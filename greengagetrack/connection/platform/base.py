"""The interfaces to the platform's configuration and VM list."""

import abc

import msgspec


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list, and the process of this system that it runs.

    `role` is entry or agent; `service` is the agent's service.
    """

    name: str
    address: str
    role: str
    region: str
    data_centre: str
    service: str = ""
    is_leaving: bool = False


class VmList(msgspec.Struct, frozen=True):
    """One version of the list of VMs."""

    version: int
    vms: list[Vm]


class Value(msgspec.Struct, frozen=True):
    """A configuration value and its revision."""

    revision: int
    text: bytes


class ConfigService(abc.ABC):
    """A read-only client of the platform's configuration service."""

    @abc.abstractmethod
    async def read(self, key):
        """Return the `Value` of `key`, or None if it can't be read."""

    @abc.abstractmethod
    async def watch(self, key, revision, wait_s):
        """Return the `Value` of `key` once its revision has changed.

        Return None after `wait_s`, or if the service can't be reached.
        """


class VmListService(abc.ABC):
    """A client of the platform's list of VMs, which may lag behind."""

    @abc.abstractmethod
    async def read(self, version):
        """Return the `VmList` if its version differs, else None.

        Return `Unreachable` if there is no usable answer.
        """


class Unreachable(msgspec.Struct, frozen=True):
    """A request to the platform without a usable answer."""

    detail: str = ""
