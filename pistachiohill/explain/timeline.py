"""Group the log lines of each job, across processes and repeated requests."""

from collections.abc import Iterable

from .models import JobTimeline, LogLine

# Events that name no job but may explain what happened to one.
CONTEXT_EVENTS = frozenset(
    {
        "agent_connect_refused",
        "agent_lost",
        "agent_released",
        "announcement_unconfirmed",
        "domain",
        "domain_changed",
        "entry_lease_ended",
        "foreign_runs",
        "link_silent",
        "log_lines_dropped",
        "manifest",
        "runner_met",
        "runner_moved",
        "runner_restarted",
        "runner_silent",
        "runner_successor",
        "runs_lost",
        "runs_presumed_ended",
        "started",
        "stopped",
        "stopping",
        "store_lost",
        "store_regained",
        "target",
        "target_quarantined",
        "token_raised",
    }
)
CONTEXT_MARGIN_S = 1.0  # time before a job's first line; twice as much after its last one


def build_timelines(lines: Iterable[LogLine]) -> dict[str, JobTimeline]:
    """Return the timeline of each job by its caller's id, or its submission id if it has none."""
    keys: dict[str, str] = {}
    timelines: dict[str, JobTimeline] = {}
    all_lines = list(lines)
    for line in all_lines:
        submission, key = line.text("submission"), line.text("key")
        if submission and key:
            keys[submission] = key
    for line in all_lines:
        name = _find_job_key(line, keys)
        if name:
            timelines.setdefault(name, JobTimeline(name)).lines.append(line)
    return timelines


def add_context(timeline: JobTimeline, lines: Iterable[LogLine]) -> None:
    """Add the context events of the job's processes and agents from around the time of the job."""
    if not timeline.lines:
        return
    processes = {line.process for line in timeline.lines}
    agents = {line.text("agent") for line in timeline.lines} - {""}
    from_s = timeline.lines[0].at_s - CONTEXT_MARGIN_S
    until_s = timeline.lines[-1].at_s + 2 * CONTEXT_MARGIN_S
    for line in lines:
        if line.event not in CONTEXT_EVENTS or not from_s <= line.at_s <= until_s:
            continue
        if line.process in processes or line.text("agent") in agents:
            timeline.context.append(line)


def find_timeline(timelines: dict[str, JobTimeline], job_id: str) -> JobTimeline | None:
    """Return the timeline of a job given its caller's id or a submission id."""
    if job_id in timelines:
        return timelines[job_id]
    for timeline in timelines.values():
        if any(line.text("submission") == job_id for line in timeline.lines):
            return timeline
    return None


def _find_job_key(line: LogLine, keys: dict[str, str]) -> str:
    """Return the key of the job that a line names, or an empty string if it names none."""
    if line.text("key"):
        return line.text("key")
    submission = line.text("submission")
    if submission:
        return keys.get(submission, submission)
    # Lines on requests to a runner name the task only: JOB.OCCURRENCE.STEP.INDEX.
    return line.text("name").rpartition(".")[0].rpartition(".")[0].rpartition(".")[0]
