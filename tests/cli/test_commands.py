"""Tests of the command line against a running deployment: output and exit codes."""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

import trio

from standins.deployment import OPERATOR_TOKEN, Deployment, DeploymentSpec, MemberSpec, TargetSpec

from ..base import TestCase

SPEC = DeploymentSpec(
    targets=(TargetSpec("bern-a"), TargetSpec("aarau-c")),
    members=(MemberSpec("brunner"), MemberSpec("brno")),
)


class CommandResult:
    """Exit code and output of a command."""

    def __init__(self, done: subprocess.CompletedProcess[str]) -> None:
        self.code = done.returncode
        self.out = done.stdout
        self.err = done.stderr


async def async_run_command(*args: str, entries: str = "", token: str = "") -> CommandResult:
    """Run a command to completion and return its result."""
    env = os.environ | {"PISTACHIOHILL_ENTRIES": entries, "PISTACHIOHILL_TOKEN": token}

    def run() -> CommandResult:
        command = [sys.executable, "-m", "pistachiohill", *args]
        return CommandResult(
            subprocess.run(command, env=env, capture_output=True, text=True, check=False)
        )

    return await trio.to_thread.run_sync(run)


class CommandTest(TestCase):
    async def test_operator_and_member_commands(self) -> None:
        async with Deployment(SPEC) as deployment:
            entries = ",".join(entry.url for entry in deployment.entries)
            directory = Path(tempfile.mkdtemp())
            good, bad = directory / "good.toml", directory / "bad.toml"
            good.write_text("weight = 3.0\n")
            bad.write_text("weight = -1.0\nunknown = 1\n")

            async def async_run_as_operator(*args: str) -> CommandResult:
                return await async_run_command(*args, entries=entries, token=OPERATOR_TOKEN)

            checked = await async_run_as_operator("config", "validate", "consortium/new", str(bad))
            self.assertEqual(2, checked.code)
            self.assertIn("consortium/new: weight: expected 0.01 to 1000", checked.err)
            self.assertIn("unknown setting", checked.err)
            publish = ("config", "publish", "consortium/new", str(good), "--expected_version=0")
            self.assertEqual(0, (await async_run_as_operator(*publish)).code)
            self.assertEqual(5, (await async_run_as_operator(*publish)).code)
            refused = await async_run_as_operator("config", "publish", "consortium/new", str(bad))
            self.assertEqual(2, refused.code)
            explained = await async_run_as_operator("config", "explain", "consortium/new/job")
            line = next(text for text in explained.out.splitlines() if text.startswith("weight"))
            self.assertEqual(["weight", "3.0", "consortium/new"], line.split())
            self.assertEqual(
                0, (await async_run_as_operator("config", "delete", "consortium/new")).code
            )
            self.assertEqual(0, (await async_run_as_operator("domain", "out", "bern-a")).code)
            status = json.loads((await async_run_as_operator("status")).out)
            self.assertEqual(["bern-a"], status["domains_out"])
            self.assertLess(status["view_age_s"], 6.0)
            self.assertEqual(0, (await async_run_as_operator("domain", "back", "bern-a")).code)
            wrong = await async_run_command("status", entries=entries, token="wrong")
            self.assertEqual(2, wrong.code)
            unreachable = await async_run_command("status", entries="http://127.0.0.1:9", token="x")
            self.assertEqual(6, unreachable.code)

    async def test_submit_and_fairness(self) -> None:
        async with Deployment(SPEC) as deployment:
            entries = ",".join(entry.url for entry in deployment.entries)
            submit = ("submit", "clocking", "--tasks=20", "--payload={}")
            done = await async_run_command(*submit, entries=entries, token="token-brunner")
            self.assertEqual(0, done.code, done.err)
            self.assertEqual(20, len(json.loads(done.out)["results"]))
            missing = await async_run_command(
                "submit", "none", entries=entries, token="token-brunner"
            )
            self.assertEqual(2, missing.code)
            for agent in deployment.agents:
                await deployment.async_request_json(
                    "POST", agent.target_url + "/v1/mode", {"mode": "fail"}
                )
            ran = await async_run_command(
                "submit", "clocking", "--tasks=1", entries=entries, token="token-brunner"
            )
            self.assertEqual(1, ran.code)
            shown = await async_run_command("fairness", entries=entries, token="token-brunner")
            report = json.loads(shown.out)
            self.assertEqual(21, report["own"]["offered_tasks"])
            self.assertEqual(
                (1, 1), (report["own"]["completed_jobs"], report["own"]["failed_jobs"])
            )
            self.assertEqual(report["entries_asked"], report["entries_answered"])
            other = await async_run_command("fairness", entries=entries, token="token-brno")
            report = json.loads(other.out)
            self.assertEqual(0, report["own"]["offered_tasks"])
            self.assertEqual(21, report["consortium"]["offered_tasks"])
            self.assertNotIn("brunner", other.out)

    async def test_all_invalid_daemon_options_are_reported_together(self) -> None:
        done = await async_run_command("entry", "--http_port=0", "--grace_s=-1", "--wrong=1")
        self.assertEqual(2, done.code)
        for name in ("http_port", "grace_s", "wrong"):
            self.assertIn(name, done.err)

    async def test_metrics_and_probes(self) -> None:
        async with Deployment(SPEC) as deployment:
            client = deployment.client("brunner")
            await client.async_run("clocking", [b"{}"] * 10, 20.0)
            texts = [
                await deployment.async_get_text(e.url + "/metrics") for e in deployment.entries
            ]
            text = "\n".join(texts)
            self.assertIn(
                'job_response_seconds_bucket{job="clocking",le="0.1",member="brunner"}', text
            )
            self.assertIn('pistachiohill_jobs_total{member="brunner",outcome="complete"} 1.0', text)
            agent = await deployment.async_get_text(deployment.agents[0].url + "/metrics")
            self.assertIn("pistachiohill_task_run_seconds_bucket", agent)
            for url in (deployment.entries[0].url, deployment.agents[0].url):
                self.assertEqual(
                    200, (await deployment.async_request_json("GET", url + "/live"))[0]
                )
                self.assertEqual(
                    200, (await deployment.async_request_json("GET", url + "/ready"))[0]
                )
            await client.async_close()
