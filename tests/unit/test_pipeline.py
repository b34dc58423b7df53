"""Tests of whether a failed request is reported as possibly run."""

import types

import trio
import trio.testing

from greengagetrack.connection import agent_messages
from greengagetrack.connection import base
from greengagetrack.process import admission
from greengagetrack.process import routing
from greengagetrack.request import attempt
from greengagetrack.request import deadline
from greengagetrack.request import outcome as outcome_module
from greengagetrack.request import pipeline
from greengagetrack.request import stage as stage_module
from greengagetrack.version import rows

_Reason = outcome_module.Reason
REFUSED = outcome_module.Refused(_Reason.DEADLINE_PASSED)
COMPLETED = stage_module.StageResult(b"{}", [], 1.0)


class FakeStageRun:
    """Returns the outcomes given by the test, one for each stage."""

    def __init__(self, outcomes):
        self._outcomes = outcomes

    async def run(self):
        """Return the next outcome."""
        return self._outcomes.pop(0)


def new_stage(name, is_repeatable=True):
    """Return a stage as the admission returns it."""
    stage = rows.Stage(name, "service", 0.5, repeatable=is_repeatable)
    return routing.PipelineStage(("order", name), stage, ())


def run_pipeline(monkeypatch, stages, outcomes, ticket="", key=""):
    """Return the outcome of a request, given those of its stages."""
    request = admission.Request(
        request_id="r",
        pipeline="order",
        organisation="o",
        kind="",
        body=b"{}",
        idempotency_key=key,
        ticket=ticket,
    )
    admitted = types.SimpleNamespace(
        request=request,
        stages=stages,
        limits=None,
        deadline=None,
        permit=types.SimpleNamespace(release=lambda tokens: None),
    )
    services = types.SimpleNamespace(
        metrics=types.SimpleNamespace(record_outcome=lambda *args: None),
        get_table_version=lambda: 1,
    )
    monkeypatch.setattr(
        stage_module,
        "new_stage_run",
        lambda *args: FakeStageRun(outcomes),
    )
    monkeypatch.setattr(
        pipeline.PipelineRun, "_pin_order", lambda self, task, request: task
    )
    run = pipeline.new_pipeline_run(
        services, admitted, None, None, lambda offset, tokens: None
    )
    return trio.run(run.run)


def test_refused_repeat_of_an_order_is_unknown(monkeypatch):
    """An earlier attempt of the order may have run.

    In `greengagebench run orders --seed 51877`, a repeat whose first stage
    missed its deadline was reported as not run, but the order had run.
    """
    stages = [new_stage("encode"), new_stage("place", False)]
    for name in ("ticket", "key"):
        outcome = run_pipeline(monkeypatch, stages, [REFUSED], **{name: "x"})
        assert outcome == outcome_module.Unknown(_Reason.DEADLINE_PASSED)


def test_refusal_by_the_order_stage_is_kept(monkeypatch):
    """The agent has checked the order in its order book."""
    stages = [new_stage("encode"), new_stage("place", False)]
    outcome = run_pipeline(
        monkeypatch, stages, [COMPLETED, REFUSED], ticket="x"
    )
    assert outcome == REFUSED


def test_order_without_ticket_or_key_is_refused(monkeypatch):
    """Without a ticket or key, no earlier attempt can exist."""
    stages = [new_stage("encode"), new_stage("place", False)]
    assert run_pipeline(monkeypatch, stages, [REFUSED]) == REFUSED
    assert run_pipeline(monkeypatch, stages, [COMPLETED, REFUSED]) == REFUSED


def test_refusal_after_the_order_ran_is_unknown(monkeypatch):
    """A later stage fails after the order has run."""
    stages = [new_stage("place", False), new_stage("notify")]
    outcome = run_pipeline(monkeypatch, stages, [COMPLETED, REFUSED])
    assert outcome == outcome_module.Unknown(_Reason.DEADLINE_PASSED)


class ReconnectingLink(base.PeerLink):
    """A link that comes up while sending, and loses the reply."""

    def __init__(self, is_sent):
        self._is_sent = is_sent

    def is_up(self):
        """Return that it is down, just before it comes up."""
        return False

    async def request(self, message, timeout_s):
        """Lose the reply, or do not send the message at all."""
        await trio.sleep(timeout_s)
        return base.Lost("timeout") if self._is_sent else base.NotSent()

    def close(self):
        """Do nothing."""


async def run_attempt(is_sent):
    """Return the outcome of an attempt over a `ReconnectingLink`."""
    submit = agent_messages.Submit(
        attempt=agent_messages.AttemptId("entry", 1),
        incarnation="i",
        service="s",
        budget_ms=300,
        payload=b"",
        request_id="r",
        organisation="o",
        is_repeatable=False,
        wait_ms=50,
    )
    run = attempt.new_attempt_run(
        ReconnectingLink(is_sent),
        submit,
        deadline.new_deadline(300),
        lambda tokens: None,
        lambda: False,
    )
    return await run.run()


def test_message_over_a_link_that_comes_up_counts_as_sent():
    """A link that was down may still have sent the message."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    outcome = trio.run(run_attempt, True, clock=clock)
    assert isinstance(outcome, outcome_module.Unknown)
    clock = trio.testing.MockClock(autojump_threshold=0)
    outcome = trio.run(run_attempt, False, clock=clock)
    assert outcome == outcome_module.Refused(_Reason.LINK_DOWN)
