"""Limits as an entry applies them: leases first, then the request."""

import trio

from greengagetrack.connection import base
from greengagetrack.connection import messages
from greengagetrack.process import buckets
from greengagetrack.process import limit_owner
from greengagetrack.request import outcome

ASK_TIMEOUT_S = 0.25
ASK_PAUSE_S = 0.05
LEASE_BATCH_S = 0.5
RENEW_SHARE = 0.5
SLOTS_MARGIN = 2
IDLE_S = 60.0
TICK_S = 0.25

_REASON_BY_KIND = {
    limit_owner.KIND_RATE: outcome.Reason.RATE_LIMIT,
    limit_owner.KIND_TOKENS: outcome.Reason.TOKEN_LIMIT,
    limit_owner.KIND_SLOTS: outcome.Reason.CONCURRENCY_LIMIT,
}


class _Lease:
    """Credit that was granted, with its end."""

    __slots__ = ("amount", "ends_s")

    def __init__(self, amount, ends_s):
        self.amount = amount
        self.ends_s = ends_s


class Credit:
    """What this entry may still admit of one limit.

    The reserve is this entry's fixed part of the region's share, which no
    owner grants. Leases are taken in the order of their ends, and only
    while they last: the check happens at the moment of use.
    """

    __slots__ = (
        "_leases",
        "ask_lock",
        "ask_next_s",
        "reserve",
        "used_at_s",
        "used_recently",
    )

    def __init__(self, reserve):
        self.reserve = reserve
        self._leases = []
        self.ask_lock = trio.Lock()
        self.ask_next_s = 0.0
        self.used_at_s = trio.current_time()
        self.used_recently = 0.0

    def add_lease(self, amount, ends_s):
        """Keep a lease that was granted."""
        self._leases.append(_Lease(amount, ends_s))

    def get_available(self):
        """Return what may be used now."""
        now = trio.current_time()
        self._leases = [
            lease
            for lease in self._leases
            if lease.ends_s > now and lease.amount > 0
        ]
        leased = sum(lease.amount for lease in self._leases)
        return leased + self.reserve.get_level()

    def take(self, amount):
        """Return whether `amount` was taken."""
        # No await: the check and the taking are one step.
        if self.get_available() < amount:
            return False
        self.used_recently += amount
        left = amount
        for lease in self._leases:
            part = min(left, lease.amount)
            lease.amount -= part
            left -= part
        self.reserve.add(-left)
        return True

    def charge(self, difference):
        """Charge what was used beyond the estimate, or give back."""
        self.reserve.add(-difference)

    def drop_leases(self):
        """Forget all leases, as after a pause."""
        self._leases = []


class _Slots:
    """Concurrency: what runs here, and how much may."""

    __slots__ = ("ask_lock", "ends_s", "granted", "in_use", "used_at_s")

    def __init__(self):
        self.in_use = 0
        self.granted = 0
        self.ends_s = 0.0
        self.ask_lock = trio.Lock()
        self.used_at_s = trio.current_time()

    def is_free(self):
        """Return whether one more may run now."""
        return self.in_use < self.granted and trio.current_time() < self.ends_s


class Permit:
    """The right of one request to run, given back at its end."""

    __slots__ = ("_credit", "_estimate", "_is_open", "_slots")

    def __init__(self, slots, credit, estimate):
        self._slots = slots
        self._credit = credit
        self._estimate = estimate
        self._is_open = True

    def release(self, tokens):
        """Give the slot back and charge the tokens that were generated."""
        if self._is_open:
            self._is_open = False
            self._slots.in_use -= 1
            if self._credit is not None:
                self._credit.charge(tokens - self._estimate)


class Limits:
    """The limits of all organisations, as this entry may use them."""

    __slots__ = (
        "_credit_by_key",
        "_get_table",
        "_links",
        "_name",
        "_owner",
        "_region",
        "_slots_by_key",
        "_started_s",
        "_vm_view",
    )

    def __init__(self, name, region, owner, vm_view, links, get_table):
        self._name = name
        self._region = region
        self._owner = owner
        self._vm_view = vm_view
        self._links = links
        self._get_table = get_table
        self._credit_by_key = {}
        self._slots_by_key = {}
        self._started_s = trio.current_time()

    async def acquire(self, limits, tokens):
        """Return a `Permit`, or `Refused` when a limit is reached."""
        slots = await self._take_slot(limits)
        if slots is None:
            return _refuse(limit_owner.KIND_SLOTS, 500)
        kept = False
        try:
            credit, retry_ms = await self._take(
                limits, limit_owner.KIND_RATE, 1.0
            )
            if credit is None:
                return _refuse(limit_owner.KIND_RATE, retry_ms)
            token_credit = None
            if tokens > 0:
                token_credit, retry_ms = await self._take(
                    limits, limit_owner.KIND_TOKENS, float(tokens)
                )
                if token_credit is None:
                    credit.charge(-1.0)
                    return _refuse(limit_owner.KIND_TOKENS, retry_ms)
            kept = True
        finally:
            if not kept:
                slots.in_use -= 1
        return Permit(slots, token_credit, tokens)

    async def _take_slot(self, limits):
        slots = self._slots_by_key.setdefault(limits.key, _Slots())
        slots.used_at_s = trio.current_time()
        if not slots.is_free():
            async with slots.ask_lock:
                if not slots.is_free():
                    await self._ask_slots(limits.key, slots)
        # No await: the check and the taking are one step.
        if not slots.is_free():
            return None
        slots.in_use += 1
        return slots

    async def _ask_slots(self, key, slots):
        asked_s = trio.current_time()
        amount = slots.in_use + SLOTS_MARGIN
        reply = await self._ask(key, limit_owner.KIND_SLOTS, amount)
        if reply is None or reply.valid_ms == 0:
            self._fall_back(key, slots)
            return
        slots.granted = int(reply.granted)
        slots.ends_s = asked_s + reply.valid_ms / 1000

    def _fall_back(self, key, slots):
        """Allow this entry's even part while no owner answers."""
        table = self._get_table()
        organisation, pipeline, kind = key.split("|")
        row = table.get_row(pipeline, organisation, kind)
        members = len(self._owner.get_members()) or 1
        share = self._get_region_share(table)
        slots.granted = max(1, int(row.concurrency * share / members))
        slots.ends_s = trio.current_time() + ASK_TIMEOUT_S

    def _get_region_share(self, table):
        region = table.region_by_name.get(self._region)
        return region.share if region is not None else 0.0

    async def _take(self, limits, kind, amount):
        """Return `(credit, 0)` once taken, or `(None, retry_after_ms)`."""
        credit = self._get_credit(limits, kind)
        if credit.take(amount):
            return credit, 0
        retry_ms = limit_owner.RETRY_MIN_MS
        async with credit.ask_lock:
            # Another request may have brought a lease meanwhile.
            if credit.take(amount):
                return credit, 0
            if trio.current_time() >= credit.ask_next_s:
                retry_ms = await self._ask_credit(limits, kind, amount, credit)
            else:
                left_s = credit.ask_next_s - trio.current_time()
                retry_ms = max(retry_ms, int(left_s * 1000))
        if credit.take(amount):
            return credit, 0
        return None, retry_ms

    async def _ask_credit(self, limits, kind, amount, credit):
        rate = limit_owner.get_limit_rate(limits.row, kind)
        batch = min(credit.used_recently, rate * LEASE_BATCH_S)
        missing = max(0.0, amount - credit.get_available())
        asked_s = trio.current_time()
        reply = await self._ask(limits.key, kind, max(missing, batch, amount))
        if reply is None:
            credit.ask_next_s = trio.current_time() + ASK_PAUSE_S
            return int(ASK_TIMEOUT_S * 1000)
        if reply.granted > 0:
            ends_s = asked_s + reply.valid_ms / 1000
            credit.add_lease(reply.granted, ends_s)
            return limit_owner.RETRY_MIN_MS
        pause_s = min(reply.retry_after_ms / 1000, limit_owner.LOAN_PAUSE_S)
        credit.ask_next_s = trio.current_time() + pause_s
        return reply.retry_after_ms

    async def _ask(self, key, kind, amount):
        owner = self._owner.get_owner(key)
        request = messages.LeaseRequest(
            key=key, entry=self._name, kind=kind, amount=amount
        )
        if owner is None:
            return None
        if owner == self._name:
            return await self._owner.handle_lease_request(request)
        address = self._vm_view.get_address(owner)
        if address is None:
            return None
        link = self._links.get_link(address)
        reply = await link.ask(request, ASK_TIMEOUT_S)
        if isinstance(reply, base.NotSent | base.Lost):
            return None
        return reply

    def _get_credit(self, limits, kind):
        key = (limits.key, kind)
        table = self._get_table()
        members = len(self._owner.get_members()) or 1
        rate = limit_owner.get_limit_rate(limits.row, kind)
        rate *= self._get_region_share(table)
        rate *= limit_owner.RESERVE_SHARE / members
        capacity = max(1.0, rate * limit_owner.BURST_S)
        credit = self._credit_by_key.get(key)
        if credit is None:
            idle_s = trio.current_time() - self._started_s
            level = min(capacity, rate * idle_s)
            reserve = buckets.new_bucket(rate, capacity, level)
            credit = Credit(reserve)
            self._credit_by_key[key] = credit
        elif credit.reserve.rate_per_s != rate:
            credit.reserve.set_rate(rate, capacity)
        credit.used_at_s = trio.current_time()
        return credit

    async def run(self):
        """Renew slots that are in use, and forget what is idle."""
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            for credit in self._credit_by_key.values():
                credit.used_recently *= 0.5
            self._forget_idle(now)
            self._owner.forget_idle()
            for key, slots in list(self._slots_by_key.items()):
                soon_s = slots.ends_s - limit_owner.SLOT_LEASE_S * RENEW_SHARE
                if slots.in_use > 0 and now >= soon_s:
                    async with slots.ask_lock:
                        await self._ask_slots(key, slots)

    def _forget_idle(self, now):
        for key, credit in list(self._credit_by_key.items()):
            if now - credit.used_at_s > IDLE_S:
                del self._credit_by_key[key]
        for key, slots in list(self._slots_by_key.items()):
            if slots.in_use == 0 and now - slots.used_at_s > IDLE_S:
                del self._slots_by_key[key]

    def drop_leases(self):
        """Forget all leases, as after a pause."""
        for credit in self._credit_by_key.values():
            credit.drop_leases()
        for slots in self._slots_by_key.values():
            slots.ends_s = 0.0

    def count_credits(self):
        """Return how many limits this entry keeps state for."""
        return len(self._credit_by_key) + len(self._slots_by_key)


def _refuse(kind, retry_ms):
    return outcome.Refused(_REASON_BY_KIND[kind], retry_after_ms=retry_ms)


def new_limits(name, region, owner, vm_view, links, get_table):
    """Return the limits of an entry, with no credit yet."""
    return Limits(name, region, owner, vm_view, links, get_table)
