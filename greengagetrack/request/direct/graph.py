"""The stages of one request: each starts when all it needs is there."""

import math

import trio

from greengagetrack.connection import gateway
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece
from greengagetrack.request import outcome

ROUNDS_MAX = 2
GENERATION_S = 0.15
MARGIN_SHARE = 0.07
CALL_FILL = 0.7
LEFT_SHARE = 0.85
RETRY_MIN_S = 0.2
KEEP_MARGIN_S = 0.2

_Reason = outcome.Reason


class StageGraph:
    """Runs the stages of an admitted request.

    Results stay at their makers; the graph holds their handles and gives
    them back when the request is over.
    """

    __slots__ = (
        "_admitted",
        "_done",
        "_failure",
        "_is_resumed",
        "_pools",
        "_tasks",
    )

    def __init__(self, admitted, pools, is_resumed):
        self._admitted = admitted
        self._is_resumed = is_resumed
        self._pools = pools
        self._tasks = {}
        self._failure = None
        self._done = {}

    def _count_pieces(self, index):
        counts = self._admitted.request.piece_counts
        return counts[index] if index < len(counts) else 0

    def check_deadline(self):
        """Return `Refused` if the stages can't be done in time, else None."""
        left_s = self._admitted.deadline.get_left_s() - GENERATION_S
        for index, stage in enumerate(self._admitted.route.stages):
            if stage.after or not self._count_pieces(index):
                continue
            services = [stage.service, *self._get_followers(index)]
            needed_s = self._pools.predict_duration_s(services)
            if needed_s > left_s * LEFT_SHARE:
                over_s = min(needed_s, left_s * 2) - left_s * LEFT_SHARE
                return outcome.Refused(
                    _Reason.DEADLINE_UNREACHABLE,
                    f"stages need {needed_s:.2f} s, {left_s:.2f} s are left",
                    int((over_s + RETRY_MIN_S) * 1000),
                )
        return None

    async def run(self):
        """Return the handles that the request needs, or `Refused`."""
        for _round in range(ROUNDS_MAX):
            self._failure = None
            stages = self._admitted.route.stages
            self._done = {index: trio.Event() for index in range(len(stages))}
            async with trio.open_nursery() as nursery:
                for index in range(len(stages)):
                    nursery.start_soon(self._run_stage, index)
            if self._failure is None:
                return self.get_inputs()
            self.free()
            if self._failure is not gateway.PieceFailure.INPUT_GONE:
                break
        reason = _Reason.NO_CAPACITY
        if self._failure is gateway.PieceFailure.LATE:
            reason = _Reason.DEADLINE_PASSED
        return outcome.Refused(reason, f"stage: {self._failure}")

    async def _run_stage(self, index):
        stage = self._admitted.route.stages[index]
        for before in stage.after or self._get_awaited(index):
            await self._done[before].wait()
        if self._failure is None and self._count_pieces(index):
            await self._make_pieces(index, stage)
        self._done[index].set()

    def _get_awaited(self, index):
        """Return the stages that one which needs none waits for.

        Made at once, its results would only take room at their maker until
        the longest chain is done. So it starts with the last of the chain.
        """
        stages = self._admitted.route.stages
        if any(index in stage.after for stage in stages):
            return ()
        return {
            before
            for leaf in self._admitted.route.get_last_stages()
            if self._count_pieces(leaf)
            for before in stages[leaf].after
        }

    async def _make_pieces(self, index, stage):
        inputs = self._get_handles(stage.after) if stage.after else None
        rest_s = self._get_rest_s(index)
        tasks = [
            self._new_task(index, number, inputs, rest_s)
            for number in range(self._count_pieces(index))
        ]
        self._tasks[index] = tasks
        inputs_made = [
            task
            for before in stage.after
            for task in self._tasks.get(before, ())
        ]
        await self._pools.make_pieces(
            stage.service,
            tasks,
            inputs_made,
            self._get_followers(index),
            self._get_aim_s() - GENERATION_S,
        )
        for task in tasks:
            if isinstance(task.result, gateway.PieceFailure):
                self._failure = self._failure or task.result
        self._free_used(stage.after)

    def _get_followers(self, index):
        """Return the services of the stages after one, in their order."""
        for follower, stage in enumerate(self._admitted.route.stages):
            if index in stage.after and self._count_pieces(follower):
                return [stage.service, *self._get_followers(follower)]
        return []

    def _free_used(self, indexes):
        """Give back the results whose followers all have theirs."""
        stages = self._admitted.route.stages
        for index in indexes:
            followers = [
                follower
                for follower, stage in enumerate(stages)
                if index in stage.after and self._count_pieces(follower)
            ]
            if all(self._is_made(follower) for follower in followers):
                self._free_stages([index])

    def _is_made(self, index):
        tasks = self._tasks.get(index, ())
        return bool(tasks) and all(task.done.is_set() for task in tasks)

    def _new_task(self, index, number, inputs, rest_s):
        request = self._admitted.request
        task = piece.PieceTask(
            request.log_id, index, number, request.piece_key, inputs
        )
        # A piece is of no use later than this, nor when its inputs are
        # gone: such pieces would take the places of others in a call.
        at_s = self._admitted.deadline.at_s - rest_s
        task.deadline = deadline_module.Deadline(
            min(at_s, self._get_inputs_end_s(index))
        )
        task.due_s = self._get_aim_s() - rest_s
        task.priority = self._admitted.priority
        # Somebody reads this answer already, and waits for the rest.
        task.is_resumed = self._is_resumed
        stage = self._admitted.route.stages[index]
        task.result_bytes = stage.result_bytes
        return task

    def _get_inputs_end_s(self, index):
        """Return until when the makers keep the inputs of a stage."""
        stages = self._admitted.route.stages
        end_s = math.inf
        for before in stages[index].after:
            batching = self._pools.get_batching(stages[before].service)
            if batching is None or not batching.keep_s:
                continue
            for task in self._tasks.get(before, ()):
                kept_s = task.completed_s + batching.keep_s - KEEP_MARGIN_S
                end_s = min(end_s, kept_s)
        return end_s

    def _get_aim_s(self):
        """Return when the answer should begin, with some time to spare.

        Under overload what is due first goes first, and all of it ends
        just when it is due: without a margin, just too late.
        """
        margin_s = self._admitted.route.aim_ms / 1000 * MARGIN_SHARE
        return self._admitted.aim_at_s - margin_s

    def _get_rest_s(self, index):
        """Return the usual time of what follows a stage."""
        rest_s = GENERATION_S
        for follower, stage in enumerate(self._admitted.route.stages):
            if index in stage.after:
                call_s = self._pools.get_call_s(stage.service, CALL_FILL)
                call_s += self._pools.get_shortest_wait_s(stage.service)
                rest_s = max(rest_s, call_s + self._get_rest_s(follower))
        return rest_s

    def _get_handles(self, indexes):
        return tuple(
            task.result
            for index in indexes
            for task in self._tasks.get(index, ())
        )

    def get_inputs(self):
        """Return the handles of all pieces that no other stage follows."""
        last = self._admitted.route.get_last_stages()
        return self._get_handles(
            [index for index in last if self._count_pieces(index)]
        )

    def get_input_bytes(self):
        """Return how many bytes of the inputs lie in each data centre."""
        bytes_by_centre = {}
        for index in self._admitted.route.get_last_stages():
            for task in self._tasks.get(index, ()):
                if task.pool is not None:
                    centre = task.pool.data_centre
                    before = bytes_by_centre.get(centre, 0)
                    bytes_by_centre[centre] = before + task.result_bytes
        return bytes_by_centre

    def free(self):
        """Give all results back to their makers."""
        self._free_stages(list(self._tasks))

    def _free_stages(self, indexes):
        for index in indexes:
            self._pools.free_results(self._tasks.pop(index, ()))


def new_stage_graph(admitted, pools, is_resumed=False):
    """Return the graph of an admitted request, with nothing made yet.

    `is_resumed` says that its answer had begun and has to go on.
    """
    return StageGraph(admitted, pools, is_resumed)
