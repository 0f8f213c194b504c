"""Waiting work that entries with common agents tell each other, in a burst and after failures."""

import random
from collections import Counter

from pistachiohill.const import JobState
from pistachiohill.protocol.models import SharedWork
from pistachiohill.scheduling.models import WaitingAhead
from pistachiohill.shared_load.agent import AgentSharedLoad
from pistachiohill.shared_load.waiting_work import WORK_TTL_S

from ..base import TestCase
from .fleet import INTERVAL_S, SETTINGS, STEP_S, Fleet, NamedLink

ENTRIES = 9
AGENTS = 18
CORES = 4
WORK_S = {"short": 0.12, "long": 1.8}
TASKS = {"short": 4, "long": 2}
OVERLOAD = 2.0
BURST_S = 3.0
DRAIN_S = 12.0
SEEDS = range(1, 4)


class BurstTest(TestCase):
    """Callers bring twice what the targets can serve; the second entry gets most, the last little.

    A caller whose job can't end in time is to hear so at once, and the same work is to get done.
    """

    def play(self, interval_s: float, seed: int) -> Counter[str]:
        """Return the number of jobs by kind and outcome."""
        rng = random.Random(seed)
        fleet = Fleet(ENTRIES, AGENTS, 1000 * CORES, WORK_S, interval_s)
        due = dict.fromkeys(WORK_S, 0.0)
        while fleet.now_s < BURST_S + DRAIN_S:
            for kind, work_s in WORK_S.items():
                gap_s = work_s * TASKS[kind] / (OVERLOAD / len(WORK_S) * CORES * AGENTS)
                while due[kind] <= min(fleet.now_s, BURST_S):
                    due[kind] += gap_s
                    entry = fleet.all_entries[int(rng.triangular(0, ENTRIES - 0.01, 2))]
                    entry.submit(kind, TASKS[kind], SETTINGS, fleet.now_s)
            fleet.step()
        outcomes: Counter[str] = Counter()
        for entry in fleet.all_entries:
            outcomes["refused"] += len(entry.refused)
            for submission in entry.submissions:
                kind = submission.request.job
                assert submission.answer is not None, "every job is answered"
                if submission.answer.state != JobState.COMPLETE:
                    outcomes["waited in vain"] += 1
                    continue
                took_s = entry.ended_s[submission.submission_id] - submission.submitted_at_s
                goal_s = SETTINGS.slack_factor * WORK_S[kind] + SETTINGS.target_latency_s
                outcomes[f"{kind} in time" if took_s <= goal_s + STEP_S else "late"] += 1
        return outcomes

    def test_fewer_jobs_end_late_or_wait_in_vain_and_no_kind_is_worse_off(self) -> None:
        alone, shared = (
            sum((self.play(interval_s, seed) for seed in SEEDS), Counter())
            for interval_s in (0.0, INTERVAL_S)
        )
        outcomes = alone, shared
        self.assertLess(shared["waited in vain"], 0.7 * alone["waited in vain"], outcomes)
        self.assertLess(shared["late"], 0.95 * alone["late"], outcomes)
        for kind in WORK_S:
            name = f"{kind} in time"
            self.assertGreaterEqual(shared[name], 0.95 * alone[name], outcomes)


class WaitingWorkTest(TestCase):
    def test_work_of_a_lost_entry_expires_and_repeated_messages_count_once(self) -> None:
        shared = AgentSharedLoad(list)
        shared.record_work(NamedLink("reader"), SharedWork([]), 0.0)
        for at_s in (0.0, 0.1, 0.1):
            shared.record_work(NamedLink("lost"), SharedWork([40, 0, 2]), at_s)
        load = shared.load_for(NamedLink("reader"), 0.1 + WORK_TTL_S)
        assert load is not None
        self.assertEqual(([40, 0, 2], 1), (load.waiting_core_ms, load.waiting_entries))
        load = shared.load_for(NamedLink("reader"), 0.11 + WORK_TTL_S)
        assert load is not None
        self.assertEqual(([], 0), (load.waiting_core_ms, load.waiting_entries))

    def test_odd_work_is_bounded(self) -> None:
        shared = AgentSharedLoad(list)
        shared.record_work(NamedLink("reader"), SharedWork([]), 0.0)
        shared.record_work(NamedLink("odd"), SharedWork([-5, 2**62, 3, 4, 5]), 0.0)
        load = shared.load_for(NamedLink("reader"), 0.0)
        assert load is not None
        self.assertEqual([0, 10**9, 3], load.waiting_core_ms)

    def test_an_old_report_is_not_counted(self) -> None:
        fleet = Fleet(ENTRIES, AGENTS, 1000 * CORES, WORK_S, INTERVAL_S)
        for _ in range(40):
            fleet.all_entries[0].submit("long", 8, SETTINGS, 0.0)
        fleet.step()
        fleet.step()
        target = fleet.all_entries[1].fixture.agents[0].load
        own = WaitingAhead(0, 1e3)
        self.assertGreater(target.others_ahead_core_s(own, fleet.now_s), 0.0)
        self.assertEqual(0.0, target.others_ahead_core_s(own, fleet.now_s + 2 * WORK_TTL_S))
