"""Orders to the runner beside an agent, in the platform's words."""

from typing import Any

from ..agent.models import (
    EndedRun,
    Fenced,
    HoldOutcome,
    Lease,
    NoAnswer,
    NotStarted,
    OtherIncarnation,
    RunEnd,
    RunList,
    RunName,
    RunnerIdentity,
    Started,
    StartOutcome,
    StartRefusal,
    StopOutcome,
    Stopping,
    TargetCall,
)
from .const import HEADER_TARGET_INSTANCE, PATH_HOLD, PATH_RUN_START, PATH_RUN_STOP
from .errors import WireError
from .http_client import HttpClient, NoReply, Reply
from .wire import read_int, read_list, read_object, read_str, write_object

CONNECTIONS = 24  # of the 64 that a runner takes
REFUSALS = {
    "fence": StartRefusal.FENCED,
    "old": StartRefusal.OLD_RUN,
    "late": StartRefusal.LEASE_ENDED,
    "room": StartRefusal.NO_CAPACITY,
}
ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.STOPPED,
    "alone": RunEnd.STOPPED,
}


class RunnerClient:
    """Implements the agent's RunnerInterface over HTTP."""

    def __init__(self) -> None:
        """Start without connections."""
        self._address = ""
        self._http: HttpClient | None = None

    async def async_start(
        self, runner: RunnerIdentity, call: TargetCall, lease: Lease, timeout_s: float
    ) -> StartOutcome:
        """Start a run."""
        fields = {
            "task": task_name(call.task_id),
            "run": call.run,
            "spec": call.payload.decode(errors="surrogatepass"),
            **_lease_fields(lease),
        }
        reply = await self._async_post(runner, PATH_RUN_START, fields, timeout_s)
        if isinstance(reply, NoReply) and not reply.sent:
            return NotStarted(StartRefusal.UNREACHABLE)
        if isinstance(reply, NoReply):
            return NoAnswer(reply.detail)
        return _read_start(reply)

    async def async_stop(
        self, runner: RunnerIdentity, name: RunName, lease: Lease, timeout_s: float
    ) -> StopOutcome:
        """Stop a run."""
        fields = {"task": task_name(name.task_id), "run": name.run, "fencingToken": lease.token}
        reply = await self._async_post(runner, PATH_RUN_STOP, fields, timeout_s)
        if isinstance(reply, NoReply):
            return NoAnswer(reply.detail)
        if reply.status == 200:
            return Stopping()
        return _other_status(reply)

    async def async_hold(
        self, runner: RunnerIdentity, lease: Lease, acked: int, wait_s: float, timeout_s: float
    ) -> HoldOutcome:
        """Extend the lease, acknowledge ends and list the runs."""
        fields = {**_lease_fields(lease), "ackCursor": acked}
        if wait_s > 0:
            fields["waitMs"] = int(wait_s * 1000)
        reply = await self._async_post(runner, PATH_HOLD, fields, timeout_s)
        if isinstance(reply, NoReply):
            return NoAnswer(reply.detail)
        if reply.status != 200:
            return _other_status(reply)
        try:
            return _read_runs(reply.body, runner)
        except WireError as err:
            return NoAnswer(f"unreadable list: {err}")

    async def _async_post(
        self, runner: RunnerIdentity, path: str, fields: dict[str, Any], timeout_s: float
    ) -> Reply | NoReply:
        if self._http is None or runner.address != self._address:
            if self._http is not None:
                await self._http.async_close()
            self._address = runner.address
            self._http = HttpClient(f"http://{runner.address}", CONNECTIONS)
        headers = {"Content-Type": "application/json", HEADER_TARGET_INSTANCE: runner.runner_id}
        body = write_object(fields)
        return await self._http.async_call("POST", path, body, headers, timeout_s)


def task_name(task_id: str) -> str:
    """Return the platform's name of a task: job, occurrence, step and index.

    Jobs have one occurrence and one step here.
    """
    job, _, index = task_id.rpartition("/")
    return f"{job}.0.0.{index}"


def task_id_of(name: str) -> str:
    """Return the product's id of a task that the platform names."""
    job, _, rest = name.partition(".")
    return f"{job}/{rest.rpartition('.')[2]}"


def _lease_fields(lease: Lease) -> dict[str, Any]:
    fields: dict[str, Any] = {"fencingToken": lease.token}
    if lease.until_clock_s is not None:
        fields["deadlineMs"] = int(lease.until_clock_s * 1000)
    return fields


def _read_start(reply: Reply) -> StartOutcome:
    if reply.status in (429, 503):
        return NotStarted(StartRefusal.UNHEALTHY)
    if reply.status == 421:
        return NotStarted(StartRefusal.OTHER_INCARNATION)
    if reply.status == 400:
        return NotStarted(StartRefusal.INVALID)
    try:
        fields = read_object(reply.body)
        if reply.status == 200:
            return Started(read_int(fields, "clockMs") / 1000)
        if reply.status == 409 and read_str(fields, "reason") in REFUSALS:
            return NotStarted(REFUSALS[fields["reason"]])
    except WireError as err:
        return NoAnswer(f"unreadable answer: {err}")
    return NoAnswer(f"status {reply.status}")


def _other_status(reply: Reply) -> Fenced | OtherIncarnation | NoAnswer:
    if reply.status == 421:
        return OtherIncarnation()
    if reply.status == 409:
        return Fenced()
    return NoAnswer(f"status {reply.status}")


def _read_runs(body: bytes, runner: RunnerIdentity) -> RunList:
    fields = read_object(body)
    running = [_run_name(row, 0) for row in read_list(fields, "running", [])]
    ended = [_ended_run(row) for row in read_list(fields, "finished", [])]
    return RunList(
        born_ms=read_int(fields, "born", runner.born_ms),
        clock_s=read_int(fields, "clockMs") / 1000,
        running=frozenset(running),
        ended=tuple(sorted(ended, key=lambda run: run.number)),
    )


def _run_name(row: object, place: int) -> RunName:
    """Return the run named at a place of a row and the one behind it."""
    if not isinstance(row, list) or len(row) < place + 2:
        raise WireError("runs: expected a row")
    task, run = row[place], row[place + 1]
    if not isinstance(task, str) or type(run) is not int:
        raise WireError("runs: expected a task and its run")
    return RunName(task_id_of(task), run)


def _ended_run(row: object) -> EndedRun:
    name = _run_name(row, 1)
    assert isinstance(row, list)
    if type(row[0]) is not int or len(row) < 4 or row[3] not in ENDS:
        raise WireError("runs: expected a number and how the run ended")
    return EndedRun(row[0], name, ENDS[row[3]])
