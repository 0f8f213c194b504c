"""Processes and ports of a deployment on loopback."""

import os
import signal
import socket
import subprocess
from pathlib import Path

import trio
from attrs import define

HOST = "127.0.0.1"
POLL_S = 0.03
FIRST_PORT = 12000
PORT_COUNT = 18000
PORT_STRIDE = 397


@define(eq=False)
class Process:
    """One started process; `args` allow starting it anew at the same address."""

    name: str
    args: list[str]
    log_path: Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, with its log appended to a file."""
        with self.log_path.open("ab") as log_file:
            self.popen = subprocess.Popen(self.args, stdout=log_file, stderr=log_file)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    async def async_kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.async_wait()

    async def async_wait(self) -> int:
        """Wait for the process's end and return its exit code."""
        assert self.popen is not None
        while (code := self.popen.poll()) is None:
            await trio.sleep(POLL_S)
        return code

    def rss_bytes(self) -> int:
        """Return the resident memory."""
        assert self.popen is not None
        text = Path(f"/proc/{self.popen.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        assert self.popen is not None
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text(errors="replace")


class PortAllocator:
    """Hands out ports below the range from which the system takes ports for connections."""

    def __init__(self) -> None:
        """Start at a place that differs between test processes."""
        self._next = FIRST_PORT + (os.getpid() * PORT_STRIDE) % PORT_COUNT

    def take(self, count: int) -> list[int]:
        """Return ports that nothing listens on."""
        found: list[int] = []
        while len(found) < count:
            self._next = FIRST_PORT + (self._next + 1 - FIRST_PORT) % PORT_COUNT
            if _is_free(self._next):
                found.append(self._next)
        return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
        return True


free_ports = PortAllocator().take
