"""Serves applications over HTTP with hypercorn, until told to stop."""

import hypercorn.config
import hypercorn.trio
import trio

GRACE_S = 3.0
BACKLOG = 1024


async def serve(app, address, shutdown, task_status=trio.TASK_STATUS_IGNORED):
    """Serve `app` at `address` until the event `shutdown` is set.

    Requests that are in progress then are finished first.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACE_S
    config.keep_alive_timeout = 75
    await hypercorn.trio.serve(
        app,
        config,
        shutdown_trigger=shutdown.wait,
        task_status=task_status,
    )
