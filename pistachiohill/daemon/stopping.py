"""Wait for a planned stop and drain."""

import signal
from collections.abc import Awaitable, Callable

import trio

from .. import logs

LINGER_S = 0.2  # time in which answers leave after the last job


async def async_wait_stop(grace_s: float, async_drain: Callable[[], Awaitable[None]]) -> None:
    """Wait for SIGTERM or SIGINT, then drain until done, the grace time or a second signal."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        logs.event("stopping", grace_s=grace_s)
        with trio.move_on_after(grace_s):
            async with trio.open_nursery() as nursery:

                async def async_second() -> None:
                    await anext(signals)
                    logs.warning("stop_forced")
                    nursery.cancel_scope.cancel()

                nursery.start_soon(async_second)
                await async_drain()
                nursery.cancel_scope.cancel()
