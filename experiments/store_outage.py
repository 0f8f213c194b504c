"""Closing phase of a soak: an outage of the store, and a change of the manifest after its return.

The outage begins when all other faults are over, so every entry has to serve the change in time.
"""

import random
from enum import StrEnum
from typing import Final

import trio
from attrs import frozen

from standins.platform_deployment import PlatformDeployment

CONFIG_LIMIT_S: Final = 2.0  # configApplyMs in the users' requirements
IN_TOUCH_S: Final = 3.0  # contactMs in the users' requirements
MIN_OUTAGE_S: Final = 0.3
MAX_OUTAGE_S: Final = 12.0
MAX_DELAY_S: Final = 1.5  # from the store's return to the change
SLOW_RESPONSE_S: Final = 3.0
CLOSING_PATH: Final = "/added-last/"
SWALLOW: Final = "swallow"
PASS: Final = "pass"


class StoreFailure(StrEnum):
    """How the store, or the entries' path to it, fails."""

    SILENT = "silent"
    REQUESTS_LOST = "requests_lost"
    RESPONSES_LOST = "responses_lost"
    REFUSED = "refused"
    RESET_THEN_SILENT = "reset_then_silent"
    BUSY = "busy"
    SLOW = "slow"


@frozen
class StoreOutage:
    """One outage, and the time from its end to the change of the manifest."""

    failure: StoreFailure
    duration_s: float
    change_after_s: float


def make_outage(seed: int) -> StoreOutage:
    """Return the outage of a seed."""
    rng = random.Random(seed)
    failure = rng.choice(list(StoreFailure))
    duration_s = rng.uniform(MIN_OUTAGE_S, MAX_OUTAGE_S)
    return StoreOutage(failure, duration_s, rng.uniform(0.0, MAX_DELAY_S))


async def async_check_change(deployment: PlatformDeployment, outage: StoreOutage) -> list[str]:
    """Play an outage, publish a route after it and return the entries that serve it too late."""
    await _async_fail(deployment, outage)
    returned_at_s = trio.current_time()
    await trio.sleep(outage.change_after_s)
    # Earlier faults may still let the store lose a few responses to appends.
    confirmed = await deployment.async_add_route(CLOSING_PATH)
    while not confirmed:
        confirmed = await deployment.async_publish()
    due_at_s = max(trio.current_time() + CONFIG_LIMIT_S, returned_at_s + IN_TOUCH_S)
    await trio.sleep_until(due_at_s)
    return [
        f"entry{index} does not serve {CLOSING_PATH} in time after {outage}"
        for index in range(len(deployment.entries))
        if not await deployment.async_has_route(index, CLOSING_PATH)
    ]


async def _async_fail(deployment: PlatformDeployment, outage: StoreOutage) -> None:
    """Let the store fail; connections that have fallen silent stay so after its return."""
    duration_s = outage.duration_s
    match outage.failure:
        case StoreFailure.SILENT:
            await _async_cut(deployment, duration_s, forward=SWALLOW, backward=SWALLOW)
        case StoreFailure.REQUESTS_LOST:
            await _async_cut(deployment, duration_s, forward=SWALLOW)
        case StoreFailure.RESPONSES_LOST:
            await _async_cut(deployment, duration_s, backward=SWALLOW)
        case StoreFailure.REFUSED:
            await _async_refuse(deployment, duration_s)
        case StoreFailure.RESET_THEN_SILENT:
            await _async_refuse(deployment, duration_s / 3)
            await _async_cut(deployment, duration_s * 2 / 3, forward=SWALLOW, backward=SWALLOW)
        case StoreFailure.BUSY:
            await deployment.async_set_store_faults(down=True)
            await trio.sleep(duration_s)
            await deployment.async_set_store_faults(down=False)
        case StoreFailure.SLOW:
            await deployment.async_set_store_faults(delay_s=SLOW_RESPONSE_S)
            await trio.sleep(duration_s)
            await deployment.async_set_store_faults(delay_s=0.0)


async def _async_cut(
    deployment: PlatformDeployment, duration_s: float, forward: str = PASS, backward: str = PASS
) -> None:
    await deployment.async_set_store_path(forward=forward, backward=backward, new=True)
    await trio.sleep(duration_s)
    await deployment.async_set_store_path(default_only=True, forward=PASS, backward=PASS)


async def _async_refuse(deployment: PlatformDeployment, duration_s: float) -> None:
    await deployment.async_set_store_path(refuse=True, reset=True)
    await trio.sleep(duration_s)
    await deployment.async_set_store_path(refuse=False)
