"""Structured logging to standard output: one line of key=value pairs per event.

Lines go through a bounded buffer, so that a blocked reader of the output does not delay the
process. absl provides levels and verbosity; records that other libraries log through the standard
`logging` module go into the same buffer.
"""

import atexit
import json
import logging as std_logging
import sys
import time
import traceback
from typing import Final

import trio
from absl import flags, logging

from .log_buffer import LogBuffer

FLUSH_INTERVAL_S: Final = 0.05  # a killed process loses at most the lines of this interval
_CHARACTERS_TO_QUOTE: Final = frozenset(' "=')


class _Output:
    """Output of the process; none before `setup`, as in a program that uses the library."""

    buffer: LogBuffer | None = None
    process: str = ""
    lines_pending: trio.Event = trio.Event()


def event(name: str, /, **fields: object) -> None:
    """Log an event at level INFO, such as `event=task_started submission=... task=3`."""
    if logging.level_info():
        _emit("info", name, fields)


def warning(name: str, /, **fields: object) -> None:
    """Log an event at level WARNING."""
    _emit("warning", name, fields)


def exception(name: str, error: BaseException, /, **fields: object) -> None:
    """Log an unexpected exception at level ERROR, with its traceback."""
    trace = "".join(traceback.format_exception(error))
    _emit("error", name, {**fields, "error": repr(error), "trace": trace})


def debug(name: str, /, **fields: object) -> None:
    """Log an event at level DEBUG; the line is formatted only if the level is enabled."""
    if logging.level_debug():
        _emit("debug", name, fields)


def setup(process: str, verbosity: int = 0) -> None:
    """Send log lines, also those of libraries, to standard output until the process ends."""
    flags.FLAGS([process])
    _Output.process = process
    _Output.buffer = LogBuffer(sys.stdout.fileno(), _format_drops)
    std_logging.getLogger("websockets").setLevel(std_logging.WARNING)
    logging.set_verbosity(verbosity)
    std_logging.getLogger().handlers = [_LibraryHandler()]
    atexit.register(flush)


def flush() -> None:
    """Write buffered lines as far as possible without blocking."""
    if _Output.buffer is not None:
        _Output.buffer.flush()


def dropped() -> int:
    """Return the number of dropped lines that have not been reported in the log yet."""
    return 0 if _Output.buffer is None else sum(_Output.buffer.dropped.values())


async def async_flush_lines() -> None:
    """Write buffered lines periodically until cancelled."""
    try:
        while True:
            await _Output.lines_pending.wait()
            await trio.sleep(FLUSH_INTERVAL_S)
            _Output.lines_pending = trio.Event()
            flush()
            if _Output.buffer is not None and _Output.buffer.pending:
                _Output.lines_pending.set()
    finally:
        flush()


class _LibraryHandler(std_logging.Handler):
    """Logging handler for the records of other libraries."""

    def emit(self, record: std_logging.LogRecord) -> None:
        """Log a record as an event named `library`."""
        fields: dict[str, object] = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
        _emit(record.levelname.lower(), "library", fields)


def _emit(level: str, name: str, fields: dict[str, object]) -> None:
    buffer = _Output.buffer
    if buffer is None:
        return
    buffer.append(name, _format_line(level, name, fields))
    _Output.lines_pending.set()
    if buffer.flush_due:
        buffer.flush()


def _format_line(level: str, name: str, fields: dict[str, object]) -> str:
    head = f"ts={time.time():.6f} level={level} process={_Output.process} event={name}"
    pairs = [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join([head, *pairs])


def _format_drops(kind: str, count: int) -> str:
    return _format_line("warning", "log_lines_dropped", {"kind": kind, "count": count})


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    try:
        text = str(value)
    except (RecursionError, ValueError):  # too deeply nested, or a number of too many digits
        text = f"({type(value).__name__} that can't be printed)"
    printable = text.isprintable()
    if printable and text and not _CHARACTERS_TO_QUOTE.intersection(text):
        return text
    return json.dumps(text, ensure_ascii=not printable)
