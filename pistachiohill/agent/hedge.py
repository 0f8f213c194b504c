"""A second request beside a long-polling one while responses get lost."""

import math
from collections.abc import Awaitable, Callable

import trio

from .. import clock
from .const import HEDGE_S, RETRY_DELAY_S


class Hedge:
    """Repeats a second request for HEDGE_S after each response that was lost."""

    def __init__(self, async_request: Callable[[], Awaitable[bool]]) -> None:
        """Initialize; `async_request` returns False at once if a request would be of no use."""
        self._async_request = async_request
        self._until_s = -math.inf
        self._needed = trio.Event()

    def record_loss(self, now_s: float) -> None:
        """Record that a response was lost."""
        self._until_s = now_s + HEDGE_S
        self._needed.set()

    async def async_run(self) -> None:
        """Send requests while responses get lost, until cancelled."""
        while True:
            await self._needed.wait()
            while clock.boot_s() < self._until_s:
                if not await self._async_request():
                    await trio.sleep(RETRY_DELAY_S)
            self._needed = trio.Event()
