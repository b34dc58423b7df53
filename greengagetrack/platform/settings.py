"""The settings file of a node, as the platform writes it."""

import msgspec


class Listen(msgspec.Struct):
    """The addresses on which the role listens."""

    front: str = ""
    ready: str = ""
    control: str = ""


class Bounds(msgspec.Struct):
    """The figures of the rules that are in force here."""

    revoke_ms: float = 5000
    drain_ms: float = 2500
    config_apply_ms: float = 2500
    grace_s: float = 8
    budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 0


class Provider(msgspec.Struct):
    """Where the platform's store is."""

    address: str


class MachineLimits(msgspec.Struct):
    """What the machine gives to a process."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = 256
    max_fds: int = 4096


class NodeFile(msgspec.Struct):
    """All fields that are used; new ones may come and are ignored."""

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
    """Return the `NodeFile` at `path`; raise `ValueError` with advice."""
    try:
        with open(path, "rb") as file:
            return msgspec.json.decode(file.read(), type=NodeFile)
    except OSError as error:
        raise ValueError(
            f"The node file '{path}' can't be read: {error.strerror}."
        ) from None
    except msgspec.MsgspecError as error:
        raise ValueError(
            f"The node file '{path}' is not as described: {error}."
        ) from None
