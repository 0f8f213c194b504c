"""Client of the platform's store: keyed topics, of which the newest record of each key is kept."""

import base64
import binascii
import struct
from urllib.parse import urlencode

from .const import (
    ANSWER_TIMEOUT_S,
    ONLY_PART,
    PATH_LOG_APPEND,
    PATH_LOG_NEWEST,
    PATH_LOG_READ,
    READ_MARGIN_S,
)
from .errors import WireError
from .http_client import HttpClient, NoReply, Reply
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
from .wire import Fields, as_object, read_bool, read_int, read_list, read_object, read_str

CONNECTIONS = 6
LENGTH = struct.Struct(">I")
PAGE_HEAD = struct.Struct(">QQ")  # offset of the next record, first offset that is still kept
MAX_KEY_BYTES = 255


class StoreClient:
    """Reads and appends records of keyed topics."""

    def __init__(self, url: str) -> None:
        """Prepare connections; nothing is opened yet."""
        self._http = HttpClient(url.rstrip("/"), CONNECTIONS)

    async def async_append(
        self, topic: str, key: str, value: bytes | None, expected_end: int | None = None
    ) -> AppendOutcome:
        """Append the newest value of a key, None to drop it; only at `expected_end` if given."""
        query: dict[str, object] = {"topic": topic, "part": ONLY_PART}
        if expected_end is not None:
            query["at"] = expected_end
        path = f"{PATH_LOG_APPEND}?{urlencode(query)}"
        body = encode_record(key, value)
        reply = await self._http.async_call("POST", path, body, timeout_s=ANSWER_TIMEOUT_S)
        if isinstance(reply, NoReply):
            return AppendUnknown(reply.detail) if reply.sent else AppendRefused(reply.detail)
        return _read_append(reply)

    async def async_read_newest(self, topic: str) -> KeyedPage | ReadFailed:
        """Return the newest record of each key, in order of offset.

        A key that changes while pages are read may show in either state; records from the first
        page's end on tell.
        """
        records: list[KeyedRecord] = []
        query: dict[str, object] = {"topic": topic, "part": ONLY_PART}
        end: int | None = None
        while True:
            path = f"{PATH_LOG_NEWEST}?{urlencode(query)}"
            reply = await self._http.async_call("GET", path, timeout_s=ANSWER_TIMEOUT_S)
            if isinstance(reply, NoReply):
                return ReadFailed(reply.detail)
            if reply.status != 200:
                return ReadFailed(f"status {reply.status}")
            try:
                page = read_object(reply.body)
                items = [_read_item(item) for item in read_list(page, "items")]
                end = read_int(page, "end") if end is None else end
                more = read_bool(page, "hasMore", False)
            except WireError as err:
                return ReadFailed(f"unreadable answer: {err}")
            records += items
            if not more or not items:
                ordered = sorted(records, key=lambda record: record.offset)
                return KeyedPage(tuple(ordered), end)
            query["dependsOn"] = items[-1].key  # the page's name for the key to continue after

    async def async_read(
        self, topic: str, offset: int, wait_s: float
    ) -> KeyedPage | OffsetExpired | ReadFailed:
        """Return records from an offset, waiting up to `wait_s` seconds for one."""
        query = {
            "topic": topic,
            "part": ONLY_PART,
            "from": offset,
            "waitMs": int(wait_s * 1000),
        }
        path = f"{PATH_LOG_READ}?{urlencode(query)}"
        timeout_s = wait_s + READ_MARGIN_S
        reply = await self._http.async_call("GET", path, timeout_s=timeout_s)
        if isinstance(reply, NoReply):
            return ReadFailed(reply.detail)
        try:
            if reply.status == 410:
                return OffsetExpired(read_int(read_object(reply.body), "first"))
            if reply.status != 200:
                return ReadFailed(f"status {reply.status}")
            return decode_page(reply.body, offset)
        except WireError as err:
            return ReadFailed(f"unreadable answer: {err}")


def encode_record(key: str, value: bytes | None) -> bytes:
    """Return the record that sets a key, or drops it where the value is None."""
    name = key.encode()
    if len(name) > MAX_KEY_BYTES:
        raise ValueError(f"key of {len(name)} bytes")
    content = bytes([len(name)]) + name + (value or b"")
    return LENGTH.pack(len(content)) + content


def decode_page(body: bytes, offset: int) -> KeyedPage:
    """Return the records of a page whose first one has a known offset.

    Raises WireError when lengths don't fit. A record without a readable key is passed over.
    """
    if len(body) < PAGE_HEAD.size:
        raise WireError("page without its head")
    end, _first = PAGE_HEAD.unpack_from(body)
    records = []
    place = PAGE_HEAD.size
    while place < len(body):
        if place + LENGTH.size > len(body):
            raise WireError("cut record")
        (length,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        content = body[place : place + length]
        if len(content) < length:
            raise WireError("cut record")
        place += length
        record = _decode_record(content, offset)
        if record is not None:
            records.append(record)
        offset += 1
    return KeyedPage(tuple(records), max(end, offset))


def _decode_record(content: bytes, offset: int) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    try:
        key = content[1 : 1 + content[0]].decode()
    except UnicodeDecodeError:
        return None
    value = content[1 + content[0] :]
    return KeyedRecord(offset, key, value or None)


def _read_item(item: object) -> KeyedRecord:
    fields: Fields = as_object(item, "items")
    try:
        value = base64.b64decode(read_str(fields, "value"), validate=True)
    except (binascii.Error, ValueError) as err:
        raise WireError(f"value: {err}") from err
    return KeyedRecord(read_int(fields, "offset"), read_str(fields, "key"), value or None)


def _read_append(reply: Reply) -> AppendOutcome:
    if reply.status in (429, 503, 507):
        return AppendRefused(f"status {reply.status}")
    try:
        fields = read_object(reply.body)
        if reply.status == 200:
            return Appended(read_int(fields, "offset"))
        if reply.status == 412:
            return AppendConflict(read_int(fields, "end"))
    except WireError as err:
        return AppendUnknown(f"unreadable answer: {err}")
    return AppendUnknown(f"status {reply.status}")
