"""Changed settings of a node that runs."""

import json
import logging
import os
import signal

import msgspec
import pytest
import trio

from greengagetrack.platform import settings as settings_module
from tests.direct import test_site

KIB = 1024
WAIT_S = 0.3


def change_file(tmp_path, **sections):
    """Change sections of the node file in place."""
    path = tmp_path / "node-0.json"
    node_file = json.loads(path.read_text())
    for name, values in sections.items():
        if isinstance(values, dict):
            values = {**node_file.get(name, {}), **values}
        node_file[name] = values
    path.write_text(json.dumps(node_file))


async def reload():
    """Let the process read its node file again."""
    os.kill(os.getpid(), signal.SIGHUP)
    await trio.sleep(WAIT_S)


def _can_retry_each(entry):
    """Return whether the retries are allowed that 20 first attempts need."""
    budget = entry._services.budgets.get("svc")
    for _attempt in range(20):
        budget.count_first_attempt()
    return all(budget.try_acquire() for _retry in range(20))


def _can_hold(entry, size):
    answer = entry._services.held_bytes.new_answer("server-1")
    has_room = answer.resize(size)
    answer.resize(0)
    return has_room


@pytest.mark.parametrize(
    ("sections", "read", "before", "after"),
    [
        (
            {"bounds": {"revoke_ms": 2500}},
            lambda entry: entry.lease.bound_s,
            4.0,
            2.0,
        ),
        (
            {"bounds": {"budget_ratio": 2}},
            _can_retry_each,
            False,
            True,
        ),
        (
            {"bounds": {"budget_slack": 10000}},
            _can_retry_each,
            False,
            True,
        ),
        (
            {"limits": {"memory_mb": 1}},
            lambda entry: _can_hold(entry, 100 * KIB),
            True,
            False,
        ),
        (
            {"limits": {"cores": 2, "cpu_share": 0.25}},
            lambda entry: entry.peers.members.weight,
            1.0,
            0.5,
        ),
    ],
)
def test_changed_bound_is_in_force_after_a_reload(
    tmp_path, sections, read, before, after
):
    async def check(site, nodes, nursery):
        assert read(nodes[0].entry) == before
        change_file(tmp_path, **sections)
        await reload()
        assert read(nodes[0].entry) == after

    test_site.run_with_nodes(tmp_path, check)


def test_window_of_the_retry_budget_changes(tmp_path):
    async def check(site, nodes, nursery):
        entry = nodes[0].entry
        assert not _can_retry_each(entry)
        budget = entry._services.budgets.get("svc")
        assert not budget.is_available()
        change_file(tmp_path, bounds={"budget_window_s": 0.1})
        await reload()
        assert budget.is_available()

    test_site.run_with_nodes(tmp_path, check)


@pytest.mark.parametrize("name", ["drain_ms", "config_apply_ms"])
def test_bound_on_changes_is_in_force_after_a_reload(tmp_path, name):
    """A poll that waits for the time of the last bound is no longer late."""

    async def check(site, nodes, nursery):
        # Polls follow the bound on keys as well.
        long_ms = dict.fromkeys(
            ("revoke_ms", "drain_ms", "config_apply_ms"), 60000
        )
        change_file(tmp_path, bounds=long_ms)
        await reload()
        await trio.sleep(1.2)
        calls = site.store.calls
        await trio.sleep(1.2)
        assert site.store.calls == calls
        change_file(tmp_path, bounds={name: 500})
        await reload()
        await trio.sleep(0.5)
        assert site.store.calls > calls + 1

    test_site.run_with_nodes(tmp_path, check)


def _get_reloads(caplog):
    return [
        record
        for record in caplog.records
        if record.getMessage() == "settings reload"
    ]


def test_reload_says_what_needs_a_restart(tmp_path, caplog):
    caplog.set_level(logging.INFO)

    async def check(site, nodes, nursery):
        seeds = ["127.0.0.1:1"]
        change_file(tmp_path, seeds=seeds, bounds={"revoke_ms": 3000})
        await reload()
        record = _get_reloads(caplog)[-1]
        assert (record.levelname, record.outcome) == ("WARNING", "changed")
        assert record.changed == ("bounds.revoke_ms",)
        assert record.needs_restart == ("seeds",)
        # It still does.
        await reload()
        record = _get_reloads(caplog)[-1]
        assert (record.levelname, record.outcome) == ("WARNING", "unchanged")
        assert record.needs_restart == ("seeds",)

    test_site.run_with_nodes(tmp_path, check)


def test_unreadable_settings_leave_those_in_force_whole(tmp_path, caplog):
    caplog.set_level(logging.INFO)

    async def check(site, nodes, nursery):
        entry = nodes[0].entry
        change_file(
            tmp_path,
            bounds={
                "revoke_ms": 3000,
                "budget_slack": 10000,
                "budget_ratio": -1,
            },
        )
        await reload()
        record = _get_reloads(caplog)[-1]
        assert (record.levelname, record.outcome) == ("ERROR", "failed")
        assert "node-0.json" in record.detail
        assert "budget_ratio" in record.detail
        assert entry.lease.bound_s == 4.0
        assert not _can_retry_each(entry)

    test_site.run_with_nodes(tmp_path, check)


def test_each_bound_is_reloaded():
    names = {
        f"bounds.{field.name}"
        for field in msgspec.structs.fields(settings_module.Bounds)
    }
    assert names <= set(settings_module.RELOADED_SETTINGS)
