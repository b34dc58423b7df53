"""The order book of an agent: each order runs here at most once.

Two ways make an order idempotent. A ticket names this very process, so
the book alone decides. A key has a home that every process computes from
the published agents; the home runs it only when no other agent can have
run it. docs/design/orders.md gives the argument.
"""

import itertools
import logging

import msgspec
import trio

from greengagetrack.connection import base
from greengagetrack.connection import messages
from greengagetrack.request import outcome
from greengagetrack.request import ticket as ticket_module
from greengagetrack.version import rank

TICKET_LIFETIME_S = 900.0
ORDERS_MAX = 8192
PROMISES_MAX = 8192
PROMISE_TIMEOUT_S = 0.5
PROMISE_WINDOWS = 2.0
KEY_MAX_CHARS = 255

_log = logging.getLogger(__name__)
_Reason = outcome.Reason
_Ran = outcome.Ran


class Run(msgspec.Struct, frozen=True):
    """The order may run now, under this attempt."""


class Join(msgspec.Struct, frozen=True):
    """The order ran or runs under another attempt's record."""

    record: object


class Deny(msgspec.Struct, frozen=True):
    """The order must not run here; `ran` says what may be told."""

    reason: outcome.Reason
    ran: outcome.Ran


class Order:
    """One order that was claimed, and the record that answers it."""

    __slots__ = ("ends_s", "fingerprint", "record")

    def __init__(self, record, fingerprint, ends_s):
        self.record = record
        self.fingerprint = fingerprint
        self.ends_s = ends_s


class OrderBook:
    """Tickets, keys and promises of one agent process."""

    __slots__ = (
        "_agent",
        "_incarnation",
        "_key_ring",
        "_links",
        "_numbers",
        "_order_by_claim",
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
        self._numbers = itertools.count(1)
        self._order_by_claim = {}
        self._promise_by_key = {}

    def issue_ticket(self, request):
        """Return a ticket for one order at this agent."""
        if request.incarnation != self._incarnation:
            return messages.Ticket(failure=_Reason.AGENT_RESTARTED)
        body = ticket_module.TicketBody(
            service=request.service,
            pipeline=request.pipeline,
            organisation=request.organisation,
            agent=self._agent,
            incarnation=self._incarnation,
            number=next(self._numbers),
            issued_s=trio.current_time(),
        )
        token = ticket_module.write_ticket(body, self._key_ring)
        return messages.Ticket(token=token)

    async def claim(self, submit, record):
        """Return `Run`, `Join` or `Deny` for an order."""
        if submit.order.ticket:
            claim = self._claim_ticket(submit, record)
        else:
            claim = await self._claim_key(submit, record)
        denied = isinstance(claim, Deny)
        _log.info(
            "order claimed",
            extra={
                "decision": f"order_{type(claim).__name__.lower()}",
                "request": submit.request_id,
                "attempt": submit.attempt.number,
                "by": "ticket" if submit.order.ticket else "key",
                "reason": claim.reason if denied else "",
                "table_version": submit.table_version,
            },
        )
        return claim

    def release(self, record):
        """Let an order run again that provably did not run."""
        claims = [
            claim
            for claim, order in self._order_by_claim.items()
            if order.record is record
        ]
        for claim in claims:
            del self._order_by_claim[claim]

    def remove_expired(self):
        """Forget what no repeat may ask for any more."""
        now = trio.current_time()
        for claim, order in list(self._order_by_claim.items()):
            if order.ends_s <= now and self._is_over(order.record):
                del self._order_by_claim[claim]
        for key, (_asker, ends_s) in list(self._promise_by_key.items()):
            if ends_s <= now:
                del self._promise_by_key[key]

    def _is_over(self, record):
        """Return whether the retry window after an order has passed."""
        if not record.is_final():
            return False
        return trio.current_time() - record.finished_at_s >= self._window_s

    def _claim_ticket(self, submit, record):
        body = ticket_module.read_ticket(submit.order.ticket, self._key_ring)
        if body is None:
            return Deny(_Reason.TICKET_FORGED, _Ran.UNKNOWN)
        if self._is_foreign(body):
            return Deny(_Reason.TICKET_GONE, _Ran.UNKNOWN)
        if self._is_for_another(body, submit):
            return Deny(_Reason.TICKET_MISMATCH, _Ran.NO)
        claim = ("ticket", body.number)
        ends_s = body.issued_s + TICKET_LIFETIME_S
        # The order in the book outlives the ticket's end, so a repeat
        # that comes too late finds either the order or this refusal.
        if claim not in self._order_by_claim:
            if trio.current_time() >= ends_s:
                return Deny(_Reason.TICKET_EXPIRED, _Ran.UNKNOWN)
        return self._enter(claim, submit, record, ends_s)

    def _is_foreign(self, body):
        return (
            body.agent != self._agent
            or body.incarnation != self._incarnation
        )  # fmt: skip

    def _is_for_another(self, body, submit):
        return (
            body.service != submit.service
            or body.organisation != submit.order.organisation
        )

    def _enter(self, claim, submit, record, ends_s):
        # No await: two repeats of an order must never both enter it.
        order = self._order_by_claim.get(claim)
        if order is not None:
            if order.fingerprint != submit.order.fingerprint:
                return Deny(_Reason.KEY_REUSED, _Ran.NO)
            return Join(order.record)
        if len(self._order_by_claim) >= ORDERS_MAX:
            return Deny(_Reason.ORDER_BOOK_FULL, _Ran.NO)
        fingerprint = submit.order.fingerprint
        self._order_by_claim[claim] = Order(record, fingerprint, ends_s)
        return Run()

    async def _claim_key(self, submit, record):
        key = self._get_key(submit)
        claim = ("key", key)
        if claim not in self._order_by_claim:
            denied = self._find_doubt(submit.service, key)
            if denied is not None:
                return denied
        ends_s = trio.current_time() + self._window_s
        entered = self._enter(claim, submit, record, ends_s)
        if not isinstance(entered, Run):
            return entered
        denied = await self._collect_promises(submit.service, key)
        if denied is None:
            # The view is read again: it may have changed meanwhile.
            denied = self._find_doubt(submit.service, key)
        if denied is not None:
            self.release(record)
            return denied
        return entered

    def _get_key(self, submit):
        order = submit.order
        return f"{submit.service}|{order.organisation}|{order.key}"

    def is_in_start_window(self):
        """Return whether this process is too young to know of old keys."""
        return trio.current_time() - self._started_s < self._window_s

    def _find_doubt(self, service, key):
        """Return why an earlier run elsewhere can't be ruled out."""
        if key in self._promise_by_key:
            return Deny(_Reason.KEY_PROMISED, _Ran.UNKNOWN)
        if self.is_in_start_window():
            return Deny(_Reason.ORDER_TOO_RECENT_START, _Ran.UNKNOWN)
        if not self._vm_view.is_fresh():
            return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
        members = self._vm_view.get_agents(service)
        if rank.get_first(key, members) != self._agent:
            return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
        for former in self._find_former_homes(service, key):
            if former not in members:
                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
        return None

    def _find_former_homes(self, service, key):
        """Return the other homes of `key` within the retry window."""
        homes = {
            rank.get_first(key, members)
            for members in self._vm_view.get_past_agents(
                service, self._window_s
            )
        }
        return homes - {self._agent, None}

    async def _collect_promises(self, service, key):
        """Return None once all who could run `key` promised not to."""
        ranked = rank.rank(key, self._vm_view.get_agents(service))
        askees = set(ranked[1:2]) | self._find_former_homes(service, key)
        question = messages.AskPromise(service, key, self._agent)
        for agent in askees:
            address = self._vm_view.get_address(agent)
            if address is None:
                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
            link = self._links.get_link(address)
            reply = await link.ask(question, PROMISE_TIMEOUT_S)
            if isinstance(reply, base.NotSent | base.Lost):
                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
            if not reply.is_given:
                return Deny(_Reason.KEY_MOVING, _Ran.UNKNOWN)
        return None

    async def maintain_links(self, service):
        """Keep links to the other agents of the service.

        A promise is asked for while a caller waits; a link that is opened
        only then would come too late.
        """
        while True:
            changed = self._vm_view.changed
            for name in self._vm_view.get_agents(service):
                address = self._vm_view.get_address(name)
                if name != self._agent and address is not None:
                    self._links.get_link(address)
            await changed.wait()

    def promise(self, request):
        """Return whether this agent promises not to run a key.

        It can't after a recent start, since the process before it may
        have run the key, nor once it has the order itself.
        """
        # No await: a promise and a claim of one key must not interleave.
        key = request.key
        if ("key", key) in self._order_by_claim:
            return messages.Promise(False, _Reason.KEY_REUSED)
        if self.is_in_start_window():
            return messages.Promise(False, _Reason.ORDER_TOO_RECENT_START)
        asker, _ends_s = self._promise_by_key.get(key, (request.asker, 0))
        if asker != request.asker:
            return messages.Promise(False, _Reason.KEY_PROMISED)
        if len(self._promise_by_key) >= PROMISES_MAX:
            return messages.Promise(False, _Reason.ORDER_BOOK_FULL)
        ends_s = trio.current_time() + PROMISE_WINDOWS * self._window_s
        self._promise_by_key[key] = (request.asker, ends_s)
        return messages.Promise(True)


def new_order_book(agent, incarnation, key_ring, vm_view, links, window_s):
    """Return the empty book of an agent process that starts now."""
    return OrderBook(agent, incarnation, key_ring, vm_view, links, window_s)
