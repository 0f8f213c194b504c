"""The log's buffer: order, bounds, drops that are counted, and a reader that does not read."""

import os
import time

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill import logs
from pistachiohill.log_buffer import LogBuffer

from .base import TestCase

LINE_BOUND_S = 0.005  # far below a request's time; a blocked write would last for ever


def describe(kind: str, count: int) -> str:
    return f"dropped {kind} {count}"


class LogBufferTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.buffer = LogBuffer(self.writing, describe, max_bytes=200_000)

    def read_all(self) -> list[str]:
        os.set_blocking(self.reading, False)
        found = b""
        while True:
            self.buffer.flush()
            try:
                found += os.read(self.reading, 1 << 20)
            except BlockingIOError:
                return found.decode().splitlines()

    def tearDown(self) -> None:
        super().tearDown()
        os.close(self.writing)

    def test_lines_arrive_whole_and_in_order(self) -> None:
        lines = [f"{number} {'x' * (number % 700)}" for number in range(400)]
        for line in lines:
            self.buffer.append("event", line)
        self.assertEqual(lines, self.read_all())

    def test_a_reader_that_does_not_read_delays_nothing_and_drops_are_told(self) -> None:
        began_s = time.monotonic()
        for number in range(5000):
            self.buffer.append("busy", f"{number} {'x' * 100}")
            self.buffer.flush()
        self.assertLess((time.monotonic() - began_s) / 5000, LINE_BOUND_S)
        self.assertGreater(self.buffer.dropped["busy"], 0)
        lines = self.read_all()
        told = [int(line.split()[2]) for line in lines if line.startswith("dropped busy")]
        self.assertEqual(5000, sum(told) + len([x for x in lines if "xxx" in x]))

    def test_a_reader_that_has_gone_is_no_error(self) -> None:
        spare_reading, spare_writing = os.pipe()
        os.close(spare_reading)
        buffer = LogBuffer(spare_writing, describe)
        buffer.append("event", "line")
        buffer.flush()
        buffer.append("event", "line")
        buffer.flush()
        self.assertFalse(buffer.pending)
        os.close(spare_writing)

    @seed(20261204)
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.text(max_size=300), max_size=60))
    def test_any_text_becomes_one_line(self, values: list[str]) -> None:
        for value in values:
            line = logs._format_line("info", "some_event", {"value": value})
            self.assertEqual(1, len(line.split("\n")))
            line.encode(errors="backslashreplace")
