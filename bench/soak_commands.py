"""The commands of greengagebench that run entries as real processes."""

import itertools
import shutil
import sys
import tempfile

import msgspec

from bench.soak import broken
from bench.soak import endless as endless_module
from bench.soak import fuzz as fuzz_module
from bench.soak import limits as limits_module
from bench.soak import refusals as refusals_module
from bench.soak import run as soak_run
from bench.soak import stops as stops_module
from bench.soak import streams as streams_module
from bench.soak import versions as versions_module

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


def _run_seeds(name, seeds, logs, run):
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


def soak(
    *,
    seed: int = 0,
    seeds: int = 1,
    duration: float = 25.0,
    build: str = "",
    logs: str = "",
):
    """Run entries on the platform's stand-in with faults chosen by seed.

    Prints one JSON line per seed. Exit codes: 0 no guarantee was violated;
    1 one was.

    :param seed: The first seed of the faults and requests.
    :param seeds: The number of seeds, run one after the other.
    :param duration: How long requests arrive, in seconds.
    :param build: A deliberately broken build, which the checks must detect.
    :param logs: The folder for the entries' logs; without one they are
        kept only if a guarantee was violated.
    """
    check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    _run_seeds(
        "soak",
        range(seed, seed + seeds),
        logs,
        lambda number, folder: soak_run.run_soak(
            number, duration, folder, build
        ),
    )


def limits(
    *,
    seed: int = 0,
    entries: int = 3,
    rate: float = 60.0,
    limit: float = 2.0,
    step: int = 1,
    duration: float = 20.0,
    logs: str = "",
):
    """Run entries against engines that name a limit in their answers.

    Prints one JSON line. Exit codes: 0 no engine got more than it allows;
    1 one did.

    :param seed: The seed of the requests.
    :param entries: The number of entry processes, over three data centres.
    :param rate: The requests per second of all kinds together.
    :param limit: The requests per second that each engine takes.
    :param step: One of so many engines names a limit.
    :param duration: How long the limits are named, in seconds.
    :param logs: The folder for the entries' logs; without one they are
        kept only if a limit was exceeded.
    """
    folder = logs or tempfile.mkdtemp(prefix="greengagebench-limits-")
    result = limits_module.run_limits(
        seed, entries, rate, limit, duration, folder, step
    )
    print_json(result)
    keep_or_delete_logs(folder, logs, result.exceeded)
    sys.exit(EXIT_FAILURE if result.exceeded else 0)


def versions(
    *,
    seed: int = 0,
    seeds: int = 1,
    fault: str = "",
    rate: float = 15.0,
    logs: str = "",
):
    """Run entries on engines of several software versions at once.

    Prints one JSON line per seed and fault. Exit codes: 0 the streams kept
    to one version and went on; 1 they did not.

    :param seed: The first seed of the streams.
    :param seeds: The number of seeds, run one after the other.
    :param fault: resets, kills, gone or swaps; without one each of them.
    :param rate: The new streams per second.
    :param logs: The folder for the entries' logs; without one they are
        kept only if a run failed.
    """
    chosen = [fault] if fault else list(versions_module.STEPS_BY_FAULT)
    check_choice("--fault", fault, ("", *versions_module.STEPS_BY_FAULT))
    _run_seeds(
        "versions",
        itertools.product(range(seed, seed + seeds), chosen),
        logs,
        lambda pair, folder: versions_module.run_versions(*pair, rate, folder),
    )


def streams(
    *,
    seed: int = 0,
    seeds: int = 1,
    rate: float = 25.0,
    duration: float = 24.0,
    build: str = "",
    tree: str = "",
    logs: str = "",
):
    """Run streams on processes that are killed, and judge their numbers.

    Prints one JSON line per seed. Exit codes: 0 all streams were in order
    and of one version, and none looked complete too soon; 1 some were not.

    :param seed: The first seed of the streams and of the trouble.
    :param seeds: The number of seeds, run one after the other.
    :param rate: The new streams per second.
    :param duration: How long streams begin, in seconds.
    :param build: A deliberately broken build, which must show.
    :param tree: The checkout whose entries run; this one by default.
    :param logs: The folder for the entries' logs; without one they are
        kept only if a run failed.
    """
    check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    _run_seeds(
        "streams",
        range(seed, seed + seeds),
        logs,
        lambda number, folder: streams_module.run_streams(
            number, rate, duration, folder, build, tree
        ),
    )


def stops(
    *,
    seed: int = 0,
    seeds: int = 1,
    grace: float = 8.0,
    order: str = "series",
    store_away: bool = False,
    build: str = "",
    tree: str = "",
    logs: str = "",
):
    """Stop entries by SIGTERM while callers go on using them.

    Prints one JSON line per seed. Exit codes: 0 no answer was lost that had
    to come; 1 one was.

    :param seed: The first seed of the requests.
    :param seeds: The number of seeds, run one after the other.
    :param grace: The seconds from the signal until the kill.
    :param order: series: each entry stops when the one before is ready
        again; overlapping: a second after its signal; together: at once.
    :param store_away: The store is silent from the first signal until a
        grace later.
    :param build: A deliberately broken build, which must lose answers.
    :param tree: The checkout whose entries run; this one by default.
    :param logs: The folder for the entries' logs; without one they are
        kept only if an answer was lost.
    """
    check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    check_choice("--order", order, tuple(stops_module.GAP_S_BY_ORDER))
    _run_seeds(
        "stops",
        range(seed, seed + seeds),
        logs,
        lambda number, folder: stops_module.run_stops(
            number, grace, folder, build, tree, order, store_away
        ),
    )


def refusals(
    *,
    seed: int = 0,
    seeds: int = 1,
    duration: float = 15.0,
    build: str = "",
    tree: str = "",
    logs: str = "",
):
    """Run engines that run requests and fail them in each way they may.

    Prints one JSON line per seed. Exit codes: 0 no caller was told "not
    run" of a request that ran, none ran twice that must not, and failures
    reached callers as they were; 1 otherwise.

    :param seed: The first seed of the failures and requests.
    :param seeds: The number of seeds, run one after the other.
    :param duration: How long requests arrive, in seconds.
    :param build: A deliberately broken build, which must show.
    :param tree: The checkout whose entries run; this one by default.
    :param logs: The folder for the entries' logs; without one they are
        kept only if something was broken.
    """
    check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    _run_seeds(
        "refusals",
        range(seed, seed + seeds),
        logs,
        lambda number, folder: refusals_module.run_refusals(
            number, duration, folder, build, tree
        ),
    )


def endless(
    *,
    seed: int = 0,
    shape: str = "",
    duration: float = 12.0,
    tree: str = "",
    logs: str = "",
):
    """Run an engine whose answers have no end, beside sound ones.

    Prints one JSON line per shape. Exit codes: 0 no entry ended; 1 one did.

    :param seed: The seed of the requests.
    :param shape: What has no end, or none; without one each of them.
    :param duration: How long requests arrive, in seconds.
    :param tree: The checkout whose entries run; this one by default.
    :param logs: The folder for the entries' logs; without one they are
        kept only if an entry ended.
    """
    shapes = ("none", *endless_module.BYTES_BY_SHAPE)
    check_choice("--shape", shape, ("", *shapes))
    _run_seeds(
        "endless",
        (shape,) if shape else shapes,
        logs,
        lambda name, folder: endless_module.run_endless(
            seed, name, duration, folder, tree
        ),
    )


def fuzz(
    *,
    seed: int = 0,
    seconds: float = 20.0,
    reader: str = "",
    build: str = "",
    tree: str = "",
    logs: str = "",
):
    """Spoil the bytes that entries read, beside sound requests.

    Prints one JSON line. Exit codes: 0 no entry ended, no error was left to
    be contained and all sound requests were answered; 1 otherwise.

    :param seed: The seed of the spoiled bytes.
    :param seconds: How long bytes are spoiled.
    :param reader: engines, store or callers; without one all of them.
    :param build: A deliberately broken build, which must show.
    :param tree: The checkout whose entries run; this one by default.
    :param logs: The folder for the entries' logs; without one they are
        kept only if something was broken.
    """
    check_choice("--reader", reader, ("", *fuzz_module.READERS))
    check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    readers = (reader,) if reader else fuzz_module.READERS
    _run_seeds(
        "fuzz",
        [seed],
        logs,
        lambda number, folder: fuzz_module.run_fuzz(
            number, seconds, readers, folder, build, tree
        ),
    )
