"""Assignment of agents to entries, and of the entries that each entry opens links to.

Each agent is served by a few of the announced entries, so that the number of links and of status
messages does not grow with entries times agents. The entries are selected by rendezvous hashing:
when an entry joins or leaves, only its own agents are reassigned. Entries are named by their
addresses, so that a restart reassigns nothing. Entries with different views of the announced
entries disagree on a few links only, which is harmless.

Entries exchange views over a ring in which each opens links to the next few; views pass from one
to the other. What entries tell each other of the jobs that they hold doesn't pass on, so those of
one failure domain are all linked: a caller reaches the entries of its own domain while any is
ready. Up to eleven entries are all linked.

This applies only where all jobs are best-effort. The recovery of an at-most-once submission queries
every agent that may have accepted it, and a submission is forwarded to its owner, so there each
entry serves all agents and is linked to all entries.
"""

import hashlib
import sys
from collections.abc import Iterable
from functools import lru_cache
from typing import Final

Address = tuple[str, int]

ENTRIES_PER_AGENT: Final = 4
ENTRIES_DIALED: Final = 5
ALL_ENTRIES: Final = sys.maxsize
MAX_CACHED_WEIGHTS: Final = 65536


def format_address(address: Address) -> str:
    """Return an address as host:port."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    """Return the address of a text such as "10.0.0.1:80"."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def is_served(
    agent: str, entry: str, entries: Iterable[str], entries_per_agent: int = ENTRIES_PER_AGENT
) -> bool:
    """Return whether an entry is one of those that serve an agent.

    `agent` is the agent's address; `entries` holds the addresses of all announced entries.
    """
    own_weight = _rendezvous_weight(agent, entry)
    higher = sum(
        _rendezvous_weight(agent, other) > own_weight for other in entries if other != entry
    )
    return higher < entries_per_agent


def dialed_entries(own: Address, entries: Iterable[Address], count: int) -> set[Address]:
    """Return the entries to which an entry opens links: its `count` successors on the ring."""
    others = sorted(set(entries) - {own}, key=_ring_position)
    position = _ring_position(own)
    following = [item for item in others if _ring_position(item) > position]
    preceding = [item for item in others if _ring_position(item) <= position]
    return set((following + preceding)[:count])


def dialed_in_domain(own: Address, entries_of_domain: Iterable[Address]) -> set[Address]:
    """Return the entries of its own domain to which an entry opens links; the others dial it."""
    return {item for item in entries_of_domain if item > own}


def _ring_position(address: Address) -> bytes:
    return _rendezvous_weight("ring", format_address(address))


@lru_cache(MAX_CACHED_WEIGHTS)
def _rendezvous_weight(agent: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{agent}/{entry}".encode(), digest_size=8).digest()
