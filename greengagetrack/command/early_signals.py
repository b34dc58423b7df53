"""Signals that come before a process can act on them, or after.

Their default action would end the process with the code of a crash.
"""

import signal


class EarlySignals:
    """Whether a stop was requested before anything could be stopped."""

    __slots__ = ("_is_stop_requested",)

    def __init__(self):
        self._is_stop_requested = False

    def record_stop(self, _number, _frame):
        """Record a stop, as the handler of a signal."""
        self._is_stop_requested = True

    def is_stop_requested(self):
        """Return whether a stop was requested so far."""
        return self._is_stop_requested


def hold_signals():
    """Handle the signals until others do; return the `EarlySignals`.

    A reload needs no record, since the first one comes at the start.
    """
    early = EarlySignals()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, early.record_stop)
    return early


def ignore_signals():
    """Ignore the signals, for a process that is about to exit.

    The interpreter restores the default actions of all others at its end.
    """
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
