"""Tests for the assignment of agents to entries.

Each agent must be served by a few entries, and the agents must be evenly distributed. When an entry
leaves, only its own agents may be reassigned.
"""

import trio

from pistachiohill.const import Role
from pistachiohill.daemon.entry import Entry
from pistachiohill.entry.agent_assignment import (
    ENTRIES_DIALED,
    ENTRIES_PER_AGENT,
    dialed_entries,
    dialed_in_domain,
    is_served,
)
from pistachiohill.protocol.models import AnnounceRecord
from pistachiohill.settings.models import EntrySettings

from ..base import TestCase

ENTRIES = [f"entry{number}" for number in range(10)]
AGENTS = [f"10.1.0.{number}:7720" for number in range(61)]


def served_agents(entries: list[str]) -> dict[str, set[str]]:
    """Return the agents that each entry serves."""
    return {
        entry: {agent for agent in AGENTS if is_served(agent, entry, entries)} for entry in entries
    }


class AgentAssignmentTest(TestCase):
    def test_agents_are_evenly_distributed(self) -> None:
        agents_by_entry = served_agents(ENTRIES)
        for agent in AGENTS:
            count = sum(agent in agents for agents in agents_by_entry.values())
            self.assertEqual(ENTRIES_PER_AGENT, count)
        fair_share = len(AGENTS) * ENTRIES_PER_AGENT / len(ENTRIES)
        for agents in agents_by_entry.values():
            self.assertTrue(fair_share / 2 < len(agents) < 2 * fair_share, len(agents))

    def test_few_entries_serve_all_agents(self) -> None:
        for entries in (ENTRIES[:1], ENTRIES[:ENTRIES_PER_AGENT]):
            for agents in served_agents(entries).values():
                self.assertEqual(set(AGENTS), agents)

    def test_leaving_entry_reassigns_only_its_own_agents(self) -> None:
        before, after = served_agents(ENTRIES), served_agents(ENTRIES[1:])
        for entry in ENTRIES[1:]:
            self.assertLessEqual(before[entry], after[entry])
            self.assertLessEqual(after[entry] - before[entry], before[ENTRIES[0]])

    def test_links_between_entries_grow_with_their_number_and_connect_all(self) -> None:
        addresses = [("10.3.0.1", port) for port in range(35)]
        links = {item: dialed_entries(item, addresses, ENTRIES_DIALED) for item in addresses}
        self.assertEqual(len(addresses) * ENTRIES_DIALED, sum(map(len, links.values())))
        self.assertTrue(all(item not in dialed for item, dialed in links.items()))
        reached = {addresses[0]}
        for _ in addresses:
            reached |= {other for item in reached for other in links[item]}
        self.assertEqual(set(addresses), reached)

    def test_few_entries_are_all_linked(self) -> None:
        addresses = [("10.3.0.1", port) for port in range(3)]
        for item in addresses:
            dialed = dialed_entries(item, addresses, ENTRIES_DIALED)
            self.assertEqual(set(addresses) - {item}, dialed)

    async def test_every_entry_serves_all_agents_for_at_most_once_jobs(self) -> None:
        """Recovery queries all agents that may have accepted a submission."""
        async with trio.open_nursery() as nursery:
            standalone = Entry(EntrySettings(agents=tuple(AGENTS)), nursery)
            on_platform = Entry(
                EntrySettings(agents=tuple(AGENTS), jobs_address="127.0.0.1:1"), nursery
            )
            for entry in (standalone, on_platform):
                for number in range(len(ENTRIES)):
                    record = AnnounceRecord(Role.ENTRY, f"e{number}", "bern-a", "10.2.0.1", number)
                    entry.view.processes.announce(record, number, 0.0)
            self.assertEqual(len(AGENTS), len(standalone.directory.served_addresses()))
            self.assertLess(len(on_platform.directory.served_addresses()), len(AGENTS))

    def test_up_to_eleven_entries_are_all_linked(self) -> None:
        for count in (2, 10, 11):
            addresses = [(f"10.1.0.{number}", 7720) for number in range(count)]
            links = {
                frozenset((item, other))
                for item in addresses
                for other in dialed_entries(item, addresses, ENTRIES_DIALED)
            }
            self.assertEqual(count * (count - 1) // 2, len(links))

    def test_entries_of_one_domain_are_all_linked(self) -> None:
        addresses = [(f"10.1.0.{number}", 7720) for number in range(40)]
        links = [(item, other) for item in addresses for other in dialed_in_domain(item, addresses)]
        self.assertEqual(40 * 39 // 2, len(links))
        self.assertEqual(len(links), len({frozenset(pair) for pair in links}))
