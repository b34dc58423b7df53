"""The settings file that the platform writes for a node."""

import ipaddress
import operator
from typing import Annotated

import msgspec

from greengagetrack.connection import base
from greengagetrack.platform import document

FILE_MAX_BYTES = 1024 * 1024
_Name = Annotated[str, msgspec.Meta(max_length=1000)]
_Time = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Period = Annotated[float, msgspec.Meta(gt=0, le=1e9)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
_Memory = Annotated[float, msgspec.Meta(gt=0, le=1e9)]

# In force from the reload on.
RELOADED_SETTINGS = (
    "bounds.revoke_ms",
    "bounds.drain_ms",
    "bounds.config_apply_ms",
    "bounds.grace_s",
    "bounds.budget_ratio",
    "bounds.budget_window_s",
    "bounds.budget_slack",
    "bounds.cold_over",
    "bounds.cold_slack",
    "bounds.evac_ms",
    "limits.cpu_share",
    "limits.cores",
    "limits.memory_mb",
)
# Used at the start of the process only.
START_SETTINGS = (
    "node",
    "ip",
    "zone",
    "zones",
    "provider.address",
    "listen.front",
    "listen.ready",
    "listen.control",
    "seeds",
)


class Listen(msgspec.Struct):
    """The addresses on which the role listens."""

    front: str = ""
    ready: str = ""
    control: str = ""


class Bounds(msgspec.Struct):
    """The time limits and the retry budget that apply on the node."""

    revoke_ms: _Time = 5000
    drain_ms: _Period = 2500
    config_apply_ms: _Period = 2500
    grace_s: _Time = 8
    budget_ratio: _Amount = 0.2
    budget_window_s: _Period = 10
    budget_slack: _Time = 0
    cold_over: _Amount = 1.0
    cold_slack: _Amount = 0
    evac_ms: _Period | None = None

    def get_evacuation_s(self):
        """Return the time in which an evacuation must be in force."""
        bound_ms = (
            self.config_apply_ms if self.evac_ms is None else self.evac_ms
        )
        return bound_ms / 1000


class Provider(msgspec.Struct):
    """The address of the platform's store."""

    address: str


class MachineLimits(msgspec.Struct):
    """The resources of the machine that a process may use."""

    cpu_share: _Amount = 1.0
    cores: _Amount = 1.0
    memory_mb: _Memory = 256
    max_fds: int = 4096


class NodeFile(msgspec.Struct):
    """The settings of a node; unknown fields are ignored."""

    node: _Name
    role: _Name
    ip: _Name
    zone: _Name
    region: _Name
    provider: Provider
    zones: dict[str, str] = {}
    listen: Listen = msgspec.field(default_factory=Listen)
    port_range: tuple[int, int] = (0, 0)
    seeds: list[str] = []
    bounds: Bounds = msgspec.field(default_factory=Bounds)
    limits: MachineLimits = msgspec.field(default_factory=MachineLimits)
    heartbeat_ms: float = 1000


def read_node_file(path):
    """Return the `NodeFile` at `path`, or raise `ValueError`."""
    try:
        with open(path, "rb") as file:
            data = file.read(FILE_MAX_BYTES + 1)
    except (OSError, ValueError) as error:
        detail = getattr(error, "strerror", None) or error
        raise ValueError(
            f"The node file '{path}' can't be read: {detail}."
        ) from None
    problem = f"it has over {FILE_MAX_BYTES} bytes"
    if len(data) <= FILE_MAX_BYTES:
        try:
            node = msgspec.json.decode(data, type=NodeFile)
            problem = _find_problem(node)
        except document.DECODING_ERRORS as error:
            problem = str(error)
    if problem:
        raise ValueError(f"The node file '{path}' is invalid: {problem}.")
    return node


def find_differences(before, after, names):
    """Return those of the settings `names` in which two files differ."""
    return tuple(
        name
        for name in names
        if operator.attrgetter(name)(before)
        != operator.attrgetter(name)(after)
    )


def _find_problem(node):
    """Return what the types of the fields don't say, or ""."""
    try:
        ipaddress.ip_address(node.ip)
    except ValueError:
        return f"'ip' must be an IP address, not {node.ip[:80]!r}"
    addresses = {
        "provider.address": node.provider.address,
        "listen.front": node.listen.front,
        "listen.ready": node.listen.ready,
        "listen.control": node.listen.control,
    }
    for name, address in addresses.items():
        if not base.is_address(address):
            return f"'{name}' must be HOST:PORT, not {address[:80]!r}"
    return ""
