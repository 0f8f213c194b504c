"""HTTP server for ASGI applications, based on hypercorn.

Processes on the users' platform use `direct_server` and do not load this module, to save memory and
time to start.
"""

from collections.abc import Sequence

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from .app import KEEP_ALIVE_TIMEOUT_S, MAX_HEADER_BYTES, AsgiApp


async def async_serve_http(
    app: AsgiApp,
    addresses: Sequence[str],
    stopping: trio.Event,
    grace_s: float,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application at `addresses` (host:port) until `stopping` is set.

    Requests in progress then have up to `grace_s` seconds to finish.
    """
    config = Config()
    config.bind = list(addresses)
    config.graceful_timeout = grace_s
    config.shutdown_timeout = grace_s
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False

    async def async_run_server(*, task_status: trio.TaskStatus[list[str]]) -> None:
        await serve(
            app,  # type: ignore[arg-type]
            config,
            shutdown_trigger=stopping.wait,
            task_status=task_status,
        )

    async with trio.open_nursery() as nursery:
        await nursery.start(async_run_server)
        task_status.started()
