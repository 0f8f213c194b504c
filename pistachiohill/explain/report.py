"""Format job timelines and the causes of failed and slow jobs."""

from collections import Counter

from .cause import diagnose_job
from .models import Diagnosis, JobTimeline, LogLine, Outcome
from .timeline import add_context


def format_timeline(timeline: JobTimeline) -> list[str]:
    """Return a job's outcome and cause, then one row per log line; `~` marks context lines."""
    diagnosis = diagnose_job(timeline)
    rows = [f"{timeline.key}: {diagnosis.outcome}: {diagnosis.detail}", ""]
    start_s = timeline.lines[0].at_s
    marked = [(line, " ") for line in timeline.lines] + [(line, "~") for line in timeline.context]
    for line, mark in sorted(marked, key=lambda item: item[0].at_s):
        rows.append(_format_row(line, mark, start_s))
    return rows


def _format_row(line: LogLine, mark: str, start_s: float) -> str:
    skipped = ("level", "submission", "key", "member")
    pairs = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in skipped
    )
    return f"{line.at_s - start_s:+9.3f} s {mark} {line.process:<22} {line.event:<18} {pairs}"


def format_worst_jobs(
    timelines: dict[str, JobTimeline], lines: list[LogLine], count: int
) -> list[str]:
    """Return the causes of the worst jobs with their counts, then those jobs, the worst first.

    Jobs that did not complete come before the slowest completed ones.
    """
    diagnoses: list[tuple[JobTimeline, Diagnosis]] = []
    for timeline in timelines.values():
        if timeline.last_line("job_accepted") is None and timeline.last_line("job_refused") is None:
            continue
        diagnosis = diagnose_job(timeline)
        if diagnosis.outcome == Outcome.UNANSWERED:
            add_context(timeline, lines)
            diagnosis = diagnose_job(timeline)
        diagnoses.append((timeline, diagnosis))
    diagnoses.sort(key=lambda item: (item[1].outcome == Outcome.COMPLETE, -item[1].elapsed_s))
    worst = diagnoses[:count]
    causes = Counter(diagnosis.cause for _, diagnosis in worst)
    rows = [f"{number:6d}  {cause}" for cause, number in causes.most_common()]
    rows.append("")
    for timeline, diagnosis in worst:
        elapsed = f"{diagnosis.elapsed_s:.3f} s"
        rows.append(f"{timeline.key}  {diagnosis.outcome:<11} {elapsed:>9}  {diagnosis.detail}")
    return rows
