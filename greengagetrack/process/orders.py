"""The order book of an agent: each order runs here at most once.

An order is made idempotent by a ticket or by a key. A ticket names the agent
process that issued it, so that process decides alone. A key has a home agent,
the first of the published agents by rendezvous hashing, which runs the order
only if no other agent can have run it. docs/design/orders.md explains why.
"""

import itertools
import logging

import msgspec
import trio

from greengagetrack.connection import agent_messages
from greengagetrack.connection import base
from greengagetrack.request import order_key
from greengagetrack.request import outcome
from greengagetrack.request import ticket as ticket_module
from greengagetrack.version import rendezvous

TICKET_LIFETIME_S = 900.0
ORDERS_MAX = 8192
PROMISES_MAX = 8192
PROMISE_TIMEOUT_S = 0.5
PROMISE_WINDOW_FACTOR = 2.0
KEY_MAX_CHARS = 255

_log = logging.getLogger(__name__)
_Reason = outcome.Reason
_Ran = outcome.Ran


class Run(msgspec.Struct, frozen=True):
    """The order may run now as this attempt."""


class Join(msgspec.Struct, frozen=True):
    """The order was claimed before; `record` is that attempt's."""

    record: object


class Deny(msgspec.Struct, frozen=True):
    """The order must not run; `ran` says whether it may have run."""

    reason: outcome.Reason
    ran: outcome.Ran


class Order:
    """A claimed order and the record of the attempt that runs it."""

    __slots__ = ("expires_s", "fingerprint", "record")

    def __init__(self, record, fingerprint, expires_s):
        self.record = record
        self.fingerprint = fingerprint
        self.expires_s = expires_s


class OrderBook:
    """Orders by ticket and by key, and promises, of one agent process."""

    __slots__ = (
        "_agent",
        "_incarnation",
        "_key_ring",
        "_links",
        "_ticket_numbers",
        "_order_by_id",
        "_promise_by_key",
        "_started_s",
        "_vm_view",
        "_window_s",
    )

    def __init__(self, agent, incarnation, key_ring, vm_view, links, window_s):
        self._agent = agent
        self._incarnation = incarnation
        self._key_ring = key_ring
        self._vm_view = vm_view
        self._links = links
        self._window_s = window_s
        self._started_s = trio.current_time()
        self._ticket_numbers = itertools.count(1)
        self._order_by_id = {}
        self._promise_by_key = {}

    def issue_ticket(self, request):
        """Return a ticket for one order at this agent process."""
        if request.incarnation != self._incarnation:
            return agent_messages.Ticket(failure=_Reason.AGENT_RESTARTED)
        body = ticket_module.TicketBody(
            service=request.service,
            pipeline=request.pipeline,
            organisation=request.organisation,
            agent=self._agent,
            incarnation=self._incarnation,
            number=next(self._ticket_numbers),
            issued_s=trio.current_time(),
        )
        token = ticket_module.write_ticket(body, self._key_ring)
        return agent_messages.Ticket(token=token)

    async def claim(self, submit, record):
        """Return `Run`, `Join` or `Deny` for an order."""
        if submit.order.ticket:
            claim = self._claim_ticket(submit, record)
        else:
            claim = await self._claim_key(submit, record)
        is_denied = isinstance(claim, Deny)
        _log.info(
            "order claim decided",
            extra={
                "decision": f"order_{type(claim).__name__.lower()}",
                "request": submit.request_id,
                "attempt": submit.attempt.number,
                "by": "ticket" if submit.order.ticket else "key",
                "reason": claim.reason if is_denied else "",
                "table_version": submit.table_version,
            },
        )
        return claim

    def release(self, record):
        """Let an order that provably did not run be claimed again."""
        order_ids = [
            order_id
            for order_id, order in self._order_by_id.items()
            if order.record is record
        ]
        for order_id in order_ids:
            del self._order_by_id[order_id]

    def remove_expired(self):
        """Remove orders and promises that no repeat can refer to any more."""
        now = trio.current_time()
        for order_id, order in list(self._order_by_id.items()):
            if order.expires_s <= now and self._is_window_over(order.record):
                del self._order_by_id[order_id]
        for key, (_asker, expires_s) in list(self._promise_by_key.items()):
            if expires_s <= now:
                del self._promise_by_key[key]

    def _is_window_over(self, record):
        """Return whether the retry window after a record's end has passed."""
        if not record.is_final():
            return False
        return trio.current_time() - record.finished_at_s >= self._window_s

    def _claim_ticket(self, submit, record):
        body = ticket_module.read_ticket(submit.order.ticket, self._key_ring)
        if body is None:
            return Deny(_Reason.TICKET_FORGED, _Ran.UNKNOWN)
        if self._is_other_process(body):
            return Deny(_Reason.TICKET_GONE, _Ran.UNKNOWN)
        if self._is_mismatched(body, submit):
            return Deny(_Reason.TICKET_MISMATCH, _Ran.NO)
        order_id = ("ticket", body.number)
        expires_s = body.issued_s + TICKET_LIFETIME_S
        # The order stays in the book after its ticket expires, so a late
        # repeat finds either the order or this refusal.
        if order_id not in self._order_by_id:
            if trio.current_time() >= expires_s:
                return Deny(_Reason.TICKET_EXPIRED, _Ran.UNKNOWN)
        return self._add_order(order_id, submit, record, expires_s)

    def _is_other_process(self, body):
        return (
            body.agent != self._agent
            or body.incarnation != self._incarnation
        )  # fmt: skip

    def _is_mismatched(self, body, submit):
        return (
            body.service != submit.service
            or body.organisation != submit.order.organisation
        )

    def _add_order(self, order_id, submit, record, expires_s):
        # No await: two repeats of an order must not both add it.
        order = self._order_by_id.get(order_id)
        if order is not None:
            if order.fingerprint != submit.order.fingerprint:
                return Deny(_Reason.KEY_REUSED, _Ran.NO)
            return Join(order.record)
        if len(self._order_by_id) >= ORDERS_MAX:
            return Deny(_Reason.ORDER_BOOK_FULL, _Ran.NO)
        fingerprint = submit.order.fingerprint
        self._order_by_id[order_id] = Order(record, fingerprint, expires_s)
        return Run()

    async def _claim_key(self, submit, record):
        key = self._get_key(submit)
        order_id = ("key", key)
        if order_id not in self._order_by_id:
            denial = self._find_denial(submit.service, key)
            if denial is not None:
                return denial
        expires_s = trio.current_time() + self._window_s
        claim = self._add_order(order_id, submit, record, expires_s)
        if not isinstance(claim, Run):
            return claim
        denial = await self._collect_promises(submit.service, key)
        if denial is None:
            # The VM list may have changed while promises were requested.
            denial = self._find_denial(submit.service, key)
        if denial is not None:
            self.release(record)
            return denial
        return claim

    def _get_key(self, submit):
        order = submit.order
        return order_key.get_order_key(
            submit.service, order.organisation, order.key
        )

    def is_in_start_window(self):
        """Return whether keys may be in use that predate this process."""
        return trio.current_time() - self._started_s < self._window_s

    def _find_denial(self, service, key):
        """Return a `Deny` if an earlier run elsewhere can't be ruled out."""
        if key in self._promise_by_key:
            return Deny(_Reason.KEY_PROMISED, _Ran.UNKNOWN)
        if self.is_in_start_window():
            return Deny(_Reason.ORDER_TOO_RECENT_START, _Ran.UNKNOWN)
        if not self._vm_view.is_fresh():
            return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
        members = self._vm_view.get_agents(service)
        if rendezvous.get_first(key, members) != self._agent:
            return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
        for former_home in self._get_former_homes(service, key):
            if former_home not in members:
                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
        return None

    def _get_former_homes(self, service, key):
        """Return the other home agents of `key` within the retry window."""
        homes = {
            rendezvous.get_first(key, members)
            for members in self._vm_view.get_past_agents(
                service, self._window_s
            )
        }
        return homes - {self._agent, None}

    async def _collect_promises(self, service, key):
        """Return None if all agents that could run `key` promise not to."""
        ranked = rendezvous.rank(key, self._vm_view.get_agents(service))
        promisers = set(ranked[1:2]) | self._get_former_homes(service, key)
        request = agent_messages.PromiseRequest(service, key, self._agent)
        for agent in promisers:
            address = self._vm_view.get_address(agent)
            if address is None:
                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
            link = self._links.get_link(address)
            reply = await link.request(request, PROMISE_TIMEOUT_S)
            if isinstance(reply, base.NotSent | base.Lost):
                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
            if not reply.is_given:
                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
        return None

    async def maintain_links(self, service):
        """Open links to the other agents of the service in advance.

        Promises are requested while a caller waits; a link that is opened
        only then may not be up in time.
        """
        while True:
            changed = self._vm_view.changed
            for name in self._vm_view.get_agents(service):
                address = self._vm_view.get_address(name)
                if name != self._agent and address is not None:
                    self._links.get_link(address)
            await changed.wait()

    def promise(self, request):
        """Return a `Promise` not to run a key, given or refused.

        It is refused within the window after a start, because the previous
        process may have run the key, and if this agent has the order.
        """
        # No await: a promise and a claim of one key must not interleave.
        key = request.key
        if ("key", key) in self._order_by_id:
            return agent_messages.Promise(False, _Reason.KEY_REUSED)
        if self.is_in_start_window():
            return agent_messages.Promise(
                False, _Reason.ORDER_TOO_RECENT_START
            )
        asker, _expires_s = self._promise_by_key.get(key, (request.asker, 0))
        if asker != request.asker:
            return agent_messages.Promise(False, _Reason.KEY_PROMISED)
        if len(self._promise_by_key) >= PROMISES_MAX:
            return agent_messages.Promise(False, _Reason.ORDER_BOOK_FULL)
        expires_s = (
            trio.current_time() + PROMISE_WINDOW_FACTOR * self._window_s
        )
        self._promise_by_key[key] = (request.asker, expires_s)
        return agent_messages.Promise(True)


def new_order_book(agent, incarnation, key_ring, vm_view, links, window_s):
    """Return an empty order book for an agent process that starts now."""
    return OrderBook(agent, incarnation, key_ring, vm_view, links, window_s)
