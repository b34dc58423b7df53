"""Generates the pages of docs/ref from the code, so that they match it."""

import inspect
import pathlib
import re

import msgspec

from bench.scenarios import steps
from greengagetrack.connection import problems
from greengagetrack.process.direct.decisions import crash_evidence
from greengagetrack.process.direct import metrics as direct_metrics
from greengagetrack.process import metrics
from greengagetrack.process import settings
from greengagetrack.request import outcome
from greengagetrack.version import checks
from greengagetrack.version import rows

FOLDER = pathlib.Path(__file__).parents[1] / "docs" / "ref"
PACKAGE = pathlib.Path(__file__).parents[1] / "greengagetrack"
GENERATED_NOTE = (
    "This page is written by `greengagebench reference`; do not edit it.\n"
)

ADVICE_BY_REASON = {
    "agent_restarted": "The agent process that held the attempt has ended.",
    "agent_silent": "The agent did not reply; its link or VM is down.",
    "attempt_too_old": "A duplicate arrived after its record was deleted.",
    "attempt_unknown": "The agent has no record of the attempt.",
    "backend_failed": "Check the backend server.",
    "backend_refused": "The backend server refused; see the detail.",
    "body_invalid": "Send a JSON object.",
    "body_too_large": "Send a smaller body.",
    "caller_left": "The caller closed its connection.",
    "concurrency_limit": "Wait for running requests, or raise the limit.",
    "deadline_invalid": "Send a deadline within the bounds.",
    "deadline_passed": "The request ran out of time; check the load.",
    "deadline_unreachable": "The deadline would be missed; retry later.",
    "draining": "Retry at another entry or agent.",
    "key_invalid": "Send a key of 1 to 255 visible characters.",
    "key_moving": "The key is moving to another agent; retry later.",
    "key_promised": "Another agent is responsible for the key.",
    "key_reused": "The ticket or key was used before with another body.",
    "link_down": "There was no connection; nothing was sent.",
    "no_capacity": "No agent of the service accepts work.",
    "no_table": "This entry has not loaded a table yet.",
    "order_book_full": "The order book is full; no order is deleted early.",
    "order_too_recent_start": "The agent just started; wait a retry window.",
    "organisation_unknown": "The table has no such organisation.",
    "part_crashes_servers": "A part of the prompt crashed several servers.",
    "pipeline_unknown": "The table has no such pipeline.",
    "rate_limit": "The row's rate is used up; retry later.",
    "records_full": "The records are full; none is deleted early.",
    "region_unavailable": "No server is in a region that the route and the "
    "organisation allow.",
    "request_crashes_servers": "Copies of the request crashed servers.",
    "shed": "The queue was full, and this had the lowest priority.",
    "stream_version_gone": "No server of the software version that began the "
    "stream is in service any more. Send it anew.",
    "stream_version_unknown": "No entry knows which software version began "
    "the stream, and there were several. Send it anew.",
    "ticket_expired": "The ticket has expired; its order may have run.",
    "ticket_forged": "The ticket's seal matches no active key.",
    "ticket_gone": "The agent process that issued the ticket has ended.",
    "ticket_mismatch": "The ticket doesn't match, or none is needed.",
    "token_limit": "The row's tokens are used up; retry later.",
    "withdrawn": "The entry withdrew the attempt.",
}


def get_settings_page():
    """Return the text of the page of settings and exit codes."""
    lines = ["# Settings\n", GENERATED_NOTE]
    lines.append("| flag | variable | roles | default | description |")
    lines.append("|---|---|---|---|---|")
    for setting in settings.ALL_SETTINGS:
        default = "-" if setting.default is None else f"`{setting.default}`"
        lines.append(
            f"| `{setting.flag}` | `{setting.variable}` | "
            f"{', '.join(setting.roles)} | {default} | {setting.help} |"
        )
    lines += [
        "",
        "A flag takes precedence over its variable, a variable over the",
        "default. All errors are reported together:",
        "",
        "- `settings.E001`: a setting is missing.",
        "- `settings.E002`: a value is invalid.",
        "- `settings.E003`: two addresses are the same.",
        "- `settings.E004`: `--rtt-ms` names the process's own region.",
        "",
        "## Exit codes",
        "",
        "| program | code | meaning |",
        "|---|---|---|",
        "| greengagetrackd | 0 | all work in progress was completed |",
        "| greengagetrackd | 2 | the settings are invalid |",
        "| greengagetrackd | 3 | stopped with work in progress |",
        "| greengagectl | 1 | findings, or nothing found |",
        "| greengagectl | 2 | invalid arguments or settings |",
        "| greengagectl | 4 | the process doesn't reply |",
        "| greengagebench | 1 | a guarantee was violated |",
        "| greengagebench | 2 | invalid arguments |",
    ]
    return "\n".join(lines) + "\n"


def _get_type(field):
    text = str(field.type)
    text = re.sub(r"<class '(?:[\w.]+\.)?(\w+)'>", r"\1", text)
    return text.replace("greengagetrack.version.rows.", "")


def get_table_page():
    """Return the text of the page of the table's keys and checks."""
    lines = ["# The table\n", GENERATED_NOTE]
    structs = (
        ("service.NAME", rows.Service),
        ("pipeline.NAME", rows.Pipeline),
        ("pipeline.NAME.stage", rows.Stage),
        ("row", rows.Row),
        ("organisation.NAME", rows.Organisation),
        ("region.NAME", rows.Region),
        ("policy", rows.Policy),
    )
    for name, struct in structs:
        lines.append(f"## {name}\n")
        lines.append(inspect.getdoc(struct) + "\n")
        lines.append("| key | type | default |")
        lines.append("|---|---|---|")
        for field in msgspec.structs.fields(struct):
            default = field.default
            if default is msgspec.NODEFAULT:
                default = "required"
                if field.default_factory is not msgspec.NODEFAULT:
                    default = field.default_factory()
            lines.append(f"| {field.name} | {_get_type(field)} | {default} |")
        lines.append("")
    lines.append("## Checks\n")
    check_ids = set()
    for path in sorted((PACKAGE / "version").glob("*.py")):
        check_ids |= set(re.findall(r"table\.[EW]\d{3}", path.read_text()))
    levels = ", ".join(sorted(level.value for level in checks.Level))
    lines.append(f"Levels: {levels}. Ids: {', '.join(sorted(check_ids))}.")
    return "\n".join(lines) + "\n"


def get_reasons_page():
    """Return the text of the page of reasons, with status and advice."""
    lines = ["# Reasons\n", GENERATED_NOTE]
    lines.append("| reason | status | meaning or advice |")
    lines.append("|---|---|---|")
    for reason in outcome.Reason:
        refused = problems.get_status(outcome.Refused(reason))
        unknown = problems.get_status(outcome.Unknown(reason))
        status_text = f"{refused} refused, {unknown} unknown"
        if refused == unknown:
            status_text = f"{refused}"
        lines.append(
            f"| {reason} | {status_text} | {ADVICE_BY_REASON[reason]} |"
        )
    return "\n".join(lines) + "\n"


def get_metrics_page():
    """Return the text of the page of metrics and logged decisions."""
    code = inspect.getsource(metrics) + inspect.getsource(direct_metrics)
    descriptions = re.findall(r'"(greengagetrack_\w+)",\s+"([^"]+)"', code)
    lines = ["# Metrics and log lines\n", GENERATED_NOTE, "## Metrics\n"]
    lines += [f"- `{name}`: {text}" for name, text in descriptions]
    lines.append("\n## Decisions in logs\n")
    lines.append("Each line is JSON; these values of `decision` occur:\n")
    decisions = set()
    for path in sorted(PACKAGE.rglob("*.py")):
        source = path.read_text()
        decisions |= set(re.findall(r'"decision": "([\w ]+)"', source))
    decisions |= {"route", "hedge", "order_run", "order_join", "order_deny"}
    decisions |= set(crash_evidence.ChangeKind)
    lines += [f"- `{decision}`" for decision in sorted(decisions)]
    return "\n".join(lines) + "\n"


def get_scenarios_page():
    """Return the text of the page of scenario steps."""
    source = inspect.getsource(steps)
    pattern = re.compile(
        r"((?:@(?:given|when|then)\(.*?\)\n)+)def \w+\([^)]*\):\n"
        r'    """(.*?)"""',
        re.DOTALL,
    )
    lines = ["# Steps of scenarios\n", GENERATED_NOTE]
    lines.append("Run a file from anywhere: `greengagebench scenario FILE`.\n")
    for decorators, docstring in pattern.findall(source):
        for kind, body in re.findall(
            r"@(given|when|then)\((.*?)\)\n(?=@|\Z)", decorators, re.DOTALL
        ):
            literals = re.findall(r"'([^']*)'|\"((?:[^\"])*)\"", body)
            text = "".join(single or double for single, double in literals)
            lines.append(f"- *{kind}* `{text}`: {docstring}")
    return "\n".join(lines) + "\n"


PAGES = {
    "settings.md": get_settings_page,
    "table.md": get_table_page,
    "reasons.md": get_reasons_page,
    "metrics.md": get_metrics_page,
    "scenarios.md": get_scenarios_page,
}


def write_pages():
    """Write all reference pages and return their paths."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, get_page in PAGES.items():
        (FOLDER / name).write_text(get_page(), encoding="utf-8")
    return [FOLDER / name for name in PAGES]
