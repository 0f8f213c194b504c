"""Tests of the log buffer: order, size limit, counted drops, and blocked or closed readers."""

import os
import time

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill import logs
from pistachiohill.log_buffer import LogBuffer

from .base import TestCase

MAX_LINE_S = 0.005  # far below the duration of a request; a blocked write would never return


def format_drops(kind: str, count: int) -> str:
    return f"dropped {kind} {count}"


class LogBufferTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.buffer = LogBuffer(self.write_fd, format_drops, max_bytes=200_000)

    def read_all(self) -> list[str]:
        os.set_blocking(self.read_fd, False)
        received = b""
        while True:
            self.buffer.flush()
            try:
                received += os.read(self.read_fd, 1 << 20)
            except BlockingIOError:
                return received.decode().splitlines()

    def tearDown(self) -> None:
        super().tearDown()
        os.close(self.write_fd)

    def test_lines_arrive_whole_and_in_order(self) -> None:
        lines = [f"{number} {'x' * (number % 700)}" for number in range(400)]
        for line in lines:
            self.buffer.append("event", line)
        self.assertEqual(lines, self.read_all())

    def test_blocked_reader_does_not_delay_and_drops_are_reported(self) -> None:
        started_s = time.monotonic()
        for number in range(5000):
            self.buffer.append("busy", f"{number} {'x' * 100}")
            self.buffer.flush()
        self.assertLess((time.monotonic() - started_s) / 5000, MAX_LINE_S)
        self.assertGreater(self.buffer.dropped["busy"], 0)
        lines = self.read_all()
        reported = [int(line.split()[2]) for line in lines if line.startswith("dropped busy")]
        self.assertEqual(5000, sum(reported) + len([x for x in lines if "xxx" in x]))

    def test_closed_reader_is_not_an_error(self) -> None:
        closed_read_fd, write_fd = os.pipe()
        os.close(closed_read_fd)
        buffer = LogBuffer(write_fd, format_drops)
        buffer.append("event", "line")
        buffer.flush()
        buffer.append("event", "line")
        buffer.flush()
        self.assertFalse(buffer.pending)
        os.close(write_fd)

    @seed(20261204)
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.text(max_size=300), max_size=60))
    def test_any_value_is_logged_on_one_line(self, values: list[str]) -> None:
        for value in values:
            line = logs._format_line("info", "some_event", {"value": value})
            self.assertEqual(1, len(line.split("\n")))
            line.encode(errors="backslashreplace")
