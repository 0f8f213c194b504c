"""The memory that a reader counts, and requests that are bounded before they are built."""

import gc
import weakref

import httptools

from pistachiohill.http.app import MAX_HEADER_BYTES
from pistachiohill.http.request_reader import MAX_PIPELINED_REQUESTS, RequestReader

from ..base import TestCase

MAX_BODY_BYTES = 100_000
POST = b"POST / HTTP/1.1\r\n%s\r\n\r\n"
CHUNKED = POST % b"Transfer-Encoding: chunked"


class RequestReaderTest(TestCase):
    def read(self, *parts: bytes) -> RequestReader:
        reader = RequestReader(MAX_BODY_BYTES)
        for part in parts:
            reader.feed(part)
        return reader

    def test_what_is_held_is_counted_until_it_is_taken(self) -> None:
        reader = self.read(POST % b"Content-Length: 5000", b"x" * 4999)
        self.assertGreater(reader.held_bytes, 5000)
        reader.feed(b"x")
        request = reader.take()
        self.assertGreater(request.held_bytes, 5000)
        self.assertEqual(0, reader.held_bytes)

    def test_short_fields_count_as_objects(self) -> None:
        reader = self.read(b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 1500)
        self.assertGreater(reader.held_bytes, 1500 * 150)
        self.assertFalse(reader.too_large)

    def test_announced_length_over_the_limit_is_refused_before_the_body(self) -> None:
        for length in (b"100001", b"0" * 40 + b"100001", b"9" * 15):
            self.assertTrue(self.read(POST % (b"Content-Length: " + length)).too_large, length)
        self.assertFalse(self.read(POST % b"Content-Length: 100000").too_large)

    def test_nothing_but_a_body_grows_without_bound(self) -> None:
        """Trailers, the line of a chunk and a header are bounded, also if they never end."""
        rest = b"x" * (2 * MAX_HEADER_BYTES)
        for begin in (CHUNKED + b"0\r\nTrailer: ", CHUNKED + b"1;", b"GET / HTTP/1.1\r\nA: "):
            reader = RequestReader(MAX_BODY_BYTES)
            try:
                reader.feed(begin + rest)
            except httptools.HttpParserError:
                continue
            self.assertTrue(reader.too_large, begin)

    def test_requests_far_ahead_are_not_built(self) -> None:
        reader = self.read(b"GET / HTTP/1.1\r\n\r\n" * 3000)
        self.assertTrue(reader.is_far_ahead)
        self.assertLess(len(reader.complete), MAX_PIPELINED_REQUESTS + 250)

    def test_nothing_is_read_after_bytes_that_were_dropped(self) -> None:
        """The rest of a dropped request would be taken for the body of another one."""
        post = POST % b"Content-Length: 700" + b"x" * 700
        reader = self.read(post * 600)
        built = len(reader.complete)
        for _ in range(built):
            self.assertEqual(b"x" * 700, reader.take().take_body())
        self.assertTrue(reader.is_far_ahead)
        reader.feed(post * 3)
        self.assertEqual(0, len(reader.complete))

    def test_a_header_line_that_has_not_ended_counts(self) -> None:
        reader = self.read(b"GET / HTTP/1.1\r\nA: " + b"x" * 8000)
        self.assertGreater(reader.held_bytes, 8000)

    def test_closed_reader_is_freed_without_a_garbage_collection(self) -> None:
        reader = self.read(POST % b"Content-Length: 5000", b"x" * 4999)
        reader.close()
        reference = weakref.ref(reader)
        gc.disable()
        self.addCleanup(gc.enable)
        del reader
        self.assertIsNone(reference())
