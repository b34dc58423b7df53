"""Keeps requests, and parts of prompts, that crash servers away from them.

The decisions are those of `decisions.crash_evidence`. This module confirms
that a server has crashed, logs each change with its evidence, and exchanges
the evidence with the other entries.
"""

import logging
import math

import msgspec
import trio

from greengagetrack.connection import direct_messages
from greengagetrack.process.direct.decisions import blame
from greengagetrack.process.direct.decisions import crash_evidence

# Requests that break off together do so within this time.
COLLECT_S = 0.05
# The evidence is weighed anew no more often than this.
UPDATE_INTERVAL_S = 0.1
CRASHED_TOLD_MAX = 32
TOLD_AGE_MAX_S = 10.0
# Of all requests that one message tells.
PARTS_TOLD_MAX = 256
SOUND_TOLD_MAX = 512
# A peer hears a sound part from another entry within this time.
SOUND_LAG_S = 2.0
PARTS_LOGGED_MAX = 16
SUSPECTS_MAX = 32
# A request that crashes its server does so soon after its answer began.
BEGIN_MAX_S = 0.5
# From then on, a request is kept from the last server of its service.
RISKY_CRASHES = 2
LENGTH_BYTES = 8
# How long peers are told that a part that they hold is sound.
DISPUTE_S = 10.0
MS = 1000

_log = logging.getLogger(__name__)


class HeardNews(msgspec.Struct, frozen=True):
    """What a peer has replied to, so that it is not told again.

    `number` is the last `CrashedRequest` that it was told, `asked_s` when
    the last message was sent to which it replied.
    """

    number: int = 0
    asked_s: float = -math.inf


NOTHING_HEARD = HeardNews()


class CrashGuard:
    """The evidence of one entry, from its own requests and its peers."""

    __slots__ = (
        "_disputed_until_s_by_part",
        "_evidence",
        "_gateway",
        "_get_digest",
        "_nursery",
        "_suspects_by_lifetime",
        "_update_due_s",
        "announce",
    )

    def __init__(self, gateway, nursery, get_digest):
        self._evidence = crash_evidence.new_crash_evidence()
        self._gateway = gateway
        self._get_digest = get_digest
        self._nursery = nursery
        # Called on a crash, so that peers hear of it before copies come.
        self.announce = lambda: None
        self._suspects_by_lifetime = {}
        self._disputed_until_s_by_part = {}
        self._update_due_s = 0.0

    def find_held(self, request):
        """Return the part because of which a request is refused, or None.

        It may be the identity of the request.
        """
        if self._evidence.is_empty():
            return None
        now_s = trio.current_time()
        self._update(now_s)
        parts = [*request.shared_parts, self._identify(request)]
        return self._evidence.find_held(parts, now_s)

    def is_last_at_risk(self, request, servers):
        """Return whether a request may crash the last of its `servers`."""
        if self._evidence.is_empty() or len(servers) < 2:
            return False
        crash_times = self._evidence.get_crash_times(self._identify(request))
        if len(crash_times) < RISKY_CRASHES:
            return False
        alive = [
            server
            for server in servers
            if not server.is_suspect()
            and server.last_success_s
            >= crash_times.get(_get_lifetime(server), -math.inf)
        ]
        return len(alive) < 2

    def _identify(self, request):
        """Return what copies of a request share, as a suspect part.

        It is a digest, since news and logs must not tell what callers send.
        """
        if request.identity is None:
            fields = (
                (request.api_key or "").encode(),
                request.method,
                request.host.encode(),
                request.target,
                request.body,
            )
            data = b"".join(
                len(field).to_bytes(LENGTH_BYTES) + field for field in fields
            )
            digest = self._get_digest(data).hex()
            request.identity = blame.IDENTITY_PREFIX + digest
        return request.identity

    def record_sound(self, request):
        """Record that the answer of a request goes well at its server."""
        now_s = trio.current_time()
        self._log_changes(
            self._evidence.record_sound(request.shared_parts, now_s)
        )

    def record_whole(self, request):
        """Record that a request was answered to the end."""
        if self._evidence.is_empty():
            return
        identity = self._identify(request)
        if self._evidence.is_suspect(identity):
            now_s = trio.current_time()
            self._log_changes(self._evidence.add_sound(identity, now_s))

    def record_break(self, server, request, attempt):
        """Record a request that broke off under an `Attempt`."""
        parts = () if attempt.is_sound else tuple(request.shared_parts)
        if not attempt.has_begun or attempt.get_answer_s() < BEGIN_MAX_S:
            parts += (self._identify(request),)
        if not parts or server.published.is_leaving:
            return
        lifetime = _get_lifetime(server)
        suspect = blame.Suspect(request.log_id, parts, attempt.has_begun)
        suspects = self._suspects_by_lifetime.get(lifetime)
        if suspects is None:
            self._suspects_by_lifetime[lifetime] = [suspect]
            self._nursery.start_soon(
                self._confirm_crash, server.published, lifetime
            )
        elif len(suspects) < SUSPECTS_MAX:
            suspects.append(suspect)

    async def _confirm_crash(self, published, lifetime):
        """Blame the suspects if their server no longer listens."""
        try:
            await trio.sleep(COLLECT_S)
            is_refusing = await self._gateway.is_refusing(published)
        finally:
            suspects = self._suspects_by_lifetime.pop(lifetime)
        if is_refusing:
            now_s = trio.current_time()
            self._log_changes(
                self._evidence.record_crash(lifetime, suspects, now_s)
            )
            self.announce()

    def new_news(self, heard=NOTHING_HEARD):
        """Return what to tell a peer, or None if there is nothing.

        It is told each request until it has replied, and what is sound for
        a while longer: others may tell of a crash meanwhile.
        """
        evidence = self._evidence
        now_s = trio.current_time()
        disputed = self._get_disputed(now_s)
        if evidence.is_empty() and not disputed:
            return None
        self._update(now_s)
        recent = evidence.get_crashed(now_s - TOLD_AGE_MAX_S)
        crashed_requests = _choose_told(recent, heard.number)
        holds = evidence.get_holds()
        parts = _get_parts(crashed_requests) | holds.keys() | disputed
        sound_s_by_part = _choose_sound(
            evidence.get_sound_times(parts),
            evidence.get_sound_times(_get_parts(recent) - parts),
            heard.asked_s - SOUND_LAG_S,
        )
        return direct_messages.CrashNews(
            crashed=[
                direct_messages.CrashedRequest(
                    crashed.lifetime,
                    _to_age_ms(crashed.crashed_s, now_s),
                    crashed.suspect.request_id,
                    list(crashed.suspect.parts),
                    crashed.suspect.has_begun,
                )
                for crashed in crashed_requests
            ],
            holds=[
                direct_messages.PartHold(
                    part,
                    _to_age_ms(hold.since_s, now_s),
                    _to_age_ms(hold.seen_s, now_s),
                )
                for part, hold in holds.items()
            ],
            sound=[
                direct_messages.SoundPart(part, _to_age_ms(sound_s, now_s))
                for part, sound_s in sound_s_by_part.items()
            ],
            last_number=max(
                (crashed.number for crashed in crashed_requests),
                default=heard.number,
            ),
        )

    def _get_disputed(self, now_s):
        """Return the parts that peers hold and that are known as sound."""
        until_s_by_part = self._disputed_until_s_by_part
        for part in [
            part
            for part, until_s in until_s_by_part.items()
            if until_s < now_s
        ]:
            del until_s_by_part[part]
        return set(until_s_by_part)

    def apply_news(self, news):
        """Add what a peer tells, which is None if that is nothing."""
        if news is None:
            return
        now_s = trio.current_time()
        evidence = self._evidence
        changes = []
        for told in news.sound:
            changes += evidence.add_sound(told.part, now_s - told.age_ms / MS)
        for told in news.crashed:
            suspect = blame.Suspect(
                told.request_id, tuple(told.parts), told.has_begun
            )
            changes += evidence.add_crashed(
                blame.CrashedRequest(
                    told.lifetime, now_s - told.age_ms / MS, suspect
                )
            )
        for told in news.holds:
            since_s = now_s - told.since_age_ms / MS
            if evidence.was_sound_since(told.part, since_s):
                self._disputed_until_s_by_part[told.part] = now_s + DISPUTE_S
            changes += evidence.add_hold(
                told.part, since_s, now_s - told.seen_age_ms / MS
            )
        self._log_changes(changes)
        self._update(now_s)

    def _update(self, now_s):
        if now_s >= self._update_due_s:
            self._update_due_s = now_s + UPDATE_INTERVAL_S
            self._log_changes(self._evidence.update(now_s))

    def _log_changes(self, changes):
        for change in changes:
            _log.info(
                "prompt part",
                extra={
                    "decision": change.kind,
                    "parts": change.parts[-PARTS_LOGGED_MAX:],
                    "part_count": len(change.parts),
                    "lifetimes": change.lifetimes,
                },
            )


def _get_parts(crashed_requests):
    return {
        part for crashed in crashed_requests for part in crashed.suspect.parts
    }


def _choose_told(crashed_requests, heard_number):
    """Return the requests to tell next, those that were heard of first."""
    unheard = [
        crashed
        for crashed in crashed_requests
        if crashed.number > heard_number
    ]
    chosen, part_count = [], 0
    for crashed in unheard[:CRASHED_TOLD_MAX]:
        part_count += len(crashed.suspect.parts)
        if chosen and part_count > PARTS_TOLD_MAX:
            break
        chosen.append(crashed)
    return chosen


def _choose_sound(sound_s_by_part, sound_s_by_told_part, since_s):
    """Return when parts were sound: of those told before, what is new."""
    news = {
        part: sound_s
        for part, sound_s in sound_s_by_told_part.items()
        if sound_s >= since_s
    }
    sound_s_by_told = {**sound_s_by_part, **news}
    newest = sorted(
        sound_s_by_told, key=lambda part: sound_s_by_told[part], reverse=True
    )
    return {part: sound_s_by_told[part] for part in newest[:SOUND_TOLD_MAX]}


def _get_lifetime(server):
    return f"{server.server_id}/{server.published.incarnation}"


def _to_age_ms(time_s, now_s):
    return max(int((now_s - time_s) * MS), 0)


def new_crash_guard(gateway, nursery, get_digest):
    """Return a guard that confirms crashes by `gateway` in `nursery`.

    `get_digest(data)` returns a digest that is the same at all entries.
    """
    return CrashGuard(gateway, nursery, get_digest)
