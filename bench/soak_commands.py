"""The commands of greengagebench that run entries as real processes."""

import itertools
import sys
import tempfile

from bench import output
from bench.soak import broken
from bench.soak import endless as endless_module
from bench.soak import fuzz as fuzz_module
from bench.soak import limits as limits_module
from bench.soak import refusals as refusals_module
from bench.soak import repeats as repeats_module
from bench.soak import run as soak_run
from bench.soak import stops as stops_module
from bench.soak import streams as streams_module
from bench.soak import versions as versions_module
from bench.soak import warming as warming_module


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
    output.check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    output.run_seeds(
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
    output.print_json(result)
    output.keep_or_delete_logs(folder, logs, result.exceeded)
    sys.exit(output.EXIT_FAILURE if result.exceeded else 0)


def warming(
    *,
    seed: int = 0,
    entries: int = 6,
    rate: float = 90.0,
    rounds: int = 3,
    build: str = "",
    logs: str = "",
):
    """Run entries while data centres return with warming engines.

    Prints one JSON line. Exit codes: 0 no engine got more than it bears;
    1 one did.

    :param seed: The seed of the requests and of the faults.
    :param entries: The number of entry processes, over three data centres.
    :param rate: The requests per second of all kinds together.
    :param rounds: How many returns there are, one after the other.
    :param build: A deliberately broken build, which must be detected.
    :param logs: The folder for the entries' logs; without one they are
        kept only if an engine got too much.
    """
    output.check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    folder = logs or tempfile.mkdtemp(prefix="greengagebench-warming-")
    result = warming_module.run_warming(
        seed, entries, rate, rounds, folder, build
    )
    output.print_json(result)
    output.keep_or_delete_logs(folder, logs, result.exceeded)
    sys.exit(output.EXIT_FAILURE if result.exceeded else 0)


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
    output.check_choice(
        "--fault", fault, ("", *versions_module.STEPS_BY_FAULT)
    )
    output.run_seeds(
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
    output.check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    output.run_seeds(
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
    output.check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    output.check_choice("--order", order, tuple(stops_module.GAP_S_BY_ORDER))
    output.run_seeds(
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
    output.check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    output.run_seeds(
        "refusals",
        range(seed, seed + seeds),
        logs,
        lambda number, folder: refusals_module.run_refusals(
            number, duration, folder, build, tree
        ),
    )


def repeats(
    *,
    seed: int = 0,
    seeds: int = 1,
    duration: float = 15.0,
    trouble: str = "repeats",
    build: str = "",
    tree: str = "",
    logs: str = "",
):
    """Run engines that send an answer again where its id comes again.

    Prints one JSON line per seed. Exit codes: 0 no caller was told "not
    run" of a request that ran or got the answer to another sending, and none
    ran twice that must not; 1 otherwise.

    :param seed: The first seed of the requests and of the trouble.
    :param seeds: The number of seeds, run one after the other.
    :param duration: How long requests arrive, in seconds.
    :param trouble: repeats: engines repeat answers, are renamed and refuse,
        and callers come back with an id; renames: without the last two;
        refusals: engines refuse, no more; none.
    :param build: A deliberately broken build, which must show.
    :param tree: The checkout whose entries run; this one by default.
    :param logs: The folder for the entries' logs; without one they are
        kept only if something was broken.
    """
    output.check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    output.check_choice(
        "--trouble", trouble, tuple(repeats_module.TROUBLE_BY_NAME)
    )
    output.run_seeds(
        "repeats",
        range(seed, seed + seeds),
        logs,
        lambda number, folder: repeats_module.run_repeats(
            number, trouble, duration, folder, build, tree
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
    output.check_choice("--shape", shape, ("", *shapes))
    output.run_seeds(
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
    output.check_choice("--reader", reader, ("", *fuzz_module.READERS))
    output.check_choice("--build", build, ("", *broken.PATCH_BY_BUILD))
    readers = (reader,) if reader else fuzz_module.READERS
    output.run_seeds(
        "fuzz",
        [seed],
        logs,
        lambda number, folder: fuzz_module.run_fuzz(
            number, seconds, readers, folder, build, tree
        ),
    )
