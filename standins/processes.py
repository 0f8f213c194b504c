"""Child processes and free ports for a deployment on loopback."""

import os
import signal
import socket
import subprocess
from pathlib import Path

import trio
from attrs import define

HOST = "127.0.0.1"
POLL_INTERVAL_S = 0.03
FIRST_PORT = 12000
PORT_COUNT = 18000
PORT_STRIDE = 397
PORT_PARTS = 30


@define(eq=False)
class Process:
    """A child process; it can be restarted with the same arguments and thus at the same address."""

    name: str
    args: list[str]
    log_path: Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with self.log_path.open("ab") as log_file:
            self.popen = subprocess.Popen(self.args, stdout=log_file, stderr=log_file)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    async def async_kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        await self.async_wait()

    async def async_wait(self) -> int:
        """Wait until the process has ended and return its exit code."""
        assert self.popen is not None
        while (exit_code := self.popen.poll()) is None:
            await trio.sleep(POLL_INTERVAL_S)
        return exit_code

    def rss_bytes(self) -> int:
        """Return the resident set size."""
        assert self.popen is not None
        text = Path(f"/proc/{self.popen.pid}/statm").read_text()
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_s(self) -> float:
        """Return the user and system CPU time used so far."""
        assert self.popen is not None
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log_text(self) -> str:
        """Return the output of the process so far."""
        return self.log_path.read_text(errors="replace")


class PortAllocator:
    """Allocates ports below the ephemeral range, which the system uses for outgoing connections."""

    def __init__(self) -> None:
        """Start at a port that depends on the process id, so that test processes rarely collide."""
        self._first_port = FIRST_PORT
        self._port_count = PORT_COUNT
        self._last_port = FIRST_PORT + (os.getpid() * PORT_STRIDE) % PORT_COUNT

    def use_part(self, part: int) -> None:
        """Allocate only ports of one of PORT_PARTS parts, any number of which may be given.

        A port that its owner leaves for a while, as a relay does that refuses connections, is then
        not taken by another process.
        """
        self._port_count = PORT_COUNT // PORT_PARTS
        self._first_port = FIRST_PORT + part % PORT_PARTS * self._port_count
        self._last_port = self._first_port

    def allocate(self, count: int) -> list[int]:
        """Return `count` ports on which nothing listens."""
        ports: list[int] = []
        while len(ports) < count:
            next_port = self._last_port + 1 - self._first_port
            self._last_port = self._first_port + next_port % self._port_count
            if _is_free(self._last_port):
                ports.append(self._last_port)
        return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
        return True


_ALLOCATOR = PortAllocator()
free_ports = _ALLOCATOR.allocate
use_port_part = _ALLOCATOR.use_part
