"""Tests of which pieces go into the next call."""

import math

from greengagetrack.process.direct.decisions import batch
from greengagetrack.process.direct import group as group_module
from greengagetrack.request.direct import piece as piece_module


def _new_group(count, size_bytes=10):
    tasks = []
    for number in range(count):
        task = piece_module.PieceTask("request", 0, number, "key", None)
        task.result_bytes = size_bytes
        tasks.append(task)
    return group_module.PieceGroup(tasks)


def test_groups_are_split_with_more_than_a_call_and_a_half_waiting():
    assert not batch.may_split_groups(15, 10)
    assert batch.may_split_groups(16, 10)


def test_no_call_takes_more_results_than_the_memory_holds():
    large, small = _new_group(4, 300), _new_group(3, 10)
    popped = batch.pop_batch([large, small], 10, 630)
    assert [task.result_bytes for task in popped] == [300, 300, 10, 10, 10]
    assert len(large.tasks) == 2
    assert large.is_started


def test_memory_without_a_limit_raises_nothing():
    group = _new_group(3)
    assert batch.count_fitting(group, math.inf) == 3
    assert len(batch.pop_batch([group], 10, math.inf)) == 3
