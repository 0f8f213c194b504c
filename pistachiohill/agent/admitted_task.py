"""A task that an agent has accepted, and the log lines on its way through the agent."""

import math

from attrs import define

from .. import logs
from ..errors import RefusalReason
from ..protocol.link import Link
from ..protocol.models import StartTasks, TaskRef, TaskReport, TaskStart
from ..scheduling.models import Demand
from ..submissions.identifiers import make_task_id, task_name
from .models import TargetCall
from .resources import Reservation
from .start_table import SubmissionRecord


@define(eq=False, slots=True)
class AdmittedTask:
    """A task that is queued or running; `deadline_s` is a boot time.

    `link` is the one on which its entry has last named it, `answer_told_on` the one on which the
    entry was told that the target has answered the start.
    """

    link: Link
    record: SubmissionRecord
    ref: TaskRef
    deadline_s: float
    call: TargetCall
    reservation: Reservation
    best_effort: bool
    sequence: int
    admitted_at_s: float
    stop_reason: RefusalReason | None = None
    answer_told_on: Link | None = None

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the key by which the queue is sorted: priority, then order of admission."""
        return self.reservation.priority, self.sequence


def log_arrival(
    link: Link, message: StartTasks, refusal: RefusalReason | None, lease_age_s: float
) -> None:
    """Log that tasks have arrived, and why they are refused if they are."""
    logs.event(
        "tasks_received",
        submission=message.submission_id,
        entry=link.peer_incarnation,
        names=",".join(start_task_name(message, task.index) for task in message.tasks),
        attempts=",".join(str(task.attempt) for task in message.tasks),
        refusal=refusal or "none",
        lease_age_s=lease_age_s,
    )


def log_stop(task: AdmittedTask) -> None:
    """Log that a task is stopped."""
    logs.event(
        "task_stopped",
        submission=task.record.submission_id,
        name=task.call.name,
        attempt=task.ref.attempt,
        entry=task.reservation.owner,
        reason=task.stop_reason,
    )


def start_task_name(message: StartTasks, index: int) -> str:
    """Return the name in logs of a task of a message."""
    return task_name(message.job_key or message.submission_id, index)


def target_call(message: StartTasks, task: TaskStart, demand: Demand, now_s: float) -> TargetCall:
    """Return the request by which a task of a message is run."""
    return TargetCall(
        task_id=make_task_id(message.job_key or message.submission_id, task.index),
        run=task.attempt,
        member=message.member,
        job=message.job,
        payload=task.payload or message.shared_payload,
        timeout_s=message.task_timeout_s,
        refusal_is_not_run=message.refusal_is_not_run,
        demand=demand,
        late_start_until_s=now_s + task.late_start_s if task.late_start_s else -math.inf,
    )


def log_outcome(task: AdmittedTask, report: TaskReport, waited_s: float) -> None:
    """Log how a task has ended."""
    if report.reason:
        logs.event(
            "task_failed",
            submission=task.record.submission_id,
            name=task.call.name,
            task=report.index,
            attempt=report.attempt,
            verdict=report.verdict,
            reason=report.reason,
            status=report.status_code,
            waited_s=waited_s,
            run_s=report.run_s,
        )
    else:
        logs.event(
            "task_ran",
            submission=task.record.submission_id,
            name=task.call.name,
            task=report.index,
            attempt=report.attempt,
            waited_s=waited_s,
            run_s=report.run_s,
        )
