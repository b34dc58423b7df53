"""An HTTP server for applications, with hypercorn."""

import hypercorn.config
import hypercorn.trio
import trio

SHUTDOWN_GRACE_S = 3.0
BACKLOG = 1024


async def serve(app, address, shutdown, task_status=trio.TASK_STATUS_IGNORED):
    """Serve `app` at `address` until the event `shutdown` is set.

    Requests in progress then have `SHUTDOWN_GRACE_S` to finish.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = SHUTDOWN_GRACE_S
    config.keep_alive_timeout = 75
    await hypercorn.trio.serve(
        app,
        config,
        shutdown_trigger=shutdown.wait,
        task_status=task_status,
    )
