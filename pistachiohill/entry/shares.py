"""Which agents an entry keeps links to.

Each agent is served by a few of the living entries, so that links, and the messages that keep them
informed, do not grow with entries times agents. The choice is by rendezvous hashing: when an entry
comes or goes, only its own agents change hands. Entries that see different sets of entries differ
in a few links, which does no harm.

Best-effort jobs only: the recovery of an at-most-once submission asks every agent that may have
accepted it, so there each entry serves all agents.
"""

import hashlib
import sys
from collections.abc import Iterable
from typing import Final

ENTRIES_PER_AGENT: Final = 4
ALL_ENTRIES: Final = sys.maxsize


def is_served(
    agent: str, entry: str, entries: Iterable[str], entries_per_agent: int = ENTRIES_PER_AGENT
) -> bool:
    """Return whether an entry is among those that serve an agent.

    `agent` is the agent's address, `entries` the names of all living entries.
    """
    own_weight = _rendezvous_weight(agent, entry)
    higher = sum(
        _rendezvous_weight(agent, other) > own_weight for other in entries if other != entry
    )
    return higher < entries_per_agent


def _rendezvous_weight(agent: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{agent}/{entry}".encode(), digest_size=8).digest()
