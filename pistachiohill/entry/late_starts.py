"""Starts without an answer that runners may still execute, as the agents have told this entry.

The fact outlives the agent that reported it, the submission, and the job's answer: a runner's next
process may execute the start at any time before its end. Until then the task must not run
elsewhere, whether its agent is lost, or its caller has sent the job again to this or another entry.
"""

import math

from attrs import define, field, frozen

from ..protocol.models import LateStart, LateStarts
from ..submissions.identifiers import job_of_task


@frozen
class Origin:
    """The task of a late start and the incarnation of the agent that has sent it."""

    agent: str
    task_id: str


@define(eq=False)
class LateStartTable:
    """The late starts by job, each until the boot time at which it can't be executed any more."""

    _until_s: dict[str, dict[Origin, float]] = field(factory=dict)

    def record(self, agent: str, message: LateStarts, now_s: float) -> None:
        """Store what an agent incarnation reports."""
        self._expire(now_s)
        for start in message.starts:
            origins = self._until_s.setdefault(job_of_task(start.task_id), {})
            origins[Origin(agent, start.task_id)] = now_s + start.for_s
        self._expire(now_s)

    def expect(self, agent: str, task_id: str, until_s: float, now_s: float) -> None:
        """Store that a start which a lost agent may have sent may come until a boot time."""
        self._expire(now_s)
        self._until_s.setdefault(job_of_task(task_id), {})[Origin(agent, task_id)] = until_s

    def task_until_s(self, task_id: str, agent: str) -> float:
        """Return until when a start of a task by one agent may come, -inf if it can't."""
        origins = self._until_s.get(job_of_task(task_id), {})
        return origins.get(Origin(agent, task_id), -math.inf)

    def job_until_s(self, job: str) -> float:
        """Return until when a start of any of a job's tasks may come, -inf if none can.

        `job` is the key of the job, or the identifier of its submission if it has none.
        """
        return max(self._until_s.get(job, {}).values(), default=-math.inf)

    def starts_of(self, job: str, now_s: float) -> list[LateStart]:
        """Return the starts of a job's tasks that may come, for another entry."""
        origins = self._until_s.get(job, {})
        return [
            LateStart(origin.task_id, until_s - now_s)
            for origin, until_s in origins.items()
            if until_s > now_s
        ]

    def _expire(self, now_s: float) -> None:
        for job, origins in list(self._until_s.items()):
            for origin in [item for item, until_s in origins.items() if until_s <= now_s]:
                del origins[origin]
            if not origins:
                del self._until_s[job]
