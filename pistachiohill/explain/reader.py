"""Read log files; lines that are cut or of other programs are passed over and counted."""

import json
import re
from collections.abc import Iterable
from pathlib import Path

from attrs import define, field

from .models import LogLine

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?=\s|$)')
START = re.compile(r"\bts=\d")


@define
class LogFiles:
    """What was read from some files."""

    lines: list[LogLine] = field(factory=list)
    passed_over: int = 0
    unreadable: list[str] = field(factory=list)


def parse_line(text: str) -> LogLine | None:
    """Return a line of this product's logs, None for any other.

    Whatever stands before the line's own time, such as a collector's prefix, is dropped.
    """
    start = START.search(text)
    if start is None:
        return None
    fields = {name: _plain(value) for name, value in PAIR.findall(text[start.start() :])}
    try:
        at_s = float(fields.pop("ts"))
        return LogLine(at_s, fields.pop("process"), fields.pop("event"), fields)
    except (KeyError, ValueError):
        return None


def read_files(paths: Iterable[str]) -> LogFiles:
    """Return the lines of all files in order of time; a file that can't be read is named."""
    found = LogFiles()
    for path in paths:
        try:
            text = Path(path).read_text(errors="replace")
        except OSError as err:
            found.unreadable.append(f"{path}: {err.strerror}")
            continue
        for row in text.splitlines():
            line = parse_line(row)
            if line is None:
                found.passed_over += 1
            else:
                found.lines.append(line)
    found.lines.sort(key=lambda line: line.at_s)
    return found


def _plain(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
