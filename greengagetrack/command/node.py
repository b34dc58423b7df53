"""The daemon on a node of the users' platform: an entry in direct mode."""

import gc
import logging
import os
import sys

import trio

from greengagetrack.platform import adapter as adapter_module
from greengagetrack.process.direct import daemon
from greengagetrack.process import logs
from greengagetrack.process import settings as settings_module
from greengagetrack.process import stop as stop_module

EXIT_SETTINGS = 2
METRICS_PORT = 9464
GC_THRESHOLD = 20000

_log = logging.getLogger(__name__)


def run_node(path, early):
    """Run the entry that the node file at `path` describes.

    `early` has the signals that came before the entry handles them.
    """
    try:
        adapter = adapter_module.new_adapter(path, METRICS_PORT)
        peer_keys = settings_module.read_peer_keys(os.environ)
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    handler = logs.set_up_bounded(adapter.get_settings().name, "INFO")
    if early.is_stop_requested():
        # No caller has seen the process, so there is nothing to drain.
        _log.info("stopped", extra={"decision": "stop", "drained": True})
        return daemon.EXIT_OK
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        return trio.run(
            stop_module.run_until_stopped,
            lambda stop: daemon.run(
                adapter,
                peer_keys,
                stop,
                get_left_out=handler.get_left_out,
            ),
            early.is_stop_requested,
        )
    except Exception:
        _log.critical(
            "ended by an error", exc_info=True, extra={"decision": "stop"}
        )
        raise
