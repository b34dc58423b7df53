"""Enforcement of limits in an entry, with leases from the limit owner."""

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.connection import base
from greengagetrack.process import buckets
from greengagetrack.process import limit_owner
from greengagetrack.request import outcome

LEASE_TIMEOUT_S = 0.25
LEASE_RETRY_PAUSE_S = 0.05
LEASE_BATCH_S = 0.5
RENEW_RATIO = 0.5
SPARE_SLOTS = 2
IDLE_S = 60.0
RENEW_PERIOD_S = 0.25

_REASON_BY_KIND = {
    limit_owner.KIND_RATE: outcome.Reason.RATE_LIMIT,
    limit_owner.KIND_TOKENS: outcome.Reason.TOKEN_LIMIT,
    limit_owner.KIND_SLOTS: outcome.Reason.CONCURRENCY_LIMIT,
}


class _Lease:
    """An amount granted by the limit owner, with its expiry."""

    __slots__ = ("amount", "expires_s")

    def __init__(self, amount, expires_s):
        self.amount = amount
        self.expires_s = expires_s


class Credit:
    """The amount of one limit that this entry may still admit.

    The reserve is this entry's fixed part of the region's share and needs
    no grant of the owner. Leases are consumed in order of expiry, which is
    checked at the moment of use.
    """

    __slots__ = (
        "_leases",
        "last_used_s",
        "next_request_s",
        "recent_usage",
        "request_lock",
        "reserve",
    )

    def __init__(self, reserve):
        self.reserve = reserve
        self._leases = []
        self.request_lock = trio.Lock()
        self.next_request_s = 0.0
        self.last_used_s = trio.current_time()
        self.recent_usage = 0.0

    def add_lease(self, amount, expires_s):
        """Add a lease granted by the limit owner."""
        self._leases.append(_Lease(amount, expires_s))

    def get_available(self):
        """Return the amount available now."""
        now = trio.current_time()
        self._leases = [
            lease
            for lease in self._leases
            if lease.expires_s > now and lease.amount > 0
        ]
        leased = sum(lease.amount for lease in self._leases)
        return leased + self.reserve.get_level()

    def try_acquire(self, amount):
        """Deduct `amount` if it is available; return whether it was."""
        # No await between the check and the deduction.
        if self.get_available() < amount:
            return False
        self.recent_usage += amount
        remaining = amount
        for lease in self._leases:
            used = min(remaining, lease.amount)
            lease.amount -= used
            remaining -= used
        self.reserve.add(-remaining)
        return True

    def charge(self, difference):
        """Charge use beyond the estimate, or refund it if negative."""
        self.reserve.add(-difference)

    def drop_leases(self):
        """Drop all leases, for example after a pause of the process."""
        self._leases = []


class _Slots:
    """Concurrency slots of one limit: in use and granted."""

    __slots__ = (
        "expires_s",
        "granted",
        "in_use",
        "last_used_s",
        "request_lock",
    )

    def __init__(self):
        self.in_use = 0
        self.granted = 0
        self.expires_s = 0.0
        self.request_lock = trio.Lock()
        self.last_used_s = trio.current_time()

    def is_free(self):
        """Return whether one more request may run now."""
        return (
            self.in_use < self.granted and trio.current_time() < self.expires_s
        )


class Permit:
    """Permission of one request to run, released when it ends."""

    __slots__ = ("_credit", "_estimate", "_is_held", "_slots")

    def __init__(self, slots, credit, estimate):
        self._slots = slots
        self._credit = credit
        self._estimate = estimate
        self._is_held = True

    def release(self, tokens):
        """Free the slot and charge the generated tokens."""
        if self._is_held:
            self._is_held = False
            self._slots.in_use -= 1
            if self._credit is not None:
                self._credit.charge(tokens - self._estimate)


class Limits:
    """The credits and slots of this entry for all limits."""

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

    async def acquire(self, row_limits, tokens):
        """Return a `Permit`, or `Refused` when a limit is reached."""
        slots = await self._acquire_slot(row_limits)
        if slots is None:
            return _refuse(limit_owner.KIND_SLOTS, 500)
        is_acquired = False
        try:
            credit, retry_ms = await self._acquire_credit(
                row_limits, limit_owner.KIND_RATE, 1.0
            )
            if credit is None:
                return _refuse(limit_owner.KIND_RATE, retry_ms)
            token_credit = None
            if tokens > 0:
                token_credit, retry_ms = await self._acquire_credit(
                    row_limits, limit_owner.KIND_TOKENS, float(tokens)
                )
                if token_credit is None:
                    credit.charge(-1.0)
                    return _refuse(limit_owner.KIND_TOKENS, retry_ms)
            is_acquired = True
        finally:
            if not is_acquired:
                slots.in_use -= 1
        return Permit(slots, token_credit, tokens)

    async def _acquire_slot(self, row_limits):
        slots = self._slots_by_key.setdefault(row_limits.key, _Slots())
        slots.last_used_s = trio.current_time()
        if not slots.is_free():
            async with slots.request_lock:
                if not slots.is_free():
                    await self._request_slots(row_limits.key, slots)
        # No await between the check and the increment.
        if not slots.is_free():
            return None
        slots.in_use += 1
        return slots

    async def _request_slots(self, key, slots):
        requested_s = trio.current_time()
        amount = slots.in_use + SPARE_SLOTS
        reply = await self._request_lease(key, limit_owner.KIND_SLOTS, amount)
        if reply is None or reply.valid_ms == 0:
            self._use_fallback_slots(key, slots)
            return
        slots.granted = int(reply.granted)
        slots.expires_s = requested_s + reply.valid_ms / 1000

    def _use_fallback_slots(self, key, slots):
        """Use an equal part of the region's share without an owner's grant."""
        table = self._get_table()
        organisation, pipeline, kind = key.split("|")
        row = table.get_row(pipeline, organisation, kind)
        member_count = len(self._owner.get_members()) or 1
        share = self._get_region_share(table)
        slots.granted = max(1, int(row.concurrency * share / member_count))
        slots.expires_s = trio.current_time() + LEASE_TIMEOUT_S

    def _get_region_share(self, table):
        region = table.region_by_name.get(self._region)
        return region.share if region is not None else 0.0

    async def _acquire_credit(self, row_limits, kind, amount):
        """Return `(credit, 0)` if acquired, else `(None, retry_after_ms)`."""
        credit = self._get_credit(row_limits, kind)
        if credit.try_acquire(amount):
            return credit, 0
        retry_ms = limit_owner.RETRY_MIN_MS
        async with credit.request_lock:
            # Another request may have obtained a lease meanwhile.
            if credit.try_acquire(amount):
                return credit, 0
            if trio.current_time() >= credit.next_request_s:
                retry_ms = await self._request_credit(
                    row_limits, kind, amount, credit
                )
            else:
                wait_s = credit.next_request_s - trio.current_time()
                retry_ms = max(retry_ms, int(wait_s * 1000))
        if credit.try_acquire(amount):
            return credit, 0
        return None, retry_ms

    async def _request_credit(self, row_limits, kind, amount, credit):
        rate = limit_owner.get_limit_rate(row_limits.row, kind)
        batch = min(credit.recent_usage, rate * LEASE_BATCH_S)
        missing = max(0.0, amount - credit.get_available())
        requested_s = trio.current_time()
        reply = await self._request_lease(
            row_limits.key, kind, max(missing, batch, amount)
        )
        if reply is None:
            credit.next_request_s = trio.current_time() + LEASE_RETRY_PAUSE_S
            return int(LEASE_TIMEOUT_S * 1000)
        if reply.granted > 0:
            expires_s = requested_s + reply.valid_ms / 1000
            credit.add_lease(reply.granted, expires_s)
            return limit_owner.RETRY_MIN_MS
        pause_s = min(reply.retry_after_ms / 1000, limit_owner.LOAN_PAUSE_S)
        credit.next_request_s = trio.current_time() + pause_s
        return reply.retry_after_ms

    async def _request_lease(self, key, kind, amount):
        owner = self._owner.get_owner(key)
        request = agent_messages.LeaseRequest(
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
        reply = await link.request(request, LEASE_TIMEOUT_S)
        if isinstance(reply, base.NotSent | base.Lost):
            return None
        return reply

    def _get_credit(self, row_limits, kind):
        key = (row_limits.key, kind)
        table = self._get_table()
        member_count = len(self._owner.get_members()) or 1
        rate = limit_owner.get_limit_rate(row_limits.row, kind)
        rate *= self._get_region_share(table)
        rate *= limit_owner.RESERVE_SHARE / member_count
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
        credit.last_used_s = trio.current_time()
        return credit

    async def run(self):
        """Renew slots that are in use and remove idle state, periodically."""
        while True:
            await trio.sleep(RENEW_PERIOD_S)
            now = trio.current_time()
            for credit in self._credit_by_key.values():
                credit.recent_usage *= 0.5
            self._remove_idle(now)
            self._owner.remove_idle()
            for key, slots in list(self._slots_by_key.items()):
                renew_from_s = (
                    slots.expires_s - limit_owner.SLOT_LEASE_S * RENEW_RATIO
                )
                if slots.in_use > 0 and now >= renew_from_s:
                    async with slots.request_lock:
                        await self._request_slots(key, slots)

    def _remove_idle(self, now):
        for key, credit in list(self._credit_by_key.items()):
            if now - credit.last_used_s > IDLE_S:
                del self._credit_by_key[key]
        for key, slots in list(self._slots_by_key.items()):
            if slots.in_use == 0 and now - slots.last_used_s > IDLE_S:
                del self._slots_by_key[key]

    def drop_leases(self):
        """Drop all leases, for example after a pause of the process."""
        for credit in self._credit_by_key.values():
            credit.drop_leases()
        for slots in self._slots_by_key.values():
            slots.expires_s = 0.0

    def count_credits(self):
        """Return the number of credits and slot states in memory."""
        return len(self._credit_by_key) + len(self._slots_by_key)


def _refuse(kind, retry_ms):
    return outcome.Refused(_REASON_BY_KIND[kind], retry_after_ms=retry_ms)


def new_limits(name, region, owner, vm_view, links, get_table):
    """Return the limits of an entry, without leases."""
    return Limits(name, region, owner, vm_view, links, get_table)
