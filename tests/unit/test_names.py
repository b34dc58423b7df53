"""Tests of names that are values outside and come from class names.

Logs, metrics, problem documents and reports contain the lower-case class
name of an outcome or an order claim. Renaming such a class would change
them.
"""

import logging

import pytest
import trio

from bench import experiment
from greengagetrack.connection import agent_messages
from greengagetrack.connection import problems
from greengagetrack.process import metrics as metrics_module
from greengagetrack.process import orders
from greengagetrack.request.direct import outcome as direct_outcome
from greengagetrack.request import outcome as outcome_module

Cause = direct_outcome.AbandonedCause
REASON = outcome_module.Reason.SHED
REFUSED = outcome_module.Refused(REASON)
UNKNOWN = outcome_module.Unknown(REASON)
WHOLE = outcome_module.Whole(b"{}")


def test_class_names_of_outcomes():
    assert outcome_module.Whole.__name__ == "Whole"
    assert outcome_module.Refused.__name__ == "Refused"
    assert outcome_module.Unknown.__name__ == "Unknown"
    assert direct_outcome.Relayed.__name__ == "Relayed"
    assert direct_outcome.Cut.__name__ == "Cut"


def test_class_names_of_order_claims():
    assert orders.Run.__name__ == "Run"
    assert orders.Join.__name__ == "Join"
    assert orders.Deny.__name__ == "Deny"


@pytest.mark.parametrize(
    ("outcome", "name"),
    [
        (direct_outcome.Relayed(200), "relayed"),
        (direct_outcome.Cut(REASON), "cut"),
        (REFUSED, "refused"),
        (UNKNOWN, "unknown"),
        (None, "caller_left"),
        (direct_outcome.Abandoned(Cause.CALLER_LEFT), "caller_left"),
        (direct_outcome.Abandoned(Cause.CALLER_SLOW), "caller_slow"),
        (direct_outcome.Abandoned(Cause.ERROR), "error"),
    ],
)
def test_outcome_names_in_direct_mode(outcome, name):
    assert direct_outcome.get_outcome_name(outcome) == name


@pytest.mark.parametrize(
    ("outcome", "name"),
    [(WHOLE, "whole"), (REFUSED, "refused"), (UNKNOWN, "unknown")],
)
def test_outcome_label_of_the_request_counter(outcome, name):
    class Request:
        pipeline = "p"

    metrics = metrics_module.new_metrics("entry")
    metrics.record_outcome(Request, outcome, 0.0)
    body, _headers = metrics.render(["text/plain"])
    assert f'outcome="{name}"' in body.decode()


@pytest.mark.parametrize(
    ("outcome", "name"), [(REFUSED, "refused"), (UNKNOWN, "unknown")]
)
def test_outcome_of_a_problem_document(outcome, name):
    assert problems.new_problem(outcome, "r").outcome == name


@pytest.mark.parametrize(
    ("outcome", "name"), [(REFUSED, "refused"), (UNKNOWN, "unknown")]
)
def test_outcome_in_a_report_of_an_experiment(outcome, name):
    class Answer:
        sent_s = 0.0

    async def judge():
        experiment.Experiment._check_outcome(None, Answer, outcome, [])

    trio.run(judge)
    assert Answer.outcome == name


@pytest.mark.parametrize(
    ("claim", "decision"),
    [
        (orders.Run(), "order_run"),
        (orders.Join(None), "order_join"),
        (orders.Deny(REASON, outcome_module.Ran.NO), "order_deny"),
    ],
)
def test_decision_in_the_log_of_an_order_claim(
    monkeypatch, caplog, claim, decision
):
    monkeypatch.setattr(
        orders.OrderBook, "_claim_ticket", lambda self, *args: claim
    )
    submit = agent_messages.Submit(
        attempt=agent_messages.AttemptId("entry", 1),
        incarnation="i",
        service="s",
        budget_ms=300,
        payload=b"",
        request_id="r",
        organisation="o",
        order=agent_messages.OrderClaim("o", b"", ticket="t"),
    )

    async def claim_order():
        order_book = orders.OrderBook("agent", "i", None, None, None, 1.0)
        return await order_book.claim(submit, None)

    with caplog.at_level(logging.INFO):
        assert trio.run(claim_order) == claim
    assert [record.decision for record in caplog.records] == [decision]
