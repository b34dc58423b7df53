"""The stages of one request; each starts when its inputs are ready."""

import math

import trio

from greengagetrack.connection import gateway
from greengagetrack.process.direct.decisions import admission
from greengagetrack.process.direct.decisions import forecast
from greengagetrack.process.direct.decisions import return_time
from greengagetrack.process.direct import pools as pools_module
from greengagetrack.request import deadline as deadline_module
from greengagetrack.request.direct import piece
from greengagetrack.request import outcome

RUNS_MAX = 2
TARGET_MARGIN_FACTOR = 0.07
CALL_FILL_RATIO = 0.7
KEEP_MARGIN_S = 0.2

_Reason = outcome.Reason


class StageGraph:
    """The graph of the stages of an admitted request.

    Results stay on the servers that computed them; the graph holds their
    handles and frees them when the request has ended.
    """

    __slots__ = (
        "_admitted",
        "_done",
        "_failure",
        "_free_scope",
        "_generation_s",
        "_is_resumed",
        "_pools",
        "_seconds_by_stage",
        "_tasks",
        "is_freed",
    )

    def __init__(self, admitted, pools, generation_s, is_resumed):
        self._admitted = admitted
        self._generation_s = generation_s
        self._is_resumed = is_resumed
        self._pools = pools
        self._tasks = {}
        self._failure = None
        self._free_scope = trio.CancelScope()
        self._done = {}
        self._seconds_by_stage = {}
        self.is_freed = False

    def _count_pieces(self, index):
        counts = self._admitted.request.piece_counts
        return counts[index] if index < len(counts) else 0

    def check_admission(self):
        """Return `Refused` if the stages would take too long, else None."""
        chains = self._get_chains()
        if not chains:
            return None
        prospect = self._predict(chains)
        if admission.decide(prospect) is not admission.Verdict.REFUSED:
            return None
        return self._refuse(
            _Reason.DEADLINE_UNREACHABLE,
            f"stages need {prospect.late_needed_s:.2f} s, "
            f"{prospect.deadline_left_s:.2f} s are left",
        )

    def _get_chains(self):
        """Return the services of each chain of stages."""
        return [
            [stage.service, *self._get_dependent_services(index)]
            for index, stage in enumerate(self._admitted.route.stages)
            if not stage.after and self._count_pieces(index)
        ]

    def predict_s(self):
        """Return the time that the stages will take if all goes well."""
        chains = self._get_chains()
        if not chains:
            return 0.0
        return self._predict_needed_s(chains, self._admitted.flow)

    def _predict(self, chains):
        admitted = self._admitted
        now = trio.current_time()
        return admission.Prospect(
            needed_s=self._predict_needed_s(chains, admitted.flow),
            late_needed_s=self._predict_needed_s(chains, forecast.LATE),
            target_left_s=admitted.target_time_s - now - self._generation_s,
            deadline_left_s=admitted.deadline.get_left_s()
            - self._generation_s,
            target_s=admitted.route.target_ms / 1000,
        )

    def _predict_needed_s(self, chains, flow):
        return max(
            self._pools.predict_duration_s(
                services, flow, self._admitted.eligibility.get()
            )
            for services in chains
        )

    def _refuse(self, reason, detail):
        """Return a refusal with a time at which the request can be served."""
        route = self._admitted.route
        waits = [
            self._get_shortest_wait_s(stage, forecast.LATE)
            for stage in route.stages
        ]
        service_s = self._generation_s + sum(
            self._pools.get_call_s(stage.service, 1.0)
            for stage in route.stages
        )
        return_s = return_time.get_return_s(
            max(waits, default=0.0),
            service_s,
            self._admitted.deadline.get_left_s(),
            self._pools.generator,
        )
        return outcome.Refused(reason, detail, int(return_s * 1000))

    def _get_shortest_wait_s(self, stage, flow):
        return self._pools.get_shortest_wait_s(
            stage.service, flow, self._admitted.eligibility.get()
        )

    @property
    def lacks_servers(self):
        """Return whether the last run failed as no server took a piece."""
        return self._failure in pools_module.RETRIABLE_FAILURES

    async def run(self):
        """Run all stages; return the handles of their results or `Refused`."""
        for _run in range(RUNS_MAX):
            self._failure = None
            stages = self._admitted.route.stages
            self._done = {index: trio.Event() for index in range(len(stages))}
            async with trio.open_nursery() as nursery:
                for index in range(len(stages)):
                    nursery.start_soon(self._run_stage, index)
            if self._failure is None:
                return self.get_inputs()
            self._free_stages(list(self._tasks))
            if self._failure is not gateway.PieceFailure.INPUT_GONE:
                break
        reason = _Reason.NO_CAPACITY
        if self._failure is gateway.PieceFailure.LATE:
            reason = _Reason.DEADLINE_PASSED
        return self._refuse(reason, f"stage: {self._failure}")

    async def _run_stage(self, index):
        stage = self._admitted.route.stages[index]
        for dependency in stage.after or self._get_start_dependencies(index):
            await self._done[dependency].wait()
        if self._failure is None and self._count_pieces(index):
            started_s = trio.current_time()
            await self._make_pieces(index, stage)
            spent_s = trio.current_time() - started_s
            self._seconds_by_stage[index] = spent_s
        self._done[index].set()

    def get_stage_times(self):
        """Return the seconds that each stage took, 0 if it has no pieces."""
        return tuple(
            self._seconds_by_stage.get(index, 0.0)
            for index in range(len(self._admitted.route.stages))
        )

    def _get_start_dependencies(self, index):
        """Return the stages that a stage without inputs waits for.

        If no other stage depends on it, its results would take up memory on
        the server until the other chains are done. So it starts together
        with the final stages of the other chains.
        """
        stages = self._admitted.route.stages
        if any(index in stage.after for stage in stages):
            return ()
        return {
            dependency
            for final in self._admitted.route.get_final_stages()
            if self._count_pieces(final)
            for dependency in stages[final].after
        }

    async def _make_pieces(self, index, stage):
        inputs = self._get_handles(stage.after) if stage.after else None
        downstream_s = self._get_downstream_s(index)
        target_s = self._get_target_s()
        # Later than this, or once its inputs have expired, a piece is of no
        # use and would only take the place of another one in a call.
        last_s = min(
            self._admitted.deadline.at_s - downstream_s,
            self._get_inputs_expiry_s(index),
        )
        tasks = [
            self._new_task(
                index, number, inputs, target_s - downstream_s, last_s
            )
            for number in range(self._count_pieces(index))
        ]
        self._tasks[index] = tasks
        input_tasks = [
            task
            for dependency in stage.after
            for task in self._tasks.get(dependency, ())
        ]
        input_servers = self._get_last_read_servers(index, input_tasks)
        for task in tasks:
            task.input_servers = input_servers
        await self._pools.make_pieces(
            stage.service,
            tasks,
            input_tasks,
            self._get_dependent_services(index),
            target_s - self._generation_s,
        )
        for task in tasks:
            if isinstance(task.result, gateway.PieceFailure):
                self._failure = self._failure or task.result
        self._free_consumed(stage.after)

    def _get_dependent_services(self, index):
        """Return the services of the chain of stages after a stage."""
        for dependent, stage in enumerate(self._admitted.route.stages):
            if index in stage.after and self._count_pieces(dependent):
                return [
                    stage.service,
                    *self._get_dependent_services(dependent),
                ]
        return []

    def _get_dependents(self, index):
        """Return the stages with pieces that read the results of a stage."""
        return [
            dependent
            for dependent, stage in enumerate(self._admitted.route.stages)
            if index in stage.after and self._count_pieces(dependent)
        ]

    def _get_last_read_servers(self, index, input_tasks):
        """Return the ids of the servers of inputs that no other stage reads.

        There are none if another one reads some of the inputs.
        """
        after = self._admitted.route.stages[index].after
        if any(self._get_dependents(stage) != [index] for stage in after):
            return ()
        if any(task.server is None for task in input_tasks):
            return ()
        return tuple(task.server.server_id for task in input_tasks)

    def _free_consumed(self, indexes):
        """Free the results of stages whose dependents are all complete."""
        for index in indexes:
            dependents = self._get_dependents(index)
            if all(self._is_complete(dependent) for dependent in dependents):
                self._free_stages([index])

    def _is_complete(self, index):
        tasks = self._tasks.get(index, ())
        return bool(tasks) and all(task.done.is_set() for task in tasks)

    def _new_task(self, index, number, inputs, due_s, last_s):
        request = self._admitted.request
        task = piece.PieceTask(
            request.log_id, index, number, request.piece_key, inputs
        )
        task.deadline = deadline_module.Deadline(last_s)
        task.due_s = due_s
        task.eligibility = self._admitted.eligibility
        task.kind = self._admitted.route.name
        task.priority = self._admitted.queue_priority
        # The caller is already reading this answer and waits for the rest.
        task.is_resumed = self._is_resumed
        stage = self._admitted.route.stages[index]
        task.result_bytes = stage.result_bytes
        return task

    def _get_inputs_expiry_s(self, index):
        """Return when the first input of a stage expires on its server."""
        stages = self._admitted.route.stages
        first_expiry_s = math.inf
        for dependency in stages[index].after:
            batching = self._pools.get_batching(stages[dependency].service)
            if batching is None or not batching.result_ttl_s:
                continue
            for task in self._tasks.get(dependency, ()):
                expiry_s = (
                    task.completed_s + batching.result_ttl_s - KEEP_MARGIN_S
                )
                first_expiry_s = min(first_expiry_s, expiry_s)
        return first_expiry_s

    def _get_target_s(self):
        """Return the target time of the answer, less a safety margin.

        Pieces are ordered by due time. Under overload they all complete
        just when they are due, which without a margin is just too late.
        """
        margin_s = self._admitted.route.target_ms / 1000 * TARGET_MARGIN_FACTOR
        return self._admitted.target_time_s - margin_s

    def _get_downstream_s(self, index):
        """Return the usual time of the steps after a stage."""
        downstream_s = self._generation_s
        for dependent, stage in enumerate(self._admitted.route.stages):
            if index in stage.after:
                call_s = self._pools.get_call_s(stage.service, CALL_FILL_RATIO)
                call_s += self._get_shortest_wait_s(stage, self._admitted.flow)
                downstream_s = max(
                    downstream_s, call_s + self._get_downstream_s(dependent)
                )
        return downstream_s

    def _get_handles(self, indexes):
        return tuple(
            task.result
            for index in indexes
            for task in self._tasks.get(index, ())
        )

    def get_inputs(self):
        """Return the handles of the results of the final stages."""
        final_indexes = self._admitted.route.get_final_stages()
        return self._get_handles(
            [index for index in final_indexes if self._count_pieces(index)]
        )

    def get_input_bytes(self):
        """Return the number of input bytes in each data centre."""
        bytes_by_data_centre = {}
        for index in self._admitted.route.get_final_stages():
            for task in self._tasks.get(index, ()):
                if task.pool is not None:
                    data_centre = task.pool.data_centre
                    total = bytes_by_data_centre.get(data_centre, 0)
                    bytes_by_data_centre[data_centre] = (
                        total + task.result_bytes
                    )
        return bytes_by_data_centre

    def free(self):
        """Free all results on the servers that hold them."""
        self.is_freed = True
        self._free_stages(list(self._tasks))

    def free_after(self, hold_s):
        """Free all results in `hold_s`, unless `keep()` is called before."""
        self._free_scope = trio.CancelScope()
        self._pools.start_task(self._free_after, hold_s, self._free_scope)

    async def _free_after(self, hold_s, scope):
        with scope:
            await trio.sleep(hold_s)
            self.free()

    def keep(self):
        """Keep the results that are not freed yet, for another attempt."""
        self._free_scope.cancel()

    def _free_stages(self, indexes):
        for index in indexes:
            self._pools.free_results(self._tasks.pop(index, ()))


def new_stage_graph(admitted, pools, generation_s, is_resumed=False):
    """Return the graph of an admitted request, with no stage run yet.

    `generation_s` is the time that is kept for the server after the stages,
    `is_resumed` says that an answer was started and has to be continued.
    """
    return StageGraph(admitted, pools, generation_s, is_resumed)
