"""Writes the reference pages from the code, so that none falls behind."""

import inspect
import pathlib
import re

import msgspec

from bench.scenarios import steps
from greengagetrack.connection import problems
from greengagetrack.process.direct import metrics as direct_metrics
from greengagetrack.process import metrics
from greengagetrack.process import settings
from greengagetrack.request import outcome
from greengagetrack.version import checks
from greengagetrack.version import rows

FOLDER = pathlib.Path(__file__).parents[1] / "docs" / "ref"
SOURCES = pathlib.Path(__file__).parents[1] / "greengagetrack"
NOTE = "This page is written by `greengagebench reference`; do not edit it.\n"

ADVICE_BY_REASON = {
    "agent_restarted": "The process that had the attempt is gone.",
    "agent_silent": "No answer came; the link or the VM is down.",
    "attempt_too_old": "A copy came after its record was forgotten.",
    "attempt_unknown": "The agent has no record of the attempt.",
    "backend_failed": "Look at the backend server.",
    "backend_refused": "The backend server refused; it says why.",
    "body_invalid": "Send a JSON object.",
    "body_too_large": "Send a smaller body.",
    "caller_left": "The caller closed its connection.",
    "concurrency_limit": "Wait for running requests, or raise the row.",
    "deadline_invalid": "Send a deadline within the bounds.",
    "deadline_passed": "It ran out of time; look at the load.",
    "deadline_unreachable": "It was predicted to be late; come back later.",
    "draining": "Ask another entry or agent.",
    "key_invalid": "Send a key of 1 to 255 visible characters.",
    "key_moving": "The key's home changes; repeat after a while.",
    "key_promised": "Another agent is the key's home.",
    "key_reused": "The ticket or key came with another body before.",
    "link_down": "No connection stood; nothing was sent.",
    "no_capacity": "No agent of the service can take work.",
    "no_table": "This entry has no table yet.",
    "order_book_full": "The agent refuses before it forgets.",
    "order_too_recent_start": "Repeat after the retry window.",
    "organisation_unknown": "The table has no such organisation.",
    "pipeline_unknown": "The table has no such pipeline.",
    "rate_limit": "The row's rate is used up; come back later.",
    "records_full": "The agent refuses before it forgets.",
    "shed": "More important work took its place in a full queue.",
    "ticket_expired": "The ticket is over; what it ran is not known here.",
    "ticket_forged": "No key in force sealed this ticket.",
    "ticket_gone": "The ticket's process is gone, for ever.",
    "ticket_mismatch": "The ticket is for something else.",
    "token_limit": "The row's tokens are used up; come back later.",
    "withdrawn": "The entry withdrew the attempt.",
}


def get_settings_page():
    """Return the page of flags and environment variables."""
    lines = ["# Settings\n", NOTE]
    lines.append("| flag | variable | roles | default | what it is |")
    lines.append("|---|---|---|---|---|")
    for setting in settings.ALL_SETTINGS:
        default = "-" if setting.default is None else f"`{setting.default}`"
        lines.append(
            f"| `{setting.flag}` | `{setting.variable}` | "
            f"{', '.join(setting.roles)} | {default} | {setting.help} |"
        )
    lines += [
        "",
        "A flag goes before its variable, that before the default. All",
        "mistakes are told at once:",
        "",
        "- `settings.E001`: a setting is missing.",
        "- `settings.E002`: a value can't be read.",
        "- `settings.E003`: two addresses are the same.",
        "- `settings.E004`: `--rtt-ms` names the process's own region.",
        "",
        "## Exit codes",
        "",
        "| program | code | meaning |",
        "|---|---|---|",
        "| greengagetrackd | 0 | everything in progress ended whole |",
        "| greengagetrackd | 2 | the settings are wrong |",
        "| greengagetrackd | 3 | stopped with work in progress |",
        "| greengagectl | 1 | findings, or nothing found |",
        "| greengagectl | 2 | wrong use or wrong settings |",
        "| greengagectl | 4 | the process gives no answer |",
        "| greengagebench | 1 | something that never may go wrong did |",
        "| greengagebench | 2 | wrong use |",
    ]
    return "\n".join(lines) + "\n"


def _get_type(field):
    text = str(field.type)
    text = re.sub(r"<class '(?:[\w.]+\.)?(\w+)'>", r"\1", text)
    return text.replace("greengagetrack.version.rows.", "")


def get_table_page():
    """Return the page of the table's keys and checks."""
    lines = ["# The table\n", NOTE]
    parts = (
        ("service.NAME", rows.Service),
        ("pipeline.NAME", rows.Pipeline),
        ("pipeline.NAME.stage", rows.Stage),
        ("row", rows.Row),
        ("organisation.NAME", rows.Organisation),
        ("region.NAME", rows.Region),
        ("policy", rows.Policy),
    )
    for name, struct in parts:
        lines.append(f"## {name}\n")
        lines.append(inspect.getdoc(struct) + "\n")
        lines.append("| key | type | default |")
        lines.append("|---|---|---|")
        for field in msgspec.structs.fields(struct):
            default = field.default
            if default is msgspec.NODEFAULT:
                default = "needed"
                if field.default_factory is not msgspec.NODEFAULT:
                    default = field.default_factory()
            lines.append(f"| {field.name} | {_get_type(field)} | {default} |")
        lines.append("")
    lines.append("## Checks\n")
    found = set()
    for path in sorted((SOURCES / "version").glob("*.py")):
        found |= set(re.findall(r"table\.[EW]\d{3}", path.read_text()))
    levels = ", ".join(sorted(level.value for level in checks.Level))
    lines.append(f"Levels: {levels}. Ids: {', '.join(sorted(found))}.")
    return "\n".join(lines) + "\n"


def get_reasons_page():
    """Return the page of reasons, with status and advice."""
    lines = ["# Reasons\n", NOTE]
    lines.append("| reason | status | what it means, what to do |")
    lines.append("|---|---|---|")
    for reason in outcome.Reason:
        status = problems.STATUS_BY_REASON.get(reason)
        shown = status or (
            f"{problems.STATUS_REFUSED} refused, "
            f"{problems.STATUS_UNKNOWN} unknown"
        )
        lines.append(f"| {reason} | {shown} | {ADVICE_BY_REASON[reason]} |")
    return "\n".join(lines) + "\n"


def get_metrics_page():
    """Return the page of metrics and log lines."""
    text = inspect.getsource(metrics) + inspect.getsource(direct_metrics)
    found = re.findall(r'"(greengagetrack_\w+)",\s+"([^"]+)"', text)
    lines = ["# Metrics and log lines\n", NOTE, "## Metrics\n"]
    lines += [f"- `{name}`: {what}" for name, what in found]
    lines.append("\n## Decisions in logs\n")
    lines.append("Each line is JSON; these values of `decision` occur:\n")
    decisions = set()
    for path in sorted(SOURCES.rglob("*.py")):
        source = path.read_text()
        decisions |= set(re.findall(r'"decision": "([\w ]+)"', source))
    decisions |= {"route", "hedge", "order_run", "order_join", "order_deny"}
    lines += [f"- `{decision}`" for decision in sorted(decisions)]
    return "\n".join(lines) + "\n"


def get_scenarios_page():
    """Return the page of steps."""
    source = inspect.getsource(steps)
    pattern = re.compile(
        r"((?:@(?:given|when|then)\(.*?\)\n)+)def \w+\([^)]*\):\n"
        r'    """(.*?)"""',
        re.DOTALL,
    )
    lines = ["# Steps of scenarios\n", NOTE]
    lines.append("Run a file from anywhere: `greengagebench scenario FILE`.\n")
    for decorators, what in pattern.findall(source):
        for kind, body in re.findall(
            r"@(given|when|then)\((.*?)\)\n(?=@|\Z)", decorators, re.DOTALL
        ):
            pieces = re.findall(r"'([^']*)'|\"((?:[^\"])*)\"", body)
            text = "".join(one or two for one, two in pieces)
            lines.append(f"- *{kind}* `{text}`: {what}")
    return "\n".join(lines) + "\n"


PAGES = {
    "settings.md": get_settings_page,
    "table.md": get_table_page,
    "reasons.md": get_reasons_page,
    "metrics.md": get_metrics_page,
    "scenarios.md": get_scenarios_page,
}


def write_pages():
    """Write all reference pages; return their paths."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, get_page in PAGES.items():
        (FOLDER / name).write_text(get_page(), encoding="utf-8")
    return [FOLDER / name for name in PAGES]
