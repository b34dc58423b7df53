"""What the commands of greengagebench share: options, results and logs."""

import shutil
import sys
import tempfile

import msgspec

EXIT_FAILURE = 1
EXIT_USAGE = 2


def print_json(value):
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def check_choice(name, value, choices):
    """Exit with a text unless an option has one of its values."""
    if value not in choices:
        text = f"{name} must be one of {', '.join(choices)}, not '{value}'."
        print(text, file=sys.stderr)
        sys.exit(EXIT_USAGE)


def keep_or_delete_logs(folder, is_requested, has_failed):
    """Delete the logs unless the run failed or they were requested."""
    if has_failed:
        print(f"The logs were kept in '{folder}'.", file=sys.stderr)
    elif not is_requested:
        shutil.rmtree(folder)


def run_seeds(name, seeds, logs, run):
    """Print the result of each seed; exit with 1 if one is broken.

    `run(seed, folder)` returns it, with the logs in the folder. What is
    needed beside the number may be part of a seed.
    """
    failed = 0
    for seed in seeds:
        folder = logs or tempfile.mkdtemp(prefix=f"greengagebench-{name}-")
        result = run(seed, folder)
        print_json(result)
        for text in result.broken:
            print(f"broken: {text}", file=sys.stderr)
        failed += bool(result.broken)
        keep_or_delete_logs(folder, logs, result.broken)
    sys.exit(EXIT_FAILURE if failed else 0)
