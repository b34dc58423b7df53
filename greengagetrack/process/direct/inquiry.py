"""Asks the peers which version of the catalog is the newest."""

import logging

import trio

ROUND_S = 0.1
# Peers of other regions may answer later than the first one.
ROUNDS_MIN = 3
ROUNDS_MAX = 10
QUESTION_ROUNDS = 3
PEERS_MAX = 8

_log = logging.getLogger(__name__)


class Inquiry:
    """The questions of one start, or of one return of the source.

    They end once a peer has answered that knows the newest version itself,
    and the others had a moment to answer, or after `ROUNDS_MAX` rounds. If
    the source was never restored, the answers of all known peers are enough:
    there may be others, who know no more than the source.
    Those that knew nothing themselves are asked again, also in the last round.
    Rounds are counted and not seconds, as the entry may stand still.
    """

    __slots__ = (
        "_asked",
        "_exchange",
        "_links",
        "_members",
        "_newest",
        "_started_s",
    )

    def __init__(self, newest, members, links, exchange):
        self._newest = newest
        self._members = members
        self._links = links
        self._exchange = exchange
        self._asked = set()
        self._started_s = trio.current_time()

    async def run(self):
        """Ask until there is an answer or the rounds are over."""
        await self._run_rounds()
        answered = [
            peer for peer in self._choose() if self._has_answered(peer)
        ]
        _log.info(
            "peers asked for the newest version",
            extra={
                "decision": "ask",
                "peers": len(self._choose()),
                "answered": len(answered),
                "informed": sum(peer.is_informed for peer in answered),
                "spent_s": round(trio.current_time() - self._started_s, 2),
            },
        )

    async def _run_rounds(self):
        async with trio.open_nursery() as nursery:
            for number in range(1, ROUNDS_MAX + 1):
                if number % QUESTION_ROUNDS == 1:
                    self._ask_uninformed_again()
                for peer in self._choose():
                    if peer.address not in self._asked:
                        nursery.start_soon(self._ask, peer)
                if not self._choose():
                    break
                await trio.sleep(ROUND_S)
                if self._is_over(number):
                    break
            nursery.cancel_scope.cancel()

    def _choose(self):
        """Return the peers to ask: the seeds, then those they know."""
        peers = list(self._members.peer_by_address.values())
        peers.sort(key=lambda peer: peer.address not in self._members.seeds)
        return peers[:PEERS_MAX]

    def _ask_uninformed_again(self):
        """Let those be asked again that may have been told since."""
        self._asked.difference_update(
            peer.address
            for peer in self._choose()
            if self._has_answered(peer) and not peer.is_informed
        )

    async def _ask(self, peer):
        # Links open in the background; a question needs an open one.
        if not self._links.get_link(peer.address).is_up():
            return
        self._asked.add(peer.address)
        await self._exchange(peer)
        if not self._has_answered(peer):
            self._asked.discard(peer.address)

    def _has_answered(self, peer):
        return peer.last_exchange_s >= self._started_s

    def _is_over(self, number):
        peers = self._choose()
        answered = [peer for peer in peers if self._has_answered(peer)]
        if any(peer.is_informed for peer in answered):
            return len(answered) == len(peers) or number >= ROUNDS_MIN
        is_answered = len(answered) == len(self._members.peer_by_address)
        return is_answered and self._newest.is_word_certain()


async def run_whenever_due(newest, members, links, exchange, containment):
    """Ask the peers whenever `newest` waits for them, until cancelled.

    `await exchange(peer)` exchanges digests with one peer.
    """
    while True:
        await newest.wait_asking()
        is_over = False
        with containment.contain("inquiry"):
            await Inquiry(newest, members, links, exchange).run()
            is_over = True
        if is_over:
            newest.end_asking()
        else:
            # Without an answer a withdrawn key might be taken.
            await trio.sleep(ROUND_S)
