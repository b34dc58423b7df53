"""The command-line tool of operators: it looks, and changes nothing."""

import os
import pathlib
import sys

import defopt
import httpx
import msgspec

from greengagetrack.command import standalone
from greengagetrack.command import story
from greengagetrack.platform import document
from greengagetrack.process import settings as settings_module
from greengagetrack.version import checks
from greengagetrack.version import folder

EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 4
TIMEOUT_S = 5.0


def _fail(code, text):
    print(text, file=sys.stderr)
    sys.exit(code)


def _read_table(path):
    if not pathlib.Path(path).is_dir():
        _fail(EXIT_USAGE, f"'{path}' is not a folder with TOML documents.")
    return folder.build_from_folder(path)


def _read_good_table(path):
    table, findings = _read_table(path)
    if table is None:
        for finding in findings:
            print(finding, file=sys.stderr)
        _fail(EXIT_FINDINGS, f"'{path}' has errors; see above.")
    return table


def _check_published(path):
    """Check a document as the platform publishes it."""
    catalog = document.read_config(pathlib.Path(path).read_bytes())
    if isinstance(catalog, str):
        _fail(EXIT_FINDINGS, f"'{path}' can't be read: {catalog}.")
    missing = catalog.get_service_names() - catalog.service_by_name.keys()
    for name in sorted(missing):
        print(f"error: no service '{name}'; add it or mend the routes")
    if missing:
        sys.exit(EXIT_FINDINGS)
    print(
        f"ok: version {catalog.version}, "
        f"{len(catalog.service_by_name)} services"
    )


def check(path: str):
    """Check the documents of a table, as the daemon does.

    Exit codes: 0 no errors; 1 the table would be refused.

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


def _describe(table):
    """Return a line for each part of a table, by its name."""
    line_by_name = {}
    for kind, parts in (
        ("service", table.service_by_name),
        ("pipeline", table.pipeline_by_name),
        ("region", table.region_by_name),
    ):
        for name, part in parts.items():
            text = msgspec.json.encode(part).decode()
            line_by_name[f"{kind} {name}"] = text
    for row in table.rows:
        name = f"row {row.pipeline} {row.organisation} {row.kind}"
        line_by_name[name] = msgspec.json.encode(row).decode()
    line_by_name["policy"] = msgspec.json.encode(table.policy).decode()
    for name, plan in table.get_organisation_plans():
        line_by_name[f"organisation {name}"] = plan
    return line_by_name


def diff(old: str, new: str):
    """Show what changes between two tables, part by part.

    :param old: The folder of the table in force.
    :param new: The folder of the table to publish.
    """
    before = _describe(_read_good_table(old))
    after = _describe(_read_good_table(new))
    for name in sorted(before.keys() | after.keys()):
        if before.get(name) == after.get(name):
            continue
        if name in before:
            print(f"- {name}: {before[name]}")
        if name in after:
            print(f"+ {name}: {after[name]}")


def explain(path: str, organisation: str, kind: str = "*"):
    """Show the limits of an organisation, and the row they come from.

    :param path: The folder with the TOML documents.
    :param organisation: The organisation's id.
    :param kind: The kind of request.
    """
    table = _read_good_table(path)
    plan = table.get_plan(organisation)
    if plan is None:
        names = [name for name, _plan in table.get_organisation_plans()]
        hint = checks.get_nearest_hint(organisation, names)
        _fail(EXIT_FINDINGS, f"No organisation '{organisation}'. {hint}")
    print(f"organisation {organisation}, plan {plan}, kind {kind}")
    for name in sorted(table.pipeline_by_name):
        limits = table.get_limits(name, organisation, kind)
        if limits is None:
            print(f"{name}: no row matches, so everything is refused")
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
    url = f"http://{address}/admin/v1/{path}"
    try:
        response = httpx.get(url, timeout=TIMEOUT_S, trust_env=False)
        response.raise_for_status()
    except httpx.HTTPError as error:
        _fail(
            EXIT_UNREACHABLE,
            f"{url} gives no answer ({error}). Is this the process's "
            f"--admin-address?",
        )
    return response.json()


def status(address: str):
    """Show a process, its table and the members that it knows.

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
        word = "available" if member["is_available"] else "not available"
        print(
            f"{member['name']}: {word}, heard {member['age_ms']} ms ago, "
            f"{member['running']} of {member['slots']} running, "
            f"{member['queued']} queued"
        )


def explain_request(address: str, request: str):
    """Put a request's story together from one entry's recent decisions.

    :param address: The administration address of the entry, HOST:PORT.
    :param request: The request's id, as in the answer's `request_id`.
    """
    story = _get(address, f"requests/{request}")
    if not story:
        _fail(
            EXIT_FINDINGS,
            f"'{request}' is not among this process's recent requests. "
            f"Search the logs for it.",
        )
    for line in story:
        rest = {
            name: value
            for name, value in line.items()
            if name not in ("time", "level", "logger", "message", "request")
        }
        print(f"{line['time']} {line['message']}: {rest}")


def explain_logs(request: str, *logs: str):
    """Put a request's story together from the logs of many processes.

    Exit codes: 0 there is a story; 1 no line names the request.

    :param request: The request's id.
    :param logs: Files with log lines, of one or more processes.
    """
    texts = []
    for log in logs:
        path = pathlib.Path(log)
        if not path.is_file():
            _fail(EXIT_USAGE, f"'{log}' is not a file with log lines.")
        with path.open(encoding="utf-8", errors="replace") as file:
            texts += [line for line in file if request in line]
    lines = story.find_story(request, texts)
    if not lines:
        _fail(EXIT_FINDINGS, f"No line names '{request}'.")
    for fields in lines:
        print(story.tell_line(fields))


def drain():
    """Explain how a process is taken out of service."""
    print(
        "To drain a process, send it SIGTERM, or mark its VM as leaving in\n"
        "the VM list. It says so to the others at once, gets no new work\n"
        "within 3 s, ends what is in progress, and exits with 0. A second\n"
        "SIGTERM, or the end of --drain-s, ends it at once with exit code\n"
        "3. Watch it with: greengagectl status ADDRESS"
    )


def settings(**flags):
    print_settings(flags, os.environ)


settings.__doc__ = """Print each setting, its value and where it came from.

Exit codes: 0 the settings are right; 2 they are not.
"""


def print_settings(flag_by_name, environment):
    """Print all settings and what is wrong with them."""
    raw_by_name = settings_module.collect_values(flag_by_name, environment)
    for name, given in raw_by_name.items():
        print(f"{name} = {given.get_display_text()!r} ({given.source})")
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
            "explain": {"request": explain_request, "logs": explain_logs},
            "drain": drain,
            "settings": standalone.add_settings_flags(settings),
        },
        no_negated_flags=True,
        cli_options="has_default",
    )


if __name__ == "__main__":
    main()
