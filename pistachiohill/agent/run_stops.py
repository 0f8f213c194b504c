"""Requests to a runner to stop runs, which are repeated until the runs are known to have ended."""

from collections.abc import Callable, Iterable

import trio
from attrs import frozen

from .. import clock, logs
from .const import HOLD_TIMEOUT_S, RETRY_DELAY_S, STOP_TIMEOUT_S
from .models import Lease, NoAnswer, RunName, RunnerIdentity, RunnerInterface
from .run import Run


@frozen
class RunnerAccess:
    """The runner in use, and the fencing token of requests to it."""

    identity: RunnerIdentity
    token: int


async def async_stop(
    runner_client: RunnerInterface, run: Run, current_access: Callable[[], RunnerAccess | None]
) -> None:
    """Request that a run stop until it has ended."""
    requested_at_s = clock.boot_s()
    while not run.is_settled:
        access = current_access()
        if access is None:
            return
        outcome = await runner_client.async_stop(
            access.identity, run.name, Lease(access.token, None), STOP_TIMEOUT_S
        )
        if isinstance(outcome, NoAnswer):
            logs.event(
                "stop_unanswered",
                name=run.call.name,
                run=run.call.run,
                stopping_s=clock.boot_s() - requested_at_s,
            )
        with trio.move_on_after(RETRY_DELAY_S):
            await run.done.wait()


async def async_stop_foreign_runs(
    runner_client: RunnerInterface,
    identity: RunnerIdentity,
    lease: Lease,
    names: Iterable[RunName],
) -> None:
    """Stop runs that were started by an earlier agent process or by abandoned requests."""
    names = frozenset(names)
    logs.event("foreign_runs", runs=len(names), token=lease.token)
    for name in names:
        await runner_client.async_stop(identity, name, lease, HOLD_TIMEOUT_S)
    await trio.sleep(RETRY_DELAY_S)
