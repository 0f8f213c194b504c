"""Limits of a process's listeners, from the memory and the descriptors of its machine."""

from typing import Final, Protocol

from .budget import CONNECTION_BYTES, ClientLimits

FILE_DESCRIPTORS: Final = 200  # for files; sockets and pipes share the others
BYTES_PER_MB: Final = 1_000_000

# Shares of the sockets; the rest is for links that this process opens, the store and the target.
MAIN_SOCKET_SHARE: Final = 0.70
SIDE_SOCKET_SHARE: Final = 0.05
LINK_SOCKET_SHARE: Final = 0.08

# Shares of the memory for clients. Links are used by the deployment's own processes.
MAIN_MEMORY_SHARE: Final = 0.75
SIDE_MEMORY_SHARE: Final = 0.125
LINK_MEMORY_SHARE: Final = 0.5

# Share of the whole memory that the connections of one listener may take up without requests.
CONNECTION_MEMORY_SHARE: Final = 0.12


class MachineSettings(Protocol):
    """The settings of an entry or an agent that say how large its machine is."""

    @property
    def memory_mb(self) -> float:
        """Memory of the process."""

    @property
    def max_descriptors(self) -> int:
        """Number of file descriptors that the process may open."""

    @property
    def client_memory_share(self) -> float:
        """Share of the memory for requests of clients."""


def main_limits(settings: MachineSettings) -> ClientLimits:
    """Return the limits of the listener that most clients use."""
    return _limits(settings, MAIN_SOCKET_SHARE, MAIN_MEMORY_SHARE)


def side_limits(settings: MachineSettings) -> ClientLimits:
    """Return the limits of a listener for health checks, metrics or operators.

    They are apart from the others, so that a crowd elsewhere leaves health checks their room.
    """
    return _limits(settings, SIDE_SOCKET_SHARE, SIDE_MEMORY_SHARE)


def link_limits(settings: MachineSettings) -> ClientLimits:
    """Return the limits of the listener for links from other processes."""
    return _limits(settings, LINK_SOCKET_SHARE, LINK_MEMORY_SHARE)


def _limits(settings: MachineSettings, socket_share: float, memory_share: float) -> ClientLimits:
    sockets = settings.max_descriptors - FILE_DESCRIPTORS
    client_bytes = settings.memory_mb * BYTES_PER_MB * settings.client_memory_share
    max_bytes = int(client_bytes * memory_share)
    connection_bytes = settings.memory_mb * BYTES_PER_MB * CONNECTION_MEMORY_SHARE
    max_connections = min(int(sockets * socket_share), int(connection_bytes / CONNECTION_BYTES))
    return ClientLimits(max(1, max_connections), max_bytes)
