"""Graceful shutdown of the daemons."""

import signal
from collections.abc import Awaitable, Callable

import trio

from .. import logs

RESPONSE_FLUSH_S = 0.2  # time to send the last responses before the process exits


async def async_drain_on_signal(grace_s: float, async_drain: Callable[[], Awaitable[None]]) -> None:
    """Wait for SIGTERM or SIGINT, then drain; a second signal or the grace time ends the drain."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        logs.event("stopping", grace_s=grace_s)
        with trio.move_on_after(grace_s):
            async with trio.open_nursery() as nursery:

                async def async_cancel_on_second_signal() -> None:
                    await anext(signals)
                    logs.warning("stop_forced")
                    nursery.cancel_scope.cancel()

                nursery.start_soon(async_cancel_on_second_signal)
                await async_drain()
                nursery.cancel_scope.cancel()
