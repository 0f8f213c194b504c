"""Tests for TaskRunner: cancellation before and after a task has been sent to the target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio
import trio.testing
from attrs import define, field

from pistachiohill import clock
from pistachiohill.agent.metrics import AgentMetrics
from pistachiohill.agent.models import TargetCall, TargetResult, TargetState
from pistachiohill.agent.runner import TaskRunner
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import (
    CancelTasks,
    Message,
    StartTasks,
    TaskReports,
    TaskStart,
    ViewStamp,
)
from pistachiohill.settings.models import AgentSettings

from ..base import TestCase

SUBMISSION_ID = "sub-1"


@define(eq=False)
class FakeLink:
    """Records the messages that are sent to an entry."""

    peer_incarnation: str = "entry-1"
    sent_at_s: float = 0.0
    sent: list[Message] = field(factory=list)

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def reports(self) -> list[tuple[int, str, str]]:
        """Return the index, verdict and reason of every report."""
        return [
            (report.index, report.verdict, report.reason)
            for message in self.sent
            if isinstance(message, TaskReports)
            for report in message.reports
        ]


@define(eq=False)
class FakeTarget:
    """Runs tasks until they are stopped; a stop for a task that it doesn't know is ignored."""

    ready: bool = True
    running: dict[str, trio.Event] = field(factory=dict)
    called: list[str] = field(factory=list)

    async def async_call(self, url: str, call: TargetCall) -> TargetResult:
        self.called.append(call.task_id)
        stopped = self.running[call.task_id] = trio.Event()
        await stopped.wait()
        return TargetResult(Verdict.RAN, RefusalReason.CANCELLED)

    def stop(self, call: TargetCall) -> None:
        stopped = self.running.get(call.task_id)
        if stopped is not None:
            stopped.set()


@asynccontextmanager
async def open_runner() -> AsyncIterator[tuple[TaskRunner, FakeTarget, FakeLink]]:
    target, link = FakeTarget(), FakeLink()
    async with trio.open_nursery() as nursery:
        runner = TaskRunner(AgentSettings(), nursery, target, AgentMetrics())
        runner.announce_offset = 0
        runner.target = TargetState("clocking", "", 4000, 4096, False, clock.boot_s() + 60)
        runner.links.add(link)  # type: ignore[arg-type]
        yield runner, target, link
        nursery.cancel_scope.cancel()


def start_message(now_s: float, count: int = 2) -> StartTasks:
    view = ViewStamp(offset=1, echo_s=now_s, age_s=0.0, domain_out=False, max_age_s=60.0)
    tasks = [TaskStart(index, 1, b"", 1000, 16, 1.0) for index in range(count)]
    fields: dict[str, Any] = {"job_key": "5c0e7a21d94b36f8", "best_effort": True}
    return StartTasks(SUBMISSION_ID, "m", "j", count, 5.0, 5.0, False, view, tasks, **fields)


class TaskRunnerTest(TestCase):
    async def test_a_cancel_in_the_same_frame_as_the_start_withdraws_the_tasks(self) -> None:
        """A caller may disconnect before its tasks reach the target; they must not start then."""
        async with open_runner() as (runner, target, link):
            now_s = clock.boot_s()
            runner.start_tasks(link, start_message(now_s), now_s)  # type: ignore[arg-type]
            runner.cancel(CancelTasks(SUBMISSION_ID), now_s)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual([], target.called)
            self.assertEqual(0, runner.occupied)
            cancelled = [(0, Verdict.NOT_RUN, "cancelled"), (1, Verdict.NOT_RUN, "cancelled")]
            self.assertEqual(cancelled, sorted(link.reports()))

    async def test_a_cancel_after_the_start_stops_the_tasks(self) -> None:
        async with open_runner() as (runner, target, link):
            now_s = clock.boot_s()
            runner.start_tasks(link, start_message(now_s), now_s)  # type: ignore[arg-type]
            await trio.testing.wait_all_tasks_blocked()
            runner.cancel(CancelTasks(SUBMISSION_ID), now_s)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(2, len(target.called))
            self.assertEqual(0, runner.occupied)
            self.assertEqual([Verdict.RAN, Verdict.RAN], [row[1] for row in link.reports()])
