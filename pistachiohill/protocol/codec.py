"""CBOR encoding of messages in frames and log records.

A frame is a CBOR list of messages; a message is the list `[tag, fields]`. Sending several messages
in one frame takes a single system call and a single WebSocket message.
"""

import io
from collections.abc import Sequence

import cbor2

from ..const import MAX_FRAME_BYTES
from .errors import DecodeError
from .models import MESSAGE_TAGS, MESSAGE_TYPES, Message


def encode_frame(messages: Sequence[Message]) -> bytes:
    """Return a frame that holds the messages in order."""
    return cbor2.dumps([[MESSAGE_TAGS[type(item)], item.to_wire()] for item in messages])


def decode_frame(data: bytes) -> list[Message]:
    """Return the messages of a frame; messages with an unknown tag are ignored.

    Raises DecodeError if the frame is truncated or too large, has trailing bytes or does not match
    the schema.
    """
    return [item for item in map(_read_message, _read_items(data)) if item is not None]


def encode_record(record: Message) -> bytes:
    """Return a log record that holds one message."""
    return encode_frame([record])


def decode_record(data: bytes) -> Message:
    """Return the message of a log record; raise DecodeError unless there is exactly one."""
    messages = decode_frame(data)
    if len(messages) != 1:
        raise DecodeError(f"expected one message in a record, got {len(messages)}")
    return messages[0]


def _read_items(data: bytes) -> list[object]:
    if len(data) > MAX_FRAME_BYTES:
        raise DecodeError(f"frame of {len(data)} bytes is larger than {MAX_FRAME_BYTES}")
    stream = io.BytesIO(data)
    try:
        frame = cbor2.load(stream)
    except (cbor2.CBORError, ValueError, TypeError, OverflowError, RecursionError) as err:
        raise DecodeError(f"not CBOR: {err}") from err
    except Exception as err:  # CBOR tags such as dates and regular expressions raise other errors
        raise DecodeError(f"not CBOR: {err!r}") from err
    if stream.tell() != len(data):
        raise DecodeError(f"{len(data) - stream.tell()} bytes after the frame")
    if type(frame) is not list:
        raise DecodeError("expected a list of messages")
    return frame


def _read_message(item: object) -> Message | None:
    if type(item) is not list or len(item) < 2 or type(item[0]) is not int:
        raise DecodeError("expected [tag, fields]")
    message_type = MESSAGE_TYPES.get(item[0])
    if message_type is None:
        return None
    return message_type.from_wire(item[1])
