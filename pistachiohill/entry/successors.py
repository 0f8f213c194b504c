"""Tasks of a lost agent that its successor at the same target takes over.

After the loss of an agent, its entry may not know whether the target was asked to start a task. The
task may run at another target only once such a start can't come any more, and few jobs can wait for
that. But a target executes each run once. So the entry places the same run, under its number, at
the next process of the agent, which starts it or reports how it has ended:

    agent 1 has task K as run 1 and is killed; its entry isn't told that the start was answered
    agent 2 reports the same target; the entry places run 1 of K there
    agent 2: the target lists run 1 of K as done, or executes the start of agent 2

Any other outcome than success says nothing of the first start, and the job fails, as it does
without a successor.
"""

from collections.abc import Iterable
from typing import Final

from attrs import frozen

from ..submissions.models import Submission, Task
from .agent import Agent

# How long a job waits for the successor once its runs at the lost agent have ended: as long as it
# takes to restart an agent and until a runner announces itself.
SUCCESSOR_WAIT_S: Final = 4.0


@frozen
class LostTask:
    """A task at a lost agent, of which a start may be executed until the boot time `until_s`."""

    agent: Agent
    submission: Submission
    task: Task
    until_s: float


def may_have_successor(agent: Agent, task: Task, now_s: float) -> bool:
    """Return whether a task at a lost agent waits for the next process of that agent."""
    return bool(task.target_id) and now_s < agent.runs_end_s() + SUCCESSOR_WAIT_S


def find_tasks(successor: Agent, lost_agents: Iterable[Agent]) -> list[LostTask]:
    """Return the tasks that an agent can take over from earlier agents at its target."""
    if not successor.accepting or not successor.target_id:
        return []
    return [
        LostTask(agent, submission, task, agent.late_starts_end_s())
        for agent in lost_agents
        for submission, task in agent.outstanding.values()
        if task.target_id == successor.target_id
        and not task.is_start_answered
        and submission.settings.best_effort
        and submission.failure is None
    ]
