"""A start is carried out late by a restarted runner whose agent was stopped meanwhile."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness4.http11 import Request, Response  # noqa: E402
from harness4.runner import Run, Runner  # noqa: E402
from harness4.world import UnusableError, World, has_trouble, new_key, run_case  # noqa: E402

LATE_S = 8.6  # orders that get no answer are carried out 2 to 12 s later
STOP_S = 0.2  # after the order, the agent gets SIGTERM
GRACE_S = 6.0  # graceS
CRASH_S, DOWN_S = 4.0, 4.3
FIRST_BEAT_S = 0.7  # within heartbeatMs, which is 1.5 s
AGENTS, CAPACITY = 8, 8000
TASKS, WORK_S, TIME_LIMIT_S = 8, 4.5, 18.0


async def async_stop_and_start(world: World) -> None:
    """Stop the first agent as the platform does, and start it again."""
    machine = world.agents[0]
    await asyncio.sleep(STOP_S)
    world.signal(machine, signal.SIGTERM)
    assert machine.popen is not None
    stopped = asyncio.to_thread(machine.popen.wait, GRACE_S)
    try:
        await stopped
    except subprocess.TimeoutExpired:
        world.signal(machine, signal.SIGKILL)
        await asyncio.to_thread(machine.popen.wait)
    world.log(f"{machine.name} has ended and starts again")
    world.start(machine)


async def async_case() -> bool:
    """Return whether two runs of one task went on at the same time."""
    twice: list[str] = []
    held = asyncio.Event()

    async with World(FOLDER, agents=AGENTS, capacity=CAPACITY) as world:
        chosen = world.runners()[0]

        def check(runner: Runner, run: Run) -> None:
            for other in world.runners():
                if other is not runner and run.task in other.live:
                    twice.append(run.task)
                    world.log(f"{run.task} runs at {other.name} and at {runner.name}")

        async def async_carry_out_late(request: Request) -> None:
            await asyncio.sleep(LATE_S)
            response = chosen.start(request.json())
            world.log(f"{request.json()['task']} is carried out late: {response.status}")

        async def async_filter(request: Request) -> Response:
            if request.path == "/api/run-start" and not held.is_set():
                world.log(f"{request.json()['task']} gets no answer at {chosen.name}")
                held.set()
                world.keep(async_carry_out_late(request))
                await asyncio.sleep(3600)
            return await chosen.async_handle(request)

        for runner in world.runners():
            runner.on_start = check
        if has_trouble():
            chosen.filter = async_filter
        job = asyncio.create_task(
            world.async_submit(world.entries[0], new_key(), TASKS, WORK_S, TIME_LIMIT_S)
        )
        if has_trouble():
            try:
                await asyncio.wait_for(held.wait(), 5.0)
            except TimeoutError:
                raise UnusableError("no task was placed at the chosen runner") from None
            stopping = asyncio.create_task(async_stop_and_start(world))
            await asyncio.sleep(CRASH_S)
            chosen.crash()
            await asyncio.sleep(DOWN_S)
            chosen.boot(CAPACITY, FIRST_BEAT_S)
            await stopping
        await job
        world.log(f"{len(twice)} tasks ran twice at the same time")
        return bool(twice)


if __name__ == "__main__":
    sys.exit(run_case(async_case()))
