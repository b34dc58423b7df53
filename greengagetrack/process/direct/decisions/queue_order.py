"""The order in which waiting groups of pieces go into calls.

Load pattern: a burst of several kinds that asks a pool for more than full
calls give. Ordered by due time alone, all kinds end just too late, and what
was made for their first stages is thrown away.
"""

PRIORITY_STEP_CALLS = 2.0
LATE_SLACK_S = 0.05


def is_late(due_s, call_s, now_s):
    """Return whether a call that starts now would end after the due time."""
    return now_s + call_s > due_s + LATE_SLACK_S


def get_rank(group, call_s, now_s, excess_kinds):
    """Return the sort key of a group; the lowest goes first.

    The rest of a group that is partly in a call goes first, since its
    results only use memory until then. Kinds that ask for no more than
    their share of the pool go by due time, and before the others. For these,
    a level of priority counts as much as a due time that is
    `PRIORITY_STEP_CALLS` calls earlier. What can't be in time any more takes
    what is left, and of that first what has used other servers already.
    """
    task = group.tasks[0]
    is_excess = group.flow.kind in excess_kinds
    priority = task.priority if is_excess else 0
    is_group_late = is_late(task.due_s, call_s, now_s)
    wanted_s = task.deadline.at_s if is_group_late else task.due_s
    return (
        not group.is_started,
        is_group_late,
        is_group_late and task.inputs is None,
        is_excess,
        wanted_s + PRIORITY_STEP_CALLS * call_s * priority,
    )


def find_unreachable(queue, forecast, arrivals_per_s, call_s, now_s):
    """Return the groups whose work can't begin before their deadline.

    `queue` is sorted, and the work of a call begins `forecast.start_s`
    after its turn. A group that can't be in time waits for all that
    arrives meanwhile; one that is partly in a call is completed.
    """
    unreachable_groups = []
    ahead = 0
    for group in queue:
        task = group.tasks[0]
        is_group_late = is_late(task.due_s, call_s, now_s)
        wait_s = forecast.get_wait_s(
            ahead, arrivals_per_s if is_group_late else 0.0
        )
        start_s = now_s + wait_s + forecast.start_s
        if start_s > task.deadline.at_s and not group.is_started:
            unreachable_groups.append(group)
        else:
            ahead += len(group.tasks)
    return unreachable_groups
