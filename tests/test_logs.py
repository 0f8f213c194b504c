"""Log lines: a value that another writer made odd does not raise."""

from pistachiohill import logs

from .base import TestCase


class OddLogValueTest(TestCase):
    def test_value_that_can_not_be_printed_does_not_raise(self) -> None:
        nested: list[object] = []
        for _ in range(100_000):
            nested = [nested]
        for value in (nested, {"a": nested}, 10**5000, [10**5000]):
            self.assertIn("event=odd value=", logs._format_line("info", "odd", {"value": value}))

    def test_line_breaks_and_surrogates_are_escaped(self) -> None:
        line = logs._format_line("info", "odd", {"value": "a\r\nb\0\ud800"})
        self.assertTrue(line.isprintable())
        self.assertTrue(line.isascii())
