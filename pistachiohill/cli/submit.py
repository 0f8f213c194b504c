"""The `submit` command: run one job, with progress on a terminal."""

import json
import sys

import trio

from ..client import Client, ClientError, JobComplete, JobResult
from ..errors import Verdict
from .const import ExitCode

PROGRESS_INTERVAL_S = 0.5


def run_submit(
    entries: list[str], token: str, job: str, payloads: list[bytes], deadline_s: float
) -> ExitCode:
    """Run a job, print its result and return the exit code."""
    try:
        result = trio.run(_async_submit, entries, token, job, payloads, deadline_s)
    except ClientError as err:
        print(err, file=sys.stderr)
        return ExitCode.UNREACHABLE if "no entry" in str(err) else ExitCode.INVALID
    print(json.dumps(_result_value(result)))
    if isinstance(result, JobComplete):
        return ExitCode.OK
    codes = {
        Verdict.NOT_RUN: ExitCode.NOT_RUN,
        Verdict.MAY_HAVE_RUN: ExitCode.MAY_HAVE_RUN,
        Verdict.RAN: ExitCode.FAILED,
    }
    return codes[result.verdict]


async def _async_submit(
    entries: list[str], token: str, job: str, payloads: list[bytes], deadline_s: float
) -> JobResult:
    client = Client(entries, token)
    outcome: JobResult | ClientError
    async with trio.open_nursery() as nursery:
        if sys.stderr.isatty():
            nursery.start_soon(_async_show_progress, len(payloads))
        try:
            outcome = await client.async_run(job, payloads, deadline_s)
        except ClientError as err:
            outcome = err
        nursery.cancel_scope.cancel()
    await client.async_close()
    if isinstance(outcome, ClientError):
        raise outcome
    return outcome


async def _async_show_progress(tasks: int) -> None:
    started_s = trio.current_time()
    while True:
        elapsed_s = trio.current_time() - started_s
        print(f"\rwaiting for {tasks} tasks, {elapsed_s:.1f} s", end="", file=sys.stderr)
        await trio.sleep(PROGRESS_INTERVAL_S)


def _result_value(result: JobResult) -> dict[str, object]:
    if isinstance(result, JobComplete):
        return {
            "id": result.submission_id,
            "state": "complete",
            "results": [body.decode(errors="replace") for body in result.bodies],
        }
    return {
        "id": result.submission_id,
        "state": "failed",
        "verdict": str(result.verdict),
        "reason": result.reason,
        "detail": result.detail,
    }
