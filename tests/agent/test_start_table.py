"""Tests for StartTable, compared with a reference that derives its state from the full history."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.agent.start_table import StartTable
from pistachiohill.const import TaskState
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import TaskRef, TaskReport

from ..base import TestCase

ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["admit", "start", "settle", "withdraw", "query", "seal", "refuse"]),
        st.integers(0, 2),
        st.integers(1, 3),
    ),
    max_size=40,
)


class ReferenceTable:
    """Keeps the full history of each task and computes every result from it."""

    def __init__(self) -> None:
        self.history: list[tuple[str, int, int]] = []
        self.sealed = False

    def queued(self, index: int) -> int | None:
        attempt = None
        for event, task, number in self.history:
            if task == index:
                attempt = number if event == "queued" else None
        return attempt

    def started(self, index: int) -> bool:
        return any(event == "started" and task == index for event, task, _ in self.history)

    def refused(self, index: int) -> int:
        numbers = [n for event, task, n in self.history if event == "fenced" and task == index]
        return max(numbers, default=0)

    def may_queue(self, index: int, attempt: int) -> bool:
        free = not self.started(index) and self.queued(index) is None
        return free and not self.sealed and attempt > self.refused(index)

    def fence(self, index: int, attempt: int) -> None:
        if not self.started(index) and self.queued(index) is None:
            self.history.append(("fenced", index, attempt))


class StartTableTest(TestCase):
    @seed(20261204)
    @settings(max_examples=400, deadline=None, database=None)
    @given(ACTIONS)
    def test_matches_reference_table(self, actions: list[tuple[str, int, int]]) -> None:
        table, reference = StartTable(100.0), ReferenceTable()
        record = table.get_or_create("s", 0.0)
        starts = [0, 0, 0]
        for action, index, attempt in actions:
            ref = TaskRef(index, attempt)
            if action == "admit":
                expected = reference.may_queue(index, attempt)
                self.assertEqual(expected, table.admit(record, ref) is None)
                if expected:
                    reference.history.append(("queued", index, attempt))
                elif reference.sealed:
                    reference.fence(index, attempt)
            elif action == "start":
                expected = reference.queued(index) == attempt and not reference.sealed
                self.assertEqual(expected, table.start(record, ref))
                if expected:
                    starts[index] += 1
                    reference.history.append(("started", index, attempt))
            elif action == "settle" and record.tasks.get(index) is not None:
                if record.tasks[index].state == TaskState.RUNNING:
                    number = record.tasks[index].attempt
                    report = TaskReport(index, number, TaskState.SETTLED, Verdict.RAN)
                    table.settle(record, report)
            elif action == "withdraw":
                expected = reference.queued(index) == attempt
                found = table.withdraw(record, ref, RefusalReason.CANCELLED)
                self.assertEqual(expected, found is not None)
                if expected:
                    reference.history.append(("fenced", index, attempt))
            elif action in ("query", "refuse"):
                (report,) = table.query(record, [ref])
                not_run = report.verdict == Verdict.NOT_RUN
                self.assertEqual(not reference.started(index), not_run)
                reference.fence(index, attempt)
            elif action == "seal":
                table.seal("s", 0.0)
                reference.sealed = True
                for task in range(3):
                    if (number := reference.queued(task)) is not None:
                        reference.history.append(("fenced", task, number))
        self.assertLessEqual(max(starts), 1)

    def test_records_with_running_tasks_do_not_expire(self) -> None:
        table = StartTable(10.0)
        record = table.get_or_create("s", 0.0)
        table.admit(record, TaskRef(0, 1))
        table.start(record, TaskRef(0, 1))
        self.assertEqual(0, table.expire(100.0))
        table.settle(record, TaskReport(0, 1, TaskState.SETTLED, Verdict.RAN))
        self.assertEqual(1, table.expire(100.0))
