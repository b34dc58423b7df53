"""The daemon with its settings in flags and environment variables."""

import inspect
import os
import sys
import typing

import defopt
import trio

from greengagetrack.process import daemon
from greengagetrack.process import logs
from greengagetrack.process import settings as settings_module
from greengagetrack.process import stop as stop_module

EXIT_SETTINGS = 2

_SUMMARY = """Run one entry or one agent of greengagetrack.

Each flag is also an environment variable; the flag wins. The variable of
--data-centre is ``GREENGAGETRACK_DATA_CENTRE``, and so on. Exit codes: 0
stopped after all work in progress was complete; 2 invalid settings; 3
stopped with work in progress.
"""


def add_settings_flags(function):
    """Add one optional flag for each setting to `function`."""
    parameters = []
    lines = [inspect.getdoc(function) or _SUMMARY, ""]
    for setting in settings_module.ALL_SETTINGS:
        parameters.append(
            inspect.Parameter(
                setting.name,
                inspect.Parameter.KEYWORD_ONLY,
                annotation=typing.Optional[str],
                default=None,
            )
        )
        lines.append(f":param {setting.name}: {setting.help}")
    function.__signature__ = inspect.Signature(parameters)
    function.__annotations__ = {
        setting.name: typing.Optional[str]
        for setting in settings_module.ALL_SETTINGS
    }
    function.__doc__ = "\n".join(lines)
    return function


def read_settings_or_exit(flag_by_name, environment):
    """Return the settings, or print all problems and exit."""
    raw_by_name = settings_module.collect_values(flag_by_name, environment)
    settings, problems = settings_module.read_settings(raw_by_name)
    if problems:
        for problem in problems:
            print(problem, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    return settings


def run_daemon(**flags):
    settings = read_settings_or_exit(flags, os.environ)
    decisions = logs.set_up(settings.name, settings.log_level)
    code = trio.run(
        stop_module.run_until_stopped,
        lambda stop: daemon.run(settings, stop, decisions),
    )
    sys.exit(code)


run_daemon.__doc__ = _SUMMARY


def main():
    """Run the program."""
    defopt.run(
        add_settings_flags(run_daemon),
        no_negated_flags=True,
        cli_options="has_default",
    )
