"""Builds that break one promise on purpose: the soak must catch each.

Run as a program instead of the daemon, with the name of the fault first.
"""

import math
import sys

import trio

from greengagetrack.command import greengagetrackd
from greengagetrack.process.direct import daemon
from greengagetrack.process.direct import directory
from greengagetrack.process.direct import freshness
from greengagetrack.request.direct import run as run_module


def _retry_unsafe():
    """Repeat a request that may have run, whatever its kind."""
    original = run_module.DirectRun._may_retry

    def may_retry(self):
        self._is_run_possible = False
        return original(self)

    run_module.DirectRun._may_retry = may_retry
    run_module.DirectRun._get_answer_timeout_s = lambda self: 0.3


def _trust_forever():
    """Believe in a catalog however old it is."""
    freshness.FreshnessLease.is_fresh = lambda self: True


def _cut_on_stop():
    """End at once when asked to stop."""

    async def drain(entry, callers, grace_s, stop):
        entry.start_draining(math.inf)
        await trio.sleep(0.05)
        return True

    daemon._drain = drain


def _use_leaving():
    """Send new work to servers that leave."""
    directory.KnownServer.is_usable = lambda self: True
    directory.Directory._apply_removal = lambda self, server_id: None


BREAK_BY_NAME = {
    "retry-unsafe": _retry_unsafe,
    "trust-forever": _trust_forever,
    "cut-on-stop": _cut_on_stop,
    "use-leaving": _use_leaving,
}


def main():
    """Break one promise, then run the daemon."""
    BREAK_BY_NAME[sys.argv.pop(1)]()
    greengagetrackd.main()


if __name__ == "__main__":
    main()
