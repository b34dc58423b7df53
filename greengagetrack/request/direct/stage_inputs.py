"""The results of the stages of one run, which its server reads as inputs."""

import trio

from greengagetrack.request.direct import graph as graph_module
from greengagetrack.request import outcome as outcome_module

SERVER_CHECK_PERIOD_S = 0.05


class StageInputs:
    """The inputs of one run: made, kept for another attempt, or freed.

    `handles` are those of the results. They are empty without stages, and
    None while there are no results::

        inputs.prepare(is_resumed=False)
        refused = await inputs.make(is_begun=False)
        if refused is None:
            send(inputs.handles)
        inputs.free()
    """

    __slots__ = (
        "_admitted",
        "_graph",
        "_predict_first_event_s",
        "_pools",
        "bytes_by_data_centre",
        "handles",
        "spent_s",
    )

    def __init__(self, admitted, pools, predict_first_event_s):
        self._admitted = admitted
        self._pools = pools
        self._predict_first_event_s = predict_first_event_s
        self._graph = None
        self.handles = None
        self.bytes_by_data_centre = {}
        self.spent_s = 0.0

    def are_usable(self):
        """Return whether a server can be sent the inputs now.

        Results that lie where the request may not go any more are made anew.
        """
        if self.handles is None or self.is_freed:
            return False
        eligibility = self._admitted.eligibility.get()
        return all(
            map(eligibility.is_allowed_place, self.bytes_by_data_centre)
        )

    @property
    def is_freed(self):
        """Return whether the servers of the stages were told to free them."""
        return self._graph is not None and self._graph.is_freed

    def prepare(self, is_resumed):
        """Take a new graph of the stages, if the route has some."""
        self.free()
        self.handles = ()
        if not self._admitted.route.stages:
            return
        self._graph = graph_module.new_stage_graph(
            self._admitted,
            self._pools,
            self._predict_first_event_s(),
            is_resumed=is_resumed,
        )

    def check_admission(self):
        """Return `Refused` if the stages would take too long, else None."""
        return self._graph.check_admission()

    async def make(self, is_begun):
        """Run the stages; return `Refused` if they fail, else None.

        `is_begun` says that the caller is reading the answer already.
        """
        started_s = trio.current_time()
        handles = await self._run_graph(is_begun)
        self.spent_s += trio.current_time() - started_s
        if isinstance(handles, outcome_module.Refused):
            return handles
        self.handles = handles
        self.bytes_by_data_centre = self._graph.get_input_bytes()
        return None

    async def _run_graph(self, is_begun):
        """Return the handles of the results of the stages, or `Refused`.

        An answer that has begun waits for servers of its stages: without
        them it would be cut.
        """
        pause_s = SERVER_CHECK_PERIOD_S
        handles = await self._graph.run()
        while is_begun and self._graph.lacks_servers:
            if not await self._wait_for_servers(pause_s):
                break
            handles = await self._graph.run()
            # A server that takes nothing is asked less and less often.
            pause_s *= 2
        return handles

    async def _wait_for_servers(self, pause_s):
        """Return whether the stages can be made in time, after a pause."""
        deadline = self._admitted.deadline
        await trio.sleep(pause_s)
        while self._predict_first_event_s() < deadline.get_left_s():
            if self._predict_made_again_s() < deadline.get_left_s():
                return True
            await trio.sleep(SERVER_CHECK_PERIOD_S)
        return False

    def predict_s(self):
        """Return the time that the stages take if all goes well."""
        return self._graph.predict_s()

    def predict_answer_s(self):
        """Return the time until another server's first event or answer."""
        if self._graph is None or self.are_usable():
            return self._predict_first_event_s()
        return self._predict_made_again_s()

    def _predict_made_again_s(self):
        """Return the same if the stages have to be made first."""
        return self._graph.predict_s() + self._predict_first_event_s()

    def get_stage_times(self):
        """Return the seconds that each stage took."""
        return () if self._graph is None else self._graph.get_stage_times()

    def free_after(self, hold_s):
        """Free the inputs in `hold_s`, unless `keep()` is called before."""
        if self.handles:
            self._graph.free_after(hold_s)

    def keep(self):
        """Keep the inputs that are not freed yet, for another attempt."""
        if self._graph is not None:
            self._graph.keep()

    def free(self):
        """Free the inputs; another attempt has to make new ones."""
        if self._graph is not None:
            self._graph.free()
        self.handles = None


def new_stage_inputs(admitted, pools, predict_first_event_s):
    """Return the inputs of an admitted request, with none made yet.

    `predict_first_event_s()` returns the seconds that a server then takes.
    """
    return StageInputs(admitted, pools, predict_first_event_s)
