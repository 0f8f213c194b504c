"""Read log files; truncated lines and those of other programs are skipped and counted."""

import json
import re
from collections.abc import Iterable
from pathlib import Path

from attrs import define, field

from .models import LogLine

PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?=\s|$)')
TIMESTAMP_PATTERN = re.compile(r"\bts=\d")


@define
class LogFiles:
    """The lines of several log files, the number of skipped lines and the unreadable files."""

    lines: list[LogLine] = field(factory=list)
    skipped_count: int = 0
    unreadable: list[str] = field(factory=list)


def parse_line(text: str) -> LogLine | None:
    """Parse a log line, or return None if it is not in this product's format.

    Text before the timestamp, such as a log collector's prefix, is ignored.
    """
    timestamp = TIMESTAMP_PATTERN.search(text)
    if timestamp is None:
        return None
    fields = {
        name: _unquote(value) for name, value in PAIR_PATTERN.findall(text[timestamp.start() :])
    }
    try:
        at_s = float(fields.pop("ts"))
        return LogLine(at_s, fields.pop("process"), fields.pop("event"), fields)
    except (KeyError, ValueError):
        return None


def read_files(paths: Iterable[str]) -> LogFiles:
    """Return the lines of all files in order of time, and the files that cannot be read."""
    files = LogFiles()
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as err:
            files.unreadable.append(f"{path}: {err.strerror}")
            continue
        for row in text.splitlines():
            line = parse_line(row)
            if line is None:
                files.skipped_count += 1
            else:
                files.lines.append(line)
    files.lines.sort(key=lambda line: line.at_s)
    return files


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
