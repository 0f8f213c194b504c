"""Assignment of agents to entries.

Each agent is served by a few of the live entries, so that the number of links and of status
messages does not grow with entries times agents. The entries are selected by rendezvous hashing:
when an entry joins or leaves, only its own agents are reassigned. Entries with different views of
the live entries disagree on a few links only, which is harmless.

This applies only where all jobs are best-effort. The recovery of an at-most-once submission queries
every agent that may have accepted it, so there each entry serves all agents.
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
    """Return whether an entry is one of those that serve an agent.

    `agent` is the agent's address; `entries` holds the names of all live entries.
    """
    own_weight = _rendezvous_weight(agent, entry)
    higher = sum(
        _rendezvous_weight(agent, other) > own_weight for other in entries if other != entry
    )
    return higher < entries_per_agent


def _rendezvous_weight(agent: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{agent}/{entry}".encode(), digest_size=8).digest()
