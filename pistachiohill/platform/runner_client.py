"""HTTP client with which an agent controls its runner on the platform."""

import re
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
from ..submissions.identifiers import task_name
from .address import parse_runner_address
from .const import (
    HEADER_TARGET_INSTANCE,
    MAX_RUN_LIST_ITEMS,
    MAX_RUNNER_CLOCK_MS,
    PATH_HOLD,
    PATH_RUN_START,
    PATH_RUN_STOP,
)
from .errors import WireError
from .http_client import HttpClient, HttpResponse, InvalidRequestError, NoResponse
from .wire import Fields, decode_object, encode_object, read_int, read_list, read_str, require_int

MAX_CONNECTIONS = 24  # a runner accepts 64 connections
MAX_ADDRESSES = 2  # of the runner in use and of an announced one
REFUSAL_BY_REASON = {
    "fence": StartRefusal.FENCED,
    "old": StartRefusal.OLD_RUN,
    "late": StartRefusal.LEASE_ENDED,
    "room": StartRefusal.NO_CAPACITY,
}
TASK_NAME_PATTERN = re.compile(r"[!-~]{1,128}")
RUN_END_BY_NAME = {
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
        """Initialize the client without opening a connection."""
        self._http: dict[str, HttpClient] = {}

    async def async_start(
        self, runner: RunnerIdentity, call: TargetCall, lease: Lease, timeout_s: float
    ) -> StartOutcome:
        """Start a run of a task."""
        fields = {
            "task": encode_task_id(call.task_id),
            "run": call.run,
            "spec": call.payload.decode(errors="surrogatepass"),
            **_lease_fields(lease),
        }
        response = await self._async_post(runner, PATH_RUN_START, fields, timeout_s)
        if isinstance(response, NoResponse) and not response.sent:
            return NotStarted(StartRefusal.UNREACHABLE)
        if isinstance(response, NoResponse):
            return NoAnswer(response.detail)
        return _parse_start_response(response)

    async def async_stop(
        self, runner: RunnerIdentity, name: RunName, lease: Lease, timeout_s: float
    ) -> StopOutcome:
        """Request that a run stop."""
        fields = {
            "task": encode_task_id(name.task_id),
            "run": name.run,
            "fencingToken": lease.token,
        }
        response = await self._async_post(runner, PATH_RUN_STOP, fields, timeout_s)
        if isinstance(response, NoResponse):
            return NoAnswer(response.detail)
        if response.status == 200:
            return Stopping()
        return _parse_error_status(response)

    async def async_hold(
        self, runner: RunnerIdentity, lease: Lease, acked: int, wait_s: float, timeout_s: float
    ) -> HoldOutcome:
        """Extend the lease, acknowledge ended runs up to sequence number `acked` and list the runs.

        The runner delays its response by up to `wait_s` until a run has ended.
        """
        fields = {**_lease_fields(lease), "ackCursor": acked}
        if wait_s > 0:
            fields["waitMs"] = int(wait_s * 1000)
        response = await self._async_post(runner, PATH_HOLD, fields, timeout_s)
        if isinstance(response, NoResponse):
            return NoAnswer(response.detail)
        if response.status != 200:
            return _parse_error_status(response)
        try:
            return _parse_run_list(response.body, runner)
        except WireError as err:
            return NoAnswer(f"invalid run list: {err}")

    async def _async_post(
        self, runner: RunnerIdentity, path: str, fields: dict[str, Any], timeout_s: float
    ) -> HttpResponse | NoResponse:
        headers = {"Content-Type": "application/json", HEADER_TARGET_INSTANCE: runner.runner_id}
        body = encode_object(fields)
        try:
            http = await self._async_client_of(runner.address)
            return await http.async_request("POST", path, body, headers, timeout_s)
        except (WireError, InvalidRequestError) as err:
            return NoResponse(False, str(err))

    async def _async_client_of(self, address: str) -> HttpClient:
        """Return the client of an address, and close the one that was used least recently.

        Raises WireError if no runner can listen at the address.
        """
        http = self._http.pop(address, None)
        if http is None:
            http = HttpClient(f"http://{parse_runner_address(address)}", MAX_CONNECTIONS)
        self._http[address] = http
        if len(self._http) > MAX_ADDRESSES:
            oldest = self._http.pop(next(iter(self._http)))
            await oldest.async_close()
        return http


def encode_task_id(task_id: str) -> str:
    """Convert a task id to the platform's format: job, occurrence, step and index."""
    job, _, index = task_id.rpartition("/")
    return task_name(job, index)


def decode_task_id(name: str) -> str:
    """Convert a task id from the platform's format."""
    job, _, rest = name.partition(".")
    return f"{job}/{rest.rpartition('.')[2]}"


def _lease_fields(lease: Lease) -> dict[str, Any]:
    fields: dict[str, Any] = {"fencingToken": lease.token}
    if lease.until_clock_s is not None:
        fields["deadlineMs"] = int(lease.until_clock_s * 1000)
    return fields


def _parse_start_response(response: HttpResponse) -> StartOutcome:
    if response.status in (429, 503):
        return NotStarted(StartRefusal.UNHEALTHY)
    if response.status == 421:
        return NotStarted(StartRefusal.OTHER_INCARNATION)
    if response.status == 400:
        return NotStarted(StartRefusal.INVALID)
    try:
        fields = decode_object(response.body, MAX_RUN_LIST_ITEMS)
        if response.status == 200:
            return Started(_read_clock_s(fields))
        if response.status == 409 and read_str(fields, "reason") in REFUSAL_BY_REASON:
            return NotStarted(REFUSAL_BY_REASON[fields["reason"]])
    except WireError as err:
        return NoAnswer(f"invalid response: {err}")
    return NoAnswer(f"status {response.status}")


def _parse_error_status(response: HttpResponse) -> Fenced | OtherIncarnation | NoAnswer:
    if response.status == 421:
        return OtherIncarnation()
    if response.status == 409:
        return Fenced()
    return NoAnswer(f"status {response.status}")


def _parse_run_list(body: bytes, runner: RunnerIdentity) -> RunList:
    fields = decode_object(body, MAX_RUN_LIST_ITEMS)
    running = [_parse_run_name(row, 0) for row in read_list(fields, "running", [])]
    ended = [_parse_ended_run(row) for row in read_list(fields, "finished", [])]
    return RunList(
        born_ms=read_int(fields, "born", runner.born_ms),
        clock_s=_read_clock_s(fields),
        running=frozenset(running),
        ended=tuple(sorted(ended, key=lambda run: run.number)),
    )


def _read_clock_s(fields: Fields) -> float:
    return read_int(fields, "clockMs", maximum=MAX_RUNNER_CLOCK_MS) / 1000


def _parse_run_name(row: object, index: int) -> RunName:
    """Return the run whose task id is at `index` of a row, followed by its run number."""
    if not isinstance(row, list) or len(row) < index + 2:
        raise WireError("runs: expected a list with a task id and a run number")
    task, run = row[index], row[index + 1]
    if not isinstance(task, str) or not TASK_NAME_PATTERN.fullmatch(task):
        raise WireError("runs: expected a task name")
    return RunName(decode_task_id(task), require_int(run, "run"))


def _parse_ended_run(row: object) -> EndedRun:
    name = _parse_run_name(row, 1)
    assert isinstance(row, list)
    if len(row) < 4 or not isinstance(row[3], str) or row[3] not in RUN_END_BY_NAME:
        raise WireError("runs: expected a known end state")
    return EndedRun(require_int(row[0], "finished"), name, RUN_END_BY_NAME[row[3]])
