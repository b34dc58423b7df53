"""The settings of the daemon: flags, environment variables, defaults.

A flag takes precedence over its environment variable, and the variable over
the default. All settings are validated before any problem is reported.
"""

import enum
import re

import msgspec

from greengagetrack.connection import seal

ENVIRONMENT_PREFIX = "GREENGAGETRACK_"
KEY_MIN_BYTES = 16
KEY_MAX_BYTES = 64
PORT_MAX = 65535

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")


class Source(enum.StrEnum):
    """The source of a setting's value."""

    FLAG = "flag"
    ENVIRONMENT = "environment"
    DEFAULT = "default"


class Setting(msgspec.Struct, frozen=True):
    """A setting: its name, the function that parses it and its help text."""

    name: str
    read: object
    help: str
    default: str | None = None
    roles: tuple[str, ...] = ("entry", "agent")
    is_secret: bool = False

    @property
    def variable(self):
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def flag(self):
        """Return the flag, such as `--data-centre`."""
        return "--" + self.name.replace("_", "-")


class RawValue(msgspec.Struct, frozen=True):
    """The unparsed text of a setting, and its source."""

    setting: Setting
    text: str | None
    source: Source

    def get_display_text(self):
        """Return the text for display, without secrets."""
        if self.setting.is_secret and self.text:
            return "(secret)"
        return self.text if self.text is not None else ""


class Problem(msgspec.Struct, frozen=True):
    """A problem with the settings, and how to fix it."""

    id: str
    message: str

    def __str__(self):
        return f"{self.id}: {self.message}"


def _read_name(text):
    if not _NAME.fullmatch(text):
        raise ValueError("must be letters, digits, '.', '_' and '-'")
    return text


def _read_role(text):
    if text not in ("entry", "agent"):
        raise ValueError("must be 'entry' or 'agent'")
    return text


def _read_address(text):
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        raise ValueError("must be HOST:PORT, such as 127.0.0.1:7000")
    if not 0 < int(port) <= PORT_MAX:
        raise ValueError(f"the port must be 1 to {PORT_MAX}")
    return text


def _read_url(text):
    if not re.match(r"https?://[^/\s]+", text):
        raise ValueError("must be a URL that starts with http:// or https://")
    return text


def _read_seconds(text):
    value = float(text)
    if not 0 <= value <= 86_400:
        raise ValueError("must be 0 to 86400 seconds")
    return value


def _read_keys(text):
    keys = [bytes.fromhex(part.strip()) for part in text.split(",")]
    if not all(KEY_MIN_BYTES <= len(key) <= KEY_MAX_BYTES for key in keys):
        raise ValueError("each key must have 16 to 64 bytes, in hex")
    return seal.new_key_ring(keys)


def _read_rtts(text):
    rtt_ms_by_region = {}
    for part in filter(None, text.split(",")):
        region, _separator, value = part.partition("=")
        rtt_ms_by_region[_read_name(region.strip())] = float(value)
    return rtt_ms_by_region


def _read_kind(text):
    if text not in ("engine", "pool", "plain"):
        raise ValueError("must be 'engine', 'pool' or 'plain'")
    return text


def _read_count(text):
    value = int(text)
    if not 1 <= value <= 10_000:
        raise ValueError("must be 1 to 10000")
    return value


def _read_level(text):
    if text not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ValueError("must be DEBUG, INFO, WARNING or ERROR")
    return text


_ENTRY = ("entry",)
_AGENT = ("agent",)

ALL_SETTINGS = (
    Setting("role", _read_role, "The role of the process: entry or agent."),
    Setting("name", _read_name, "The name of the VM, as in the VM list."),
    Setting("region", _read_name, "The region of the VM."),
    Setting("data_centre", _read_name, "The data centre of the VM."),
    Setting(
        "peer_address",
        _read_address,
        "The address to listen on for other processes, HOST:PORT.",
    ),
    Setting(
        "caller_address",
        _read_address,
        "The address to listen on for callers, HOST:PORT.",
        roles=_ENTRY,
    ),
    Setting(
        "admin_address",
        _read_address,
        "The address of the administration API, HOST:PORT.",
    ),
    Setting("config_url", _read_url, "The URL of the configuration service."),
    Setting("vm_list_url", _read_url, "The URL of the VM list."),
    Setting(
        "peer_keys",
        _read_keys,
        "Keys for messages between processes, in hex; the first one signs.",
        is_secret=True,
    ),
    Setting(
        "ticket_keys",
        _read_keys,
        "Keys for tickets, in hex; the first one signs.",
        is_secret=True,
    ),
    Setting(
        "service",
        _read_name,
        "The service of the backend server.",
        roles=_AGENT,
    ),
    Setting(
        "backend_kind",
        _read_kind,
        "The kind of the backend server: engine, pool or plain.",
        roles=_AGENT,
    ),
    Setting(
        "backend_url",
        _read_url,
        "The URL of the backend server.",
        roles=_AGENT,
    ),
    Setting(
        "slots",
        _read_count,
        "Concurrent calls until the backend server reports its own limit.",
        "1",
        roles=_AGENT,
    ),
    Setting(
        "order_window_s",
        _read_seconds,
        "How long callers may repeat an Idempotency-Key, in seconds.",
        "120",
        roles=_AGENT,
    ),
    Setting(
        "rtt_ms",
        _read_rtts,
        "Round-trip times to other regions: REGION=MS,REGION=MS.",
        "",
        roles=_ENTRY,
    ),
    Setting(
        "drain_s",
        _read_seconds,
        "The maximum duration of a graceful shutdown, in seconds.",
        "30",
    ),
    Setting("log_level", _read_level, "The minimum level to log.", "INFO"),
)

SETTING_BY_NAME = {setting.name: setting for setting in ALL_SETTINGS}


class Settings:
    """The parsed and validated values of all settings, by name."""

    __slots__ = ("raw_by_name", "value_by_name")

    def __init__(self, raw_by_name, value_by_name):
        self.raw_by_name = raw_by_name
        self.value_by_name = value_by_name

    def __getattr__(self, name):
        try:
            return self.value_by_name[name]
        except KeyError:
            raise AttributeError(name) from None


def read_peer_keys(environment):
    """Return the peer keys, or raise `ValueError` with a hint."""
    setting = SETTING_BY_NAME["peer_keys"]
    text = environment.get(setting.variable)
    if text is None:
        raise ValueError(f"Set {setting.variable}: {setting.help}")
    try:
        return setting.read(text)
    except ValueError as error:
        raise ValueError(f"{setting.variable}: {error}.") from None


def collect_values(flag_by_name, environment):
    """Return the raw value of each setting, by name."""
    raw_by_name = {}
    for setting in ALL_SETTINGS:
        text, source = setting.default, Source.DEFAULT
        if setting.variable in environment:
            text, source = environment[setting.variable], Source.ENVIRONMENT
        if flag_by_name.get(setting.name) is not None:
            text, source = flag_by_name[setting.name], Source.FLAG
        raw_by_name[setting.name] = RawValue(setting, text, source)
    return raw_by_name


def read_settings(raw_by_name):
    """Return `(settings, problems)`; with problems, settings is None."""
    problems = []
    value_by_name = {}
    for name, raw in raw_by_name.items():
        if raw.text is None:
            continue
        try:
            value_by_name[name] = raw.setting.read(raw.text)
        except ValueError as error:
            display_text = raw.get_display_text()
            problems.append(
                Problem(
                    "settings.E002",
                    f"{raw.setting.flag} (or {raw.setting.variable}) "
                    f"is '{display_text}': {error}.",
                )
            )
    problems += _find_missing(raw_by_name, value_by_name)
    problems += _find_conflicts(value_by_name)
    if problems:
        return None, problems
    return Settings(raw_by_name, value_by_name), []


def _find_missing(raw_by_name, value_by_name):
    role = value_by_name.get("role")
    problems = []
    for name, raw in raw_by_name.items():
        setting = raw.setting
        is_required = role is None or role in setting.roles
        if raw.text is None and is_required and _can_check(role, name):
            problems.append(
                Problem(
                    "settings.E001",
                    f"{setting.flag} is missing. Pass it, or set "
                    f"{setting.variable}: {setting.help}",
                )
            )
    return problems


def _can_check(role, name):
    # Which of the other settings are required depends on the role.
    return role is not None or name == "role"


def _find_conflicts(value_by_name):
    problems = []
    flags_by_address = {}
    for name in ("peer_address", "caller_address", "admin_address"):
        if name in value_by_name:
            same = flags_by_address.setdefault(value_by_name[name], [])
            same.append(SETTING_BY_NAME[name].flag)
    for address, flags in flags_by_address.items():
        if len(flags) > 1:
            message = f"{' and '.join(flags)} are both {address}."
            problems.append(Problem("settings.E003", message))
    role = value_by_name.get("role")
    region = value_by_name.get("region")
    if role == "entry" and region in value_by_name.get("rtt_ms", {}):
        message = f"--rtt-ms names the process's own region '{region}'."
        problems.append(Problem("settings.E004", message))
    return problems
