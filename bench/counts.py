"""Compares the answers of callers with the executions on servers."""

import collections

import msgspec


class Counts(msgspec.Struct):
    """The counts of one run, from callers and backend servers only."""

    requests: int = 0
    whole: int = 0
    in_time: int = 0
    refused: int = 0
    unknown: int = 0
    lost: int = 0
    misdelivered: int = 0
    doubled_orders: int = 0
    untrue_refusals: int = 0
    cut_streams: int = 0
    attainment: float = 0.0

    def count_violations(self):
        """Return the number of violations of the guarantees."""
        return (
            self.lost
            + self.misdelivered
            + self.doubled_orders
            + self.untrue_refusals
            + self.cut_streams
        )


def describe_doubled_orders(answers, executions, order_stages):
    """Return a line for each order that was executed more than once."""
    executions_by_marker = collections.defaultdict(list)
    for execution in executions:
        if execution.stage in order_stages:
            executions_by_marker[execution.marker].append(execution)
    lines = []
    for marker, order_executions in executions_by_marker.items():
        if len(order_executions) < 2:
            continue
        lines.append(_describe(marker, order_executions, answers))
    return lines


def describe_untrue_refusals(answers, executions, order_stages):
    """Return a line for each request with an untrue "not run" answer."""
    lines = []
    for marker in {answer.marker for answer in answers}:
        marker_answers = [
            answer for answer in answers if answer.marker == marker
        ]
        marker_executions = [
            execution for execution in executions if execution.marker == marker
        ]
        if any(
            answer.ran == "no"
            and _is_untrue(
                answer, marker_answers, marker_executions, order_stages
            )
            for answer in marker_answers
        ):
            lines.append(_describe(marker, marker_executions, marker_answers))
    return lines


def _describe(marker, executions, answers):
    runs = [
        f"{execution.server} {execution.stage} "
        f"at {execution.started_s:.2f} ({execution.call_id})"
        for execution in executions
    ]
    received = [
        f"{answer.outcome} {answer.reason} from {answer.sent_s:.2f} to "
        f"{answer.sent_s + answer.latency_s:.2f} by {answer.identity} "
        f"({answer.request_id})"
        for answer in answers
        if answer.marker == marker
    ]
    return f"{marker}: ran {'; '.join(runs)}; answers {received}"


def count(answers, executions, order_stages):
    """Return the `Counts` of answers, compared with executions.

    Several answers can share a marker: retries of one order. A refusal
    that says "not run" is untrue if the order stage was executed for its
    marker, or, in pipelines without an order stage, if any stage was;
    unless a later retry explains the execution.
    """
    executions_by_marker = collections.defaultdict(list)
    for execution in executions:
        executions_by_marker[execution.marker].append(execution)
    answers_by_marker = collections.defaultdict(list)
    for answer in answers:
        answers_by_marker[answer.marker].append(answer)
    counts = Counts()
    for answer in answers:
        _count_answer(counts, answer)
        if answer.ran == "no":
            counts.untrue_refusals += _is_untrue(
                answer,
                answers_by_marker[answer.marker],
                executions_by_marker[answer.marker],
                order_stages,
            )
    for marker_executions in executions_by_marker.values():
        order_executions = [
            each for each in marker_executions if each.stage in order_stages
        ]
        counts.doubled_orders += max(0, len(order_executions) - 1)
    if counts.requests:
        counts.attainment = round(counts.in_time / counts.requests, 4)
    return counts


def _count_answer(counts, answer):
    counts.requests += 1
    counts.whole += answer.outcome == "whole"
    counts.in_time += answer.is_in_time()
    counts.refused += answer.outcome == "refused"
    counts.unknown += answer.outcome == "unknown"
    counts.lost += answer.outcome == "lost"
    counts.misdelivered += answer.is_misdelivered
    counts.cut_streams += answer.is_cut


def _is_untrue(answer, answers, executions, order_stages):
    """Return whether an execution contradicts a "not run" answer."""
    answered_s = answer.sent_s + answer.latency_s
    for execution in executions:
        if answer.plan.is_order and execution.stage not in order_stages:
            continue
        if execution.started_s <= answered_s:
            return True
        if not any(
            answered_s <= other.sent_s <= execution.started_s
            for other in answers
        ):
            return True
    return False
