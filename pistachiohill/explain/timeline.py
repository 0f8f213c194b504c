"""Put the lines of one job together, across processes and repeated requests."""

from collections.abc import Iterable

from .models import LogLine, Story

# Lines that name no job but may be the cause of what happened to one.
CONTEXT_EVENTS = frozenset(
    {
        "agent_lost",
        "agent_released",
        "domain",
        "domain_changed",
        "entry_lease_ended",
        "foreign_runs",
        "link_silent",
        "log_lines_dropped",
        "manifest",
        "runner_met",
        "runner_restarted",
        "runner_silent",
        "runs_lost",
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
CONTEXT_MARGIN_S = 1.0


def build_timelines(lines: Iterable[LogLine]) -> dict[str, Story]:
    """Return the story of every job, by its caller's id or, without one, by its submission id."""
    keys: dict[str, str] = {}
    stories: dict[str, Story] = {}
    held = list(lines)
    for line in held:
        submission, key = line.text("submission"), line.text("key")
        if submission and key:
            keys[submission] = key
    for line in held:
        name = _job_of(line, keys)
        if name:
            stories.setdefault(name, Story(name)).lines.append(line)
    return stories


def add_context(story: Story, lines: Iterable[LogLine]) -> None:
    """Add what happened meanwhile to the processes that the job had to do with."""
    if not story.lines:
        return
    processes = {line.process for line in story.lines}
    agents = {line.text("agent") for line in story.lines} - {""}
    from_s = story.lines[0].at_s - CONTEXT_MARGIN_S
    until_s = story.lines[-1].at_s + 2 * CONTEXT_MARGIN_S
    for line in lines:
        if line.event not in CONTEXT_EVENTS or not from_s <= line.at_s <= until_s:
            continue
        if line.process in processes or line.text("agent") in agents:
            story.context.append(line)


def find_timeline(stories: dict[str, Story], wanted: str) -> Story | None:
    """Return the story of a job named by its caller's id or by a submission id."""
    if wanted in stories:
        return stories[wanted]
    for story in stories.values():
        if any(line.text("submission") == wanted for line in story.lines):
            return story
    return None


def _job_of(line: LogLine, keys: dict[str, str]) -> str:
    """Return the name of the job that a line is about, empty where it is about none."""
    if line.text("key"):
        return line.text("key")
    submission = line.text("submission")
    if submission:
        return keys.get(submission, submission)
    # Orders to a runner name a task as JOB/INDEX.
    job, slash, _ = line.text("task").partition("/")
    return job if slash else ""
