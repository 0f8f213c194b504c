"""Print stories, and the causes of the slowest and failed jobs."""

from collections import Counter

from .cause import find_cause
from .models import Fate, LogLine, Story, Verdict
from .timeline import add_context


def format_timeline(story: Story) -> list[str]:
    """Return what decided a job's fate, then all that happened to it, a line each."""
    verdict = find_cause(story)
    found = [f"{story.key}: {verdict.fate}: {verdict.detail}", ""]
    start_s = story.lines[0].at_s
    named = [(line, " ") for line in story.lines] + [(line, "~") for line in story.context]
    for line, mark in sorted(named, key=lambda item: item[0].at_s):
        found.append(_timeline_row(line, mark, start_s))
    return found


def _timeline_row(line: LogLine, mark: str, start_s: float) -> str:
    skipped = ("level", "submission", "key", "member")
    pairs = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in skipped
    )
    return f"{line.at_s - start_s:+9.3f} s {mark} {line.process:<22} {line.event:<18} {pairs}"


def format_worst_jobs(stories: dict[str, Story], lines: list[LogLine], count: int) -> list[str]:
    """Return the causes of the worst jobs by number, then those jobs, the worst first."""
    verdicts: list[tuple[Story, Verdict]] = []
    for story in stories.values():
        if story.last("job_accepted") is None and story.last("job_refused") is None:
            continue
        verdict = find_cause(story)
        if verdict.fate == Fate.UNANSWERED:
            add_context(story, lines)
            verdict = find_cause(story)
        verdicts.append((story, verdict))
    verdicts.sort(key=lambda item: (item[1].fate == Fate.COMPLETE, -item[1].elapsed_s))
    worst = verdicts[:count]
    causes = Counter(verdict.cause for _, verdict in worst)
    found = [f"{number:6d}  {cause}" for cause, number in causes.most_common()]
    found.append("")
    for story, verdict in worst:
        elapsed = f"{verdict.elapsed_s:.3f} s"
        found.append(f"{story.key}  {verdict.fate:<11} {elapsed:>9}  {verdict.detail}")
    return found
