"""Runs this system and the baseline on the same load and compares them."""

import concurrent.futures
import multiprocessing
import statistics

import msgspec

from bench import experiment

WORKER_COUNT = 6


class Job(msgspec.Struct, frozen=True):
    """One experiment, run in a worker process."""

    system: str
    deployment: str
    fault: str
    seed: int
    duration_s: float


class Pair(msgspec.Struct):
    """The results of both systems for one seed."""

    ours: experiment.Result
    naive: experiment.Result

    def get_missed_ratio(self):
        """Return the missed deadlines of the baseline divided by ours."""
        return self.naive.missed / max(self.ours.missed, 1)

    def get_bytes_ratio(self):
        """Return our cross-region bytes per answer over the baseline's."""
        return _get_ratio(
            _get_per_answer(self.ours, self.ours.cross_region_bytes),
            _get_per_answer(self.naive, self.naive.cross_region_bytes),
        )

    def get_engine_ratio(self):
        """Return our engine seconds per answer over the baseline's."""
        return _get_ratio(
            _get_per_answer(self.ours, self.ours.engine_seconds),
            _get_per_answer(self.naive, self.naive.engine_seconds),
        )


class Medians(msgspec.Struct):
    """The JSON result of a comparison: medians over the seeds."""

    deployment: str
    fault: str
    seeds: int
    missed_ratio: float
    attainment: float
    naive_attainment: float
    cross_region_bytes_ratio: float
    engine_seconds_ratio: float
    faults: int
    naive_faults: int


def _get_per_answer(result, amount):
    """Return an amount per answer that was whole and in time."""
    return amount / max(result.counts.in_time, 1)


def _get_ratio(value, base):
    return value / base if base else 0.0


def run_job(job):
    """Run a job and return its `Result` without the list of answers."""
    result = experiment.run_experiment(
        job.system, job.deployment, job.fault, job.seed, job.duration_s
    )
    result.answers = []
    return result


def run_jobs(jobs):
    """Run jobs in worker processes; return the results in job order."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        WORKER_COUNT, mp_context=context
    ) as pool:
        return list(pool.map(run_job, jobs))


def compare(deployment, fault, seeds, duration_s):
    """Run both systems with each seed and return the `Pair` of each."""
    jobs = [
        Job(system, deployment, fault, seed, duration_s)
        for seed in range(seeds)
        for system in ("greengagetrack", "naive")
    ]
    results = run_jobs(jobs)
    return [
        Pair(results[index], results[index + 1])
        for index in range(0, len(results), 2)
    ]


def get_medians(deployment, fault, pairs):
    """Return the `Medians` over the pairs."""

    def median(values):
        return round(statistics.median(values), 4)

    return Medians(
        deployment=deployment,
        fault=fault,
        seeds=len(pairs),
        missed_ratio=median(pair.get_missed_ratio() for pair in pairs),
        attainment=median(pair.ours.counts.attainment for pair in pairs),
        naive_attainment=median(
            pair.naive.counts.attainment for pair in pairs
        ),
        cross_region_bytes_ratio=median(
            pair.get_bytes_ratio() for pair in pairs
        ),
        engine_seconds_ratio=median(pair.get_engine_ratio() for pair in pairs),
        faults=sum(pair.ours.counts.count_violations() for pair in pairs),
        naive_faults=sum(
            pair.naive.counts.count_violations() for pair in pairs
        ),
    )


def format_pair(pair):
    """Return one line of text for the pair of one seed."""
    ours, naive = pair.ours, pair.naive
    return (
        f"seed {ours.seed} {ours.calendar}: missed {naive.missed} / "
        f"{ours.missed} = {pair.get_missed_ratio():.2f}, attainment "
        f"{ours.counts.attainment:.4f} (naive "
        f"{naive.counts.attainment:.4f}), bytes ratio "
        f"{pair.get_bytes_ratio():.2f}, engine seconds ratio "
        f"{pair.get_engine_ratio():.2f}, faults "
        f"{ours.counts.count_violations()} (naive "
        f"{naive.counts.count_violations()}), reasons {ours.reasons}"
    )


def format_spread(pairs):
    """Return one line with the range of each ratio over the seeds."""
    parts = []
    for name, values in (
        ("missed_ratio", [pair.get_missed_ratio() for pair in pairs]),
        ("bytes_ratio", [pair.get_bytes_ratio() for pair in pairs]),
        ("engine_ratio", [pair.get_engine_ratio() for pair in pairs]),
    ):
        parts.append(f"{name} {min(values):.2f} to {max(values):.2f}")
    return "spread over seeds: " + ", ".join(parts)
