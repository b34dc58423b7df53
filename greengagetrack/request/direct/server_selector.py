"""Chooses the servers of one request, with the permits that they need."""

import trio

from greengagetrack.process.direct.decisions import return_time

# A permit that is got before the stages is used after them.
RESERVED_MAX_S = 1.5
# The caller of a stream that broke off waits for the rest of it.
RESUME_PATIENCE_S = 1.0
RESUME_PRIORITY = -1


class ServerSelector:
    """The choice of servers for one request, one after the other."""

    __slots__ = (
        "_admitted",
        "_chooser",
        "_excluded",
        "_origin",
        "_permits",
        "_permit",
        "_reserved",
        "_reserved_until_s",
        "service",
    )

    def __init__(self, chooser, permits, admitted):
        self._chooser = chooser
        self._permits = permits
        self._admitted = admitted
        self._excluded = set()
        # That of the reserved choice, or of the last one.
        self._permit = None
        self._reserved = None
        self._reserved_until_s = 0.0
        self.service = chooser.choose_service(
            admitted.route, admitted.eligibility.get()
        )
        # Once a stream has begun, it may go on at this version only.
        self._origin = None

    @property
    def is_bound(self):
        """Return whether the stream has begun."""
        return self._origin is not None

    @property
    def software_version(self):
        """Return the version that began the stream, None if unknown."""
        return self._origin and self._origin.version

    def bind(self, origin):
        """Choose servers like the one of a stream's `Origin` from now on."""
        self.service = origin.service
        self._origin = origin

    def has_servers(self):
        """Return whether there may be a server of the bound version."""
        return not self.is_bound or self._chooser.has_servers(
            self.service,
            self.software_version,
            eligibility=self._get_eligibility(),
        )

    def _get_eligibility(self):
        return self._admitted.eligibility.get()

    def _is_eligible(self, server):
        exclusion = self._get_eligibility().find_exclusion(
            server, self.software_version
        )
        return exclusion is None

    def has_untried(self):
        """Return whether a server of the bound version was not tried yet.

        It may be full.
        """
        return self.software_version is not None and self._chooser.has_servers(
            self.service,
            self.software_version,
            self._excluded,
            self._get_eligibility(),
        )

    async def reserve(self, stages_s):
        """Return whether the request may be sent to a server.

        Where all servers have limits, choose one and get its permit before
        the stages, which take `stages_s`: their results would be of no use.
        A warming server has none to reserve, as they must be used at once.
        """
        self.give_back()
        eligibility = self._get_eligibility()
        if not self._chooser.is_limited(
            self.service, self._excluded, eligibility
        ):
            return True
        patience_s = self._get_target_left_s() - stages_s
        priority = self._get_priority(False)
        if self._chooser.is_any_warming(
            self.service, self._excluded, eligibility
        ):
            return self._chooser.has_permit(
                self.service,
                self._excluded,
                priority,
                patience_s,
                eligibility,
            )
        choice = await self._choose({}, patience_s, priority)
        self._reserved = choice
        self._reserved_until_s = trio.current_time() + RESERVED_MAX_S
        return choice is not None

    async def choose(self, input_bytes, is_resumed):
        """Return the `Choice` of the next server, or None without one."""
        choice = self._pop_reserved()
        if choice is None:
            choice = await self._choose(
                input_bytes,
                self._get_patience_s(is_resumed),
                self._get_priority(is_resumed),
            )
        if choice is not None:
            # The request is sent with it now.
            self._permit = None
            self._excluded.add(choice.server.server_id)
        return choice

    def has_next(self, is_resumed):
        """Return whether a next server is there that may get the request."""
        if self.is_bound and self.software_version is None:
            return False
        return self._chooser.has_other(
            self.service,
            self._excluded,
            self._get_priority(is_resumed),
            self._get_patience_s(is_resumed),
            self.software_version,
            self._get_eligibility(),
        )

    def _pop_reserved(self):
        choice, self._reserved = self._reserved, None
        if choice is None:
            return None
        if trio.current_time() <= self._reserved_until_s:
            if self._is_eligible(choice.server):
                return choice
        self.give_back()
        return None

    def give_back(self):
        """Give back a permit with which no request was sent."""
        permit, self._permit = self._permit, None
        if permit is not None:
            self._permits.give_back(permit)

    def _get_patience_s(self, is_resumed):
        """Return how long the request may wait for a permit."""
        patience_s = self._get_target_left_s()
        return max(patience_s, RESUME_PATIENCE_S) if is_resumed else patience_s

    def _get_target_left_s(self):
        now = trio.current_time()
        return max(self._admitted.target_time_s - now, 0.0)

    def _get_priority(self, is_resumed):
        return RESUME_PRIORITY if is_resumed else self._admitted.queue_priority

    async def _choose(self, input_bytes, patience_s, priority):
        """Return a `Choice` whose server may get the request now."""
        if self.is_bound and self.software_version is None:
            return None
        without_permit = set()
        while True:
            choice = self._chooser.choose_server(
                self.service,
                self._admitted.request,
                self._excluded | without_permit,
                input_bytes,
                priority,
                patience_s,
                self.software_version,
                self._get_eligibility(),
            )
            if choice is None:
                return None
            server = choice.server
            self._permit = await self._permits.acquire(
                server, priority, max(patience_s - choice.wait_ms / 1000, 0.0)
            )
            if self._permit is not None and self._is_eligible(server):
                return choice
            self.give_back()
            without_permit.add(server.server_id)

    def get_return_ms(self):
        """Return when a refused caller may come back, None if unknown.

        That is when a permit is to be had, if servers are at their limits.
        """
        wait_s = self._chooser.get_permit_wait_s(
            self.service,
            self._excluded,
            self._admitted.queue_priority,
            self._get_eligibility(),
        )
        if not wait_s:
            return None
        return_s = return_time.get_return_s(
            wait_s,
            self._admitted.route.target_ms / 1000,
            self._admitted.deadline.get_left_s(),
            self._chooser.generator,
        )
        return int(return_s * 1000)


def new_server_selector(chooser, permits, admitted):
    """Return the selector of an admitted request."""
    return ServerSelector(chooser, permits, admitted)
