"""greengagebench: stand-ins, load, faults and reports on one machine."""

import sys

import defopt
import msgspec
import trio

from bench import demo as demo_module

EXIT_WRONG = 1


def demo(*, logs: str = ""):
    """Run both deployments in one process and show requests end to end.

    Prints one JSON line. Exit codes: 0 all counts are right; 1 a count is
    wrong.

    :param logs: The folder for the daemons' logs; none are kept without.
    """
    console = demo_module.new_console()
    summary, is_right = trio.run(demo_module.run_demo, console, logs or None)
    print(msgspec.json.encode(summary).decode())
    sys.exit(0 if is_right else EXIT_WRONG)


def main():
    """Run the program."""
    defopt.run({"demo": demo}, no_negated_flags=True, cli_options="all")


if __name__ == "__main__":
    main()
