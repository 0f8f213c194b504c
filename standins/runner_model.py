"""Model of a runner on the users' platform: a lease, fencing tokens and a list of ended runs.

The model does no network I/O and takes the time as an argument. It records all runs in `history`,
in which `find_overlapping_runs` finds runs of one task that overlapped on several runners.
"""

from typing import Final

from attrs import define, field, frozen

MAX_LEASE_S: Final = 1.0
STOP_DURATION_S: Final = 0.03
MAX_LISTED: Final = 500


@frozen
class PastRun:
    """A run that has ended, with its times on the clock that the model is given."""

    task: str
    run: int
    started_at_s: float
    ended_at_s: float
    outcome: str


@define
class LiveRun:
    """A current run; `ends_s` is infinite if it hangs."""

    task: str
    run: int
    started_at_s: float
    ends_s: float
    outcome: str = "done"


@define
class RunnerModel:
    """A runner and its restarts; each restart begins a new incarnation.

    Fields:
        born_ms: Identifies the incarnation; it grows with each restart.
        rate: Speed of the runner's clock relative to true time.
        slowness: Factor applied to all run times.
        fail_runs: How many of the next runs fail at once.
        hang_runs: How many of the next runs hang.
        unacked_runs: Ended runs that were not acknowledged: cursor, task, run, outcome.
        highest_runs: The highest run number of each task that ended or was stopped.
        end_cursor: Cursor of the last ended run.
        ack_cursor: Cursor up to which ended runs were acknowledged.
        born_s: When the incarnation began.
        suspended_at_s: When the runner's machine was suspended, None while it runs.
    """

    born_ms: int
    rate: float = 1.0
    slowness: float = 1.0
    fail_runs: int = 0
    hang_runs: int = 0
    token: int = 0
    lease_expires_at_s: float = float("-inf")
    running: dict[str, LiveRun] = field(factory=dict)
    unacked_runs: list[tuple[int, str, int, str]] = field(factory=list)
    highest_runs: dict[str, int] = field(factory=dict)
    history: list[PastRun] = field(factory=list)
    end_cursor: int = 0
    ack_cursor: int = 0
    born_s: float = 0.0
    suspended_at_s: float | None = None

    def suspend(self, now_s: float) -> None:
        """Let the clock, the lease and the runs stand still until `resume`."""
        self.end_due_runs(now_s)
        self.suspended_at_s = now_s

    def resume(self, now_s: float) -> None:
        """Let the clock, the lease and the runs go on from where they stood still."""
        if self.suspended_at_s is None:
            return
        suspended_s = now_s - self.suspended_at_s
        self.suspended_at_s = None
        self.born_s += suspended_s
        self.lease_expires_at_s += suspended_s
        for run in self.running.values():
            run.ends_s += suspended_s

    def clock_ms(self, now_s: float) -> int:
        """Return the runner's monotonic clock, which starts at 1000 ms in each incarnation."""
        if self.suspended_at_s is not None:
            now_s = self.suspended_at_s
        return int((now_s - self.born_s) * self.rate * 1000) + 1000

    def restart(self, now_s: float) -> None:
        """End all runs and begin a new incarnation without the state of the previous one."""
        self.end_due_runs(now_s)
        for run in list(self.running.values()):
            self._end_run(run, now_s, "crashed", needs_ack=False)
        self.born_ms += 1 + int((now_s - self.born_s) * 1000)
        self.born_s = now_s
        self.token = 0
        self.lease_expires_at_s = float("-inf")
        self.unacked_runs.clear()
        self.highest_runs.clear()
        self.end_cursor = 0
        self.ack_cursor = 0

    def start(
        self, task: str, run: int, run_s: float, deadline_ms: int | None, token: int, now_s: float
    ) -> str:
        """Start a run; return `ok`, or why it was refused: `fence`, `old` or `late`."""
        self.end_due_runs(now_s)
        if token < self.token:
            return "fence"
        self.token = token
        self._extend_lease(deadline_ms, now_s)
        if run <= self.highest_runs.get(task, 0):
            return "old"
        current = self.running.get(task)
        if current is not None:
            return "ok" if current.run == run else "old"
        if self.lease_expires_at_s <= now_s:
            return "late"
        outcome = "done"
        ends_s = now_s + run_s * self.slowness
        if self.fail_runs > 0:
            self.fail_runs -= 1
            outcome, ends_s = "failed", now_s + 0.002
        elif self.hang_runs > 0:
            self.hang_runs -= 1
            ends_s = float("inf")
        self.running[task] = LiveRun(task, run, now_s, ends_s, outcome)
        return "ok"

    def stop(self, task: str, run: int, token: int, now_s: float) -> str:
        """Stop a run, or prevent it from starting later; return `ok` or `fence`."""
        self.end_due_runs(now_s)
        if token < self.token:
            return "fence"
        self.token = token
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        current = self.running.get(task)
        if current is not None and current.run <= run and current.ends_s > now_s + STOP_DURATION_S:
            current.ends_s, current.outcome = now_s + STOP_DURATION_S, "stopped"
        return "ok"

    def hold(self, deadline_ms: int | None, token: int, ack_cursor: int, now_s: float) -> str:
        """Extend the lease and acknowledge ended runs; return `ok` or `fence`."""
        self.end_due_runs(now_s)
        if token < self.token:
            return "fence"
        self.token = token
        self._extend_lease(deadline_ms, now_s)
        self.ack_cursor = max(self.ack_cursor, ack_cursor)
        self.unacked_runs = [row for row in self.unacked_runs if row[0] > self.ack_cursor]
        return "ok"

    def end_due_runs(self, now_s: float) -> None:
        """End the runs that are due, and all runs if the lease has expired."""
        if self.suspended_at_s is not None:
            return
        for run in sorted(self.running.values(), key=lambda item: item.ends_s):
            if run.ends_s <= min(now_s, self.lease_expires_at_s):
                self._end_run(run, run.ends_s, run.outcome)
        if self.lease_expires_at_s <= now_s:
            for run in list(self.running.values()):
                self._end_run(run, self.lease_expires_at_s, "lapsed")

    def next_end_s(self) -> float:
        """Return when the next run ends if no further request arrives."""
        end_times_s = [run.ends_s for run in self.running.values()]
        return min([self.lease_expires_at_s, *end_times_s]) if end_times_s else float("inf")

    def _extend_lease(self, deadline_ms: int | None, now_s: float) -> None:
        if deadline_ms is None:
            return
        left_s = min(MAX_LEASE_S, (deadline_ms - self.clock_ms(now_s)) / 1000) / self.rate
        self.lease_expires_at_s = max(self.lease_expires_at_s, now_s + left_s)

    def _end_run(self, run: LiveRun, at_s: float, outcome: str, needs_ack: bool = True) -> None:
        del self.running[run.task]
        self.highest_runs[run.task] = max(run.run, self.highest_runs.get(run.task, 0))
        self.history.append(PastRun(run.task, run.run, run.started_at_s, at_s, outcome))
        if needs_ack:
            self.end_cursor += 1
            self.unacked_runs.append((self.end_cursor, run.task, run.run, outcome))


def find_overlapping_runs(histories: list[list[PastRun]]) -> list[tuple[PastRun, PastRun]]:
    """Return the pairs of runs of one task that overlapped in time, on any runners."""
    by_task: dict[str, list[PastRun]] = {}
    for history in histories:
        for run in history:
            by_task.setdefault(run.task, []).append(run)
    overlaps = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run.started_at_s)
        for index, first in enumerate(runs):
            for second in runs[index + 1 :]:
                if second.started_at_s < first.ended_at_s:
                    overlaps.append((first, second))
    return overlaps
