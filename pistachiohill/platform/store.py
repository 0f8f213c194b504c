"""Client of the platform's store.

The store holds keyed topics: logs of records of which the newest record of each key is kept.
"""

import base64
import binascii
import struct
from typing import Any
from urllib.parse import urlencode

from .. import logs
from .const import (
    PARTITION,
    PATH_LOG_APPEND,
    PATH_LOG_NEWEST,
    PATH_LOG_READ,
    RESPONSE_TIMEOUT_S,
)
from .errors import WireError
from .http_client import HttpClient, HttpResponse, NoResponse
from .models import (
    AppendConflict,
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    KeyedPage,
    KeyedRecord,
    OffsetExpired,
    ReadFailed,
)
from .wire import Fields, decode_object, read_bool, read_int, read_list, read_str, require_object

MAX_CONNECTIONS = 6  # two for each of two topics that are followed, two for appends
RECORD_LENGTH = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")  # offset of the next record, first offset that is still kept
MAX_KEY_BYTES = 255
MAX_NEWEST_READS = 3


class StoreClient:
    """Reads and appends records of keyed topics."""

    def __init__(self, url: str) -> None:
        """Initialize the client without opening a connection."""
        self._http = HttpClient(url.rstrip("/"), MAX_CONNECTIONS)

    async def async_append(
        self, topic: str, key: str, value: bytes | None, expected_end: int | None = None
    ) -> AppendOutcome:
        """Append a record that sets a key to a value, or deletes the key if the value is None.

        If `expected_end` is given, the record is appended only if the topic ends at that offset.
        """
        query: dict[str, object] = {"topic": topic, "part": PARTITION}
        if expected_end is not None:
            query["at"] = expected_end
        path = f"{PATH_LOG_APPEND}?{urlencode(query)}"
        body = encode_record(key, value)
        response = await self._http.async_request("POST", path, body, timeout_s=RESPONSE_TIMEOUT_S)
        if isinstance(response, NoResponse):
            return (
                AppendUnknown(response.detail) if response.sent else AppendRefused(response.detail)
            )
        return _parse_append_response(response)

    async def async_read_newest(
        self,
        topic: str,
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
        *,
        new_connection: bool = False,
    ) -> KeyedPage | ReadFailed:
        """Return the newest record of each key, ordered by offset, all from before `end`.

        The store has `response_timeout_s` seconds for each page of them.

        A key that changes while the pages are read may be returned in its old or its new state. The
        pages are read again if there is a new one, because earlier changes may then be missing.
        """
        for _ in range(MAX_NEWEST_READS):
            page = await self._async_read_newest_once(topic, response_timeout_s, new_connection)
            if isinstance(page, ReadFailed) or not page.more:
                return page
        return ReadFailed("the topic changes while its newest records are read")

    async def _async_read_newest_once(
        self, topic: str, response_timeout_s: float, new_connection: bool
    ) -> KeyedPage | ReadFailed:
        """Return the newest record of each key; `more` if there are records from `end` on."""
        records: list[KeyedRecord] = []
        query: dict[str, object] = {"topic": topic, "part": PARTITION}
        end: int | None = None
        while True:
            path = f"{PATH_LOG_NEWEST}?{urlencode(query, errors='surrogatepass')}"
            response = await self._http.async_request(
                "GET", path, timeout_s=response_timeout_s, new_connection=new_connection
            )
            if isinstance(response, NoResponse):
                return ReadFailed(response.detail, response.timed_out)
            new_connection = False  # the one that has just been used is idle now
            if response.status != 200:
                return ReadFailed(f"status {response.status}")
            try:
                page = decode_object(response.body)
                items = read_list(page, "items")
                end = read_int(page, "end") if end is None else end
                more = read_bool(page, "hasMore", False)
            except WireError as err:
                return ReadFailed(f"invalid response: {err}")
            records += _decode_items(items, topic)
            if not more or not items:
                ordered = sorted(records, key=lambda record: record.offset)
                return KeyedPage(
                    tuple(ordered), end, more=bool(ordered) and ordered[-1].offset >= end
                )
            last_key = _key_of(items[-1])
            if last_key is None or last_key == query.get("dependsOn"):
                return ReadFailed("invalid response: no key after which to continue")
            query["dependsOn"] = last_key

    async def async_read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
        *,
        new_connection: bool = False,
    ) -> KeyedPage | OffsetExpired | ReadFailed:
        """Return the records from an offset, waiting up to `wait_s` seconds if there are none.

        The store then has `response_timeout_s` more seconds to respond. With `new_connection`, the
        read does not depend on connections that were opened before.
        """
        query = {
            "topic": topic,
            "part": PARTITION,
            "from": offset,
            "waitMs": int(wait_s * 1000),
        }
        path = f"{PATH_LOG_READ}?{urlencode(query)}"
        timeout_s = wait_s + response_timeout_s
        response = await self._http.async_request(
            "GET", path, timeout_s=timeout_s, new_connection=new_connection
        )
        if isinstance(response, NoResponse):
            return ReadFailed(response.detail, response.timed_out)
        try:
            if response.status == 410:
                return OffsetExpired(read_int(decode_object(response.body), "first"))
            if response.status != 200:
                return ReadFailed(f"status {response.status}")
            return decode_page(response.body, offset)
        except WireError as err:
            return ReadFailed(f"invalid response: {err}")


def encode_record(key: str, value: bytes | None) -> bytes:
    """Encode a record that sets a key, or deletes it if the value is None."""
    key_bytes = key.encode()
    if len(key_bytes) > MAX_KEY_BYTES:
        raise ValueError(f"key of {len(key_bytes)} bytes is too long")
    data = bytes([len(key_bytes)]) + key_bytes + (value or b"")
    return RECORD_LENGTH.pack(len(data)) + data


def decode_page(body: bytes, offset: int) -> KeyedPage:
    """Decode a page of records, the first of which has the given offset.

    Raises WireError if the page is truncated, or holds no record although the topic has later ones.
    A record without a valid key is skipped, but still takes up an offset.
    """
    if len(body) < PAGE_HEADER.size:
        raise WireError("page: shorter than its header")
    topic_end, _first_offset = PAGE_HEADER.unpack_from(body)
    if len(body) == PAGE_HEADER.size and topic_end > offset:
        raise WireError("page: no record before the end of the topic")
    records = []
    position = PAGE_HEADER.size
    while position < len(body):
        if position + RECORD_LENGTH.size > len(body):
            raise WireError("page: truncated record")
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        data = body[position : position + length]
        if len(data) < length:
            raise WireError("page: truncated record")
        position += length
        record = _decode_record(data, offset)
        if record is not None:
            records.append(record)
        offset += 1
    return KeyedPage(tuple(records), offset, more=topic_end > offset)


def _decode_record(data: bytes, offset: int) -> KeyedRecord | None:
    if not data or len(data) < 1 + data[0]:
        return None
    try:
        key = data[1 : 1 + data[0]].decode()
    except UnicodeDecodeError:
        return None
    value = data[1 + data[0] :]
    return KeyedRecord(offset, key, value or None)


def _decode_items(items: list[Any], topic: str) -> list[KeyedRecord]:
    """Decode the newest records of keys; one that is malformed is skipped with a warning."""
    records = []
    for item in items:
        try:
            records.append(_decode_item(item))
        except WireError as err:
            logs.warning("record_unreadable", topic=topic, key=_key_of(item), detail=err)
    return records


def _key_of(item: object) -> str | None:
    """Return the key of an item, even if its record is malformed."""
    key = item.get("key") if isinstance(item, dict) else None
    return key if isinstance(key, str) else None


def _decode_item(item: object) -> KeyedRecord:
    fields: Fields = require_object(item, "items")
    try:
        value = base64.b64decode(read_str(fields, "value"), validate=True)
    except (binascii.Error, ValueError) as err:
        raise WireError(f"value: {err}") from err
    return KeyedRecord(read_int(fields, "offset"), read_str(fields, "key"), value or None)


def _parse_append_response(response: HttpResponse) -> AppendOutcome:
    if response.status in (429, 503, 507):
        return AppendRefused(f"status {response.status}")
    try:
        fields = decode_object(response.body)
        if response.status == 200:
            return Appended(read_int(fields, "offset"))
        if response.status == 412:
            return AppendConflict(read_int(fields, "end"))
    except WireError as err:
        return AppendUnknown(f"invalid response: {err}")
    return AppendUnknown(f"status {response.status}")
