"""Heartbeats that another writer could send to an agent, or that arrive late.

The other writer starts from the runner's own heartbeat and changes one thing, so that nothing else
gives it away.
"""

import copy
import json
from typing import Any, Final

from attrs import frozen

OTHER_ID: Final = "i-other"
NESTING_DEPTH: Final = 100_000
LARGE_INTEGER: Final = 10**400
LARGE_SEQUENCE: Final = 10**30
LATER_MS: Final = 3_600_000


@frozen
class Heartbeat:
    """A heartbeat as it is sent: the runner's id, which is part of the path, and the body."""

    runner_id: str
    body: bytes


def odd_heartbeats(runner_id: str, announcement: dict[str, Any]) -> list[Heartbeat]:
    """Return the heartbeats of another writer; none of them names a runner to use."""
    changes: list[dict[str, Any]] = [
        {"clockMs": LARGE_INTEGER},
        {"capacity": {"cpu": LARGE_INTEGER, "memMb": 4096, "gpu": 0}},
        {"seq": LARGE_SEQUENCE},
        {"born": LARGE_INTEGER},
        {"address": "127.0.0.1:99999"},
        {"address": "127.0.0.1:abc"},
        {"address": ""},
        {"address": f"{'x' * 64}.example:80"},
        {"state": "unknown"},
        {"service": "not-in-the-manifest"},
        {"service": None},
    ]
    nested = b'{"service":' + b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH + b"}"
    bodies = [_changed(announcement, change) for change in changes]
    heartbeats = [Heartbeat(runner_id, body) for body in (*bodies, nested, b"\xff\xfe")]
    no_address = {"address": "127.0.0.1:99999"}
    later = no_address | {"born": announcement["born"] + LATER_MS}
    heartbeats.append(Heartbeat(OTHER_ID, _changed(announcement, no_address)))
    heartbeats.append(Heartbeat(OTHER_ID, _changed(announcement, later)))
    return heartbeats


def _changed(announcement: dict[str, Any], change: dict[str, Any]) -> bytes:
    value = copy.deepcopy(announcement)
    value["seq"] += 1
    return json.dumps(value | change).encode()
