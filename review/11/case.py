"""After its machine was suspended, an agent takes runs for ended that go on at its runner."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness3.lab import Lab, new_key, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SUSPENDED = TROUBLE and os.environ.get("SUSPEND", "1") != "0"  # without: only the cut, as a control
SUSPEND_S = 4.0  # the site file's longest freeze
CALM_S = 6.0  # twice contactMs
RUN_BEFORE_CUT_S = 1.6
CUT_S = 5.5  # the site file's longest cut of workers
WORK_MS = 4000
DEADLINE_S = 20.0
SETTLE_S = 12.0


async def play(lab: Lab) -> bool:
    """Return whether the rule was broken."""
    await lab.start()
    agent, runner = lab.agents[0], lab.runners[0]
    if SUSPENDED:
        agent.signal(signal.SIGSTOP)
        since_s = runner.suspend()
        await asyncio.sleep(SUSPEND_S)
        runner.resume(since_s)
        agent.signal(signal.SIGCONT)
    await asyncio.sleep(CALM_S)
    for _ in range(3):
        await lab.job(lab.entries[0], new_key(), 6, 200, 5.0)
    await asyncio.sleep(1.0)
    key = new_key()
    job = asyncio.create_task(lab.job(lab.entries[0], key, 12, WORK_MS, DEADLINE_S))
    await asyncio.sleep(RUN_BEFORE_CUT_S)
    if TROUBLE:
        runner.cut = True
        lab.record("cut", runner=runner.name, runs=len(runner.running))
        await asyncio.sleep(CUT_S)
        runner.cut = False
        lab.record("cut_ends", runner=runner.name)
    await asyncio.sleep(SETTLE_S if TROUBLE else WORK_MS / 1000)
    job.cancel()
    return judge(lab)


def judge(lab: Lab) -> bool:
    """Return whether two runs of one task went on at the same time, on runners that were up."""
    rows = [(*row, runner.name) for runner in lab.runners for row in runner.history]
    offset_s = lab.now_s() - asyncio.get_running_loop().time()
    broken = 0
    for i, (task, run, began_s, ended_s, _how, name) in enumerate(rows):
        for other, other_run, other_began_s, other_ended_s, _other_how, other_name in rows[:i]:
            both_s = min(ended_s, other_ended_s) - max(began_s, other_began_s)
            if task == other and both_s > 0.0:
                broken += 1
                lab.record(
                    "overlap",
                    task=task,
                    runs=f"{run}@{name},{other_run}@{other_name}",
                    from_s=round(max(began_s, other_began_s) + offset_s, 3),
                    for_s=round(both_s, 3),
                )
    lab.record("verdict", runs=len(rows), overlaps=broken)
    return broken > 0


if __name__ == "__main__":
    run_case(play, Path(__file__).parent, entries=2, agents=6, cpu=4000)
