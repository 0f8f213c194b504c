"""Rules on what follows when a task did not run, was interrupted or failed."""

from ..errors import RefusalReason, Verdict
from ..protocol.models import TaskReport
from ..submissions.models import Submission, Task

FATAL_REASONS = frozenset({RefusalReason.SEALED, RefusalReason.EXPIRED_ID, RefusalReason.INVALID})
UNAVAILABLE_REASONS = frozenset(
    {RefusalReason.LEAVING, RefusalReason.DOMAIN_OUT, RefusalReason.STOPPING}
)
AVOID_AGENT_REASONS = frozenset(
    {
        RefusalReason.MOVED,
        RefusalReason.WRONG_INCARNATION,
        RefusalReason.TARGET_FAILED,
        RefusalReason.TARGET_LOST,
        RefusalReason.TARGET_REFUSED,
    }
)
TARGET_FAULT_REASONS = frozenset(
    {
        RefusalReason.TARGET_FAILED,
        RefusalReason.TARGET_LOST,
        RefusalReason.TARGET_REFUSED,
        RefusalReason.TARGET_TIMEOUT,
    }
)
INTERRUPTED_REASONS = frozenset(
    {
        RefusalReason.CANCELLED,
        RefusalReason.LEASE_ENDED,
        RefusalReason.LOST_AGENT,
        RefusalReason.MOVED,
        RefusalReason.TARGET_LOST,
    }
)
# A task that was stopped or could not start for these reasons is placed again without limit, until
# its job's deadline: neither the task nor its targets are at fault.
UNCOUNTED_REASONS = (
    INTERRUPTED_REASONS
    | UNAVAILABLE_REASONS
    | {
        RefusalReason.BUSY,
        RefusalReason.FENCED,
        RefusalReason.STALE_VIEW,
        RefusalReason.WRONG_INCARNATION,
    }
)


def fatal_reasons(submission: Submission) -> frozenset[RefusalReason]:
    """Return the refusal reasons after which a task must not be placed at another agent."""
    if submission.settings.best_effort:
        return frozenset({RefusalReason.INVALID})
    return FATAL_REASONS


def may_run_again(submission: Submission, task: Task, report: TaskReport) -> bool:
    """Return whether to run a best-effort task again after its run has ended.

    An interrupted run does not count against the job's `max_runs`; a failed run does, and is
    counted here. A target called over HTTP that was lost may still run the task.
    """
    if report.reason == RefusalReason.TARGET_LOST and report.verdict != Verdict.RAN:
        return False
    if report.reason in INTERRUPTED_REASONS:
        return True
    if report.reason != RefusalReason.TARGET_FAILED:
        return False
    task.failed_runs += 1
    return task.failed_runs < submission.settings.max_runs
