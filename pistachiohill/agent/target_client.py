"""Calls to the target, with a verdict for every way in which they can end."""

import httpcore
import trio

from ..errors import RefusalReason, Verdict
from .const import (
    MAX_ANSWER_BYTES,
    TARGET_CONNECT_TIMEOUT_S,
    TARGET_CONNECTIONS,
    TARGET_KEEPALIVE_S,
)
from .models import TargetCall, TargetResult

HEADER_TASK_ID = "task-id"
HEADER_MEMBER = "member"
HEADER_JOB = "job"


class TargetClient:
    """Sends tasks to the target over kept connections."""

    def __init__(self) -> None:
        """Prepare a pool; nothing is opened yet."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=TARGET_CONNECTIONS, keepalive_expiry=TARGET_KEEPALIVE_S
        )

    @property
    def ready(self) -> bool:
        """Return whether tasks may be handed over; a target called over HTTP is always asked."""
        return True

    def stop(self, call: TargetCall) -> None:
        """Let the call go on: a target called over HTTP has no way to end a task early."""

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def async_call(self, url: str, call: TargetCall) -> TargetResult:
        """Run one task at the target, for at most the call's timeout.

        A connection that could not be opened carried no request, so that verdict is NOT_RUN. Any
        other lost answer may have run.
        """
        with trio.move_on_after(call.timeout_s):
            return await self._async_post(url, call)
        return TargetResult(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_TIMEOUT)

    async def _async_post(self, url: str, call: TargetCall) -> TargetResult:
        headers: dict[bytes | str, bytes | str] = {
            HEADER_TASK_ID: call.task_id,
            HEADER_MEMBER: call.member,
            HEADER_JOB: call.job,
        }
        timeouts = {
            "connect": min(TARGET_CONNECT_TIMEOUT_S, call.timeout_s),
            "read": call.timeout_s,
            "write": call.timeout_s,
            "pool": call.timeout_s,
        }
        try:
            response = await self._pool.request(
                "POST",
                f"{url}/tasks",
                headers=headers,
                content=call.payload,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout):
            return TargetResult(Verdict.NOT_RUN, RefusalReason.TARGET_LOST)
        except httpcore.TimeoutException:
            return TargetResult(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_TIMEOUT)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return TargetResult(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_LOST)
        return _read_answer(call, response.status, response.content)


def _read_answer(call: TargetCall, status: int, body: bytes) -> TargetResult:
    if len(body) > MAX_ANSWER_BYTES:
        return TargetResult(Verdict.RAN, RefusalReason.TARGET_FAILED, status)
    if 200 <= status < 300:
        return TargetResult(Verdict.RAN, None, status, body)
    if status == 503 and call.refusal_is_not_run:
        return TargetResult(Verdict.NOT_RUN, RefusalReason.TARGET_REFUSED, status)
    if status == 503:
        return TargetResult(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_REFUSED, status)
    return TargetResult(Verdict.RAN, RefusalReason.TARGET_FAILED, status)
