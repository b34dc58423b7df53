"""The settings file that the platform writes for a node."""

import msgspec


class Listen(msgspec.Struct):
    """The addresses on which the role listens."""

    front: str = ""
    ready: str = ""
    control: str = ""


class Bounds(msgspec.Struct):
    """The time limits and the retry budget that apply on the node."""

    revoke_ms: float = 5000
    drain_ms: float = 2500
    config_apply_ms: float = 2500
    grace_s: float = 8
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 0


class Provider(msgspec.Struct):
    """The address of the platform's store."""

    address: str


class MachineLimits(msgspec.Struct):
    """The resources of the machine that a process may use."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 256
    max_fds: int = 4096


class NodeFile(msgspec.Struct):
    """The settings of a node; unknown fields are ignored."""

    node: str
    role: str
    ip: str
    zone: str
    region: str
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
            return msgspec.json.decode(file.read(), type=NodeFile)
    except OSError as error:
        raise ValueError(
            f"The node file '{path}' can't be read: {error.strerror}."
        ) from None
    except msgspec.MsgspecError as error:
        raise ValueError(
            f"The node file '{path}' is invalid: {error}."
        ) from None
