"""The steps that scenarios are made of; docs/ref/scenarios.md lists them.

This is a pytest plugin: a feature file needs no Python of its own.
"""

import pytest
import pytest_bdd
import trio

from bench.scenarios import context
from greengagetrack.request import outcome

given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then
parse = pytest_bdd.parsers.parse


@pytest.fixture
def scenario():
    """Return the scenario's world; end it and check it afterwards."""
    shared = context.Scenario()
    yield shared
    try:
        if shared.world is not None:
            shared.check_honest()
    finally:
        shared.stop()


@given(parse("the {deployment} fleet"))
def start_fleet(scenario, deployment):
    """Start a deployment with one entry in each region."""
    scenario.start(deployment, 1)


@given(parse("the {deployment} fleet with {count:d} entries a region"))
def start_fleet_with_entries(scenario, deployment, count):
    """Start a deployment with several entries in each region."""
    scenario.start(deployment, count)


@when(parse('{organisation} in {region} asks {pipeline} as "{name}"'))
def ask(scenario, organisation, region, pipeline, name):
    """Send a request."""
    scenario.ask(name, organisation, region, pipeline)


@when(
    parse(
        "{organisation} in {region} asks {pipeline} "
        'within {budget_ms:d} ms as "{name}"'
    )
)
def ask_within(scenario, organisation, region, pipeline, budget_ms, name):
    """Send a request with a deadline of its own."""
    scenario.ask(name, organisation, region, pipeline, budget_ms=budget_ms)


@when(
    parse(
        '{organisation} in {region} asks {pipeline} with a ticket as "{name}"'
    )
)
def ask_with_ticket(scenario, organisation, region, pipeline, name):
    """Get a ticket and send an order with it."""
    ticket = scenario.get_ticket(pipeline, organisation, region)
    scenario.ask(name, organisation, region, pipeline, ticket=ticket)


@when(
    parse(
        "{organisation} in {region} asks {pipeline} "
        'with the key {key} as "{name}"'
    )
)
def ask_with_key(scenario, organisation, region, pipeline, key, name):
    """Send an order with an Idempotency-Key."""
    scenario.ask(name, organisation, region, pipeline, idempotency_key=key)


@when(parse('"{name}" is repeated'))
def repeat(scenario, name):
    """Send the same request again at the same entry."""
    scenario.send(scenario.conversation_by_name[name])


@when(parse('"{name}" is repeated in {region}'))
def repeat_in(scenario, name, region):
    """Send the same request again at an entry of another region."""
    conversation = scenario.conversation_by_name[name]
    conversation.region = region
    scenario.send(conversation)


@when(parse("{seconds:g} seconds pass"))
@when(parse("{seconds:g} second passes"))
def let_pass(scenario, seconds):
    """Let time pass on the mock clock."""
    scenario.runtime.advance(seconds)


@when(parse("the process {name} crashes"))
def crash(scenario, name):
    """End a process at once."""
    scenario.act_on_node(name, lambda world, node: world.kill_node(node))


@when(parse("the process {name} restarts"))
def restart(scenario, name):
    """End a process, if it lives, and start its successor."""
    scenario.restart_node(name)


@when(parse("the process {name} is frozen"))
def freeze(scenario, name):
    """Hold everything that a process is told or says."""
    scenario.act_on_node(
        name, lambda world, node: world.network.freeze(node.vm.address)
    )


@when(parse("the process {name} wakes"))
def thaw(scenario, name):
    """Let everything go on that was held."""
    scenario.act_on_node(
        name, lambda world, node: world.network.thaw(node.vm.address)
    )


@when(parse("the process {name} starts draining"))
def drain(scenario, name):
    """Ask a process to shut down gracefully."""
    scenario.act_on_node(
        name, lambda world, node: node.process.start_draining()
    )


@when(parse("the VM list says that {name} is leaving"))
def leave(scenario, name):
    """Mark a VM as leaving in the VM list."""
    scenario.call(scenario.world.mark_leaving, name)


@when(parse("the VM list drops {name}"))
def drop(scenario, name):
    """Take a VM out of the VM list: it is dead."""

    def act():
        del scenario.world.node_by_name[name]
        scenario.world.publish_vms()

    scenario.call(act)


@when(parse("the VM list is down"))
def list_down(scenario):
    """Let the VM list give no answers."""
    scenario.world.platform.is_list_down = True


@when(parse("the backend server {name} dies"))
def backend_dies(scenario, name):
    """Break a backend server, in the middle of its work."""
    scenario.world.server_by_name[name].condition.is_dead = True


@when(parse("the backend server {name} is back"))
def backend_back(scenario, name):
    """Let a backend server work again."""
    scenario.world.server_by_name[name].condition.is_dead = False


@when(parse("the backend server {name} fails its calls"))
def backend_fails(scenario, name):
    """Let a backend server answer with errors."""
    scenario.world.server_by_name[name].condition.is_failing = True


@when(parse("the backend server {name} refuses its calls"))
def backend_refuses(scenario, name):
    """Let a backend server refuse without executing."""
    scenario.world.server_by_name[name].condition.is_refusing = True


@when(parse("the backend server {name} is {factor:g} times slower"))
def backend_slow(scenario, name, factor):
    """Slow a backend server down."""
    scenario.world.server_by_name[name].condition.slow_factor = factor


@when(parse("the backend server {name} says that it is leaving"))
def backend_leaves(scenario, name):
    """Let a backend server report that it is leaving."""
    scenario.world.server_by_name[name].condition.is_leaving = True


@when(parse("{region} and {other} are cut off from each other"))
def cut_regions(scenario, region, other):
    """Let nothing through between two regions."""
    scenario.call(scenario.world.cut, region, other)


@when(parse("nothing gets from {name} to {other}"))
def cut_way(scenario, name, other):
    """Cut the connection of two processes."""
    nodes = scenario.world.node_by_name
    scenario.world.network.cut(nodes[name].vm.address, nodes[other].vm.address)


@when("all links are whole again")
def heal(scenario):
    """Let everything through again."""
    scenario.world.network.heal()


@when(parse("the next {count:d} answers between processes are lost"))
def lose_answers(scenario, count):
    """Lose answers on their way."""
    scenario.world.network.faults.lose_answers = count


@when(parse("the next {count:d} questions between processes are lost"))
def lose_questions(scenario, count):
    """Lose questions on their way."""
    scenario.world.network.faults.lose_questions = count


@when(parse("the next {count:d} questions between processes come twice"))
def repeat_questions(scenario, count):
    """Deliver questions a second time, later."""
    scenario.world.network.faults.repeat_questions = count


@when("the table is published again")
def publish(scenario):
    """Publish the next version of the table."""
    scenario.call(scenario.world.publish_table)


@when("a table with an error is published")
def publish_broken(scenario):
    """Publish a version that no process may take."""
    documents = dict(scenario.world.text_by_key)
    documents["broken"] = context.BROKEN_DOCUMENT
    scenario.call(scenario.world.publish_table, documents)


@when("the configuration service is down")
def config_down(scenario):
    """Let the configuration service give no answers."""
    scenario.world.platform.is_config_down = True


@when("the configuration service is back")
def config_back(scenario):
    """Let the configuration service answer again."""
    scenario.world.platform.is_config_down = False


@when("the configuration service answers from an old copy")
def config_stale(scenario):
    """Freeze what readers of the configuration service see."""
    scenario.call(scenario.world.platform.set_stale, True)


@when("the configuration service comes back with version 1")
def config_reset(scenario):
    """Reset the service's revisions and the table's version."""
    scenario.call(scenario.world.platform.reset, scenario.world.text_by_key)


@then(parse('"{name}" is answered whole'))
def is_whole(scenario, name):
    """Check that the caller has its own whole answer."""
    scenario.check_whole(name)


@then(parse('"{name}" is refused with {reason}'))
def is_refused(scenario, name, reason):
    """Check that the caller was told "not run", and why."""
    end = scenario.get_end(name)
    assert isinstance(end, outcome.Refused), end
    assert end.reason == reason


@then(parse('"{name}" is unknown with {reason}'))
def is_unknown(scenario, name, reason):
    """Check that the caller was told "unknown", and why."""
    end = scenario.get_end(name)
    assert isinstance(end, outcome.Unknown), end
    assert end.reason == reason


@then(parse('"{name}" has no answer yet'))
def has_no_answer(scenario, name):
    """Check that the request is still in progress."""
    assert not scenario.conversation_by_name[name].ends


@then(parse('"{name}" was executed {count:d} times'))
@then(parse('"{name}" was executed {count:d} time'))
def was_executed(scenario, name, count):
    """Check how often the backend servers executed an order."""
    assert scenario.world.count_orders(name) == count


@then(parse("{name} got no call for {seconds:g} seconds"))
def got_no_call(scenario, name, seconds):
    """Check that a backend server has had no new work for a while."""
    server = scenario.world.server_by_name[name]
    now = scenario.call(trio.current_time)
    assert now - server.last_call_s >= seconds


@then(parse("every process has table version {version:d}"))
def has_version(scenario, version):
    """Check the version in force in all entries."""
    for node in scenario.world.node_by_name.values():
        if node.vm.role == "entry" and node.is_running():
            assert node.process.tables.get_version() == version


@then(parse("some entry reports a rejected table"))
def has_rejection(scenario):
    """Check that a refused version can be seen with its findings."""
    nodes = scenario.world.node_by_name.values()
    entries = [node.process for node in nodes if node.vm.role == "entry"]
    assert any(entry.tables.rejections for entry in entries)


@then(parse("{name} is drained"))
def is_drained(scenario, name):
    """Check that an agent has nothing left to do."""
    assert scenario.world.node_by_name[name].process.is_drained()
