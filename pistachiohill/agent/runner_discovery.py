"""Confirmation of announced runners: an announcement counts once its runner has answered itself.

An announcement may be late or come from another writer. The agent therefore asks at the announced
address: the runner confirms if it accepts the id and lists its runs with the announced start time.
"""

from collections.abc import Callable

import trio
from attrs import frozen

from .. import clock, logs
from .const import (
    CONFIRMATION_TIMEOUT_S,
    HOLD_TIMEOUT_S,
    INITIAL_TOKEN_STEP,
    RETRY_DELAY_S,
)
from .models import (
    Fenced,
    HoldOutcome,
    Lease,
    NoAnswer,
    RunList,
    RunnerIdentity,
    RunnerInterface,
)


@frozen
class ConfirmedRunner:
    """A runner that has answered under the identity that was announced.

    Fields:
        identity: The announced identity.
        token: Fencing token of the request that the runner accepted.
        sent_at_s: Boot time at which the request was sent.
        clock_s: The runner's monotonic clock in its response.
    """

    identity: RunnerIdentity
    token: int
    sent_at_s: float
    clock_s: float


class RunnerDiscovery:
    """Asks announced runners for confirmation, one at a time."""

    def __init__(
        self,
        runner_client: RunnerInterface,
        current_token: Callable[[], int],
        on_confirmed: Callable[[ConfirmedRunner, float], None],
    ) -> None:
        """Create the discovery; the second argument of `on_confirmed` is the boot-clock time."""
        self._runner_client = runner_client
        self._current_token = current_token
        self._on_confirmed = on_confirmed
        self._announced: RunnerIdentity | None = None
        self._requested = trio.Event()

    def check(self, identity: RunnerIdentity) -> None:
        """Ask an announced runner for confirmation; a later call replaces one without an answer."""
        self._announced = identity
        self._requested.set()

    async def async_run(self) -> None:
        """Ask the runners that are announced until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = trio.Event()
            if self._announced is not None:
                await self._async_check(self._announced)

    async def _async_check(self, identity: RunnerIdentity) -> None:
        """Ask until the runner answers, another one is announced, or the time is over."""
        token = self._current_token()
        token_step = INITIAL_TOKEN_STEP
        give_up_at_s = clock.boot_s() + CONFIRMATION_TIMEOUT_S
        while identity == self._announced:
            sent_at_s = clock.boot_s()
            outcome = await self._runner_client.async_hold(
                identity, Lease(token, None), 0, 0.0, HOLD_TIMEOUT_S
            )
            now_s = clock.boot_s()
            if isinstance(outcome, RunList) and outcome.born_ms == identity.born_ms:
                confirmed = ConfirmedRunner(identity, token, sent_at_s, outcome.clock_s)
                self._on_confirmed(confirmed, now_s)
                return
            if not isinstance(outcome, NoAnswer | Fenced) or now_s >= give_up_at_s:
                _log_unconfirmed(identity, outcome)
                return
            if isinstance(outcome, Fenced):
                token += token_step
                token_step *= 2
            await trio.sleep(RETRY_DELAY_S)


def _log_unconfirmed(identity: RunnerIdentity, outcome: HoldOutcome) -> None:
    logs.warning(
        "announcement_unconfirmed",
        runner=identity.runner_id,
        address=identity.address,
        born_ms=identity.born_ms,
        outcome=f"born {outcome.born_ms}" if isinstance(outcome, RunList) else outcome,
    )
