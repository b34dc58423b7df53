"""Measures the slopes that docs/CAPACITY.md is worked out from.

Each slope is measured several times; the page gives the median and the
spread. Figures of the control path are taken without sockets, figures of
whole processes from processes that were started for it.
"""

import datetime
import gc
import os
import pathlib
import platform
import statistics
import subprocess
import sys
import time
import tracemalloc

import msgspec
import trio
import trio.testing

from bench import deployment as deployment_module
from bench import fleet as fleet_module
from bench.standins import platform as platform_module
from greengagetrack.connection import messages
from greengagetrack.connection.platform import base as platform_base
from greengagetrack.connection import seal
from greengagetrack.process import fair_queue
from greengagetrack.process import fleet as agents_module
from greengagetrack.process import limit_owner
from greengagetrack.process import limits as limits_module
from greengagetrack.process import routing
from greengagetrack.process import vm_view as vm_view_module
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request import record as record_module
from greengagetrack.version import folder
from greengagetrack.version import loader

REPEATS = 5
PAGE = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"
SLOPES = PAGE.parent / "capacity" / "slopes.json"
RING = seal.new_key_ring([b"0123456789abcdef"])
VMS = 400
ORGANISATIONS = 4000
TOKENS_PER_CHUNK = 8


class Slope(msgspec.Struct):
    """One measured slope with its spread."""

    name: str
    unit: str
    median: float
    low: float
    high: float


class Measured(msgspec.Struct):
    """All slopes, and where they were measured."""

    command: str
    date: str
    machine: str
    python: str
    slopes: dict[str, Slope]


def _new_slope(name, unit, values):
    return Slope(
        name, unit, statistics.median(values), min(values), max(values)
    )


def _time_us(function, count):
    """Return the processor time of one call, in microseconds."""
    before_s = time.process_time()
    for _index in range(count):
        function()
    return (time.process_time() - before_s) / count * 1e6


def _measure_time(name, function, count):
    values = [_time_us(function, count) for _repeat in range(REPEATS)]
    return _new_slope(name, "us", values)


def _measure_memory(name, build, count):
    """Return the bytes that each of `count` built things keeps."""
    values = []
    for _repeat in range(REPEATS):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        kept = build(count)
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        values.append((after - before) / count)
        del kept
    return _new_slope(name, "B", values)


def _new_vms(count):
    return [
        platform_base.Vm(
            f"region-1-engine-{index:05d}",
            f"10.0.{index // 250}.{index % 250}:7000",
            "agent" if index % 5 else "entry",
            f"region-{index % 7}",
            f"region-{index % 7}-{index % 24}",
            "writer" if index % 5 else "",
        )
        for index in range(count)
    ]


def _new_fleet(count):
    stand_in = platform_module.Platform()
    stand_in.set_vms(_new_vms(count))
    view = vm_view_module.new_vm_view(
        platform_module.VmListFake(stand_in), 1.0, 1
    )
    view.vm_by_name = {vm.name: vm for vm in stand_in.vms}
    fleet = agents_module.new_fleet(view)
    fleet.sync()
    return fleet


def _new_report(name, number):
    return messages.Report(
        agent=name,
        incarnation="0001796350000-0a1b2c3d",
        number=number,
        service="writer",
        load=messages.Load(8, 5, 2, 180.5, 410.0),
        table_version=990,
        model="sheet-writer",
    )


def _measure_reports():
    fleet = _new_fleet(VMS)
    names = list(fleet.agent_by_name)
    numbers = iter(range(10**9))

    def take():
        number = next(numbers)
        report = _new_report(names[number % len(names)], number)
        sealed = RING.seal(messages.encode(report))
        fleet.apply_report(messages.decode_request(RING.open(sealed)))

    size = len(RING.seal(messages.encode(_new_report(names[0], 10**6))))
    return (
        _measure_time("report_cpu", take, 3000),
        _new_slope("report_bytes", "B", [size]),
    )


def _measure_routing():
    fleet = _new_fleet(70)
    for index, name in enumerate(fleet.agent_by_name):
        fleet.apply_report(_new_report(name, index))
    table, _findings = folder.build_from_folder(
        deployment_module.KITAMURA.get_table_folder()
    )
    router = routing.new_router(fleet, "region-1", {}, lambda: table, 1)
    pipeline = table.pipeline_by_name["product-sheet"]
    stage = routing.get_pipeline_stages("product-sheet", pipeline)[-1]
    deadline = deadline_module.new_deadline(5000)
    return _measure_time(
        "route_cpu", lambda: router.choose(stage, deadline), 2000
    )


def _measure_queue():
    queue = fair_queue.new_fair_queue()
    submits = [
        messages.Submit(
            messages.AttemptId("e", index),
            "i",
            "s",
            5000,
            b"{}",
            organisation=f"o{index % 40}",
            row=f"r{index % 8}",
        )
        for index in range(64)
    ]

    def pass_through():
        for submit in submits:
            record = record_module.new_record(submit)
            queue.add(fair_queue.QueuedAttempt(record, 1e9, 1e9, 100.0))
        for _submit in submits:
            queue.pop_next()

    slope = _measure_time("queue_cpu", pass_through, 50)
    factor = len(submits)
    return Slope(
        slope.name,
        slope.unit,
        slope.median / factor,
        slope.low / factor,
        slope.high / factor,
    )


def _measure_chunks():
    tokens = ["abcd "] * TOKENS_PER_CHUNK
    chunk = messages.Chunk("started", 100, tokens, load=messages.Load())

    def carry():
        sealed = RING.seal(messages.encode(chunk))
        messages.decode_reply(RING.open(sealed))

    return _measure_time("chunk_codec_cpu", carry, 5000)


def _measure_organisations():
    lines = "".join(
        f'[organisation.o{index:05d}]\nplan = "standard"\n'
        for index in range(ORGANISATIONS)
    ).encode()
    texts = dict(
        folder.read_folder(deployment_module.KITAMURA.get_table_folder())
    )
    texts["organisations/01"] = lines
    manifest = loader.write_manifest(1, texts)

    def build(_count):
        return loader.build_table(manifest, texts, {})

    slope = _measure_memory("organisation_memory", build, ORGANISATIONS)
    spent = _measure_time("organisation_cpu", lambda: build(ORGANISATIONS), 2)
    for name in ("median", "low", "high"):
        setattr(spent, name, getattr(spent, name) / ORGANISATIONS)
    size = len(lines) / ORGANISATIONS
    return slope, spent, _new_slope("organisation_bytes", "B", [size])


def _measure_credits():
    table, _findings = folder.build_from_folder(
        deployment_module.KITAMURA.get_table_folder()
    )
    limits = table.get_limits("order", "workshop", "night")
    stand_in = platform_module.Platform()
    view = vm_view_module.new_vm_view(
        platform_module.VmListFake(stand_in), 1.0, 1
    )

    def build(count):
        owner = limit_owner.new_limit_owner(
            "e", "ishikari", view, None, lambda: table
        )
        book = limits_module.new_limits(
            "e", "ishikari", owner, view, None, lambda: table
        )
        for index in range(count):
            fake = msgspec.structs.replace(limits, key=f"o{index}|order|*")
            book._get_credit(fake, limit_owner.KIND_RATE)
        return book

    return _measure_memory("credit_memory", build, 2000)


def _measure_vm_list():
    body = msgspec.json.encode(platform_base.VmList(1, _new_vms(VMS)))

    def read():
        decoded = msgspec.json.decode(body, type=platform_base.VmList)
        return {vm.name: vm for vm in decoded.vms}

    slope = _measure_time("vm_cpu", read, 20)
    for name in ("median", "low", "high"):
        setattr(slope, name, getattr(slope, name) / VMS)
    return slope, _new_slope("vm_bytes", "B", [len(body) / VMS])


async def _measure_inside():
    """Return the slopes that need trio's clock."""
    await trio.lowlevel.checkpoint()
    found = [*_measure_reports(), _measure_routing(), _measure_queue()]
    found += [_measure_chunks(), *_measure_organisations()]
    found += [_measure_credits(), *_measure_vm_list()]
    found.append(_measure_memory("agent_memory", _new_fleet, VMS))
    found.append(_measure_memory("record_memory", _new_records, 1000))
    return found


def _new_records(count):
    return [
        record_module.new_record(
            messages.Submit(
                messages.AttemptId("e", index), "i", "s", 5000, b"x" * 400
            )
        )
        for index in range(count)
    ]


_IDLE = """
import os, resource
from greengagetrack.command import standalone
print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
"""


def _measure_floor():
    """Return the memory of a process that has only imported the daemon."""
    values = []
    for _repeat in range(REPEATS):
        run = subprocess.run(
            [sys.executable, "-c", _IDLE],
            capture_output=True,
            text=True,
            check=True,
        )
        values.append(int(run.stdout) / 1000)
    return _new_slope("floor_memory", "MB", values)


def _measure_fleet(entries, agents, data_centres):
    """Return slopes of entries at one size, each from three seeds."""
    size = fleet_module.FleetSize(entries, agents, 100, 3, data_centres)
    runs = [fleet_module.run_fleet(size, "none", seed) for seed in range(3)]
    label = f"{entries}_{agents}_{data_centres}"
    return [
        _new_slope(
            f"entry_bytes_{label}",
            "B/s",
            [run.entry_bytes_per_s_median for run in runs],
        ),
        _new_slope(
            f"agent_bytes_{label}",
            "B/s",
            [run.agent_bytes_per_s_median for run in runs],
        ),
        _new_slope(
            f"cpu_share_{label}",
            "core",
            [run.control_cpu_share_mean for run in runs],
        ),
        _new_slope(
            f"in_force_{label}", "s", [run.table_in_force_s for run in runs]
        ),
    ]


FLEETS = ((6, 24, 3), (12, 24, 3), (12, 48, 3), (12, 48, 6))


def measure():
    """Return all slopes, measured now on this machine."""
    found = trio.run(_measure_inside, clock=trio.testing.MockClock())
    found.append(_measure_floor())
    for entries, agents, data_centres in FLEETS:
        found += _measure_fleet(entries, agents, data_centres)
    return Measured(
        command="greengagebench capacity",
        date=datetime.date.today().isoformat(),
        machine=f"{platform.machine()}, {os.cpu_count()} cores",
        python=platform.python_version(),
        slopes={slope.name: slope for slope in found},
    )


def write(measured):
    """Keep the slopes in the repository."""
    SLOPES.parent.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(measured), indent=1)
    SLOPES.write_bytes(encoded + b"\n")


def read():
    """Return the slopes that are kept in the repository."""
    return msgspec.json.decode(SLOPES.read_bytes(), type=Measured)
