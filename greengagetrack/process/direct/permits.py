"""Permits to send requests to servers that name a limit.

One entry owns the limit of a server: the one that owns the pool of its
service in its data centre. It gives a permit for each request that any entry
sends there. An entry that gets no answer from it keeps to its own turns.

A warming server crashes above its rate, so its permits are given only by an
owner that is alive to most entries: never by more than two, see
`decisions.warming`.
"""

import collections
import logging

import msgspec
import trio

from greengagetrack.connection import direct_messages
from greengagetrack.connection import messages
from greengagetrack.process.direct.decisions import permit_queue
from greengagetrack.process.direct import limit_news

# The time that the owner's answer takes, beside the wait for the permit.
ANSWER_TIMEOUT_S = 0.3
# How long an owner that did not answer is not asked again.
SILENT_OWNER_S = 1.0
# A request that waits may be refused meanwhile, or the limit may end.
CHECK_S = 0.1
# A warming server is not worth a longer wait: others are there.
WARMING_PATIENCE_S = 0.5
# Longer waits are not told exactly.
WAIT_MAX_S = 60.0
MS = 1000

_log = logging.getLogger(__name__)


class Permit(msgspec.Struct, frozen=True):
    """What lets one request out to the server of a `ServerLimit`.

    `queue` or `owner` tells who gave it: a `PermitQueue` of this entry, or
    the address of another one. Neither, if none was needed, or if it was a
    turn of this entry, which nobody can use later.
    """

    limit: object
    queue: permit_queue.PermitQueue | None = None
    owner: str = ""


class Permits:
    """Gets permits from their owners, and gives those that are owned here."""

    __slots__ = (
        "_directory",
        "_generator",
        "_links",
        "_members",
        "_observer",
        "_silent_until_s_by_address",
        "counts",
    )

    def __init__(self, members, links, directory, observer, generator):
        self._members = members
        self._links = links
        self._directory = directory
        self._observer = observer
        self._generator = generator
        self._silent_until_s_by_address = {}
        # Requests for permits to warming servers, by what became of them.
        self.counts = collections.Counter()

    async def acquire(self, server, priority, patience_s):
        """Return a `Permit` to send a request to a server, or None.

        Wait for it for at most `patience_s`, if one is needed. Lower
        priorities go first.
        """
        limit = server.limit
        if limit.per_s is None:
            return Permit(limit)
        if not limit.is_warming:
            return await self._acquire(server, priority, patience_s)
        permit = await self._acquire(
            server, priority, min(patience_s, WARMING_PATIENCE_S)
        )
        self.counts["refused" if permit is None else "granted"] += 1
        return permit

    async def _acquire(self, server, priority, patience_s):
        limit = server.limit
        owner = self._find_owner(server)
        if owner is not None:
            permit = Permit(limit, owner=owner.address)
            answer = await self._ask(owner, server, priority, patience_s)
        elif self._may_grant(server):
            permit = Permit(limit, queue=limit.get_queue())
            answer = await self._wait_here(server, priority, patience_s)
        else:
            answer = None
        if answer is None:
            return Permit(limit) if self._try_turn(server) else None
        limit.record_answer(answer)
        return permit if answer.is_granted else None

    def _may_grant(self, server):
        """Return whether this entry may give permits as their owner.

        For a warming server there must never be many that do so.
        """
        if not server.limit.is_warming:
            return True
        is_owner = self._find_owner(server) is None
        return is_owner and self._members.sees_majority()

    def give_back(self, permit):
        """Give back a `Permit` with which no request was sent.

        That of a warming server is lost: used later, it would fall together
        with others.
        """
        limit = permit.limit
        if limit.is_warming:
            return
        if permit.owner:
            limit.add_unused(permit.owner)
        elif permit.queue is not None and limit.queue is permit.queue:
            limit.queue.give_back(1, trio.current_time())
        else:
            return
        limit.forget_wait()

    def try_acquire(self, server):
        """Return whether a request may be sent to a server at once."""
        if server.limit.per_s is None:
            return True
        if self._find_owner(server) is not None:
            return self._try_turn(server)
        if not self._may_grant(server):
            return self._try_turn(server)
        return server.limit.get_queue().try_acquire(trio.current_time())

    def _find_owner(self, server):
        published = server.published
        return self._members.find_owner(
            published.service, published.data_centre
        )

    def _try_turn(self, server):
        """Return whether this entry may send without the owner."""
        limit = server.limit
        if limit.per_s is None:
            return True
        if limit.turns is None:
            limit.turns = permit_queue.Turns(self._generator.random)
        return limit.turns.try_acquire(
            limit.per_s,
            self._members.count_entries(),
            trio.current_time(),
            limit.turn_share,
        )

    async def _wait_here(self, server, priority, patience_s):
        """Return the `PermitAnswer` of the queue that this entry owns."""
        queue = server.limit.get_queue()
        ticket = queue.add(
            priority,
            trio.current_time() + patience_s,
            trio.current_time(),
        )
        try:
            while ticket.state is permit_queue.TicketState.WAITING:
                if server.limit.queue is not queue:
                    # The limit has ended, or the server.
                    return permit_queue.PermitAnswer(True, 0.0, priority)
                next_s = queue.get_next_s(trio.current_time())
                await trio.sleep(min(next_s, CHECK_S))
                queue.update(trio.current_time())
        finally:
            queue.remove(ticket)
        return permit_queue.PermitAnswer(
            ticket.state is permit_queue.TicketState.GRANTED,
            queue.get_wait_s(priority, trio.current_time()),
            priority,
        )

    async def _ask(self, owner, server, priority, patience_s):
        """Return the `PermitAnswer` of the owner, or None without one."""
        now = trio.current_time()
        if now < self._silent_until_s_by_address.get(owner.address, 0.0):
            return None
        message = direct_messages.AcquirePermit(
            limit_news.new_message(server, self._observer),
            priority,
            int(patience_s * MS),
            server.limit.pop_unused(owner.address),
        )
        link = self._links.get_link(owner.address)
        reply = await link.request(message, patience_s + ANSWER_TIMEOUT_S)
        if not isinstance(reply, direct_messages.PermitReply):
            self._record_silence(owner, server)
            return None
        return permit_queue.PermitAnswer(
            reply.is_granted, reply.next_wait_ms / MS, priority
        )

    def _record_silence(self, owner, server):
        now = trio.current_time()
        until_s_by_address = self._silent_until_s_by_address
        for address, until_s in list(until_s_by_address.items()):
            if until_s < now:
                del until_s_by_address[address]
        until_s_by_address[owner.address] = now + SILENT_OWNER_S
        _log.info(
            "owner of a limit does not answer",
            extra={
                "decision": "limit_turn",
                "peer": owner.name,
                "server": server.server_id,
            },
        )

    async def handle(self, message):
        """Return the reply to an `AcquirePermit` of another entry."""
        server = limit_news.apply(
            self._directory, message.limit, self._observer
        )
        if server is None:
            return messages.Rejected("no such server")
        if server.limit.per_s is None:
            return direct_messages.PermitReply(True)
        if not self._may_grant(server):
            return messages.Rejected("not the owner of the limit")
        if message.unused and not server.limit.is_warming:
            server.limit.get_queue().give_back(
                message.unused, trio.current_time()
            )
        answer = await self._wait_here(
            server, message.priority, message.patience_ms / MS
        )
        next_wait_s = min(answer.next_wait_s, WAIT_MAX_S)
        return direct_messages.PermitReply(
            answer.is_granted, int(next_wait_s * MS)
        )


def new_permits(members, links, directory, observer, generator):
    """Return the permits of an entry, known to others as `observer`."""
    return Permits(members, links, directory, observer, generator)
