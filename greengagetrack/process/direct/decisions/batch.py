"""Which of the waiting pieces go into the next call of a server.

Load pattern: a burst in which groups of pieces don't add up to full calls,
and results of earlier calls still use most of a server's memory.
"""

SPLIT_QUEUE_CALLS = 1.5


def may_split_groups(waiting_pieces, batch_max):
    """Return whether a call is filled with a part of a group.

    With few pieces waiting, a split group ends later than it would whole.
    With more than a call and a half, full calls shorten the wait of all.
    """
    return waiting_pieces > batch_max * SPLIT_QUEUE_CALLS


def pop_batch(queue, batch_max, free_bytes):
    """Remove the most urgent pieces that fit from their groups.

    `queue` is sorted by urgency. Groups that are left without pieces stay
    in it. Small results may overtake large ones that wait for memory.
    """
    waiting = sum(len(group.tasks) for group in queue)
    may_split_any = may_split_groups(waiting, batch_max)
    batch = []
    for group in queue:
        free_places = batch_max - len(batch)
        if free_places <= 0:
            break
        count = min(count_fitting(group, free_bytes), free_places)
        # Otherwise split a group only if it is too large for one call, is
        # partly sent, or starts the batch.
        may_split = (
            may_split_any
            or group.is_started
            or len(group.tasks) > batch_max
            or not batch
        )
        if not count or not (count == len(group.tasks) or may_split):
            continue
        fitting_tasks = group.tasks[:count]
        del group.tasks[:count]
        group.is_started = True
        batch += fitting_tasks
        free_bytes -= sum(task.result_bytes for task in fitting_tasks)
    return batch


def is_any_fitting(queue, free_bytes):
    """Return whether a result of any group fits into `free_bytes`."""
    return any(count_fitting(group, free_bytes) for group in queue)


def count_fitting(group, free_bytes):
    """Return how many results of a group fit into `free_bytes`."""
    result_bytes = group.tasks[0].result_bytes
    count = len(group.tasks)
    # `free_bytes` is infinite for a service that publishes no memory.
    if not result_bytes or free_bytes >= count * result_bytes:
        return count
    return max(int(free_bytes / result_bytes), 0)
