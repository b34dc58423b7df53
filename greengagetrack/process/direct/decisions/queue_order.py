"""The order in which waiting groups of pieces go into calls.

Load pattern: a burst of several kinds that asks a pool for more than full
calls give. Ordered by due time alone, all kinds end just too late, and what
was made for their first stages is thrown away.
"""

PRIORITY_STEP_CALLS = 2.0
LATE_SLACK_S = 0.05
SPLIT_QUEUE_CALLS = 1.5


def is_late(due_s, call_s, now_s):
    """Return whether a call that starts now would end after the due time."""
    return now_s + call_s > due_s + LATE_SLACK_S


def get_rank(group, call_s, now_s):
    """Return the sort key of a group; the lowest goes first.

    The rest of a group that is partly in a call goes first, since its
    results only use memory until then. A level of priority counts as much
    as a due time that is `PRIORITY_STEP_CALLS` calls earlier: in calm the
    due time decides, in a burst the priority. What can't be in time any more
    takes what is left, and of that first what has used other servers already.
    """
    task = group.tasks[0]
    is_group_late = is_late(task.due_s, call_s, now_s)
    wanted_s = task.deadline.at_s if is_group_late else task.due_s
    return (
        not group.is_started,
        is_group_late,
        is_group_late and task.inputs is None,
        wanted_s + PRIORITY_STEP_CALLS * call_s * task.priority,
    )


def may_split_groups(waiting_pieces, batch_max):
    """Return whether a call is filled with a part of a group.

    With few pieces waiting, a split group ends later than it would whole.
    With more than a call and a half, full calls shorten the wait of all.
    """
    return waiting_pieces > batch_max * SPLIT_QUEUE_CALLS
