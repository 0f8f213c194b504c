"""Diagnose the outcome of a job from its timeline."""

from .models import Diagnosis, JobTimeline, LogLine, Outcome

MIN_WAIT_SHARE = 0.3  # a wait counts as the cause above this share of the elapsed time


def diagnose_job(timeline: JobTimeline) -> Diagnosis:
    """Return how a job ended and why."""
    answered = timeline.last_line("job_answered")
    refused = timeline.last_line("job_refused")
    left = timeline.last_line("caller_left")
    accepted = timeline.last_line("job_accepted")
    if refused is not None and (accepted is None or refused.at_s > accepted.at_s):
        return _diagnose_refused(refused, timeline.last_line("others_work_ahead"))
    if left is not None:
        waited_s = left.at_s - timeline.lines[0].at_s
        progress = _describe_progress(timeline)
        detail = f"the caller left after {waited_s:.3f} s; {progress}"
        return Diagnosis(Outcome.CALLER_LEFT, "caller left", detail, waited_s)
    if answered is None or (accepted is not None and accepted.at_s > answered.at_s):
        return _diagnose_unanswered(timeline)
    if answered.text("verdict") == "not_run":
        return _diagnose_refused(answered)
    if answered.text("state") != "complete":
        return _diagnose_failed(timeline, answered)
    return _diagnose_complete(timeline, answered)


def _diagnose_refused(line: LogLine, others: LogLine | None = None) -> Diagnosis:
    reason = line.text("reason")
    detail = f"refused by {line.process}, nothing ran: {line.text('detail') or reason}"
    if others is not None and others.number("others_core_s") > others.number("own_core_s"):
        detail += (
            f"; {others.number('others_core_s'):.1f} core-s waited at other entries, as reported"
            f" {others.number('others_age_s'):.2f} s before"
        )
        return Diagnosis(Outcome.REFUSED, "refused: work of other entries", detail)
    return Diagnosis(Outcome.REFUSED, f"refused: {reason}", detail)


def _diagnose_unanswered(timeline: JobTimeline) -> Diagnosis:
    """Explain a job that was accepted and has no answer in the logs."""
    entry = timeline.lines[0].process
    ends = [
        line
        for line in timeline.context
        if line.process == entry and line.event in ("started", "stopped")
    ]
    progress = _describe_progress(timeline)
    if ends:
        what = "restarted" if ends[-1].event == "started" else "stopped"
        detail = f"{entry}, which had accepted the job, {what} before it answered; {progress}"
        return Diagnosis(Outcome.UNANSWERED, "entry ended", detail)
    detail = f"the log of {entry} ends before an answer; {progress}"
    return Diagnosis(Outcome.UNANSWERED, "entry log ends", detail)


def _diagnose_failed(timeline: JobTimeline, answered: LogLine) -> Diagnosis:
    reason = answered.text("reason")
    detail = f"{answered.process} answered with a failure ({answered.text('detail') or reason})"
    failed_runs = timeline.lines_of("task_failed")
    if failed_runs:
        agents = sorted({line.process for line in failed_runs})
        detail += f"; {len(failed_runs)} runs failed, at {', '.join(agents)}"
    elif reason == "deadline":
        detail += f"; {_describe_progress(timeline)}"
    return Diagnosis(Outcome.FAILED, f"failed: {reason}", detail, answered.number("elapsed_s"))


def _diagnose_complete(timeline: JobTimeline, answered: LogLine) -> Diagnosis:
    """Return what took most of the time of a completed job."""
    elapsed_s = answered.number("elapsed_s")
    accepted = timeline.last_line("job_accepted")
    retries = timeline.lines_of("task_again")
    if retries:
        first = retries[0]
        detail = (
            f"{len(retries)} tasks were placed again, the first because of {first.text('reason')}"
        )
        moves = timeline.lines_of("task_move_requested")
        if moves:
            detail += f"; {_describe_moves(moves)}"
        return Diagnosis(
            Outcome.COMPLETE, f"placed again: {first.text('reason')}", detail, elapsed_s
        )
    runs = timeline.lines_of("task_ran")
    last_run = max(runs, key=lambda line: line.at_s, default=None)
    placements = timeline.lines_of("tasks_placed")
    entry_wait_s = placements[-1].at_s - accepted.at_s if placements and accepted else 0.0
    if entry_wait_s > MIN_WAIT_SHARE * elapsed_s:
        detail = f"the last task waited {entry_wait_s:.3f} s at the entry for capacity"
        return Diagnosis(Outcome.COMPLETE, "waited at the entry", detail, elapsed_s)
    if last_run is None:
        return Diagnosis(Outcome.COMPLETE, "served", "no agent's log contains its tasks", elapsed_s)
    waited_s, run_s = last_run.number("waited_s"), last_run.number("run_s")
    where = f"task {last_run.text('task')} at {last_run.process}"
    if waited_s > MIN_WAIT_SHARE * elapsed_s:
        detail = f"{where} waited {waited_s:.3f} s in the agent's queue and ran {run_s:.3f} s"
        return Diagnosis(Outcome.COMPLETE, "waited at an agent", detail, elapsed_s)
    detail = f"the last to end was {where}, which ran {run_s:.3f} s"
    return Diagnosis(Outcome.COMPLETE, "run time", detail, elapsed_s)


def _describe_moves(moves: list[LogLine]) -> str:
    """Return how many tasks were moved, and what was expected of the first move."""
    first = moves[0]
    stay_s, move_s = first.number("stay_s"), first.number("move_s")
    return (
        f"{len(moves)} were moved, the first from {first.text('agent')}, which was "
        f"{first.text('cause')}: it would have ended there in {stay_s:.3f} s, elsewhere in "
        f"{move_s:.3f} s"
    )


def _describe_progress(timeline: JobTimeline) -> str:
    """Return how many tasks of an unfinished job were placed and had ended, and a likely cause."""
    accepted = timeline.last_line("job_accepted")
    if accepted is None:
        return "the job had not been accepted"
    ended = {line.text("task") for line in timeline.lines_of("task_ran")}
    placed = {
        item.partition(".")[0]
        for line in timeline.lines_of("tasks_placed")
        for item in line.text("tasks").split(",")
    }
    total = int(accepted.number("tasks"))
    text = f"{len(placed)} of {total} tasks had been placed, {len(ended)} had ended"
    agents = sorted({line.text("agent") for line in timeline.lines_of("tasks_placed")})
    silences = [line for line in timeline.context if line.event in ("link_silent", "runner_silent")]
    if silences:
        text += f"; {silences[0].event} at {silences[0].process}"
    elif agents:
        text += f"; agents: {', '.join(agents)}"
    return text
