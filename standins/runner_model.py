"""Model of a runner on the users' platform: runs under a lease, fenced orders, listed ends.

The model knows no network and takes the time as an argument. It counts what must not happen: two
runs of a task at a time are for the checker of several runners to find, by `history`.
"""

from typing import Final

from attrs import define, field, frozen

MAX_LEASE_S: Final = 1.0
STOP_S: Final = 0.03
MAX_LISTED: Final = 500


@frozen
class PastRun:
    """A run and when it was there, by the model's time."""

    task: str
    run: int
    started_at_s: float
    ended_at_s: float
    outcome: str


@define
class LiveRun:
    """A run that is there; `ends_s` and `stops_s` are infinite where it does not end or stop."""

    task: str
    run: int
    started_at_s: float
    ends_s: float
    outcome: str = "done"


@define
class RunnerModel:
    """One runner through all of its lives.

    Fields:
        rate: Speed of its clock against true time.
        slowness: Factor on all run times.
        fail_runs: Runs that are still to fail at once.
        hang_runs: Runs that are still to stand still.
    """

    born_ms: int
    rate: float = 1.0
    slowness: float = 1.0
    fail_runs: int = 0
    hang_runs: int = 0
    token: int = 0
    lease_until_s: float = float("-inf")
    running: dict[str, LiveRun] = field(factory=dict)
    unacked_runs: list[tuple[int, str, int, str]] = field(factory=list)
    highest: dict[str, int] = field(factory=dict)
    history: list[PastRun] = field(factory=list)
    ends: int = 0
    ack_cursor: int = 0
    born_s: float = 0.0

    def clock_ms(self, now_s: float) -> int:
        """Return its own steady clock, which starts anew with each life."""
        return int((now_s - self.born_s) * self.rate * 1000) + 1000

    def restart(self, now_s: float) -> None:
        """End this life, all runs with it, and begin the next, which knows nothing."""
        self.end_due_runs(now_s)
        for run in list(self.running.values()):
            self._end(run, now_s, "crashed", listed=False)
        self.born_ms += 1 + int((now_s - self.born_s) * 1000)
        self.born_s = now_s
        self.token = 0
        self.lease_until_s = float("-inf")
        self.unacked_runs.clear()
        self.highest.clear()
        self.ends = 0
        self.ack_cursor = 0

    def start(
        self, task: str, run: int, run_s: float, deadline_ms: int | None, token: int, now_s: float
    ) -> str:
        """Start a run; return `ok` or why not: `fence`, `old` or `late`."""
        self.end_due_runs(now_s)
        if token < self.token:
            return "fence"
        self.token = token
        self._extend(deadline_ms, now_s)
        if run <= self.highest.get(task, 0):
            return "old"
        known = self.running.get(task)
        if known is not None:
            return "ok" if known.run == run else "old"
        if self.lease_until_s <= now_s:
            return "late"
        how = "done"
        ends_s = now_s + run_s * self.slowness
        if self.fail_runs > 0:
            self.fail_runs -= 1
            how, ends_s = "failed", now_s + 0.002
        elif self.hang_runs > 0:
            self.hang_runs -= 1
            ends_s = float("inf")
        self.running[task] = LiveRun(task, run, now_s, ends_s, how)
        return "ok"

    def stop(self, task: str, run: int, token: int, now_s: float) -> str:
        """Stop a run, or make sure that it never starts; return `ok` or `fence`."""
        self.end_due_runs(now_s)
        if token < self.token:
            return "fence"
        self.token = token
        self.highest[task] = max(run, self.highest.get(task, 0))
        live = self.running.get(task)
        if live is not None and live.run <= run and live.ends_s > now_s + STOP_S:
            live.ends_s, live.outcome = now_s + STOP_S, "stopped"
        return "ok"

    def hold(self, deadline_ms: int | None, token: int, acked: int, now_s: float) -> str:
        """Extend the lease and acknowledge ends; return `ok` or `fence`."""
        self.end_due_runs(now_s)
        if token < self.token:
            return "fence"
        self.token = token
        self._extend(deadline_ms, now_s)
        self.ack_cursor = max(self.ack_cursor, acked)
        self.unacked_runs = [row for row in self.unacked_runs if row[0] > self.ack_cursor]
        return "ok"

    def end_due_runs(self, now_s: float) -> None:
        """End the runs whose time has come, and all of them when the lease has ended."""
        for run in sorted(self.running.values(), key=lambda item: item.ends_s):
            if run.ends_s <= min(now_s, self.lease_until_s):
                self._end(run, run.ends_s, run.outcome)
        if self.lease_until_s <= now_s:
            for run in list(self.running.values()):
                self._end(run, self.lease_until_s, "lapsed")

    def next_end_s(self) -> float:
        """Return when the next run ends if nothing is ordered."""
        ends = [run.ends_s for run in self.running.values()]
        return min([self.lease_until_s, *ends]) if ends else float("inf")

    def _extend(self, deadline_ms: int | None, now_s: float) -> None:
        if deadline_ms is None:
            return
        left_s = min(MAX_LEASE_S, (deadline_ms - self.clock_ms(now_s)) / 1000) / self.rate
        self.lease_until_s = max(self.lease_until_s, now_s + left_s)

    def _end(self, run: LiveRun, at_s: float, how: str, listed: bool = True) -> None:
        del self.running[run.task]
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        self.history.append(PastRun(run.task, run.run, run.started_at_s, at_s, how))
        if listed:
            self.ends += 1
            self.unacked_runs.append((self.ends, run.task, run.run, how))


def find_overlapping_runs(histories: list[list[PastRun]]) -> list[tuple[PastRun, PastRun]]:
    """Return the pairs of runs of one task that were there at the same time, on any runners."""
    by_task: dict[str, list[PastRun]] = {}
    for history in histories:
        for run in history:
            by_task.setdefault(run.task, []).append(run)
    found = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run.started_at_s)
        for index, first in enumerate(runs):
            for second in runs[index + 1 :]:
                if second.started_at_s < first.ended_at_s:
                    found.append((first, second))
    return found
