"""Log lines are parsed as they were written; truncated and foreign lines are skipped."""

import tempfile
from pathlib import Path

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill import logs
from pistachiohill.explain.reader import parse_line, read_files

from ..base import TestCase

TEXTS = st.text(st.characters(codec="utf-8", exclude_categories=("Cs",)), max_size=40)


class ReaderTest(TestCase):
    @seed(20261204)
    @settings(max_examples=200, deadline=None)
    @given(TEXTS, st.integers(), st.floats(allow_nan=False))
    def test_written_lines_are_parsed(self, text: str, number: int, real: float) -> None:
        line = parse_line(
            logs._format_line("info", "tried", {"text": text, "n": number, "real": real})
        )
        assert line is not None
        self.assertEqual("tried", line.event)
        self.assertEqual(text, line.text("text"))
        self.assertEqual(str(number), line.text("n"))
        self.assertAlmostEqual(real, line.number("real"), delta=abs(real) * 1e-5)

    def test_a_log_collectors_prefix_is_ignored(self) -> None:
        line = parse_line("   3.2 s front-1| ts=5.5 level=info process=e event=started role=entry")
        assert line is not None
        self.assertEqual((5.5, "e", "started"), (line.at_s, line.process, line.event))

    @seed(20261204)
    @settings(max_examples=200, deadline=None)
    @given(st.text(max_size=200))
    def test_foreign_lines_raise_no_error(self, text: str) -> None:
        parse_line(text)
        parse_line("ts=1.0 " + text)

    def test_lines_are_sorted_and_unreadable_files_reported(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            one, other = Path(directory, "one.log"), Path(directory, "other.log")
            one.write_text("ts=3 level=info process=a event=x\nts=1 level=info process=a event=y\n")
            other.write_bytes(b"\xff\xfe garbage\nts=2 level=info process=b event=z\nts=4 lev")
            files = read_files([str(one), str(other), str(Path(directory, "missing.log"))])
        self.assertEqual(["y", "z", "x"], [line.event for line in files.lines])
        self.assertEqual(2, files.skipped_count)
        self.assertEqual(1, len(files.unreadable))
