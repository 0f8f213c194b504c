"""HTTP calls over kept connections, with a verdict for calls that brought no answer."""

from dataclasses import dataclass

import httpcore

from .const import CONNECT_TIMEOUT_S, KEEPALIVE_S


@dataclass(frozen=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True)
class NoReply:
    """No whole answer came; unless `sent`, the call can't have been carried out."""

    sent: bool
    detail: str


class HttpClient:
    """Calls to one server. A connection on which an answer failed to come is not used again."""

    def __init__(self, base_url: str, max_connections: int) -> None:
        """Prepare a pool of connections; nothing is opened yet."""
        self._base_url = base_url
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections, keepalive_expiry=KEEPALIVE_S
        )

    async def async_call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> Reply | NoReply:
        """Make one call; the timeout holds for each wait for bytes."""
        timeouts = {
            "connect": min(CONNECT_TIMEOUT_S, timeout_s),
            "read": timeout_s,
            "write": timeout_s,
            "pool": timeout_s,
        }
        try:
            response = await self._pool.request(
                method,
                self._base_url + path,
                headers=list((headers or {}).items()),
                content=body,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as err:
            return NoReply(False, repr(err))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as err:
            return NoReply(True, repr(err))
        return Reply(response.status, response.content)

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
