"""Best-effort jobs in real processes on stand-ins of the users' platform, with injected faults.

The checks use the runners' own records of runs and the answers that the callers receive.
"""

import json
import secrets
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from standins.caller import CallerChannel
from standins.platform_deployment import (
    CALLER_HOST,
    ROUTE,
    JobResponse,
    PlatformDeployment,
    PlatformSpec,
)

from ..base import TestCase

CONFIG_LIMIT_S = 2.0  # configApplyMs in the users' requirements
EVACUATION_LIMIT_S = 5.0  # evacuateMs in the users' requirements
DRAIN_LIMIT_S = 2.0  # drainMs in the users' requirements
RETURN_LIMIT_S = 2.0  # from the return of a domain to its first run
RESTART_LIMIT_S = 3.0  # from the start of an agent to its first run
ALL_CORES = 12  # of the three agents
# The load balancer sends new callers until two checks, one a second, have failed; an entry waits
# 2.3 s for that.
UNREADY_LIMIT_S = 0.3
GIVEN_UP_JOBS = 12
GIVEN_UP_LIMIT_S = 1.0
CLOCK_TOLERANCE_S = 0.05  # checker and stand-ins read their clocks at different moments


class LoadGenerator:
    """Submits jobs at a constant rate and collects the answers."""

    def __init__(self, deployment: PlatformDeployment, nursery: trio.Nursery) -> None:
        self.answers: list[JobResponse] = []
        self.pending = 0
        self._deployment = deployment
        self._nursery = nursery
        self._stopped = False

    async def async_run(self, per_s: float, **job: Any) -> None:
        number = 0
        while not self._stopped:
            number += 1
            self._nursery.start_soon(self.async_submit_job, number, job)
            await trio.sleep(1 / per_s)

    async def async_submit_job(self, number: int, job: dict[str, Any]) -> None:
        self.pending += 1
        entry = number % len(self._deployment.entries)
        self.answers.append(await self._deployment.async_submit_job(entry=entry, **job))
        self.pending -= 1

    async def async_finish(self) -> list[JobResponse]:
        self._stopped = True
        with trio.fail_after(40.0):
            while self.pending:
                await trio.sleep(0.05)
        return self.answers


class PlatformJobsTest(TestCase):
    @asynccontextmanager
    async def load(
        self, spec: PlatformSpec, per_s: float = 8.0, **job: Any
    ) -> AsyncIterator[tuple[PlatformDeployment, LoadGenerator]]:
        """Run a deployment under load; finally check that no task had concurrent runs."""
        async with PlatformDeployment(spec) as deployment, trio.open_nursery() as nursery:
            load = LoadGenerator(deployment, nursery)
            nursery.start_soon(deployment.async_poll_readiness)
            nursery.start_soon(lambda: load.async_run(per_s, **job))
            await trio.sleep(0.5)
            yield deployment, load
            await load.async_finish()
            self.assertEqual([], await deployment.async_overlapping_runs(), deployment.directory)
            nursery.cancel_scope.cancel()

    async def _async_assert_serves(
        self, deployment: PlatformDeployment, domain: str, limit_s: float
    ) -> None:
        """Check that a domain runs tasks within a time, while jobs need all cores there are."""
        since_s = time.time()
        answers = []
        while time.time() - since_s < limit_s:
            answers.append(await deployment.async_submit_job(tasks=ALL_CORES, run_s=0.3))
        runs = await deployment.async_runs_started_after(domain, since_s)
        in_time = [run for run in runs if run.started_at_s < since_s + limit_s]
        self.assertNotEqual([], in_time, deployment.directory)
        self.assert_completed(answers)

    def assert_completed(self, answers: list[JobResponse], max_incomplete: int = 0) -> None:
        """Check that at most `max_incomplete` jobs were not completed."""
        incomplete = [item for item in answers if item.state != "completed"]
        self.assertGreater(len(answers), max_incomplete)
        self.assertLessEqual(len(incomplete), max_incomplete, incomplete)

    async def test_jobs_complete_without_faults(self) -> None:
        """All jobs complete at the first attempt, with a median overhead below 60 ms."""
        async with self.load(PlatformSpec(), tasks=3, run_s=0.1) as (_, load):
            await trio.sleep(3.0)
            answers = await load.async_finish()
            self.assert_completed(answers)
            self.assertEqual({1}, {answer.sent for answer in answers})
            times = sorted(answer.elapsed_s for answer in answers)
            self.assertLess(times[len(times) // 2], 0.1 + 0.06)

    async def test_metrics_cover_every_hop(self) -> None:
        """Entries and agents export the documented metrics, which count jobs and tasks."""
        async with PlatformDeployment(PlatformSpec(entries=1)) as deployment:
            for _ in range(3):
                await deployment.async_submit_job(tasks=2)
            entry = await deployment.async_get_text(f"{deployment.entries[0].http_url}/metrics")
            pages = [
                await deployment.async_get_text(f"{agent.http_url}/metrics")
                for agent in deployment.agents
            ]
            self.assertIn(
                'pistachiohill_jobs_total{member="lofts.example",outcome="complete"} 3', entry
            )
            self.assertIn("pistachiohill_task_placement_seconds_count 6.0", entry)
            for name in ("job_refusals", "waiting_tasks", "link_losses_total", "view_age_seconds"):
                self.assertIn(f"pistachiohill_{name}", entry)
            counts = [
                float(line.split()[1])
                for page in pages
                for line in page.splitlines()
                if line.startswith("pistachiohill_task_wait_seconds_count")
            ]
            self.assertEqual(6.0, sum(counts))

    async def test_an_entry_is_killed(self) -> None:
        """Its callers resubmit their jobs, and no task runs concurrently with its earlier run.

        The targets have capacity left, so that a resubmitted task need not wait for an earlier run.
        """
        spec = PlatformSpec(cores=16)
        async with self.load(spec, 2.0, tasks=2, run_s=2.0) as (deployment, load):
            await trio.sleep(1.0)
            async with trio.open_nursery() as late_jobs:
                for _ in range(2):
                    late_jobs.start_soon(
                        lambda: load.async_submit_job(0, {"tasks": 2, "run_s": 2.0})
                    )
                    await trio.sleep(0.1)
                await deployment.entries[0].async_kill()
            await trio.sleep(1.0)
            answers = await load.async_finish()
            self.assert_completed(answers)
            self.assertIn(2, {answer.sent for answer in answers})

    async def test_an_entry_freezes_and_callers_resubmit_elsewhere(self) -> None:
        """Deadlines pass during the freeze, and the entry resumes while the jobs run elsewhere."""
        spec = PlatformSpec(cores=8)
        async with self.load(spec, 2.0, tasks=2, run_s=2.2, deadline_s=2.5) as (deployment, load):
            await trio.sleep(1.0)
            deployment.entries[0].signal(signal.SIGSTOP)
            await trio.sleep(3.2)
            deployment.entries[0].signal(signal.SIGCONT)
            await trio.sleep(1.0)
            self.assertIn(2, {answer.sent for answer in await load.async_finish()})

    async def _async_run_given_up_jobs(self, close: bool) -> None:
        """Freeze an entry, send it jobs that are given up during the freeze, and wake it.

        The callers close their connections at their time limit, or leave them open.
        """
        async with self.load(PlatformSpec(cores=16), 8.0, tasks=1) as (deployment, _):
            frozen = deployment.entries[0]
            await trio.sleep(1.0)
            frozen.signal(signal.SIGSTOP)
            callers = {
                secrets.token_hex(8): await CallerChannel.async_open(frozen.url)
                for _ in range(GIVEN_UP_JOBS)
            }
            for key, caller in callers.items():
                await caller.async_send_job(key, 1, 0.5, GIVEN_UP_LIMIT_S)
            await trio.sleep(GIVEN_UP_LIMIT_S)
            if close:
                for caller in callers.values():
                    await caller.async_close()
            await trio.sleep(1.0)
            frozen.signal(signal.SIGCONT)
            await trio.sleep(1.0)
            given_up = tuple(callers)
            started = [
                run.task
                for history in await deployment.async_run_histories()
                for run in history
                if run.task.startswith(given_up)
            ]
            self.assertEqual([], started, deployment.directory)
            for caller in callers.values():
                await caller.async_close()

    async def test_a_frozen_entry_starts_no_job_whose_caller_has_left(self) -> None:
        """The caller sends the job elsewhere, so that its tasks would run twice at once."""
        await self._async_run_given_up_jobs(close=True)

    async def test_a_frozen_entry_starts_no_job_whose_time_limit_has_passed(self) -> None:
        """The end of the caller's connection doesn't arrive, but the job runs elsewhere by now."""
        await self._async_run_given_up_jobs(close=False)

    async def test_an_agent_is_killed(self) -> None:
        async with self.load(PlatformSpec(), tasks=3, run_s=0.4) as (deployment, load):
            await trio.sleep(1.0)
            await deployment.agents[0].async_kill()
            await trio.sleep(1.0)
            deployment.agents[0].start()
            await trio.sleep(1.0)
            answers = await load.async_finish()
            self.assert_completed(answers)
            self.assertEqual({1}, {answer.sent for answer in answers})

    async def test_job_placed_at_an_agent_that_is_killed_before_it_reads_it_completes(self) -> None:
        """Guards against tasks that run nowhere, as the entry can't know whether they started."""
        spec = PlatformSpec(domains=("bern-a",), entries=1)
        async with PlatformDeployment(spec) as deployment, trio.open_nursery() as nursery:
            agent = deployment.agents[0]
            agent.signal(signal.SIGSTOP)
            answers: list[JobResponse] = []

            async def async_submit() -> None:
                answers.append(await deployment.async_submit_job(tasks=3, run_s=0.1))

            nursery.start_soon(async_submit)
            await trio.sleep(0.1)
            await agent.async_kill()
            agent.start()
            with trio.fail_after(12.0):
                while not answers:
                    await trio.sleep(0.05)
            self.assert_completed(answers)
            self.assertEqual(1, answers[0].sent)

    async def test_an_agent_freezes(self) -> None:
        """Its runs end when their lease expires, and its tasks run elsewhere."""
        async with self.load(PlatformSpec(), tasks=3, run_s=0.4) as (deployment, load):
            await trio.sleep(1.0)
            deployment.agents[0].signal(signal.SIGSTOP)
            await trio.sleep(2.5)
            deployment.agents[0].signal(signal.SIGCONT)
            await trio.sleep(1.0)
            self.assert_completed(await load.async_finish())

    async def test_links_to_an_agent_stop_delivering(self) -> None:
        """New connections work; no task is lost and none has concurrent runs."""
        spec = PlatformSpec(relay_agents=True)
        async with self.load(spec, tasks=3, run_s=0.4) as (deployment, load):
            for forward, backward in (("swallow", "pass"), ("pass", "swallow")):
                await deployment.async_set_relay_mode(0, forward=forward, backward=backward)
                await trio.sleep(1.5)
            answers = await load.async_finish()
            self.assert_completed(answers)
            self.assertEqual({1}, {answer.sent for answer in answers})

    async def test_a_partitioned_agent_keeps_running(self) -> None:
        spec = PlatformSpec(relay_agents=True)
        async with self.load(spec, 3.0, tasks=3, run_s=1.0) as (deployment, load):
            cut = {"forward": "swallow", "backward": "swallow", "new": True}
            await deployment.async_set_relay_mode(0, **cut)
            await trio.sleep(2.5)
            await deployment.async_set_relay_mode(0, forward="pass", backward="pass", new=True)
            await trio.sleep(1.0)
            self.assert_completed(await load.async_finish())

    async def test_an_unreachable_agent_keeps_running(self) -> None:
        """Its connections are reset and refused, as if the process had died."""
        spec = PlatformSpec(relay_agents=True)
        async with self.load(spec, 4.0, tasks=3, run_s=0.8) as (deployment, load):
            for _ in range(2):
                await deployment.async_set_relay_mode(0, refuse=True, reset=True)
                await trio.sleep(1.5)
                await deployment.async_set_relay_mode(0, refuse=False)
                await trio.sleep(1.0)
            self.assert_completed(await load.async_finish())

    async def test_unanswered_requests_take_effect_late(self) -> None:
        async with self.load(PlatformSpec(), 4.0, tasks=3, run_s=0.6) as (deployment, load):
            for index in range(3):
                await deployment.async_set_runner_faults(index, lose_orders=4, late_s=0.4)
            await trio.sleep(3.0)
            self.assert_completed(await load.async_finish())

    async def test_a_runner_stops_answering(self) -> None:
        async with self.load(PlatformSpec(), tasks=3, run_s=0.3) as (deployment, load):
            await deployment.async_set_runner_faults(0, silent=True)
            await trio.sleep(2.5)
            await deployment.async_set_runner_faults(0, silent=False)
            await trio.sleep(0.5)
            self.assert_completed(await load.async_finish())

    async def test_a_runner_crashes_and_comes_back(self) -> None:
        async with self.load(PlatformSpec(), tasks=3, run_s=0.3) as (deployment, load):
            await deployment.agents[0].runner.async_kill()
            await trio.sleep(1.0)
            deployment.agents[0].runner.start()
            await trio.sleep(1.5)
            self.assert_completed(await load.async_finish())

    async def test_a_runner_fails_runs(self) -> None:
        """Failed runs are retried elsewhere, up to the route's `maxAttempts`."""
        async with self.load(PlatformSpec(), tasks=3, run_s=0.1) as (deployment, load):
            await deployment.async_set_runner_faults(0, fail_runs=6)
            await trio.sleep(2.0)
            self.assert_completed(await load.async_finish())

    async def test_a_task_that_always_fails_fails_its_job(self) -> None:
        async with PlatformDeployment(PlatformSpec()) as deployment:
            for index in range(3):
                await deployment.async_set_runner_faults(index, fail_runs=100)
            answer = await deployment.async_submit_job(tasks=1)
            self.assertEqual((200, "failed"), (answer.status, answer.state))
            runs = sum(map(len, await deployment.async_run_histories()))
            self.assertEqual(ROUTE["maxAttempts"], runs)

    async def test_a_caller_disconnect_cancels_its_job(self) -> None:
        async with PlatformDeployment(PlatformSpec()) as deployment:
            with trio.move_on_after(0.5):
                await deployment.async_submit_job(tasks=3, run_s=5.0, resend=False)
            await trio.sleep(0.5)
            runs = [run for history in await deployment.async_run_histories() for run in history]
            self.assertEqual({"stopped"}, {run.outcome for run in runs})
            self.assertEqual(3, len(runs))

    async def test_an_evacuated_domain_gets_no_tasks(self) -> None:
        async with self.load(PlatformSpec(), tasks=3, run_s=0.1) as (deployment, load):
            await deployment.async_evacuate("bern-a", True)
            out_at_s = time.time()
            await trio.sleep(3.0)
            late = await deployment.async_runs_started_after("bern-a", out_at_s + 0.5)
            self.assertEqual([], late)
            self.assertLess(0.5, EVACUATION_LIMIT_S)
            await deployment.async_evacuate("bern-a", False)
            back_at_s = time.time()
            await trio.sleep(2.0)
            self.assertNotEqual([], await deployment.async_runs_started_after("bern-a", back_at_s))
            self.assert_completed(await load.async_finish())

    async def test_a_returned_domain_gets_tasks_when_jobs_need_all_cores(self) -> None:
        async with self.load(PlatformSpec(), tasks=3, run_s=0.1) as (deployment, load):
            await deployment.async_evacuate("bern-a", True)
            await trio.sleep(3.0)
            await deployment.async_evacuate("bern-a", False)
            await self._async_assert_serves(deployment, "bern-a", RETURN_LIMIT_S)
            self.assert_completed(await load.async_finish())

    async def test_a_leaving_runner_gets_no_tasks(self) -> None:
        async with self.load(PlatformSpec(), tasks=3, run_s=0.1) as (deployment, load):
            await deployment.async_set_runner_faults(0, leaving=True)
            left_at_s = time.time()
            await trio.sleep(DRAIN_LIMIT_S + 1.0)
            late = await deployment.async_runs_started_after("bern-a", left_at_s + DRAIN_LIMIT_S)
            self.assertEqual([], late)
            self.assert_completed(await load.async_finish())

    async def test_entry_finishes_jobs_on_sigterm(self) -> None:
        """Callers on persistent connections are served; a final answer closes each connection."""
        async with self.load(PlatformSpec(), tasks=3, run_s=0.3) as (deployment, load):
            deployment.entries[0].signal(signal.SIGTERM)
            with trio.fail_after(UNREADY_LIMIT_S):
                while await deployment.async_is_ready(0):
                    await trio.sleep(0.01)
            self.assertFalse(await deployment.async_is_ready(0))
            self.assertEqual(0, await deployment.entries[0].async_wait())
            deployment.entries[0].start()
            await trio.sleep(1.0)
            self.assert_completed(await load.async_finish())

    async def test_sighup_interrupts_no_job(self) -> None:
        """SIGHUP only reloads the settings; processes and jobs continue."""
        async with self.load(PlatformSpec(), tasks=3, run_s=0.3) as (deployment, load):
            processes = [*deployment.entries, *deployment.agents]
            for process in processes:
                process.signal(signal.SIGHUP)
            await trio.sleep(1.0)
            for process in processes:
                assert process.popen is not None
                self.assertIsNone(process.popen.poll(), process.name)
                self.assertIn("event=settings_reloaded changed=none", process.log_text())
            answers = await load.async_finish()
            self.assert_completed(answers)
            self.assertEqual({1}, {answer.sent for answer in answers})

    async def test_agent_finishes_runs_on_sigterm(self) -> None:
        async with self.load(PlatformSpec(), tasks=3, run_s=0.3) as (deployment, load):
            deployment.agents[0].signal(signal.SIGTERM)
            self.assertEqual(0, await deployment.agents[0].async_wait())
            deployment.agents[0].start()
            await trio.sleep(1.0)
            answers = await load.async_finish()
            self.assert_completed(answers)
            self.assertEqual({1}, {answer.sent for answer in answers})
            runs = [run for history in await deployment.async_run_histories() for run in history]
            self.assertEqual({"done"}, {run.outcome for run in runs})

    async def test_jobs_complete_while_the_store_is_down(self) -> None:
        """An agent that restarts at its earlier address during the outage also gets tasks."""
        async with self.load(PlatformSpec(), tasks=3, run_s=0.1) as (deployment, load):
            await deployment.async_set_store_faults(down=True)
            await deployment.agents[0].async_kill()
            since_s = time.time()
            deployment.agents[0].start()
            await trio.sleep(3.0)
            self.assertNotEqual([], await deployment.async_runs_started_after("bern-a", since_s))
            self.assert_completed(await load.async_finish())

    async def test_a_restarted_agent_gets_tasks_while_the_store_is_down(self) -> None:
        async with self.load(PlatformSpec(), tasks=3, run_s=0.1) as (deployment, load):
            await deployment.async_set_store_faults(down=True)
            await deployment.agents[0].async_kill()
            deployment.agents[0].start()
            await self._async_assert_serves(deployment, "bern-a", RESTART_LIMIT_S)
            self.assert_completed(await load.async_finish())

    async def test_all_processes_are_killed_and_restarted(self) -> None:
        async with PlatformDeployment(PlatformSpec()) as deployment:
            self.assertEqual("completed", (await deployment.async_submit_job()).state)
            processes = [*deployment.entries, *deployment.agents]
            for process in processes:
                process.signal(signal.SIGKILL)
            for process in processes:
                await process.async_wait()
                process.start()

            # Callers do not wait for readiness: a job that arrives when the entry has read the
            # manifest but knows no agent yet must wait at the entry instead of being refused.
            async def async_knows_manifest() -> bool:
                url = f"{deployment.entries[0].url}/stamp/"
                headers = {"Host": CALLER_HOST}
                return (await deployment.async_call("GET", url, None, headers))[0] == 200

            await deployment.async_wait_until("a manifest", async_knows_manifest)
            early = await deployment.async_submit_job(deadline_s=8.0)
            self.assertEqual("completed", early.state, early)
            self.assertNotIn(503, early.statuses)
            for index in range(2):
                await deployment.async_wait_until(
                    "ready entries", lambda index=index: deployment.async_is_ready(index)
                )
            self.assertEqual("completed", (await deployment.async_submit_job()).state)
            self.assertEqual([], await deployment.async_overlapping_runs())

    async def test_manifests_apply_in_time_and_removed_routes_return_404(self) -> None:
        async with PlatformDeployment(PlatformSpec()) as deployment:
            added = {**ROUTE, "name": "rank", "pathPrefix": "/rank/"}
            for routes, expected in (([ROUTE, added], 200), ([ROUTE], 404)):
                deployment.routes = list(routes)
                await deployment.async_publish()
                await trio.sleep(CONFIG_LIMIT_S / 2)
                for entry in deployment.entries:
                    status, value, _ = await deployment.async_call(
                        "GET", f"{entry.url}/rank/", None, {"Host": CALLER_HOST}
                    )
                    self.assertEqual(expected, status)
                    if status == 200:
                        self.assertEqual({"pending": 0}, value)

    async def test_invalid_requests_are_refused_with_a_detail(self) -> None:
        async with PlatformDeployment(PlatformSpec(entries=1)) as deployment:
            url = deployment.entries[0].url
            good = {"spec": "{}", "bestEffort": True, "steps": [{"count": 1, "cpu": 10}]}
            key = "0123456789abcdef"
            cases: list[tuple[str, str, Any, int]] = [
                ("POST", f"/stamp/{key}", b"{", 400),
                ("POST", f"/stamp/{key}", b"\xff\xfe", 400),
                ("POST", f"/stamp/{key}", {**good, "spec": 5}, 400),
                ("POST", f"/stamp/{key}", {**good, "spec": "x" * 4001}, 400),
                ("POST", f"/stamp/{key}", {**good, "steps": []}, 400),
                ("POST", f"/stamp/{key}", {**good, "steps": [{"count": 0}]}, 400),
                ("POST", f"/stamp/{key}", {**good, "steps": [{"count": "1"}]}, 400),
                ("POST", "/stamp/short", good, 400),
                ("POST", f"/stamp/{key}", {**good, "steps": [{"count": 1, "cpu": 10**9}]}, 503),
                ("POST", f"/stamp/{key}", {**good, "bestEffort": False}, 503),
                ("POST", f"/stamp/{key}", {**good, "steps": good["steps"] * 2}, 503),
                ("POST", f"/stamp/{key}", {**good, "steps": [{"count": 2, "gang": True}]}, 503),
                ("POST", f"/other/{key}", good, 404),
                ("GET", f"/stamp/{key}", None, 410),
                ("DELETE", f"/stamp/{key}", None, 410),
                ("PATCH", f"/stamp/{key}", good, 405),
                ("POST", f"/stamp/{key}", b'{"spec":"' + b"x" * 300_000, 413),
            ]
            for method, path, body, expected in cases:
                data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
                status, value, _ = await deployment.async_call(
                    method, url + path, data, {"Host": CALLER_HOST}
                )
                self.assertEqual(expected, status, (method, path, body, value))
                self.assertIn("detail", value)
            host, _, port = url.removeprefix("http://").partition(":")
            for data in (b"\x00\x01\x02garbage\r\n\r\n", b"POST /stamp/x HTTP/1.1\r\nHost:"):
                with socket.create_connection((host, int(port))) as stream:
                    stream.sendall(data)
            self.assertEqual([[], [], []], await deployment.async_run_histories())
            self.assertEqual("completed", (await deployment.async_submit_job()).state)
