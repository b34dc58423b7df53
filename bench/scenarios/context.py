"""The state that the steps of one scenario share."""

from bench import deployment as deployment_module
from bench import runtime as runtime_module
from bench.standins import records as records_module
from bench import virtual
from greengagetrack.request import outcome as outcome_module

import msgspec

# A document with an unknown key, so every process rejects its table.
BROKEN_DOCUMENT = b"[pipeline.broken]\nstage = []\ndeadline = 5\n"


class TrackedRequest:
    """A caller's request, and the outcomes of its attempts."""

    def __init__(self, request, region, tokens):
        self.request = request
        self.region = region
        self.expected_tokens = tokens
        self.outcomes = []
        self.tokens = []
        self.has_gap_or_repeat = False

    def receive_tokens(self, offset, tokens):
        """Append streamed tokens; record whether a gap or repeat occurs."""
        if offset != len(self.tokens):
            self.has_gap_or_repeat = True
        self.tokens += tokens


class Scenario:
    """A running cluster and the requests that were sent to it."""

    def __init__(self):
        self.runtime = runtime_module.new_runtime()
        self.cluster = None
        self.tracked_by_name = {}

    def start(self, deployment_name, entries):
        """Start a deployment and advance 15 s, until its state is stable."""
        deployment = deployment_module.DEPLOYMENT_BY_NAME[deployment_name]

        async def start():
            self.cluster = virtual.VirtualCluster(
                self.runtime.nursery, deployment, entries
            )
            await self.cluster.start()

        self.runtime.spawn(start)
        self.runtime.advance(15)

    def send_new_request(
        self, name, organisation, region, pipeline, **options
    ):
        """Send a new request without waiting for its outcome."""
        request = self.cluster.new_request(
            pipeline, organisation, name, **options
        )
        tokens = self._get_expected_tokens(pipeline)
        tracked = TrackedRequest(request, region, tokens)
        self.tracked_by_name[name] = tracked
        self.send(tracked)
        return tracked

    def _get_expected_tokens(self, pipeline):
        entry = self.cluster.get_entry()
        table = entry.table_updater.get_table()
        if pipeline not in table.pipeline_by_name:
            return 0
        return table.pipeline_by_name[pipeline].stage[-1].max_tokens

    def send(self, tracked):
        """Send a request, for the first time or again."""
        entry = self.cluster.get_entry(tracked.region)
        tracked.tokens = []

        async def serve():
            outcome = await entry.serve(
                tracked.request, tracked.receive_tokens
            )
            tracked.outcomes.append(outcome)

        self.runtime.spawn(serve)

    def get_ticket(self, pipeline, organisation, region):
        """Return a ticket for an order."""
        entry = self.cluster.get_entry(region)
        tokens = []

        async def request_ticket():
            tokens.append(await entry.issue_ticket(pipeline, organisation))

        self.runtime.spawn(request_ticket)
        self.runtime.advance(1)
        assert tokens and isinstance(tokens[0], str), tokens
        return tokens[0]

    def get_outcome(self, name):
        """Return the latest outcome of a request."""
        outcomes = self.tracked_by_name[name].outcomes
        assert outcomes, f"'{name}' has no answer yet"
        return outcomes[-1]

    def check_whole(self, name):
        """Check that the latest result is complete and the caller's own."""
        tracked = self.tracked_by_name[name]
        outcome = self.get_outcome(name)
        assert isinstance(outcome, outcome_module.Whole), outcome
        assert not tracked.has_gap_or_repeat
        if tracked.expected_tokens:
            text = records_module.get_text(name, tracked.expected_tokens)
            assert "".join(tracked.tokens) == text
            assert msgspec.json.decode(outcome.result)["text"] == text
        else:
            assert msgspec.json.decode(outcome.result)["marker"] == name

    def check_outcomes(self):
        """Check all outcomes against what the servers executed."""
        for name, tracked in self.tracked_by_name.items():
            executions = self.cluster.count_executions(name)
            assert executions <= 1, f"'{name}' was executed {executions} times"
            if any(
                isinstance(outcome, outcome_module.Refused)
                for outcome in tracked.outcomes
            ):
                assert executions == 0, f"'{name}' was refused and executed"

    def run_on_node(self, name, action):
        """Run `action(cluster, node)` inside the event loop."""
        node = self.cluster.node_by_name[name]

        async def run():
            action(self.cluster, node)

        self.runtime.run(run)

    def restart_node(self, name):
        """Kill a process if it is running, and start it again."""
        node = self.cluster.node_by_name[name]

        async def restart():
            if node.is_running():
                self.cluster.kill_node(node)
            await self.cluster.start_node(node)

        self.runtime.spawn(restart)
        self.runtime.advance(0.1)

    def run_in_loop(self, function, *arguments):
        """Run a synchronous function inside the event loop."""

        async def run():
            return function(*arguments)

        return self.runtime.run(run)

    def stop(self):
        """Stop the cluster and its event loop."""
        self.runtime.stop()
