"""HTTP client of the platform's log.

Append: `POST /v1/records` with the record as body and an optional `Expected-End` header; 200 gives
`{"offset": n}`, 409 `{"end": n}`, 503 means that nothing was appended. Read:
`GET /v1/records?from=n&wait_s=s` gives a CBOR map, after at most `s` seconds without news.
"""

import json
from typing import cast

import cbor2
import httpcore

from .const import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    HEADER_EXPECTED_END,
    PATH_RECORDS,
    READ_LIMIT_RECORDS,
)
from .models import (
    AppendConflict,
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    LogPage,
    RawRecord,
    ReadFailed,
)


class LogClient:
    """Append to and read from the platform's log."""

    def __init__(self, base_url: str) -> None:
        """Prepare a pool of connections; nothing is opened yet."""
        self._url = base_url.rstrip("/") + PATH_RECORDS
        self._pool = httpcore.AsyncConnectionPool(max_connections=4)

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def async_append(self, data: bytes, expected_end: int | None = None) -> AppendOutcome:
        """Append a record, only at `expected_end` where it is given."""
        headers: dict[bytes | str, bytes | str] = (
            {} if expected_end is None else {HEADER_EXPECTED_END: str(expected_end)}
        )
        try:
            response = await self._pool.request(
                "POST", self._url, headers=headers, content=data, extensions=_timeouts(0.0)
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as err:
            return AppendRefused(repr(err))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as err:
            return AppendUnknown(repr(err))
        return _read_append(response)

    async def async_read(self, offset: int, wait_s: float) -> LogPage | ReadFailed:
        """Return records from an offset, waiting up to `wait_s` seconds for news."""
        url = f"{self._url}?from={offset}&wait_s={wait_s}&limit={READ_LIMIT_RECORDS}"
        try:
            response = await self._pool.request("GET", url, extensions=_timeouts(wait_s))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as err:
            return ReadFailed(repr(err))
        if response.status != 200:
            return ReadFailed(f"status {response.status}")
        return _read_page(response.content)


def _timeouts(wait_s: float) -> dict[str, object]:
    answer_s = ANSWER_TIMEOUT_S + wait_s
    return {
        "timeout": {
            "connect": CONNECT_TIMEOUT_S,
            "read": answer_s,
            "write": answer_s,
            "pool": answer_s,
        }
    }


def _read_append(response: httpcore.Response) -> AppendOutcome:
    if response.status == 503:
        return AppendRefused("status 503")
    try:
        answer = json.loads(response.content)
        if response.status == 200:
            return Appended(int(answer["offset"]))
        if response.status == 409:
            return AppendConflict(int(answer["end"]))
    except (ValueError, KeyError, TypeError) as err:
        return AppendUnknown(f"unreadable answer: {err!r}")
    return AppendUnknown(f"status {response.status}")


def _read_page(content: bytes) -> LogPage | ReadFailed:
    try:
        page = cast(dict[str, object], cbor2.loads(content))
        records = cast(list[tuple[int, float, bytes]], page["records"])
        return LogPage(
            first=cast(int, page["first"]),
            end=cast(int, page["end"]),
            retention_s=cast(float, page["retention_s"]),
            now_s=cast(float, page["now_s"]),
            records=tuple(RawRecord(int(o), float(t), bytes(d)) for o, t, d in records),
        )
    except (cbor2.CBORError, KeyError, TypeError, ValueError) as err:
        return ReadFailed(f"unreadable answer: {err!r}")
