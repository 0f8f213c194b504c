"""Opens the sockets of a daemon before its modules are loaded.

Only the addresses are read from the settings file. Whether the file is valid is checked later.
"""

import os
import tomllib
from typing import Any, Final

from .. import early_listeners

ENV_NODE_FILE: Final = "PISTACHIOHILL_NODE_FILE"
CALLERS_ADDRESSES: Final = ("jobs_address", "ready_address", "control_address")


def listen_early(path: str) -> None:
    """Listen for callers, and for entries at an agent, as far as the settings file tells where.

    If `path` is empty, PISTACHIOHILL_NODE_FILE names the file. Without an address for callers of
    the platform, nothing is opened.
    """
    values = _read_settings(path or os.environ.get(ENV_NODE_FILE, ""))
    addresses = [str(values[name]) for name in CALLERS_ADDRESSES if values.get(name)]
    if values.get("control_address"):
        addresses.append(f"{values.get('peer_host')}:{values.get('peer_port')}")
    early_listeners.open_all(addresses)


def _read_settings(path: str) -> dict[str, Any]:
    """Return the contents of a settings file, empty if it can't be read."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except (OSError, ValueError):
        return {}
