"""What passes on a real link between an entry and an agent, with sharing on and off."""

import trio

from pistachiohill import clock
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.const import Role
from pistachiohill.entry.agent_assignment import is_served
from pistachiohill.entry.agents import AgentDirectory
from pistachiohill.protocol.models import AnnounceRecord, RunEstimate
from pistachiohill.scheduling.models import TargetLoad
from pistachiohill.shared_load.entry import EntrySharedLoad
from standins.processes import HOST

from ..base import TestCase
from ..entry.test_agents import ReachableAgent, RunsListener

PATH = "consortium/lofts/stamp"
LINKED_LIMIT_S = 2.0
ANSWER_S = 0.15  # less than the time after which an unanswered view is sent again


class WiringTest(TestCase):
    async def connect(self, shared: EntrySharedLoad, other_entries: int) -> TargetLoad:
        """Return what an entry knows of a target of factor 1.6 shortly after its link opens."""
        async with trio.open_nursery() as nursery:
            agent = ReachableAgent(nursery)
            await agent.async_open_path()
            speed = agent.service._runner.shared.speed
            speed.record_estimate(PATH, RunEstimate(1.6, 0.2, 0.0))
            for _ in range(10):
                speed.record_run(0.2, 0.32, clock.boot_s())
            view = ConsortiumView()
            address = f"{HOST}:{agent.port}"
            ports = (
                port
                for port in range(2, 1000)
                if is_served(address, f"{HOST}:1", [f"{HOST}:{port}"], 1)
            )
            for number in range(other_entries):
                record = AnnounceRecord(Role.ENTRY, f"e{number}", "d", HOST, next(ports))
                view.processes.announce(record, number, clock.wall_s())
            directory = AgentDirectory(
                "e", "", 0.3, (address,), view, (HOST, 1), 1, lambda now_s: now_s
            )
            directory.shared_load = shared
            listener = RunsListener()
            nursery.start_soon(directory.async_run, listener)
            with trio.fail_after(LINKED_LIMIT_S):
                while not listener.links:
                    await trio.sleep(0.01)
            await trio.sleep(ANSWER_S)
            nursery.cancel_scope.cancel()
        (known,) = directory.agents.values()
        return known.load

    async def test_a_restarted_entry_learns_factor_and_run_times_with_its_link(self) -> None:
        shared = EntrySharedLoad(run_times=True)
        target = await self.connect(shared, other_entries=2)
        self.assertAlmostEqual(1.6, target.factor, 2)
        self.assertAlmostEqual(0.2, shared.estimates.expected_run_s(PATH))

    async def test_nothing_is_shared_while_off_or_where_entries_serve_all_agents(self) -> None:
        cases = (
            (EntrySharedLoad(), 2),
            (EntrySharedLoad(run_times=True, work_interval_s=0.2), 0),
        )
        for shared, other_entries in cases:
            target = await self.connect(shared, other_entries)
            self.assertEqual(1.0, target.factor)
            self.assertIsNone(shared.estimates.job(PATH))
            self.assertIsNone(shared.work(target, "clocking", 1e9))
            self.assertIsNone(shared.estimate(PATH, 1.0))
