"""Builds that each violate one rule on purpose; the soak must detect it.

Run as a program in place of the daemon, with the name of the build first.
"""

import math
import sys

import trio

from greengagetrack.command import greengagetrackd
from greengagetrack.connection import answer_end
from greengagetrack.connection import gateway
from greengagetrack.connection.http.client import persistent_connection
from greengagetrack.connection.http import matching
from greengagetrack.connection.http import numbers
from greengagetrack.platform import engines
from greengagetrack.process.direct import daemon
from greengagetrack.process.direct.decisions import drain_plan
from greengagetrack.process.direct.decisions import eligibility
from greengagetrack.process.direct import directory
from greengagetrack.process.direct import evacuations
from greengagetrack.process.direct import freshness
from greengagetrack.process.direct import known_server
from greengagetrack.process.direct import lifetime
from greengagetrack.process.direct import lifetime_check
from greengagetrack.process.direct import newest_version
from greengagetrack.process.direct import warming_servers
from greengagetrack.request.direct import answer_handler
from greengagetrack.request.direct import patience
from greengagetrack.request.direct import run as run_module


def _retry_unsafe():
    """Retry a request of any kind that may already have run."""
    original = run_module.DirectRun._may_retry

    def may_retry(self):
        self._may_have_run = False
        return original(self)

    run_module.DirectRun._may_retry = may_retry
    run_module.DirectRun._can_move_on = lambda self: True
    patience.Patience._get_answer_s = lambda self: 0.3


def _trust_forever():
    """Treat a catalog of any age as fresh."""
    freshness.FreshnessLease.is_fresh = lambda self: True


def _cut_on_stop():
    """Exit at once on a stop request, without draining."""

    async def drain(entry, callers, grace_s, stop):
        plan = drain_plan.new_drain_plan(trio.current_time(), math.inf)
        entry.start_draining(plan)
        await trio.sleep(0.05)
        return 0

    daemon._drain = drain


def _use_leaving():
    """Send new work to servers that are leaving."""
    known_server.KnownServer.find_exclusion = lambda self: None
    directory.Directory._apply_removal = lambda self, server_id: None


def _trust_ends():
    """Take every stream that ends for a complete one."""
    answer_end.find_stream_problem = lambda framing, splitter: ""


def _trust_copies():
    """Take each answer on a connection for that to its last request."""
    engines._is_response_to = lambda head, request_id: True
    # It would see the other id once more.
    _trust_unnamed()


def _trust_copied_pieces():
    """Take each answer on a connection for that to its last call."""
    matching.Matcher.match = lambda self, identity: matching.Match.OWN


def _trust_addresses():
    """Take a server whose address accepts connections for the same one."""

    async def is_going_on(self, server):
        return not await self._gateway.is_refusing(server.published)

    lifetime_check.LifetimeChecks.is_going_on = is_going_on


def _trust_lifetimes():
    """Let a stream go on at any start of a server."""

    async def check(self, server, is_bound, opened_s):
        return True

    lifetime_check.LifetimeChecks._check = check
    lifetime.Lifetime.may_go_on = lambda self, software_version: True


def _trust_restored():
    """Take the word of the store, whatever peers know."""

    def confirm(self, sent_s, era, version):
        self._lease.confirm(sent_s)

    newest_version.NewestVersion.confirm = confirm


def _trust_statuses():
    """Pass each status on, whatever it proves."""
    answer_handler._UNPROVEN_CLAIMS = (gateway.Claim.UNNAMED,)


def _trust_unnamed():
    """Take an answer that names no request for that to the last one."""
    original = engines._get_claim

    def get_claim(call, head, request_id):
        return original(call, head, engines._get_id(head))

    engines._get_claim = get_claim


def _share_ids():
    """Send a request again over a connection that has carried its id."""
    connection = persistent_connection.Connection
    connection.has_carried = lambda self, request_id: False


def _trust_numbers():
    """Read numbers of others as if they always were some."""
    numbers.read_count = lambda text, maximum: int(text)


def _ignore_regions():
    """Send requests to servers of any region."""
    eligibility.Eligibility.is_allowed_place = lambda self, centre: True


def _ignore_evacuations():
    """Go on sending to servers of evacuated data centres."""
    evacuations.Evacuations._apply = lambda self, name, word, heard_from: None


def _ignore_told_evacuations():
    """Take no peer's word that a data centre is evacuated."""
    evacuations.Evacuations.apply_messages = lambda self, messages: False


def _ignore_warming():
    """Send warming servers as many requests as any others."""
    warming_servers.WarmingServers._record = lambda *args, **fields: None


PATCH_BY_BUILD = {
    "retry-unsafe": _retry_unsafe,
    "trust-forever": _trust_forever,
    "cut-on-stop": _cut_on_stop,
    "use-leaving": _use_leaving,
    "trust-ends": _trust_ends,
    "trust-copies": _trust_copies,
    "trust-copied-pieces": _trust_copied_pieces,
    "trust-addresses": _trust_addresses,
    "trust-lifetimes": _trust_lifetimes,
    "trust-restored": _trust_restored,
    "share-ids": _share_ids,
    "trust-numbers": _trust_numbers,
    "trust-statuses": _trust_statuses,
    "trust-unnamed": _trust_unnamed,
    "ignore-regions": _ignore_regions,
    "ignore-evacuations": _ignore_evacuations,
    "ignore-told-evacuations": _ignore_told_evacuations,
    "ignore-warming": _ignore_warming,
}


def main():
    """Patch the package for one build, then run the daemon."""
    PATCH_BY_BUILD[sys.argv.pop(1)]()
    greengagetrackd.main()


if __name__ == "__main__":
    main()
