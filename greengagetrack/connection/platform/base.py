"""What the system reads of the platform: configuration and the VM list."""

import abc

import msgspec


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list, with the process of the system that it runs.

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
    """The list of VMs at one of its versions."""

    version: int
    vms: list[Vm]


class Value(msgspec.Struct, frozen=True):
    """A value of the configuration service at its revision."""

    revision: int
    text: bytes


class ConfigService(abc.ABC):
    """The platform's configuration service: it is only read."""

    @abc.abstractmethod
    async def read(self, key):
        """Return the `Value` of `key`, or None when it can't be read."""

    @abc.abstractmethod
    async def watch(self, key, revision, wait_s):
        """Return the `Value` of `key` once its revision is another one.

        Return None when the wait ends or the service can't be reached.
        """


class VmListService(abc.ABC):
    """The platform's lagging list of live and leaving VMs."""

    @abc.abstractmethod
    async def read(self, version):
        """Return the `VmList` if its version differs, else None.

        `Unreachable` tells that the service gave no answer.
        """


class Unreachable(msgspec.Struct, frozen=True):
    """The platform gave no usable answer."""

    detail: str = ""
