"""Parses the bytes of a connection into requests and counts the memory that they take up."""

import math
from collections import deque
from typing import Final

import httptools
from attrs import define, field

from .app import MAX_HEADER_BYTES, Scope

MAX_HEADER_FIELDS: Final = 4096  # as many as fit into the bytes of a header
MAX_PIPELINED_REQUESTS: Final = 16  # further unanswered requests end reading from the client
REQUEST_BYTES: Final = 1024  # of a request as an object
FIELD_BYTES: Final = 200  # of a header field as objects, beside its text
BLOCK_BYTES: Final = 16384  # a body is kept in blocks, as growing one array fragments memory

# The parser can't be interrupted, so it gets a few bytes at a time.
SLICE_BYTES: Final = 4096
PIPELINED_SLICE_BYTES: Final = 512


@define(eq=False)
class ReceivedRequest:
    """An HTTP request, filled in by RequestReader while it is received.

    `arrived_after_s` is a boot time after which its first byte arrived, `held_bytes` the memory
    that it takes up.
    """

    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body_bytes: int = 0
    keep_alive: bool = True
    arrived_after_s: float = math.inf
    held_bytes: int = REQUEST_BYTES
    _blocks: list[bytes] = field(factory=list)
    _last_block: bytearray = field(factory=bytearray)

    def append_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self.body_bytes += len(part)
        self._last_block += part
        if len(self._last_block) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last_block))
            self._last_block = bytearray()

    def take_body(self) -> bytes:
        """Return the body, which is not held any longer."""
        body = b"".join((*self._blocks, self._last_block))
        self._blocks.clear()
        self._last_block = bytearray()
        return body

    def scope(self) -> Scope:
        """Return the request's ASGI scope; raise HttpParserError for an invalid target."""
        url = httptools.parse_url(self.target)
        return {
            "type": "http",
            "http_version": "1.1",
            "method": self.method,
            "path": (url.path or b"/").decode("latin-1"),
            "query_string": url.query or b"",
            "headers": self.headers,
        }


_NO_REQUEST: Final = ReceivedRequest()


class RequestReader:
    """Parses a byte stream into requests; the `on_` methods are called by httptools."""

    def __init__(self, max_body_bytes: int) -> None:
        """Initialize a reader that expects the start of a request."""
        self.complete: deque[ReceivedRequest] = deque()
        self.in_request = False
        self.in_body = False
        self.expects_continue = False
        self.too_large = False
        self.began_at_s = -math.inf
        self._complete_bytes = 0
        self._header_bytes = 0
        self._has_dropped = False
        self._received_at_s = -math.inf
        self._max_body_bytes = max_body_bytes
        self._arrived_after_s = math.inf
        self._request = _NO_REQUEST
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    @property
    def held_bytes(self) -> int:
        """Return the memory that requests take up which have not been taken."""
        if not self.in_request:
            return self._complete_bytes
        unparsed_bytes = 0 if self.in_body else self._header_bytes
        return self._complete_bytes + self._request.held_bytes + unparsed_bytes

    @property
    def is_far_ahead(self) -> bool:
        """Return whether the client has sent more requests ahead than are read.

        Once bytes were dropped, those that follow can't be told apart, so nothing is read any more.
        """
        if self._has_dropped:
            return True
        max_bytes = 2 * self._max_body_bytes + 4 * MAX_HEADER_BYTES
        return len(self.complete) > MAX_PIPELINED_REQUESTS or (
            len(self.complete) > 1 and self._complete_bytes > max_bytes
        )

    def take(self) -> ReceivedRequest:
        """Remove and return the oldest complete request."""
        request = self.complete.popleft()
        self._complete_bytes -= request.held_bytes
        return request

    def close(self) -> None:
        """Free all requests and the parser, which refers to this object."""
        self.complete.clear()
        self._complete_bytes = 0
        self.drop_incomplete()

    def drop_incomplete(self) -> None:
        """Free the request that is being received; nothing can be parsed after that."""
        self.in_request = False
        self._request = _NO_REQUEST
        self._parser = None

    def feed(
        self, data: bytes, arrived_after_s: float = math.inf, received_at_s: float = -math.inf
    ) -> None:
        """Parse received bytes; raise HttpParserError if they are not valid HTTP.

        They arrived after one time and were received at another. A request that begins with them
        sets `began_at_s` to the latter. The rest is dropped once a request is too large, or the
        client is far ahead.
        """
        self._arrived_after_s = arrived_after_s
        self._received_at_s = received_at_s
        start = 0
        while start < len(data) and not self.too_large and not self.is_far_ahead:
            size = PIPELINED_SLICE_BYTES if self.complete else SLICE_BYTES
            self._feed_slice(data[start : start + size])
            start += size
        self._has_dropped |= start < len(data)

    def _feed_slice(self, data: bytes) -> None:
        if self._parser is None:
            return
        self._header_bytes += len(data)
        self._parser.feed_data(data)
        if self._header_bytes > MAX_HEADER_BYTES and self.in_request:
            self.too_large = True

    def _hold(self, size_bytes: int) -> None:
        self._request.held_bytes += size_bytes

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = ReceivedRequest(arrived_after_s=self._arrived_after_s)
        self.began_at_s = self._received_at_s
        self.in_request = True
        self.in_body = False

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self._request.target += part
        self._hold(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, with its name in lower case."""
        request = self._request
        if len(request.headers) >= MAX_HEADER_FIELDS:
            self.too_large = True
            return
        name = name.lower()
        request.headers.append((name, value))
        self._hold(FIELD_BYTES + len(name) + len(value))
        if name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        elif name == b"content-length" and _is_over(value, self._max_body_bytes):
            self.too_large = True

    def on_headers_complete(self) -> None:
        """Set the method; the bytes that follow belong to the body."""
        assert self._parser is not None
        self._request.method = self._parser.get_method().decode("latin-1")
        self.in_body = True
        self._header_bytes = 0

    def on_body(self, part: bytes) -> None:
        """Append a part of the body; what frames it is bounded like a header."""
        self._header_bytes = 0
        if self._request.body_bytes + len(part) > self._max_body_bytes:
            self.too_large = True
            return
        self._request.append_body(part)
        self._hold(len(part))

    def on_message_complete(self) -> None:
        """Queue the complete request, unless it is too large."""
        assert self._parser is not None
        self._request.keep_alive = bool(self._parser.should_keep_alive())
        self.in_request = False
        self.in_body = False
        self.expects_continue = False
        self._header_bytes = 0
        if not self.too_large:
            self.complete.append(self._request)
            self._complete_bytes += self._request.held_bytes
        self._request = _NO_REQUEST


def _is_over(length: bytes, max_bytes: int) -> bool:
    """Return whether a Content-Length exceeds a number of bytes."""
    digits = length.strip().lstrip(b"0")
    if not digits.isdigit():
        return False  # refused by the parser, unless it is empty or zero
    return len(digits) > len(str(max_bytes)) or int(digits) > max_bytes
