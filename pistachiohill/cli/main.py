"""The `pistachiohill` command.

Exit codes: 0 success, 1 failed after running, 2 invalid input, 3 not run, 4 may have run,
5 conflict with another change, 6 no entry reachable.
"""

import json
import os
import secrets
import sys
from pathlib import Path
from typing import Any, TypeVar

import fire

from ..daemon.start import exit_invalid
from ..settings.const import ROOT_PATH
from ..settings.errors import SettingsError
from ..settings.tree import parse_node
from .const import DEFAULT_ENTRIES, ENV_ENTRIES, ENV_TOKEN, ExitCode
from .operator import OperatorClient, exit_code

T = TypeVar("T")


def _entry_urls(entries: str) -> list[str]:
    text = entries or os.environ.get(ENV_ENTRIES, DEFAULT_ENTRIES)
    return [item for item in text.split(",") if item]


def _operator_client(entries: str, token: str) -> OperatorClient:
    return OperatorClient(_entry_urls(entries), token or os.environ.get(ENV_TOKEN, ""))


def _call_and_exit(
    client: OperatorClient, method: str, path: str, value: dict[str, Any] | None = None
) -> None:
    response = client.call(method, path, value)
    print(json.dumps(response.value, indent=2) if response else "no entry reachable")
    sys.exit(exit_code(response))


def _change_fields(expected_version: int, change_id: str, author: str) -> dict[str, Any]:
    """Return the fields common to all changes; without a change id, a random one is generated."""
    return {
        "expected_version": expected_version,
        "change_id": str(change_id) or secrets.token_hex(8),
        "author": str(author),
    }


class Config:
    """Settings tree: consortium, consortium/MEMBER and consortium/MEMBER/JOB."""

    def validate(self, path: str, file: str) -> None:
        """Validate a TOML file as the node at a path and print every problem."""
        try:
            parse_node(path, Path(file).read_text(encoding="utf-8"), 0)
        except OSError as err:
            print(err, file=sys.stderr)
            sys.exit(ExitCode.INVALID)
        except SettingsError as err:
            exit_invalid(err)
        print("valid")

    def publish(
        self,
        path: str,
        file: str,
        expected_version: int = -1,
        change_id: str = "",
        author: str = "",
        entries: str = "",
        token: str = "",
    ) -> None:
        """Publish a TOML file as the node at a path.

        expected_version: version of the node that you read, 0 for a new node, -1 for any. If
        another operator has published since, the command prints the reason and exits with code 5.
        change_id: id of this change. If the response was lost, repeat the command with the same id.
        """
        text = Path(file).read_text(encoding="utf-8")
        try:
            parse_node(path, text, 0)
        except SettingsError as err:
            exit_invalid(err)
        value = {
            "path": path,
            "values_toml": text,
            **_change_fields(expected_version, change_id, author),
        }
        _call_and_exit(_operator_client(entries, token), "POST", "/v1/operator/changes", value)

    def delete(
        self, path: str, expected_version: int = -1, entries: str = "", token: str = ""
    ) -> None:
        """Delete the node at a path; its member or job can then no longer be used to submit."""
        value = {"path": path, "deleted": True, "expected_version": expected_version}
        _call_and_exit(_operator_client(entries, token), "POST", "/v1/operator/changes", value)

    def show(self, entries: str = "", token: str = "") -> None:
        """Print all nodes with their versions and the state of the failure domains."""
        _call_and_exit(_operator_client(entries, token), "GET", "/v1/operator/settings")

    def explain(self, path: str = ROOT_PATH, entries: str = "", token: str = "") -> None:
        """Print each effective value at a path and the node that sets it."""
        response = _operator_client(entries, token).call("GET", f"/v1/operator/explain?path={path}")
        if response is None or response.status != 200:
            print(json.dumps(response.value) if response else "no entry reachable", file=sys.stderr)
            sys.exit(exit_code(response))
        for item in response.value["values"]:
            print(f"{item['name']:22} {json.dumps(item['value']):28} {item['source']}")

    def change(self, change_id: str, entries: str = "", token: str = "") -> None:
        """Print the result of a change."""
        _call_and_exit(_operator_client(entries, token), "GET", f"/v1/operator/changes/{change_id}")


class Domain:
    """Failure domains: take them out of service and bring them back.

    Both commands accept --expected_version, --change_id, --author, --entries and --token, as
    `config publish` does.
    """

    def out(self, domain: str, **options: Any) -> None:
        """Take a failure domain out: its queued tasks move elsewhere, its running tasks finish."""
        _put_domain(domain, True, **options)

    def back(self, domain: str, **options: Any) -> None:
        """Bring a failure domain back; its targets ramp up over ramp_s seconds."""
        _put_domain(domain, False, **options)


def _put_domain(
    domain: str,
    out: bool,
    expected_version: int = -1,
    change_id: str = "",
    author: str = "",
    entries: str = "",
    token: str = "",
) -> None:
    value = {"out": out, **_change_fields(expected_version, change_id, author)}
    _call_and_exit(_operator_client(entries, token), "PUT", f"/v1/operator/domains/{domain}", value)


class PistachioHill:
    """Dispatch sub-second tasks to targets and report for every job whether it may have run.

    Client commands take the entries' comma-separated URLs from --entries or PISTACHIOHILL_ENTRIES,
    and the token from --token or PISTACHIOHILL_TOKEN.
    """

    def __init__(self) -> None:
        """Create the groups of subcommands."""
        self.config = Config()
        self.domain = Domain()

    def entry(self, settings: str = "", verbosity: int = 0, **overrides: Any) -> None:
        """Run an entry process.

        settings: TOML file. Every setting in docs/SETTINGS.md can also be given as an option, such
        as --http_port=8080. If settings are invalid, all problems are listed, with exit code 2.
        """
        from ..daemon.start import start_entry

        start_entry(settings, overrides, verbosity)

    def agent(self, settings: str = "", verbosity: int = 0, **overrides: Any) -> None:
        """Run an agent process for a target; the options are those of `entry`."""
        from ..daemon.start import start_agent

        start_agent(settings, overrides, verbosity)

    @fire.decorators.SetParseFn(str, "job_id")  # type: ignore[untyped-decorator]
    def explain(self, job_id: str = "", *logs: str, worst: int = 0) -> None:
        """Explain the outcome of a job from the logs of any number of processes.

        Pass the caller's id or a submission id, then log files: `explain 5c0e7a21d94b36f8 *.log`.
        The id is parsed as a string, since one such as 1234567890123e45 would become a number.
        With --worst=N, pass only files; the N failed or slowest jobs are listed after their causes.
        The exit code is 1 if no log line contains the id.
        """
        from ..explain.reader import read_files
        from ..explain.report import format_timeline, format_worst_jobs
        from ..explain.timeline import add_context, build_timelines, find_timeline

        paths = [str(job_id), *map(str, logs)] if worst else [str(path) for path in logs]
        files = read_files(paths)
        for problem in files.unreadable:
            print(problem, file=sys.stderr)
        timelines = build_timelines(files.lines)
        if worst:
            print("\n".join(format_worst_jobs(timelines, files.lines, worst)))
            return
        timeline = find_timeline(timelines, str(job_id))
        if timeline is None:
            print(f"no log line in {len(paths)} files mentions {job_id}", file=sys.stderr)
            sys.exit(ExitCode.FAILED)
        add_context(timeline, files.lines)
        print("\n".join(format_timeline(timeline)))

    def submit(
        self,
        job: str,
        payloads: str = "",
        tasks: int = 0,
        payload: str = "{}",
        deadline_s: float = 30.0,
        entries: str = "",
        token: str = "",
    ) -> None:
        """Submit a job and print its result as JSON.

        payloads: file with one task's payload per line; if omitted, `tasks` copies of `payload`.
        deadline_s: time in which the job must complete, in seconds.
        """
        from .submit import run_submit

        lines = _read_payloads(payloads, tasks, payload)
        member_token = token or os.environ.get(ENV_TOKEN, "")
        sys.exit(run_submit(_entry_urls(entries), member_token, job, lines, float(deadline_s)))

    def status(self, entries: str = "", token: str = "") -> None:
        """Print the log offset that every process has applied and the age of its view."""
        _call_and_exit(_operator_client(entries, token), "GET", "/v1/operator/status")

    def fairness(self, entries: str = "", token: str = "") -> None:
        """Print your member's offered, completed and refused work, with refusals by rule."""
        _call_and_exit(_operator_client(entries, token), "GET", "/v1/fairness")


def _read_payloads(path: str, tasks: int, payload: object) -> list[bytes]:
    if path:
        return Path(path).read_bytes().splitlines()
    text = payload if isinstance(payload, str) else json.dumps(payload)
    return [text.encode()] * max(1, tasks)


def main() -> None:
    """Run the command line."""
    fire.Fire(PistachioHill, name="pistachiohill")
