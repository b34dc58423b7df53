"""Which servers are warming, from all that tells of it.

A server's record and its answers say how much longer it is warming, and
peers pass that on. One that starts anew is taken for warming before any of
them says so.
"""

import logging

import trio

from greengagetrack.process.direct.decisions import warming

UPDATE_PERIOD_S = 0.1

_log = logging.getLogger(__name__)


class WarmingServers:
    """The servers that are warming, as far as this entry knows.

    Servers whose service has no warming rate are never among them.
    """

    __slots__ = ("_get_catalog", "_ratio", "_servers", "_slack")

    def __init__(self, get_catalog):
        self._get_catalog = get_catalog
        self._ratio = 1.0
        self._slack = 0.0
        self._servers = set()

    def set_bound(self, ratio, slack):
        """Set what a server may get beyond its rate, from now on."""
        self._ratio = ratio
        self._slack = slack

    def count(self):
        """Return the number of servers that are warming."""
        return len(self._servers)

    def record_published(self, server, is_new):
        """Record what the record of a server says.

        `is_new` says that the server has started while this entry ran.
        """
        left_s = server.published.warming_left_s
        service = self._get_service(server)
        if is_new and service is not None and not left_s:
            left_s = service.warming_s
        self._record(server, left_s, is_observed=True)

    def record_answer(self, server, left_s):
        """Record what an answer of a server says."""
        self._record(server, left_s, is_observed=True)

    def record_told(self, server, left_s):
        """Record what another entry tells."""
        self._record(server, left_s, is_observed=False)

    def _record(self, server, left_s, is_observed):
        service = self._get_service(server)
        if left_s <= 0 or service is None or not service.warming_per_s:
            return
        told_s = trio.current_time() + min(left_s, warming.SPELL_MAX_S)
        if is_observed:
            told_s += warming.NEWS_TOLERANCE_S
        spell = server.limit.spell
        until_s = warming.get_later_end(
            None if spell is None else spell.until_s, told_s, is_observed
        )
        if spell is not None and until_s == spell.until_s:
            return
        pace = warming.get_pace(
            service.warming_per_s, self._ratio, self._slack
        )
        if server.limit.set_spell(warming.Spell(pace, until_s)):
            self._servers.add(server)
            _log_change("server is warming", server, left_s, is_observed)

    def _get_service(self, server):
        catalog = self._get_catalog()
        if catalog is None:
            return None
        return catalog.service_by_name.get(server.published.service)

    def forget(self, server):
        """Forget a server that was removed or has started anew."""
        self._servers.discard(server)

    def update(self):
        """Lead those back whose time is over."""
        for server in list(self._servers):
            if server.limit.update_spell():
                self._servers.discard(server)
                server.record_warmed_up()
                _log_change("server has warmed up", server)

    async def run(self, containment):
        """Update until cancelled."""
        while True:
            await trio.sleep(UPDATE_PERIOD_S)
            with containment.contain("warming"):
                self.update()


def _log_change(message, server, left_s=None, is_observed=True):
    fields = {
        "decision": "warming",
        "server": server.server_id,
        "service": server.published.service,
        "incarnation": server.published.incarnation,
        "per_s": server.limit.per_s,
    }
    if left_s is not None:
        fields["left_s"] = round(left_s, 2)
        fields["is_observed"] = is_observed
    _log.info(message, extra=fields)


def new_warming_servers(get_catalog=lambda: None):
    """Return the warming servers of an entry: none.

    Without the bound of `set_bound`, each gets no more than its rate.
    """
    return WarmingServers(get_catalog)
