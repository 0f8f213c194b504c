"""Say what decided a job's fate."""

from .models import Fate, LogLine, Story, Verdict

WAIT_SHARE = 0.3  # a wait of this part of the whole time is worth naming


def find_cause(story: Story) -> Verdict:
    """Return what decided how a job ended."""
    answered = story.last("job_answered")
    refused = story.last("job_refused")
    left = story.last("caller_left")
    accepted = story.last("job_accepted")
    if refused is not None and (accepted is None or refused.at_s > accepted.at_s):
        return _refused(refused)
    if left is not None:
        waited_s = left.at_s - story.lines[0].at_s
        progress = _unfinished(story)
        detail = f"its caller left after {waited_s:.3f} s; {progress}"
        return Verdict(Fate.LEFT, "caller left", detail, waited_s)
    if answered is None or (accepted is not None and accepted.at_s > answered.at_s):
        return _unanswered(story)
    if answered.text("state") != "complete":
        return _failed(story, answered)
    return _complete(story, answered)


def _refused(line: LogLine) -> Verdict:
    reason = line.text("reason")
    detail = f"{line.process} refused it, and nothing ran: {line.text('detail') or reason}"
    return Verdict(Fate.REFUSED, f"refused: {reason}", detail)


def _unanswered(story: Story) -> Verdict:
    """Explain a job that was taken on and has no answer in the logs."""
    entry = story.lines[0].process
    ends = [
        line
        for line in story.context
        if line.process == entry and line.event in ("started", "stopped")
    ]
    progress = _unfinished(story)
    if ends:
        what = "started anew" if ends[-1].event == "started" else "stopped"
        detail = f"{entry}, which had taken it on, {what} before it could answer; {progress}"
        return Verdict(Fate.UNANSWERED, "its entry ended", detail)
    detail = f"the log of {entry} ends before an answer; {progress}"
    return Verdict(Fate.UNANSWERED, "its entry fell silent", detail)


def _failed(story: Story, answered: LogLine) -> Verdict:
    reason = answered.text("reason")
    detail = f"{answered.process} gave it up ({answered.text('detail') or reason})"
    runs = story.all("task_failed")
    if runs:
        agents = sorted({line.process for line in runs})
        detail += f"; {len(runs)} runs failed, at {', '.join(agents)}"
    elif reason == "deadline":
        detail += f"; {_unfinished(story)}"
    return Verdict(Fate.FAILED, f"failed: {reason}", detail, answered.number("elapsed_s"))


def _complete(story: Story, answered: LogLine) -> Verdict:
    """Say what took the time of a job that was served."""
    elapsed_s = answered.number("elapsed_s")
    accepted = story.last("job_accepted")
    again = story.all("task_again")
    if again:
        first = again[0]
        detail = f"{len(again)} tasks were placed again, the first one since {first.text('reason')}"
        return Verdict(Fate.COMPLETE, f"placed again: {first.text('reason')}", detail, elapsed_s)
    ran = story.all("task_ran")
    last = max(ran, key=lambda line: line.at_s, default=None)
    placed = story.all("tasks_placed")
    held_s = placed[-1].at_s - accepted.at_s if placed and accepted else 0.0
    if held_s > WAIT_SHARE * elapsed_s:
        detail = f"its last task waited {held_s:.3f} s at the entry for room"
        return Verdict(Fate.COMPLETE, "waited at the entry", detail, elapsed_s)
    if last is None:
        return Verdict(Fate.COMPLETE, "served", "no agent's log tells of its tasks", elapsed_s)
    waited_s, run_s = last.number("waited_s"), last.number("run_s")
    where = f"task {last.text('task')} at {last.process}"
    if waited_s > WAIT_SHARE * elapsed_s:
        detail = f"{where} waited {waited_s:.3f} s in the agent's queue and ran {run_s:.3f} s"
        return Verdict(Fate.COMPLETE, "waited at an agent", detail, elapsed_s)
    detail = f"the last to end was {where}, which ran {run_s:.3f} s"
    return Verdict(Fate.COMPLETE, "run time", detail, elapsed_s)


def _unfinished(story: Story) -> str:
    """Return how far a job had come."""
    accepted = story.last("job_accepted")
    if accepted is None:
        return "it had not been taken on"
    ran = {line.text("task") for line in story.all("task_ran")}
    placed = {
        item.partition(".")[0]
        for line in story.all("tasks_placed")
        for item in line.text("tasks").split(",")
    }
    total = int(accepted.number("tasks"))
    text = f"{len(placed)} of {total} tasks had been placed, {len(ran)} had ended"
    agents = sorted({line.text("agent") for line in story.all("tasks_placed")})
    bad = [line for line in story.context if line.event in ("link_silent", "runner_silent")]
    if bad:
        text += f"; {bad[0].event} at {bad[0].process}"
    elif agents:
        text += f"; agents: {', '.join(agents)}"
    return text
