"""The `submit` command: runs one job and shows its progress if stderr is a terminal."""

import json
import sys

import trio

from ..client import Client, ClientError, JobComplete, JobResult
from ..errors import Verdict
from .const import ExitCode


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
    progress = _show_progress if sys.stderr.isatty() else None
    try:
        return await client.async_run(job, payloads, deadline_s, progress)
    finally:
        await client.async_close()


def _show_progress(settled: int, total: int) -> None:
    print(f"\r{settled} of {total} tasks settled", end="", file=sys.stderr, flush=True)


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
