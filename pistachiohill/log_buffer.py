"""A bounded buffer between the code that logs and the pipe or file that takes the lines.

Lines are written together, and only as much as the reader takes without waiting. When nobody reads,
the buffer fills and later lines are dropped and counted by kind; a line says so once there is room
again.
"""

import os
import select
from collections import deque
from collections.abc import Callable
from typing import Final

from attrs import define, field

MAX_BUFFER_BYTES: Final = 1024 * 1024  # some seconds of lines at the heaviest load
MAX_WRITE_BYTES: Final = 4096  # what a pipe that is ready takes without waiting (PIPE_BUF)
FLUSH_LINES: Final = 64  # lines that are written without waiting for the next turn


@define
class LogBuffer:
    """Lines that wait to be written to a file descriptor.

    `describe_drops` makes the line that tells how many lines of a kind were dropped.
    """

    descriptor: int
    describe_drops: Callable[[str, int], str]
    max_bytes: int = MAX_BUFFER_BYTES
    dropped: dict[str, int] = field(factory=dict)
    _lines: deque[bytes] = field(factory=deque)
    _size_bytes: int = 0
    _broken: bool = False

    def append(self, kind: str, line: str) -> None:
        """Take a line, or count it as dropped when the buffer is full."""
        data = line.encode(errors="backslashreplace") + b"\n"
        if self._broken or self._size_bytes + len(data) > self.max_bytes:
            self.dropped[kind] = self.dropped.get(kind, 0) + 1
            return
        self._lines.append(data)
        self._size_bytes += len(data)

    @property
    def pending(self) -> bool:
        """Return whether lines wait to be written."""
        return bool(self._lines) and not self._broken

    @property
    def due(self) -> bool:
        """Return whether enough lines wait to be written now."""
        return len(self._lines) >= FLUSH_LINES

    def flush(self) -> None:
        """Write what the reader takes without waiting."""
        while self._lines and not self._broken and self._is_writable():
            self._write_some()
        if self.dropped and self._size_bytes < self.max_bytes // 2 and not self._broken:
            dropped, self.dropped = self.dropped, {}
            for kind, count in dropped.items():
                self.append("log_lines_dropped", self.describe_drops(kind, count))

    def _write_some(self) -> None:
        """Write one block of whole and, at its end, perhaps part of a line."""
        block = bytearray()
        while self._lines and len(block) < MAX_WRITE_BYTES:
            block += self._lines.popleft()
        rest = bytes(block[MAX_WRITE_BYTES:])
        try:
            written = os.write(self.descriptor, block[:MAX_WRITE_BYTES])
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has gone: nobody can be told, and the process goes on without its log.
            self._broken = True
            return
        rest = bytes(block[written:MAX_WRITE_BYTES]) + rest
        self._size_bytes -= len(block) - len(rest)
        if rest:
            self._lines.appendleft(rest)

    def _is_writable(self) -> bool:
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        return any(events & select.POLLOUT for _, events in poll.poll(0))
