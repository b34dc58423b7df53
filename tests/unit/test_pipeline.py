"""Tests of what a request of several stages says about having run."""

import types

import trio
import trio.testing

from greengagetrack.connection import base
from greengagetrack.connection import messages
from greengagetrack.process import admission
from greengagetrack.process import routing
from greengagetrack.request import attempt
from greengagetrack.request import deadline
from greengagetrack.request import outcome
from greengagetrack.request import pipeline
from greengagetrack.request import stage as stage_module
from greengagetrack.version import rows

_Reason = outcome.Reason
LATE = outcome.Refused(_Reason.DEADLINE_PASSED)
MADE = stage_module.StageResult(b"{}", [], 1.0)


class FakeStageRun:
    """Ends as the test says, once for each stage in its order."""

    def __init__(self, ends):
        self._ends = ends

    async def run(self):
        """Return the next end."""
        return self._ends.pop(0)


def new_stage(name, is_repeatable=True):
    """Return a stage as the admission names it."""
    stage = rows.Stage(name, "service", 0.5, repeatable=is_repeatable)
    return routing.PipelineStage(("order", name), stage, ())


def run_pipeline(monkeypatch, stages, ends, ticket="", key=""):
    """Return how a request ends whose stages end in these ways."""
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
        metrics=types.SimpleNamespace(note_request=lambda *args: None),
        get_table_version=lambda: 1,
    )
    monkeypatch.setattr(
        stage_module,
        "new_stage_run",
        lambda *args: FakeStageRun(ends),
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

    Seen as `greengagebench run orders --seed 51877`: a repeat whose first
    stage came too late was told "not run", and the order had run before.
    """
    stages = [new_stage("encode"), new_stage("place", False)]
    for name in ("ticket", "key"):
        end = run_pipeline(monkeypatch, stages, [LATE], **{name: "x"})
        assert end == outcome.Unknown(_Reason.DEADLINE_PASSED)


def test_order_stage_speaks_for_itself(monkeypatch):
    """The agent's order book has looked the order up."""
    stages = [new_stage("encode"), new_stage("place", False)]
    end = run_pipeline(monkeypatch, stages, [MADE, LATE], ticket="x")
    assert end == LATE


def test_order_without_a_name_is_refused(monkeypatch):
    """Nobody can have sent it before."""
    stages = [new_stage("encode"), new_stage("place", False)]
    assert run_pipeline(monkeypatch, stages, [LATE]) == LATE
    assert run_pipeline(monkeypatch, stages, [MADE, LATE]) == LATE


def test_refusal_after_the_order_ran_is_unknown(monkeypatch):
    """What follows an order can't say that the order did not run."""
    stages = [new_stage("place", False), new_stage("notify")]
    end = run_pipeline(monkeypatch, stages, [MADE, LATE])
    assert end == outcome.Unknown(_Reason.DEADLINE_PASSED)


class RisingLink(base.PeerLink):
    """A link that comes up just when it is asked, and loses the answer."""

    def __init__(self, is_sent):
        self._is_sent = is_sent

    def is_up(self):
        """Return that it is down, a moment before it comes up."""
        return False

    async def ask(self, message, timeout_s):
        """Lose the answer, or do not send the question at all."""
        await trio.sleep(timeout_s)
        return base.Lost("timeout") if self._is_sent else base.NotSent()

    def close(self):
        """Do nothing."""


async def run_attempt(is_sent):
    """Return how an attempt over a `RisingLink` ends."""
    submit = messages.Submit(
        attempt=messages.AttemptId("entry", 1),
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
        RisingLink(is_sent),
        submit,
        deadline.new_deadline(300),
        lambda tokens: None,
        lambda: False,
    )
    return await run.run()


def test_link_that_rises_while_asked_counts_as_sent():
    """What left is never told as not run, whatever was seen before."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    end = trio.run(run_attempt, True, clock=clock)
    assert isinstance(end, outcome.Unknown)
    clock = trio.testing.MockClock(autojump_threshold=0)
    end = trio.run(run_attempt, False, clock=clock)
    assert end == outcome.Refused(_Reason.LINK_DOWN)
