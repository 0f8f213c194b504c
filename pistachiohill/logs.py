"""Structured logs: one line of key=value pairs for each event."""

import logging as std_logging
import traceback

from absl import flags, logging

_QUOTED = set(' "=\n\t\r')


def event(name: str, /, **fields: object) -> None:
    """Log an event at level INFO, such as `event=task_started submission=... task=3`."""
    logging.info("%s", _line(name, fields))


def warning(name: str, /, **fields: object) -> None:
    """Log an event at level WARNING."""
    logging.warning("%s", _line(name, fields))


def exception(name: str, error: BaseException, /, **fields: object) -> None:
    """Log an error that nothing was prepared for, with the place it came from."""
    trace = "".join(traceback.format_exception(error))
    logging.error("%s", _line(name, {**fields, "error": repr(error), "trace": trace}))


def debug(name: str, /, **fields: object) -> None:
    """Log an event at level DEBUG; the line is only built when the level is on."""
    if logging.level_debug():
        logging.debug("%s", _line(name, fields))


def setup(process: str, verbosity: int = 0) -> None:
    """Send log lines to standard error under a process name."""
    flags.FLAGS([process])
    std_logging.getLogger("websockets").setLevel(std_logging.WARNING)
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold("fatal" if verbosity < 0 else "debug")
    handler = logging.get_absl_handler()
    handler.use_absl_log_file = lambda *_: None  # type: ignore[method-assign]
    handler.setFormatter(KeyValueFormatter(process))


class KeyValueFormatter(std_logging.Formatter):
    """Puts time, level and process before an event's own pairs."""

    def __init__(self, process: str) -> None:
        """Keep the process's name."""
        super().__init__()
        self._process = process

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of a record."""
        level = record.levelname.lower()
        line = f"ts={record.created:.6f} level={level} process={self._process} "
        line += record.getMessage()
        if record.exc_info:
            line += f" exception={_value(self.formatException(record.exc_info))}"
        return line


def _line(name: str, fields: dict[str, object]) -> str:
    pairs = " ".join(f"{key}={_value(value)}" for key, value in fields.items())
    return f"event={name} {pairs}" if pairs else f"event={name}"


def _value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and not _QUOTED.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'
