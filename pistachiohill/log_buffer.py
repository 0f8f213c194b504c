"""Bounded buffer between the logging code and the pipe or file that receives the lines.

Several lines are written at once, and only as much as the descriptor accepts without blocking. If
the reader stalls, the buffer fills up, and further lines are dropped and counted by kind. The
counts are logged once less than half of the buffer is in use.
"""

import os
import select
from collections import deque
from collections.abc import Callable
from typing import Final

from attrs import define, field

MAX_BUFFER_BYTES: Final = 1024 * 1024  # several seconds of lines at the heaviest load
MAX_WRITE_BYTES: Final = 4096  # PIPE_BUF: a writable pipe accepts this much without blocking
FLUSH_LINES: Final = 64  # with this many lines, the buffer is written without further delay


@define
class LogBuffer:
    """Log lines to be written to a file descriptor.

    `format_drops` formats the line that reports how many lines of a kind were dropped.
    """

    descriptor: int
    format_drops: Callable[[str, int], str]
    max_bytes: int = MAX_BUFFER_BYTES
    dropped: dict[str, int] = field(factory=dict)
    _lines: deque[bytes] = field(factory=deque)
    _size_bytes: int = 0
    _broken: bool = False

    def append(self, kind: str, line: str) -> None:
        """Add a line, or count it as dropped if the buffer is full."""
        data = line.encode(errors="backslashreplace") + b"\n"
        if self._broken or self._size_bytes + len(data) > self.max_bytes:
            self.dropped[kind] = self.dropped.get(kind, 0) + 1
            return
        self._lines.append(data)
        self._size_bytes += len(data)

    @property
    def pending(self) -> bool:
        """Return whether there are lines to write and the descriptor is usable."""
        return bool(self._lines) and not self._broken

    @property
    def flush_due(self) -> bool:
        """Return whether enough lines are buffered to write them now."""
        return len(self._lines) >= FLUSH_LINES

    def flush(self) -> None:
        """Write buffered lines as far as possible without blocking, then report dropped lines."""
        while self._lines and not self._broken and self._is_writable():
            self._write_block()
        if self.dropped and self._size_bytes < self.max_bytes // 2 and not self._broken:
            dropped, self.dropped = self.dropped, {}
            for kind, count in dropped.items():
                self.append("log_lines_dropped", self.format_drops(kind, count))

    def _write_block(self) -> None:
        """Write one block of lines, of which the last may be incomplete."""
        block = bytearray()
        while self._lines and len(block) < MAX_WRITE_BYTES:
            block += self._lines.popleft()
        unwritten = bytes(block[MAX_WRITE_BYTES:])
        try:
            written = os.write(self.descriptor, block[:MAX_WRITE_BYTES])
        except BlockingIOError:
            written = 0
        except OSError:
            # The log has no reader any more, so this can't be reported; the process goes on.
            self._broken = True
            return
        unwritten = bytes(block[written:MAX_WRITE_BYTES]) + unwritten
        self._size_bytes -= len(block) - len(unwritten)
        if unwritten:
            self._lines.appendleft(unwritten)

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))
