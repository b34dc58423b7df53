"""The read-only command-line tool for operators."""

import os
import pathlib
import sys

import defopt
import httpx
import msgspec

from greengagetrack.command import request_log
from greengagetrack.command import route_report
from greengagetrack.command import standalone
from greengagetrack.platform import document
from greengagetrack.process import settings as settings_module
from greengagetrack.version import checks
from greengagetrack.version import folder

EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 4
TIMEOUT_S = 5.0


def _exit_with_error(code, text):
    print(text, file=sys.stderr)
    sys.exit(code)


def _read_table(path):
    if not pathlib.Path(path).is_dir():
        _exit_with_error(
            EXIT_USAGE, f"'{path}' is not a folder with TOML documents."
        )
    return folder.build_from_folder(path)


def _read_valid_table(path):
    table, findings = _read_table(path)
    if table is None:
        for finding in findings:
            print(finding, file=sys.stderr)
        _exit_with_error(EXIT_FINDINGS, f"'{path}' has errors; see above.")
    return table


def _check_published(path):
    """Check a configuration document as the platform publishes it."""
    catalog = document.read_config(pathlib.Path(path).read_bytes())
    if isinstance(catalog, str):
        _exit_with_error(EXIT_FINDINGS, f"'{path}' can't be read: {catalog}.")
    missing = catalog.get_service_names() - catalog.service_by_name.keys()
    for name in sorted(missing):
        print(f"error: no service '{name}'; add it or correct the routes")
    if missing:
        sys.exit(EXIT_FINDINGS)
    print(
        f"ok: version {catalog.version}, "
        f"{len(catalog.service_by_name)} services"
    )


def check(path: str):
    """Check the documents of a table, as the daemon does.

    Exit codes: 0 no errors; 1 the daemon would reject the table.

    :param path: The folder with the TOML documents, or a published file.
    """
    if pathlib.Path(path).is_file():
        _check_published(path)
        return
    table, findings = _read_table(path)
    for finding in findings:
        print(f"{finding.level}: {finding}")
    if table is None:
        sys.exit(EXIT_FINDINGS)
    print(
        f"ok: {len(table.pipeline_by_name)} pipelines, "
        f"{len(table.rows)} rows, {len(table.service_by_name)} services, "
        f"{table.get_organisation_count()} organisations"
    )


def _describe_items(table):
    """Return one line for each item of a table, by the name of the item."""
    line_by_name = {}
    for kind, item_by_name in (
        ("service", table.service_by_name),
        ("pipeline", table.pipeline_by_name),
        ("region", table.region_by_name),
    ):
        for name, item in item_by_name.items():
            text = msgspec.json.encode(item).decode()
            line_by_name[f"{kind} {name}"] = text
    for row in table.rows:
        name = f"row {row.pipeline} {row.organisation} {row.kind}"
        line_by_name[name] = msgspec.json.encode(row).decode()
    line_by_name["policy"] = msgspec.json.encode(table.policy).decode()
    for name, plan in table.get_organisation_plans():
        line_by_name[f"organisation {name}"] = plan
    return line_by_name


def diff(old: str, new: str):
    """Show the differences between two tables, item by item.

    :param old: The folder of the current table.
    :param new: The folder of the table to publish.
    """
    before = _describe_items(_read_valid_table(old))
    after = _describe_items(_read_valid_table(new))
    for name in sorted(before.keys() | after.keys()):
        if before.get(name) == after.get(name):
            continue
        if name in before:
            print(f"- {name}: {before[name]}")
        if name in after:
            print(f"+ {name}: {after[name]}")


def explain(path: str, organisation: str, kind: str = "*"):
    """Show the limits of an organisation and the rows that set them.

    :param path: The folder with the TOML documents.
    :param organisation: The id of the organisation.
    :param kind: The kind of request.
    """
    table = _read_valid_table(path)
    plan = table.get_plan(organisation)
    if plan is None:
        names = [name for name, _plan in table.get_organisation_plans()]
        hint = checks.get_nearest_hint(organisation, names)
        _exit_with_error(
            EXIT_FINDINGS, f"No organisation '{organisation}'. {hint}"
        )
    print(f"organisation {organisation}, plan {plan}, kind {kind}")
    for name in sorted(table.pipeline_by_name):
        limits = table.get_limits(name, organisation, kind)
        if limits is None:
            print(f"{name}: no row matches, so all requests are refused")
            continue
        row = limits.row
        print(
            f"{name}: {row.rate_per_s:g}/s, {row.tokens_per_s:g} tokens/s, "
            f"{row.concurrency} at a time, priority {row.priority}, "
            f"weight {row.weight:g}, waits {row.longest_wait_ms} ms at most "
            f"(row pipeline={row.pipeline} "
            f"organisation={row.organisation} kind={row.kind})"
        )


def _get(address, path):
    return _get_json(f"http://{address}/admin/v1/{path}")


def _get_json(url, query=None):
    try:
        response = httpx.get(
            url, params=query, timeout=TIMEOUT_S, trust_env=False
        )
        response.raise_for_status()
        return response.json()
    except (httpx.HTTPError, ValueError) as error:
        _exit_with_error(
            EXIT_UNREACHABLE,
            f"{url}: request failed ({error}). Is this the process's "
            f"address for operators?",
        )


def status(address: str):
    """Show the status of a process, its rejected tables and its members.

    :param address: The administration address, HOST:PORT.
    """
    state = _get(address, "status")
    for name, value in state.items():
        print(f"{name}: {value}")
    table = _get(address, "table")
    for rejected in table["rejected"]:
        print(f"rejected version {rejected['version']}:")
        for finding in rejected["findings"]:
            print(f"  {finding}")
    if state["role"] != "entry":
        return
    for member in _get(address, "members"):
        availability = (
            "available" if member["is_available"] else "not available"
        )
        print(
            f"{member['name']}: {availability}, "
            f"last report {member['age_ms']} ms ago, "
            f"{member['running']} of {member['slots']} running, "
            f"{member['queued']} queued"
        )


def explain_request(address: str, request: str):
    """Show the log lines of a request from one entry's recent decisions.

    :param address: The administration address of the entry, HOST:PORT.
    :param request: The id of the request, `request_id` in the response.
    """
    lines = _get(address, f"requests/{request}")
    if not lines:
        _exit_with_error(
            EXIT_FINDINGS,
            f"'{request}' is not among this process's recent requests. "
            f"Search the logs for it.",
        )
    for line in lines:
        details = {
            name: value
            for name, value in line.items()
            if name not in ("time", "level", "logger", "message", "request")
        }
        print(f"{line['time']} {line['message']}: {details}")


def explain_logs(request: str, *logs: str):
    """Show the log lines of a request from several processes, in order.

    Exit codes: 0 lines were found; 1 no line is about the request.

    :param request: The id of the request.
    :param logs: Files with log lines, of one or more processes.
    """
    texts = []
    for log in logs:
        path = pathlib.Path(log)
        if not path.is_file():
            _exit_with_error(
                EXIT_USAGE, f"'{log}' is not a file with log lines."
            )
        with path.open(encoding="utf-8", errors="replace") as file:
            texts += [line for line in file if request in line]
    lines = request_log.find_lines(request, texts)
    if not lines:
        _exit_with_error(
            EXIT_FINDINGS, f"No line is about the request '{request}'."
        )
    for fields in lines:
        print(request_log.format_line(fields))


def explain_route(
    address: str,
    host: str,
    path: str,
    organisation: str = "",
    parts: str = "",
):
    """Show where a request would go now, and why, without sending it.

    Exit codes: 0 a server would get it; 1 none would; 4 no reply.

    :param address: The metrics address of the entry, HOST:PORT.
    :param host: The host that the request names.
    :param path: The path of the request.
    :param organisation: The name of the organisation that sends it.
    :param parts: The parts of its prompt, ID:TOKENS,ID:TOKENS.
    """
    question = {
        "host": host,
        "path": path,
        "organisation": organisation,
        "parts": parts,
    }
    explanation = _get_json(f"http://{address}/explain", question)
    for line in route_report.format_lines(explanation):
        print(line)
    if explanation["refused"]:
        sys.exit(EXIT_FINDINGS)


def drain():
    """Explain how to take a process out of service."""
    print(
        "To drain a process, send it SIGTERM, or mark its VM as leaving in\n"
        "the VM list. It informs the other processes at once, receives no\n"
        "more new work after at most 3 s, completes work in progress and\n"
        "exits with code 0. The end of --drain-s, or a SIGINT (Ctrl-C) after\n"
        "the first signal, stops it at once with exit code 3. To watch it,\n"
        "run:\n"
        "greengagectl status ADDRESS"
    )


def settings(**flags):
    print_settings(flags, os.environ)


settings.__doc__ = """Print each setting, its value and its source.

Exit codes: 0 the settings are valid; 2 they are not.
"""


def print_settings(flag_by_name, environment):
    """Print all settings and the problems with them."""
    raw_by_name = settings_module.collect_values(flag_by_name, environment)
    for name, raw in raw_by_name.items():
        print(f"{name} = {raw.get_display_text()!r} ({raw.source})")
    _settings, problems = settings_module.read_settings(raw_by_name)
    for problem in problems:
        print(problem, file=sys.stderr)
    if problems:
        sys.exit(EXIT_USAGE)


def main():
    """Run the program."""
    defopt.run(
        {
            "table": {"check": check, "diff": diff, "explain": explain},
            "status": status,
            "explain": {
                "request": explain_request,
                "logs": explain_logs,
                "route": explain_route,
            },
            "drain": drain,
            "settings": standalone.add_settings_flags(settings),
        },
        no_negated_flags=True,
        cli_options="has_default",
    )


if __name__ == "__main__":
    main()
