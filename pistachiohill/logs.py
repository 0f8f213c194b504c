"""Structured logs on standard output: one line of key=value pairs for each event.

Lines go through a bounded buffer, so that a reader that does not read delays nothing. The library
gives levels and verbosity, and takes the lines of other libraries into the same buffer.
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

FLUSH_INTERVAL_S: Final = 0.05  # at most this much of a killed process's log is lost
_QUOTED: Final = frozenset(' "=')


class _Output:
    """Where lines go: nowhere before `setup`, as in a program that uses this as a library."""

    buffer: LogBuffer | None = None
    process: str = ""
    wake: trio.Event = trio.Event()


def event(name: str, /, **fields: object) -> None:
    """Log an event at level INFO, such as `event=task_started submission=... task=3`."""
    if logging.level_info():
        _emit("info", name, fields)


def warning(name: str, /, **fields: object) -> None:
    """Log an event at level WARNING."""
    _emit("warning", name, fields)


def exception(name: str, error: BaseException, /, **fields: object) -> None:
    """Log an error that nothing was prepared for, with the place it came from."""
    trace = "".join(traceback.format_exception(error))
    _emit("error", name, {**fields, "error": repr(error), "trace": trace})


def debug(name: str, /, **fields: object) -> None:
    """Log an event at level DEBUG; the line is only built when the level is on."""
    if logging.level_debug():
        _emit("debug", name, fields)


def setup(process: str, verbosity: int = 0) -> None:
    """Send log lines to standard output under a process name, until the process ends."""
    flags.FLAGS([process])
    _Output.process = process
    _Output.buffer = LogBuffer(sys.stdout.fileno(), _describe_drops)
    std_logging.getLogger("websockets").setLevel(std_logging.WARNING)
    logging.set_verbosity(verbosity)
    std_logging.getLogger().handlers = [_ForeignHandler()]
    atexit.register(flush)


def flush() -> None:
    """Write the lines that wait, as far as the reader takes them without waiting."""
    if _Output.buffer is not None:
        _Output.buffer.flush()


def dropped() -> int:
    """Return how many lines were dropped and not yet reported."""
    return 0 if _Output.buffer is None else sum(_Output.buffer.dropped.values())


async def async_write() -> None:
    """Write waiting lines again and again for as long as the process runs."""
    try:
        while True:
            await _Output.wake.wait()
            await trio.sleep(FLUSH_INTERVAL_S)
            _Output.wake = trio.Event()
            flush()
            if _Output.buffer is not None and _Output.buffer.pending:
                _Output.wake.set()
    finally:
        flush()


class _ForeignHandler(std_logging.Handler):
    """Takes the log records of other libraries."""

    def emit(self, record: std_logging.LogRecord) -> None:
        """Put a record into the buffer as an event of its own."""
        fields: dict[str, object] = {"logger": record.name, "message": record.getMessage()}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
        _emit(record.levelname.lower(), "library", fields)


def _emit(level: str, name: str, fields: dict[str, object]) -> None:
    buffer = _Output.buffer
    if buffer is None:
        return
    buffer.append(name, _format_line(level, name, fields))
    _Output.wake.set()
    if buffer.due:
        buffer.flush()


def _format_line(level: str, name: str, fields: dict[str, object]) -> str:
    head = f"ts={time.time():.6f} level={level} process={_Output.process} event={name}"
    pairs = [f"{key}={_value(value)}" for key, value in fields.items()]
    return " ".join([head, *pairs])


def _describe_drops(kind: str, count: int) -> str:
    return _format_line("warning", "log_lines_dropped", {"kind": kind, "count": count})


def _value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    plain = text.isprintable()
    if plain and text and not _QUOTED.intersection(text):
        return text
    return json.dumps(text, ensure_ascii=not plain)
