"""The owner of limits: grants short leases to the entries of its region.

An entry owns the limits for which it ranks first, by rendezvous hashing,
among the listed entries of its region. docs/design/limits.md proves the
bound on what all owners together can grant.
"""

import logging

import trio

from greengagetrack.connection import agent_messages
from greengagetrack.connection import base
from greengagetrack.process import buckets
from greengagetrack.version import rendezvous

LEASE_S = 2.0
SLOT_LEASE_S = 4.0
BURST_S = 1.0
RESERVE_SHARE = 0.4
LOAN_SHARE = 0.5
LOAN_PAUSE_S = 0.25
LOAN_TIMEOUT_S = 0.2
HANDOVER_PERIOD_S = 0.5
HANDOVER_TIMEOUT_S = 0.5
RETRY_MIN_MS = 50
IDLE_S = 60.0

KIND_RATE = "rate"
KIND_TOKENS = "tokens"
KIND_SLOTS = "slots"

_log = logging.getLogger(__name__)


def get_limit_rate(row, kind):
    """Return a row's limit per second of one kind of credit."""
    return row.rate_per_s if kind == KIND_RATE else row.tokens_per_s


class _Account:
    """One limit in this region: its bucket, loans and leased slots."""

    __slots__ = ("bucket", "last_used_s", "next_loan_s", "slot_leases")

    def __init__(self, bucket):
        self.bucket = bucket
        self.slot_leases = {}
        self.next_loan_s = 0.0
        self.last_used_s = trio.current_time()


class LimitOwner:
    """Issuer of leases on the limits that this entry owns."""

    __slots__ = (
        "_account_by_key",
        "_get_table",
        "_grants_from_s",
        "_last_members",
        "_links",
        "_name",
        "_region",
        "_relinquished_by",
        "_relinquished_to",
        "_vm_view",
    )

    def __init__(self, name, region, vm_view, links, get_table):
        self._name = name
        self._region = region
        self._vm_view = vm_view
        self._links = links
        self._get_table = get_table
        self._account_by_key = {}
        self._grants_from_s = trio.current_time() + SLOT_LEASE_S
        self._relinquished_by = set()
        self._relinquished_to = set()
        self._last_members = set()

    def get_members(self, region=None):
        """Return the names of the listed entries of a region."""
        entries = self._vm_view.get_entries(region=region or self._region)
        return {vm.name for vm in entries}

    def get_owner(self, key, region=None):
        """Return the entry that owns a limit in a region, or None."""
        return rendezvous.get_first(key, self.get_members(region))

    def may_grant(self, key):
        """Return whether this entry alone may grant leases on a limit.

        The entry that would own the limit without this one must have handed
        it over, because its VM list may not have this entry yet.
        """
        if trio.current_time() < self._grants_from_s:
            return False
        members = self.get_members()
        if members - {self._name} != self._last_members:
            # The list has changed, and run_handover() has not handled it yet.
            return False
        if rendezvous.get_first(key, members) != self._name:
            return False
        previous = rendezvous.get_first(key, members - {self._name})
        if previous is not None and previous not in self._relinquished_by:
            return False
        candidates = self._relinquished_to | {self._name}
        return rendezvous.get_first(key, candidates) == self._name

    def relinquish(self, entry):
        """Stop granting limits for which `entry` ranks above this one.

        This applies even if the VM list here does not have `entry` yet. It
        ends when `entry` is removed from the list, that is, when it is dead.
        """
        self._relinquished_to.add(entry)

    async def run_handover(self):
        """Request a handover from the other entries of the region.

        An entry that is no longer listed is dead; its grants end when its
        leases expire.
        """
        while True:
            members = self.get_members() - {self._name}
            self._remove_dead(members)
            self._relinquished_by &= members
            for entry in members - self._relinquished_by:
                await self._request_handover(entry)
            await trio.sleep(HANDOVER_PERIOD_S)

    def _remove_dead(self, members):
        dead = self._last_members - members
        self._relinquished_to -= dead
        if dead:
            # The leases that a dead owner granted must expire first.
            self._delay_grants()
        self._last_members = members

    async def _request_handover(self, entry):
        address = self._vm_view.get_address(entry)
        if address is None:
            return
        request = agent_messages.HandOverLimits(entry=self._name)
        link = self._links.get_link(address)
        reply = await link.request(request, HANDOVER_TIMEOUT_S)
        if isinstance(reply, agent_messages.Acknowledgement):
            self._relinquished_by.add(entry)
            self._delay_grants()

    def _delay_grants(self):
        # The leases that the previous owner granted must expire first.
        self._grants_from_s = trio.current_time() + SLOT_LEASE_S

    async def handle_lease_request(self, request):
        """Return the reply to a lease request of an entry or another owner."""
        refusal = agent_messages.LeaseReply(0.0, 0, RETRY_MIN_MS * 4)
        limit = self._get_limit(request)
        if limit is None or not self.may_grant(request.key):
            return refusal
        account = self._get_account(request, limit)
        if request.kind == KIND_SLOTS:
            return self._grant_slots(account, request, limit)
        if request.is_loan:
            return self._lend(account, request)
        if account.bucket.get_level() < request.amount:
            await self._borrow(account, request)
        # Borrowing waits for replies, so ownership is checked again.
        if not self.may_grant(request.key):
            return refusal
        granted = account.bucket.acquire_up_to(request.amount)
        if granted < min(1.0, request.amount):
            account.bucket.add(granted)
            wait_s = account.bucket.get_wait_s(1.0)
            retry_ms = max(RETRY_MIN_MS, int(wait_s * 1000))
            return agent_messages.LeaseReply(0.0, 0, retry_ms)
        return agent_messages.LeaseReply(granted, int(LEASE_S * 1000))

    def _get_limit(self, request):
        """Return this region's share of the limit, or None if unknown."""
        table = self._get_table()
        parts = request.key.split("|")
        if table is None or len(parts) != 3:
            return None
        organisation, pipeline, kind = parts
        row = table.get_row(pipeline, organisation, kind)
        region = table.region_by_name.get(self._region)
        if row is None or region is None:
            return None
        if request.kind == KIND_SLOTS:
            return int(row.concurrency * region.share)
        return get_limit_rate(row, request.kind) * region.share

    def _get_account(self, request, limit):
        key = (request.key, request.kind)
        rate = limit * (1 - RESERVE_SHARE)
        # One request must fit even if the region's share is small.
        capacity = max(1.0, rate * BURST_S, request.amount)
        account = self._account_by_key.get(key)
        if account is None:
            # No owner has granted this limit since `_grants_from_s`, so the
            # bucket has been filling from then on.
            idle_s = trio.current_time() - self._grants_from_s
            level = min(capacity, max(0.0, rate * idle_s))
            account = _Account(buckets.new_bucket(rate, capacity, level))
            self._account_by_key[key] = account
        elif account.bucket.rate_per_s != rate:
            account.bucket.set_rate(rate, capacity)
        account.last_used_s = trio.current_time()
        return account

    def _grant_slots(self, account, request, limit):
        now = trio.current_time()
        account.slot_leases = {
            entry: (count, expires_s)
            for entry, (count, expires_s) in account.slot_leases.items()
            if expires_s > now
        }
        leased = sum(
            count
            for entry, (count, _expires_s) in account.slot_leases.items()
            if entry != request.entry
        )
        granted = max(0, min(int(request.amount), max(1, limit) - leased))
        account.slot_leases[request.entry] = (granted, now + SLOT_LEASE_S)
        return agent_messages.LeaseReply(granted, int(SLOT_LEASE_S * 1000))

    def _lend(self, account, request):
        available = max(0.0, account.bucket.get_level())
        amount = min(request.amount, available * LOAN_SHARE)
        granted = account.bucket.acquire_up_to(amount)
        return agent_messages.LeaseReply(granted, int(LEASE_S * 1000))

    async def _borrow(self, account, request):
        """Request unused credit from the owners in other regions.

        A loan is deducted from the lender's bucket, so the sum over all
        regions does not change.
        """
        now = trio.current_time()
        if now < account.next_loan_s:
            return
        account.next_loan_s = now + LOAN_PAUSE_S
        missing = request.amount - account.bucket.get_level()
        table = self._get_table()
        for region in table.region_by_name:
            if region == self._region or missing <= 0:
                continue
            missing -= await self._borrow_from(region, request, missing)

    async def _borrow_from(self, region, request, missing):
        owner = self.get_owner(request.key, region)
        address = self._vm_view.get_address(owner) if owner else None
        if address is None:
            return 0.0
        loan_request = agent_messages.LeaseRequest(
            key=request.key,
            entry=self._name,
            kind=request.kind,
            amount=missing,
            is_loan=True,
        )
        link = self._links.get_link(address)
        requested_s = trio.current_time()
        reply = await link.request(loan_request, LOAN_TIMEOUT_S)
        if isinstance(reply, base.NotSent | base.Lost):
            return 0.0
        if trio.current_time() - requested_s > reply.valid_ms / 1000:
            return 0.0
        account = self._account_by_key.get((request.key, request.kind))
        if account is not None and reply.granted > 0:
            account.bucket.add(reply.granted)
        return reply.granted

    def remove_idle(self):
        """Remove accounts without a recent request."""
        now = trio.current_time()
        for key, account in list(self._account_by_key.items()):
            if now - account.last_used_s > IDLE_S:
                del self._account_by_key[key]

    def count_accounts(self):
        """Return the number of limits that this entry has accounts for."""
        return len(self._account_by_key)


def new_limit_owner(name, region, vm_view, links, get_table):
    """Return the limit owner of an entry; it grants after `SLOT_LEASE_S`."""
    return LimitOwner(name, region, vm_view, links, get_table)
