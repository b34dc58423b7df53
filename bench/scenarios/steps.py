"""The steps of scenarios, which docs/ref/scenarios.md lists.

This is a pytest plugin: a feature file needs no Python of its own.
"""

import pytest
import pytest_bdd
import trio

from bench.scenarios import context
from greengagetrack.request import outcome as outcome_module

given = pytest_bdd.given
when = pytest_bdd.when
then = pytest_bdd.then
parse = pytest_bdd.parsers.parse


@pytest.fixture
def scenario():
    """Return the scenario; check all outcomes and stop it afterwards."""
    shared_scenario = context.Scenario()
    yield shared_scenario
    try:
        if shared_scenario.cluster is not None:
            shared_scenario.check_outcomes()
    finally:
        shared_scenario.stop()


@given(parse("the {deployment} fleet"))
def start_fleet(scenario, deployment):
    """Start a deployment with one entry in each region."""
    scenario.start(deployment, 1)


@given(parse("the {deployment} fleet with {count:d} entries a region"))
def start_fleet_with_entries(scenario, deployment, count):
    """Start a deployment with several entries in each region."""
    scenario.start(deployment, count)


@when(parse('{organisation} in {region} asks {pipeline} as "{name}"'))
def send_request(scenario, organisation, region, pipeline, name):
    """Send a request."""
    scenario.send_new_request(name, organisation, region, pipeline)


@when(
    parse(
        "{organisation} in {region} asks {pipeline} "
        'within {budget_ms:d} ms as "{name}"'
    )
)
def send_request_with_deadline(
    scenario, organisation, region, pipeline, budget_ms, name
):
    """Send a request with a deadline of its own."""
    scenario.send_new_request(
        name, organisation, region, pipeline, budget_ms=budget_ms
    )


@when(
    parse(
        '{organisation} in {region} asks {pipeline} with a ticket as "{name}"'
    )
)
def send_request_with_ticket(scenario, organisation, region, pipeline, name):
    """Get a ticket and send an order with it."""
    ticket = scenario.get_ticket(pipeline, organisation, region)
    scenario.send_new_request(
        name, organisation, region, pipeline, ticket=ticket
    )


@when(
    parse(
        "{organisation} in {region} asks {pipeline} "
        'with the key {key} as "{name}"'
    )
)
def send_request_with_key(scenario, organisation, region, pipeline, key, name):
    """Send an order with an Idempotency-Key."""
    scenario.send_new_request(
        name, organisation, region, pipeline, idempotency_key=key
    )


@when(parse('"{name}" is repeated'))
def repeat_request(scenario, name):
    """Send the same request again to the same entry."""
    scenario.send(scenario.tracked_by_name[name])


@when(parse('"{name}" is repeated in {region}'))
def repeat_request_in(scenario, name, region):
    """Send the same request again to an entry of another region."""
    tracked = scenario.tracked_by_name[name]
    tracked.region = region
    scenario.send(tracked)


@when(parse("{seconds:g} seconds pass"))
@when(parse("{seconds:g} second passes"))
def advance_clock(scenario, seconds):
    """Advance the mock clock."""
    scenario.runtime.advance(seconds)


@when(parse("the process {name} crashes"))
def crash(scenario, name):
    """Kill a process."""
    scenario.run_on_node(name, lambda cluster, node: cluster.kill_node(node))


@when(parse("the process {name} restarts"))
def restart(scenario, name):
    """Kill a process if it is running, and start it again."""
    scenario.restart_node(name)


@when(parse("the process {name} is frozen"))
def freeze(scenario, name):
    """Hold back all messages to and from a process."""
    scenario.run_on_node(
        name, lambda cluster, node: cluster.network.freeze(node.vm.address)
    )


@when(parse("the process {name} wakes"))
def thaw(scenario, name):
    """Deliver the messages that were held back."""
    scenario.run_on_node(
        name, lambda cluster, node: cluster.network.thaw(node.vm.address)
    )


@when(parse("the process {name} starts draining"))
def drain(scenario, name):
    """Start the graceful shutdown of a process."""
    scenario.run_on_node(
        name, lambda cluster, node: node.process.start_draining()
    )


@when(parse("the VM list says that {name} is leaving"))
def mark_vm_leaving(scenario, name):
    """Mark a VM as leaving in the VM list."""
    scenario.run_in_loop(scenario.cluster.mark_leaving, name)


@when(parse("the VM list drops {name}"))
def remove_vm(scenario, name):
    """Remove a VM from the VM list, which declares it dead."""

    def remove_from_list():
        del scenario.cluster.node_by_name[name]
        scenario.cluster.publish_vms()

    scenario.run_in_loop(remove_from_list)


@when(parse("the VM list is down"))
def stop_vm_list(scenario):
    """Make the VM list service unavailable."""
    scenario.cluster.platform.is_list_down = True


@when(parse("the backend server {name} dies"))
def crash_backend(scenario, name):
    """Crash a backend server, also in the middle of a call."""
    scenario.cluster.server_by_name[name].condition.is_dead = True


@when(parse("the backend server {name} is back"))
def revive_backend(scenario, name):
    """Bring a crashed backend server back."""
    scenario.cluster.server_by_name[name].condition.is_dead = False


@when(parse("the backend server {name} fails its calls"))
def fail_backend_calls(scenario, name):
    """Make a backend server respond with errors."""
    scenario.cluster.server_by_name[name].condition.is_failing = True


@when(parse("the backend server {name} refuses its calls"))
def refuse_backend_calls(scenario, name):
    """Make a backend server refuse calls without executing them."""
    scenario.cluster.server_by_name[name].condition.is_refusing = True


@when(parse("the backend server {name} is {factor:g} times slower"))
def slow_backend(scenario, name, factor):
    """Slow a backend server down."""
    scenario.cluster.server_by_name[name].condition.slow_factor = factor


@when(parse("the backend server {name} says that it is leaving"))
def mark_backend_leaving(scenario, name):
    """Make a backend server report that it is leaving."""
    scenario.cluster.server_by_name[name].condition.is_leaving = True


@when(parse("{region} and {other} are cut off from each other"))
def cut_regions(scenario, region, other):
    """Block all traffic between two regions."""
    scenario.run_in_loop(scenario.cluster.cut, region, other)


@when(parse("nothing gets from {name} to {other}"))
def block_messages(scenario, name, other):
    """Block the messages from one process to another."""
    nodes = scenario.cluster.node_by_name
    scenario.cluster.network.cut(
        nodes[name].vm.address, nodes[other].vm.address
    )


@when("all links are whole again")
def restore_links(scenario):
    """Allow all traffic between regions and processes again."""
    scenario.cluster.network.restore_links()


@when(parse("the next {count:d} answers between processes are lost"))
def drop_replies(scenario, count):
    """Drop replies after the request was handled."""
    scenario.cluster.network.faults.replies_to_drop = count


@when(parse("the next {count:d} questions between processes are lost"))
def drop_requests(scenario, count):
    """Drop requests before they are delivered."""
    scenario.cluster.network.faults.requests_to_drop = count


@when(parse("the next {count:d} questions between processes come twice"))
def duplicate_requests(scenario, count):
    """Deliver requests a second time, later."""
    scenario.cluster.network.faults.requests_to_duplicate = count


@when("the table is published again")
def publish_table_again(scenario):
    """Publish the next version of the table."""
    scenario.run_in_loop(scenario.cluster.publish_table)


@when("a table with an error is published")
def publish_broken_table(scenario):
    """Publish a version that every process must reject."""
    documents = dict(scenario.cluster.text_by_key)
    documents["broken"] = context.BROKEN_DOCUMENT
    scenario.run_in_loop(scenario.cluster.publish_table, documents)


@when("the configuration service is down")
def stop_config(scenario):
    """Make the configuration service unavailable."""
    scenario.cluster.platform.is_config_down = True


@when("the configuration service is back")
def resume_config(scenario):
    """Make the configuration service available again."""
    scenario.cluster.platform.is_config_down = False


@when("the configuration service answers from an old copy")
def serve_stale_config(scenario):
    """Serve reads of the configuration service from a copy made now."""
    scenario.run_in_loop(scenario.cluster.platform.set_stale, True)


@when("the configuration service comes back with version 1")
def reset_config(scenario):
    """Reset the revisions of the service and the version of the table."""
    scenario.run_in_loop(
        scenario.cluster.platform.reset, scenario.cluster.text_by_key
    )


@then(parse('"{name}" is answered whole'))
def is_whole(scenario, name):
    """Check that the caller has its own result, and all of it."""
    scenario.check_whole(name)


@then(parse('"{name}" is refused with {reason}'))
def is_refused(scenario, name, reason):
    """Check that the request was refused without running, and the reason."""
    outcome = scenario.get_outcome(name)
    assert isinstance(outcome, outcome_module.Refused), outcome
    assert outcome.reason == reason


@then(parse('"{name}" is unknown with {reason}'))
def is_unknown(scenario, name, reason):
    """Check that the outcome is unknown, and the reason."""
    outcome = scenario.get_outcome(name)
    assert isinstance(outcome, outcome_module.Unknown), outcome
    assert outcome.reason == reason


@then(parse('"{name}" has no answer yet'))
def has_no_answer(scenario, name):
    """Check that the request is still in progress."""
    assert not scenario.tracked_by_name[name].outcomes


@then(parse('"{name}" was executed {count:d} times'))
@then(parse('"{name}" was executed {count:d} time'))
def was_executed(scenario, name, count):
    """Check how many times the backend servers executed an order."""
    assert scenario.cluster.count_executions(name) == count


@then(parse("{name} got no call for {seconds:g} seconds"))
def received_no_call(scenario, name, seconds):
    """Check that a backend server received no call for that long."""
    server = scenario.cluster.server_by_name[name]
    now = scenario.run_in_loop(trio.current_time)
    assert now - server.last_call_s >= seconds


@then(parse("every process has table version {version:d}"))
def has_version(scenario, version):
    """Check the table version that all running entries use."""
    for node in scenario.cluster.node_by_name.values():
        if node.vm.role == "entry" and node.is_running():
            assert node.process.table_updater.get_version() == version


@then(parse("some entry reports a rejected table"))
def has_rejection(scenario):
    """Check that at least one entry has recorded a rejected table."""
    nodes = scenario.cluster.node_by_name.values()
    entries = [node.process for node in nodes if node.vm.role == "entry"]
    assert any(entry.table_updater.rejections for entry in entries)


@then(parse("{name} is drained"))
def is_drained(scenario, name):
    """Check that an agent has no work left."""
    assert scenario.cluster.node_by_name[name].process.is_drained()
