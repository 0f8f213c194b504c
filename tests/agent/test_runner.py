"""Tests for TaskRunner: cancellation before and after a task has been sent to the target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio
import trio.testing
from attrs import define, evolve, field

from pistachiohill import clock
from pistachiohill.agent.const import ANSWERS_BATCH_S, ENTRY_LEASE_S
from pistachiohill.agent.metrics import AgentMetrics
from pistachiohill.agent.models import (
    UNRESTRICTED,
    RunPermission,
    TargetCall,
    TargetResult,
    TargetState,
)
from pistachiohill.agent.runner import TaskRunner
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import (
    CancelTasks,
    Message,
    QueryTasks,
    StartsAnswered,
    StartTasks,
    TaskRef,
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

    def answered_starts(self) -> list[tuple[str, int, int]]:
        """Return submission, index and attempt of every start that was told as answered."""
        return [
            (start.submission_id, start.index, start.attempt)
            for message in self.sent
            if isinstance(message, StartsAnswered)
            for start in message.starts
        ]

    def reported_attempts(self) -> list[tuple[int, int]]:
        """Return the index and attempt of every report."""
        return [
            (report.index, report.attempt)
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
    answered: set[str] = field(factory=set)
    answered_changed: trio.Event = field(factory=trio.Event)
    permissions: list[RunPermission] = field(factory=list)

    async def async_call(
        self, url: str, call: TargetCall, permission: RunPermission = UNRESTRICTED
    ) -> TargetResult:
        self.called.append(call.task_id)
        self.permissions.append(permission)
        stopped = self.running[call.task_id] = trio.Event()
        await stopped.wait()
        return TargetResult(Verdict.RAN, RefusalReason.CANCELLED)

    def is_start_answered(self, call: TargetCall) -> bool:
        return call.task_id in self.answered

    def watch(self) -> None:
        pass

    async def async_start_answered(self) -> None:
        await self.answered_changed.wait()

    def answer(self, task_id: str) -> None:
        self.answered.add(task_id)
        changed, self.answered_changed = self.answered_changed, trio.Event()
        changed.set()

    def stop(self, call: TargetCall, *, must_end: bool = True) -> None:
        stopped = self.running.get(call.task_id)
        if stopped is not None:
            stopped.set()


@asynccontextmanager
async def open_runner(
    max_queue_wait_s: float = 0.0,
) -> AsyncIterator[tuple[TaskRunner, FakeTarget, FakeLink]]:
    target, link = FakeTarget(), FakeLink()
    settings = AgentSettings(max_queue_wait_s=max_queue_wait_s)
    async with trio.open_nursery() as nursery:
        runner = TaskRunner(settings, nursery, target, AgentMetrics())
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

    async def test_entry_is_told_once_on_each_link_which_starts_were_answered(self) -> None:
        """Without that, it takes them for starts that may come after this agent's end."""
        async with open_runner() as (runner, target, link):
            now_s = clock.boot_s()
            runner.start_tasks(link, start_message(now_s), now_s)  # type: ignore[arg-type]
            await trio.testing.wait_all_tasks_blocked()
            runner.broadcast_state(now_s)
            self.assertEqual([], link.answered_starts())
            target.answered.add("5c0e7a21d94b36f8/1")
            runner.broadcast_state(now_s)
            runner.broadcast_state(now_s)
            self.assertEqual([(SUBMISSION_ID, 1, 1)], link.answered_starts())
            next_link, other = FakeLink(), FakeLink("entry-2")
            for new in (next_link, other):
                runner.send_state(new, now_s)  # type: ignore[arg-type]
            self.assertEqual([(SUBMISSION_ID, 1, 1)], next_link.answered_starts())
            self.assertEqual([], other.answered_starts())

    async def test_entry_is_told_soon_which_starts_were_answered_without_another_message(
        self,
    ) -> None:
        """Guards against jobs that fail since their tasks' agent was killed before it told."""
        async with open_runner() as (runner, target, link), trio.open_nursery() as nursery:
            nursery.start_soon(runner.async_tell_answered)
            now_s = clock.boot_s()
            runner.start_tasks(link, start_message(now_s), now_s)  # type: ignore[arg-type]
            await trio.testing.wait_all_tasks_blocked()
            for index in range(2):
                target.answer(f"5c0e7a21d94b36f8/{index}")
            await trio.sleep(2.0 * ANSWERS_BATCH_S)
            told = [(SUBMISSION_ID, 0, 1), (SUBMISSION_ID, 1, 1)]
            self.assertEqual(told, sorted(link.answered_starts()))
            frames = [item for item in link.sent if isinstance(item, StartsAnswered)]
            self.assertEqual(1, len(frames))
            nursery.cancel_scope.cancel()

    async def test_task_that_is_stopped_while_its_start_waits_may_not_start(self) -> None:
        async with open_runner() as (runner, target, link):
            now_s = clock.boot_s()
            runner.start_tasks(link, start_message(now_s, 1), now_s)  # type: ignore[arg-type]
            await trio.testing.wait_all_tasks_blocked()
            self.assertIsNone(target.permissions[0].start_refusal(now_s))
            runner.cancel(CancelTasks(SUBMISSION_ID), now_s)
            self.assertEqual(RefusalReason.CANCELLED, target.permissions[0].start_refusal(now_s))

    async def _async_reports_of_six_tasks_on_four_cores(
        self, max_queue_wait_s: float
    ) -> list[tuple[int, str, str]]:
        """Each of the tasks takes 1 s and one core."""
        async with open_runner(max_queue_wait_s) as (runner, _, link):
            now_s = clock.boot_s()
            for index in range(6):
                message = start_message(now_s, 1)
                message.submission_id = f"{message.submission_id}-{index}"
                message.job_key += str(index)
                runner.start_tasks(link, message, now_s)  # type: ignore[arg-type]
                await trio.testing.wait_all_tasks_blocked()
            return link.reports()

    async def test_task_that_would_wait_too_long_is_refused_as_not_run(self) -> None:
        reports = await self._async_reports_of_six_tasks_on_four_cores(0.5)
        self.assertEqual([(0, Verdict.NOT_RUN, "busy")] * 2, reports)

    async def test_task_that_waits_shortly_or_without_limit_is_queued(self) -> None:
        for max_queue_wait_s in (0.0, 3.0):
            reports = await self._async_reports_of_six_tasks_on_four_cores(max_queue_wait_s)
            self.assertEqual([], reports, max_queue_wait_s)

    async def test_start_that_was_held_up_on_an_old_link_does_not_run(self) -> None:
        """Its entry has opened another link since, and may have placed the tasks elsewhere."""
        async with open_runner() as (runner, target, old_link):
            now_s = clock.boot_s()
            message = start_message(now_s - 2 * ENTRY_LEASE_S)
            new_link = FakeLink()
            fresh = ViewStamp(1, now_s, 0.0, False, 60.0)
            runner.start_tasks(old_link, message, now_s)  # type: ignore[arg-type]
            runner.merge_stamp(new_link, fresh, now_s)  # type: ignore[arg-type]
            runner.handle_view_update(now_s)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual([], target.called)
            later_s = now_s + 1.1 * ENTRY_LEASE_S
            runner.leases.renew("entry-1", later_s, later_s)
            runner.end_orphaned_tasks(later_s)
            self.assertEqual(0, runner.occupied)

    async def test_start_on_an_idle_link_runs_once_its_entry_has_answered(self) -> None:
        async with open_runner() as (runner, target, link):
            now_s = clock.boot_s()
            runner.start_tasks(link, start_message(now_s - 2 * ENTRY_LEASE_S), now_s)  # type: ignore[arg-type]
            fresh = ViewStamp(1, now_s, 0.0, False, 60.0)
            runner.merge_stamp(link, fresh, now_s)  # type: ignore[arg-type]
            runner.handle_view_update(now_s)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(2, len(target.called))

    async def test_queued_task_runs_after_its_entry_has_asked_for_it_on_a_new_link(self) -> None:
        async with open_runner() as (runner, target, old_link):
            now_s = clock.boot_s()
            runner.start_tasks(old_link, start_message(now_s - 2 * ENTRY_LEASE_S), now_s)  # type: ignore[arg-type]
            new_link = FakeLink()
            fresh = ViewStamp(1, now_s, 0.0, False, 60.0)
            runner.merge_stamp(new_link, fresh, now_s)  # type: ignore[arg-type]
            refs = [TaskRef(0, 1), TaskRef(1, 1)]
            runner.query(new_link, QueryTasks(SUBMISSION_ID, refs), now_s)  # type: ignore[arg-type]
            runner.handle_view_update(now_s)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(2, len(target.called))

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

    async def test_placement_after_one_that_still_runs_here_does_not_stay_unsettled(self) -> None:
        """A frozen agent wakes after its entry has taken the first run for ended."""
        async with open_runner() as (runner, target, link):
            now_s = clock.boot_s()
            first = start_message(now_s, 1)
            runner.start_tasks(link, first, now_s)  # type: ignore[arg-type]
            await trio.testing.wait_all_tasks_blocked()
            again = evolve(first, tasks=[evolve(first.tasks[0], attempt=2)])
            runner.start_tasks(link, again, now_s)  # type: ignore[arg-type]
            await trio.testing.wait_all_tasks_blocked()
            target.stop(TargetCall(target.called[0], 1, "m", "j", b"", 5.0, False))
            await trio.testing.wait_all_tasks_blocked()
            started = len(target.called) == 2
            self.assertTrue(started or (0, 2) in link.reported_attempts())
