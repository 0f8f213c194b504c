"""Break one guard of the product at a time and show that a failure test goes red.

Each mutant is a copy of the tree with a few lines replaced; the named test must fail on it, and
passes on the product as part of `script/test`. Run with `script/broken-first`.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from attrs import frozen

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("pistachiohill", "standins", "tests", "pyproject.toml")
PARALLEL = 3
TIMEOUT_S = 240.0


@frozen
class Edit:
    """A replacement in one file; the old text must occur."""

    path: str
    old: str
    new: str


@frozen
class Mutant:
    """A product without one guard, and the test that must notice."""

    name: str
    test: str
    edits: tuple[Edit, ...]


KILLS = "tests/failures/test_kills.py::KillTest::"
FREEZES = "tests/failures/test_freezes.py::FreezeTest::"
LOG = "tests/failures/test_platform_store.py::PlatformStoreTest::"
DOMAINS = "tests/failures/test_domains.py::DomainTest::"
ANSWERS = "tests/failures/test_answers.py::AnswerTest::"
PLATFORM = "tests/failures/test_platform_jobs.py::PlatformJobsTest::"
PEERS = "tests/failures/test_bad_peers.py::BadPeerTest::"

MUTANTS = (
    Mutant(
        "resubmission elsewhere is simply run",
        KILLS + "test_entry_killed_with_all_tasks_started",
        (
            Edit(
                "pistachiohill/entry/submission_service.py",
                "        return await self._async_recover(submission_id, parsed, member, wait_s)\n",
                "        message.submission_id = self.issue_ids(member, 1)[0]\n"
                "        return await self._async_answer_locally(message)\n",
            ),
        ),
    ),
    Mutant(
        "tasks at a dead agent are placed again",
        KILLS + "test_agent_killed",
        (
            Edit(
                "pistachiohill/entry/dispatcher.py",
                "                Verdict.MAY_HAVE_RUN,\n"
                "                reason=RefusalReason.LOST_AGENT,",
                "                Verdict.NOT_RUN,\n"
                "                reason=RefusalReason.LOST_AGENT,",
            ),
        ),
    ),
    Mutant(
        "not run is said without every agent's seal",
        KILLS + "test_owner_and_the_only_agent_that_started_are_killed",
        (
            Edit(
                "pistachiohill/submissions/recovery.py",
                "        return self.expected <= self.sealed",
                "        return True",
            ),
        ),
    ),
    Mutant(
        "a dropped request to the target counts as not run",
        KILLS + "test_target_killed",
        (
            Edit(
                "pistachiohill/agent/target_client.py",
                "            return TargetResult(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_LOST)",
                "            return TargetResult(Verdict.NOT_RUN, RefusalReason.TARGET_LOST)",
            ),
        ),
    ),
    Mutant(
        "silence is taken for not run without asking",
        FREEZES + "test_connection_silent_from_the_agent",
        (
            Edit(
                "pistachiohill/entry/dispatcher.py",
                "                agent.link.send(QueryTasks(submission_id, refs))",
                "                not_run = (TaskState.FENCED, Verdict.NOT_RUN, 0, b'')\n"
                "                reports = [\n"
                "                    TaskReport(ref.index, ref.attempt, *not_run, 'fenced')\n"
                "                    for ref in refs\n"
                "                ]\n"
                "                message = TaskReports(submission_id, now_s, 0, reports)\n"
                "                self.tasks_reported(agent, message, now_s)",
            ),
        ),
    ),
    Mutant(
        "silent links are kept",
        FREEZES + "test_connection_silent_to_the_agent",
        (
            Edit(
                "pistachiohill/entry/agents.py",
                "        if agent.probe_pending and now_s - agent.probed_at_s >= self._silence_s:",
                "        if agent.probe_pending and now_s < agent.probed_at_s:",
            ),
        ),
    ),
    Mutant(
        "agents start on stale views",
        DOMAINS + "test_domain_out_while_an_agent_is_frozen_with_a_start_message",
        (
            Edit(
                "pistachiohill/agent/view.py",
                "        return self.age_s(now_s) <= self.max_age_s",
                "        return True",
            ),
        ),
    ),
    Mutant(
        "a view is confirmed as of the answer's arrival, reads wait as long as the lease",
        LOG + "test_outage_in_the_middle_of_a_job",
        (
            Edit(
                "pistachiohill/consortium/tail.py",
                "    return min(POLL_WAIT_S, max_age_s * POLL_AGE_FRACTION)",
                "    return max(POLL_WAIT_S, max_age_s)",
            ),
        ),
    ),
    Mutant(
        "entries ignore the age of their view",
        LOG + "test_outage_longer_than_every_lease_refuses_truthfully",
        (
            Edit(
                "pistachiohill/entry/submission_service.py",
                "        if view_age_s > settings.view_max_age_s:",
                "        if view_age_s > 1e9:",
            ),
        ),
    ),
    Mutant(
        "a change is appended wherever the topic ends",
        LOG + "test_an_append_carried_out_late_changes_nothing_twice",
        (
            Edit(
                "pistachiohill/consortium/publisher.py",
                "async_append(TOPIC_SETTINGS, change_key(record), value, end)",
                "async_append(TOPIC_SETTINGS, change_key(record), value)",
            ),
        ),
    ),
    Mutant(
        "a change that stands is appended again",
        LOG + "test_lost_answers_publish_a_change_once",
        (
            Edit(
                "pistachiohill/consortium/publisher.py",
                "            if published is not None:\n" "                return published",
                "            if published is not None and verdict != Verdict.NOT_RUN:\n"
                "                return published",
            ),
        ),
    ),
    Mutant(
        "the last writer wins",
        LOG + "test_racing_operators_are_told_who_won",
        (
            Edit(
                "pistachiohill/consortium/state.py",
                "    if expected in (ANY_VERSION, found):\n",
                "    if expected >= ANY_VERSION:\n",
            ),
        ),
    ),
    Mutant(
        "a late process reads only what history there is",
        LOG + "test_records_expired_before_a_process_starts",
        (
            Edit(
                "pistachiohill/consortium/follow.py",
                "            page = await store.async_read_newest(topic)\n",
                "            page = await store.async_read(topic, 0, 0.0)\n",
            ),
        ),
    ),
    Mutant(
        "state is not taken from peers",
        LOG + "test_new_instances_during_an_outage",
        (
            Edit(
                "pistachiohill/entry/peers.py",
                "            adopted = self._view.adopt(message.snapshot)",
                "            adopted = False",
            ),
        ),
    ),
    Mutant(
        "an invalid record stops the tail",
        LOG + "test_invalid_record_does_not_stop_the_tail",
        (
            Edit(
                "pistachiohill/consortium/tail.py",
                "    except DecodeError as err:\n",
                "    except ZeroDivisionError as err:\n",
            ),
        ),
    ),
    Mutant(
        "entries place tasks in domains that are out",
        DOMAINS + "test_no_start_in_a_domain_that_is_out",
        (
            Edit(
                "pistachiohill/consortium/state.py",
                "        return found is not None and found.out",
                "        return False",
            ),
        ),
    ),
    Mutant(
        "leaving targets are used",
        DOMAINS + "test_leaving_target_receives_no_new_work",
        (
            Edit(
                "pistachiohill/agent/models.py",
                "        return not self.leaving and self.cpu_m > 0",
                "        return self.cpu_m > 0",
            ),
        ),
    ),
    Mutant(
        "SIGTERM ends an entry at once",
        DOMAINS + "test_planned_stop_of_an_entry_cuts_no_request",
        (
            Edit(
                "pistachiohill/daemon/entry.py",
                "        await self.dispatcher.async_wait_answered()\n",
                "        self.nursery.cancel_scope.cancel()\n",
            ),
        ),
    ),
    Mutant(
        "SIGTERM ends an agent at once",
        DOMAINS + "test_planned_stop_of_an_agent_cuts_no_task",
        (
            Edit(
                "pistachiohill/daemon/agent.py",
                "    await runner.async_wait_idle()\n",
                "    runner._nursery.cancel_scope.cancel()\n",
            ),
        ),
    ),
    Mutant(
        "cancelled jobs go on",
        DOMAINS + "test_cancellation_wave",
        (
            Edit(
                "pistachiohill/entry/dispatcher.py",
                "        submission.failure_detail = detail\n"
                "        self.waiting.drop(submission)\n",
                "        submission.failure_detail = detail\n",
            ),
            Edit(
                "pistachiohill/entry/waiting.py",
                "            if len(submission.waiting) > planned_count"
                " and submission.answer is None:",
                "            if len(submission.waiting) > planned_count:",
            ),
        ),
    ),
    Mutant(
        "requests are repeated whatever they are",
        DOMAINS + "test_non_idempotent_request_runs_at_most_once",
        (
            Edit(
                "pistachiohill/entry/caller_api.py",
                "settings.max_request_attempts if idempotent else 1",
                "settings.max_request_attempts",
            ),
            Edit(
                "pistachiohill/entry/caller_api.py",
                "            if answer.reason == RefusalReason.DEADLINE:",
                "            if answer is None:",
            ),
        ),
    ),
    Mutant(
        "any 503 of a target counts as not run",
        DOMAINS + "test_target_refusal_is_not_run_only_by_contract",
        (
            Edit(
                "pistachiohill/agent/target_client.py",
                "    if status == 503 and call.refusal_is_not_run:",
                "    if status == 503:",
            ),
        ),
    ),
    Mutant(
        "a reply goes to whoever waits",
        ANSWERS + "test_crossed_answers",
        (
            Edit(
                "pistachiohill/entry/peers.py",
                "        pending = self._pending.get(message.request_id)",
                "        pending = next(iter(self._pending.values()), None)",
            ),
        ),
    ),
    Mutant(
        "identifiers are not bound to members",
        PEERS + "test_another_members_submission_cannot_be_seen",
        (
            Edit(
                "pistachiohill/submissions/identifiers.py",
                '        data = f"{prefix}/{member}".encode()',
                "        data = prefix.encode()",
            ),
        ),
    ),
    Mutant(
        "an agent runs on for an entry that is lost",
        PLATFORM + "test_an_entry_is_killed",
        (
            Edit(
                "pistachiohill/agent/leases.py",
                "        return self.age_s(entry, now_s) <= self.lease_s",
                "        return True",
            ),
        ),
    ),
    Mutant(
        "the token stays after an unanswered order",
        PLATFORM + "test_orders_without_answer_are_carried_out_late",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "        self._token = max(self._token, token + 1)\n",
                "",
            ),
        ),
    ),
    Mutant(
        "tasks of an agent out of reach run again at once",
        PLATFORM + "test_an_agent_out_of_reach_lives_on",
        (
            Edit(
                "pistachiohill/entry/agents.py",
                "        return end_s + RUNNER_LEASE_S + LEASE_MARGIN_S",
                "        return 0.0",
            ),
        ),
    ),
    Mutant(
        "a runner's runs count as ended as soon as it is silent",
        "tests/agent/test_leased_target.py::LeasedTargetTest::"
        "test_runs_of_a_silent_runner_are_lost_only_when_their_lease_has_ended",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "        elif now_s > self._lease_expires_at_s and self._runs:",
                "        elif self._runs:",
            ),
        ),
    ),
    Mutant(
        "the watch for a caller's leaving cuts the answer",
        "tests/platform/test_jobs_api.py::JobsApiTest::"
        "test_response_is_complete_although_the_server_reports_a_disconnect",
        (
            Edit(
                "pistachiohill/platform/jobs_api.py",
                "            nursery.cancel_scope.cancel()\n        # The server reports",
                "            response = self._close_if_stopping(_job_response(answer))\n"
                "            await async_send_response(send, response)\n"
                "            nursery.cancel_scope.cancel()\n        # The server reports",
            ),
            Edit(
                "pistachiohill/platform/jobs_api.py",
                "        if answer is not None:\n",
                "        if answer is None:\n",
            ),
        ),
    ),
    Mutant(
        "any process may connect",
        PEERS + "test_frames_of_bad_peers",
        (
            Edit(
                "pistachiohill/protocol/link.py",
                "        if not hmac.compare_digest(hello.secret.encode(), secret.encode()):",
                "        if hmac is None:",
            ),
        ),
    ),
)


def is_red(mutant: Mutant) -> bool:
    """Return whether a mutant's test fails."""
    with tempfile.TemporaryDirectory(prefix="broken-") as directory:
        root = Path(directory)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, root / name, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(source, root / name)
        for edit in mutant.edits:
            _apply(root, edit)
        command = [sys.executable, "-m", "pytest", "-q", "-x", mutant.test]
        done = subprocess.run(
            command, cwd=root, capture_output=True, timeout=TIMEOUT_S, check=False, text=True
        )
        if done.returncode not in (0, 1):
            raise RuntimeError(f"{mutant.name}: {done.stdout[-2000:]}{done.stderr[-2000:]}")
        return done.returncode == 1


def _apply(root: Path, edit: Edit) -> None:
    path = root / edit.path
    text = path.read_text()
    if edit.old not in text:
        raise RuntimeError(f"{edit.path} no longer holds: {edit.old}")
    path.write_text(text.replace(edit.old, edit.new))


def main() -> int:
    """Run all mutants, or those whose names hold the first argument; return the exit code."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    chosen = [mutant for mutant in MUTANTS if wanted in mutant.name]
    with ThreadPoolExecutor(PARALLEL) as pool:
        results = list(pool.map(is_red, chosen))
    for mutant, red in zip(chosen, results, strict=True):
        print(f"{'red' if red else 'NOT RED':8} {mutant.name}: {mutant.test.rpartition('::')[2]}")
    print(f"{sum(results)} of {len(chosen)} mutants noticed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
