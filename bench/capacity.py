"""Measures the unit costs (slopes) that docs/CAPACITY.md is derived from.

Each slope is measured several times; the page shows the median and the
range. Costs of the control path are measured without sockets, memory of a
process in subprocesses started for the measurement.
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
from greengagetrack.connection import agent_messages
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
PAGE_PATH = pathlib.Path(__file__).parents[1] / "docs" / "CAPACITY.md"
SLOPES_PATH = PAGE_PATH.parent / "capacity" / "slopes.json"
KEY_RING = seal.new_key_ring([b"0123456789abcdef"])
VM_COUNT = 400
ORGANISATION_COUNT = 4000
TOKENS_PER_CHUNK = 8


class Slope(msgspec.Struct):
    """A measured unit cost with its median and range."""

    name: str
    unit: str
    median: float
    low: float
    high: float


class Measured(msgspec.Struct):
    """All slopes, and the machine they were measured on."""

    command: str
    date: str
    machine: str
    python: str
    slopes: dict[str, Slope]


def _new_slope(name, unit, values):
    return Slope(
        name, unit, statistics.median(values), min(values), max(values)
    )


def _measure_call_us(function, count):
    """Return the mean processor time of one call, in microseconds."""
    before_s = time.process_time()
    for _index in range(count):
        function()
    return (time.process_time() - before_s) / count * 1e6


def _measure_time(name, function, count):
    values = [_measure_call_us(function, count) for _repeat in range(REPEATS)]
    return _new_slope(name, "us", values)


def _measure_memory(name, build, count):
    """Return a slope with the bytes per object that `build(count)` keeps."""
    values = []
    for _repeat in range(REPEATS):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        built = build(count)
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        values.append((after - before) / count)
        del built
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
    fake_platform = platform_module.Platform()
    fake_platform.set_vms(_new_vms(count))
    view = vm_view_module.new_vm_view(
        platform_module.VmListFake(fake_platform), 1.0, 1
    )
    view.vm_by_name = {vm.name: vm for vm in fake_platform.vms}
    fleet = agents_module.new_fleet(view)
    fleet.sync()
    return fleet


def _new_report(name, number):
    return agent_messages.Report(
        agent=name,
        incarnation="0001796350000-0a1b2c3d",
        number=number,
        service="writer",
        load=agent_messages.Load(8, 5, 2, 180.5, 410.0),
        table_version=990,
        model="sheet-writer",
    )


def _measure_reports():
    fleet = _new_fleet(VM_COUNT)
    names = list(fleet.agent_by_name)
    numbers = iter(range(10**9))

    def process_report():
        number = next(numbers)
        report = _new_report(names[number % len(names)], number)
        sealed = KEY_RING.seal(messages.encode(report))
        fleet.apply_report(messages.decode_request(KEY_RING.open(sealed)))

    size = len(KEY_RING.seal(messages.encode(_new_report(names[0], 10**6))))
    return (
        _measure_time("report_cpu", process_report, 3000),
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
        agent_messages.Submit(
            agent_messages.AttemptId("e", index),
            "i",
            "s",
            5000,
            b"{}",
            organisation=f"o{index % 40}",
            row=f"r{index % 8}",
        )
        for index in range(64)
    ]

    def queue_and_dequeue():
        for submit in submits:
            record = record_module.new_record(submit)
            queue.add(fair_queue.QueuedAttempt(record, 1e9, 1e9, 100.0))
        for _submit in submits:
            queue.pop_next()

    slope = _measure_time("queue_cpu", queue_and_dequeue, 50)
    count = len(submits)
    return Slope(
        slope.name,
        slope.unit,
        slope.median / count,
        slope.low / count,
        slope.high / count,
    )


def _measure_chunks():
    tokens = ["abcd "] * TOKENS_PER_CHUNK
    chunk = agent_messages.Chunk(
        "started", 100, tokens, load=agent_messages.Load()
    )

    def encode_and_decode():
        sealed = KEY_RING.seal(messages.encode(chunk))
        messages.decode_reply(KEY_RING.open(sealed))

    return _measure_time("chunk_codec_cpu", encode_and_decode, 5000)


def _measure_organisations():
    lines = "".join(
        f'[organisation.o{index:05d}]\nplan = "standard"\n'
        for index in range(ORGANISATION_COUNT)
    ).encode()
    texts = dict(
        folder.read_folder(deployment_module.KITAMURA.get_table_folder())
    )
    texts["organisations/01"] = lines
    manifest = loader.write_manifest(1, texts)

    def build(_count):
        return loader.build_table(manifest, texts, {})

    memory_slope = _measure_memory(
        "organisation_memory", build, ORGANISATION_COUNT
    )
    cpu_slope = _measure_time(
        "organisation_cpu", lambda: build(ORGANISATION_COUNT), 2
    )
    for name in ("median", "low", "high"):
        setattr(cpu_slope, name, getattr(cpu_slope, name) / ORGANISATION_COUNT)
    size = len(lines) / ORGANISATION_COUNT
    return (
        memory_slope,
        cpu_slope,
        _new_slope("organisation_bytes", "B", [size]),
    )


def _measure_credits():
    table, _findings = folder.build_from_folder(
        deployment_module.KITAMURA.get_table_folder()
    )
    limits = table.get_limits("order", "workshop", "night")
    fake_platform = platform_module.Platform()
    view = vm_view_module.new_vm_view(
        platform_module.VmListFake(fake_platform), 1.0, 1
    )

    def build(count):
        owner = limit_owner.new_limit_owner(
            "e", "ishikari", view, None, lambda: table
        )
        entry_limits = limits_module.new_limits(
            "e", "ishikari", owner, view, None, lambda: table
        )
        for index in range(count):
            variant = msgspec.structs.replace(limits, key=f"o{index}|order|*")
            entry_limits._get_credit(variant, limit_owner.KIND_RATE)
        return entry_limits

    return _measure_memory("credit_memory", build, 2000)


def _measure_vm_list():
    body = msgspec.json.encode(platform_base.VmList(1, _new_vms(VM_COUNT)))

    def read_vm_list():
        decoded = msgspec.json.decode(body, type=platform_base.VmList)
        return {vm.name: vm for vm in decoded.vms}

    slope = _measure_time("vm_cpu", read_vm_list, 20)
    for name in ("median", "low", "high"):
        setattr(slope, name, getattr(slope, name) / VM_COUNT)
    return slope, _new_slope("vm_bytes", "B", [len(body) / VM_COUNT])


async def _measure_with_clock():
    """Return the slopes of code that needs trio's clock."""
    await trio.lowlevel.checkpoint()
    slopes = [*_measure_reports(), _measure_routing(), _measure_queue()]
    slopes += [_measure_chunks(), *_measure_organisations()]
    slopes += [_measure_credits(), *_measure_vm_list()]
    slopes.append(_measure_memory("agent_memory", _new_fleet, VM_COUNT))
    slopes.append(_measure_memory("record_memory", _new_records, 1000))
    return slopes


def _new_records(count):
    return [
        record_module.new_record(
            agent_messages.Submit(
                agent_messages.AttemptId("e", index),
                "i",
                "s",
                5000,
                b"x" * 400,
            )
        )
        for index in range(count)
    ]


_IMPORT_SCRIPT = """
import os, resource
from greengagetrack.command import standalone
print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
"""


def _measure_import_memory():
    """Return the peak memory of a process that only imports the daemon."""
    values = []
    for _repeat in range(REPEATS):
        completed = subprocess.run(
            [sys.executable, "-c", _IMPORT_SCRIPT],
            capture_output=True,
            text=True,
            check=True,
        )
        values.append(int(completed.stdout) / 1000)
    return _new_slope("floor_memory", "MB", values)


def _measure_fleet(entries, agents, data_centres):
    """Return the slopes of one fleet size, each from three runs."""
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


# Entries, agents and data centres of the measured fleets.
FLEET_SIZES = ((6, 24, 3), (12, 24, 3), (12, 48, 3), (12, 48, 6))


def measure():
    """Measure all slopes on this machine and return them."""
    slopes = trio.run(_measure_with_clock, clock=trio.testing.MockClock())
    slopes.append(_measure_import_memory())
    for entries, agents, data_centres in FLEET_SIZES:
        slopes += _measure_fleet(entries, agents, data_centres)
    return Measured(
        command="greengagebench capacity",
        date=datetime.date.today().isoformat(),
        machine=f"{platform.machine()}, {os.cpu_count()} cores",
        python=platform.python_version(),
        slopes={slope.name: slope for slope in slopes},
    )


def write_slopes(measured):
    """Write the slopes to docs/capacity/slopes.json."""
    SLOPES_PATH.parent.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(measured), indent=1)
    SLOPES_PATH.write_bytes(encoded + b"\n")


def read_slopes():
    """Return the slopes stored in docs/capacity/slopes.json."""
    return msgspec.json.decode(SLOPES_PATH.read_bytes(), type=Measured)
