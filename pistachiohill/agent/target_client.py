"""HTTP client that runs tasks at the target and derives a verdict from every outcome."""

import httpcore
import trio

from .. import clock
from ..errors import RefusalReason, Verdict
from .const import (
    MAX_RESPONSE_BYTES,
    TARGET_CONNECT_TIMEOUT_S,
    TARGET_CONNECTIONS,
    TARGET_KEEPALIVE_S,
)
from .models import UNRESTRICTED, RunPermission, TargetCall, TargetResult

HEADER_TASK_ID = "task-id"
HEADER_MEMBER = "member"
HEADER_JOB = "job"


class TargetClient:
    """Sends tasks to the target over pooled connections."""

    def __init__(self) -> None:
        """Create the connection pool; connections are opened on demand."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=TARGET_CONNECTIONS, keepalive_expiry=TARGET_KEEPALIVE_S
        )

    @property
    def ready(self) -> bool:
        """Return True: a target called over HTTP is tried for every task."""
        return True

    def is_start_answered(self, call: TargetCall) -> bool:
        """Return True: what a target called over HTTP has been sent does not come later."""
        return True

    async def async_start_answered(self) -> None:
        """Wait forever: all starts count as answered from the beginning."""
        await trio.sleep_forever()

    def watch(self) -> None:
        """Do nothing: no time at a target called over HTTP is reckoned from here."""

    def stop(self, call: TargetCall, *, must_end: bool = True) -> None:
        """Do nothing: a target called over HTTP has no way to stop a running task."""

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def async_call(
        self, url: str, call: TargetCall, permission: RunPermission = UNRESTRICTED
    ) -> TargetResult:
        """Run one task at the target, for at most the call's timeout.

        If no connection could be opened, no request was sent and the verdict is NOT_RUN. After any
        other failure to get a response, the task may have run.
        """
        refusal = permission.start_refusal(clock.boot_s())
        if refusal is not None:
            return TargetResult(Verdict.NOT_RUN, refusal)
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
        return _parse_response(call, response.status, response.content)


def _parse_response(call: TargetCall, status: int, body: bytes) -> TargetResult:
    if len(body) > MAX_RESPONSE_BYTES:
        return TargetResult(Verdict.RAN, RefusalReason.TARGET_FAILED, status)
    if 200 <= status < 300:
        return TargetResult(Verdict.RAN, None, status, body)
    if status == 503 and call.refusal_is_not_run:
        return TargetResult(Verdict.NOT_RUN, RefusalReason.TARGET_REFUSED, status)
    if status == 503:
        return TargetResult(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_REFUSED, status)
    return TargetResult(Verdict.RAN, RefusalReason.TARGET_FAILED, status)
