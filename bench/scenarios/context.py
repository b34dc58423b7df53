"""What the steps of one scenario share."""

from bench import deployment as deployment_module
from bench import runtime as runtime_module
from bench.standins import records as records_module
from bench import virtual
from greengagetrack.request import outcome

import msgspec

# What a step named "the table" can be refused for: a share over one.
BROKEN_DOCUMENT = b"[pipeline.broken]\nstage = []\ndeadline = 5\n"


class Conversation:
    """One caller's request, its repeats, and what came of them."""

    def __init__(self, request, region, tokens):
        self.request = request
        self.region = region
        self.expected_tokens = tokens
        self.ends = []
        self.tokens = []
        self.has_gap = False

    def take(self, offset, tokens):
        """Take streamed tokens, and note a gap or a repetition."""
        if offset != len(self.tokens):
            self.has_gap = True
        self.tokens += tokens


class Scenario:
    """A running world and the conversations with it."""

    def __init__(self):
        self.runtime = runtime_module.new_runtime()
        self.world = None
        self.conversation_by_name = {}

    def start(self, deployment_name, entries):
        """Start a deployment and let it settle."""
        deployment = deployment_module.DEPLOYMENT_BY_NAME[deployment_name]

        async def start():
            self.world = virtual.VirtualWorld(
                self.runtime.nursery, deployment, entries
            )
            await self.world.start()

        self.runtime.spawn(start)
        self.runtime.advance(15)

    def ask(self, name, organisation, region, pipeline, **more):
        """Send a request without waiting for its answer."""
        request = self.world.new_request(pipeline, organisation, name, **more)
        tokens = self._get_expected_tokens(pipeline)
        conversation = Conversation(request, region, tokens)
        self.conversation_by_name[name] = conversation
        self.send(conversation)
        return conversation

    def _get_expected_tokens(self, pipeline):
        entry = self.world.get_entry()
        table = entry.tables.get_table()
        if pipeline not in table.pipeline_by_name:
            return 0
        return table.pipeline_by_name[pipeline].stage[-1].max_tokens

    def send(self, conversation):
        """Send a request, once more if it was sent before."""
        entry = self.world.get_entry(conversation.region)
        conversation.tokens = []

        async def serve():
            end = await entry.serve(conversation.request, conversation.take)
            conversation.ends.append(end)

        self.runtime.spawn(serve)

    def get_ticket(self, pipeline, organisation, region):
        """Return a ticket for an order."""
        entry = self.world.get_entry(region)
        tokens = []

        async def ask():
            tokens.append(await entry.issue_ticket(pipeline, organisation))

        self.runtime.spawn(ask)
        self.runtime.advance(1)
        assert tokens and isinstance(tokens[0], str), tokens
        return tokens[0]

    def get_end(self, name):
        """Return the newest outcome of a conversation."""
        ends = self.conversation_by_name[name].ends
        assert ends, f"'{name}' has no answer yet"
        return ends[-1]

    def check_whole(self, name):
        """Check that the newest answer is whole and the caller's own."""
        conversation = self.conversation_by_name[name]
        end = self.get_end(name)
        assert isinstance(end, outcome.Whole), end
        assert not conversation.has_gap
        if conversation.expected_tokens:
            text = records_module.get_text(name, conversation.expected_tokens)
            assert "".join(conversation.tokens) == text
            assert msgspec.json.decode(end.result)["text"] == text
        else:
            assert msgspec.json.decode(end.result)["marker"] == name

    def check_honest(self):
        """Check every outcome so far against the executions."""
        for name, conversation in self.conversation_by_name.items():
            orders = self.world.count_orders(name)
            assert orders <= 1, f"'{name}' was executed {orders} times"
            if any(isinstance(e, outcome.Refused) for e in conversation.ends):
                assert orders == 0, f"'{name}' was refused and executed"

    def act_on_node(self, name, action):
        """Run `action(world, node)` inside the loop."""
        node = self.world.node_by_name[name]

        async def act():
            action(self.world, node)

        self.runtime.run(act)

    def restart_node(self, name):
        """Kill a process if it lives, and start its successor."""
        node = self.world.node_by_name[name]

        async def restart():
            if node.is_running():
                self.world.kill_node(node)
            await self.world.start_node(node)

        self.runtime.spawn(restart)
        self.runtime.advance(0.1)

    def call(self, function, *arguments):
        """Run a plain function inside the loop."""

        async def run():
            return function(*arguments)

        return self.runtime.run(run)

    def stop(self):
        """End the world."""
        self.runtime.stop()
