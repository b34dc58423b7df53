"""Orders of two organisations, whose names and keys join to one text."""

import types

import pytest
import trio
import trio.testing

from greengagetrack.connection import agent_messages
from greengagetrack.connection import seal
from greengagetrack.process import orders

WINDOW_S = 5.0
RING = seal.new_key_ring([b"0123456789abcdef"])
VIEW = types.SimpleNamespace(
    is_fresh=lambda: True,
    get_agents=lambda _service: ["agent"],
    get_past_agents=lambda _service, _window_s: [["agent"]],
)


def _new_submit(service, organisation, key):
    return agent_messages.Submit(
        attempt=agent_messages.AttemptId("e", 1),
        incarnation="i",
        service=service,
        budget_ms=1000,
        payload=b"{}",
        order=agent_messages.OrderClaim(organisation, b"same", "", key),
    )


def _claim_all(*names):
    """Return the claims of orders, one after the other, at one agent."""
    claims = []

    async def main():
        book = orders.new_order_book("agent", "i", RING, VIEW, None, WINDOW_S)
        await trio.sleep(WINDOW_S + 1)
        for number, name in enumerate(names):
            claims.append(await book.claim(_new_submit(*name), number))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return claims


@pytest.mark.parametrize(
    "other",
    [
        ("s", "a|b", "k"),
        ("s|a", "b", "k"),
        ("s", "a", "b|k2"),
        ("s", "b", "k"),
    ],
)
def test_orders_of_other_organisations_are_not_joined(other):
    first = ("s", "a", "b|k")
    assert _claim_all(first, other) == [orders.Run(), orders.Run()]


def test_a_repeated_order_is_joined():
    order = ("s", "a|b", "k")
    assert _claim_all(order, order) == [orders.Run(), orders.Join(0)]
