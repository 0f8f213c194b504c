"""Mutants of the product: each removes one safeguard, and names the test that must detect it."""

from attrs import frozen


@frozen
class Edit:
    """A text replacement in one file; raises an error if the old text is missing."""

    path: str
    old: str
    new: str


@frozen
class Mutant:
    """The edits that remove one safeguard, and the test that must detect it."""

    name: str
    test: str
    edits: tuple[Edit, ...]


KILL_TESTS = "tests/failures/test_kills.py::KillTest::"
FREEZE_TESTS = "tests/failures/test_freezes.py::FreezeTest::"
STORE_TESTS = "tests/failures/test_platform_store.py::PlatformStoreTest::"
DOMAIN_TESTS = "tests/failures/test_domains.py::DomainTest::"
ANSWER_TESTS = "tests/failures/test_answers.py::AnswerTest::"
TWO_FAULTS_TESTS = "tests/agent/test_two_faults.py::"
PLATFORM_TESTS = "tests/failures/test_platform_jobs.py::PlatformJobsTest::"
PEER_TESTS = "tests/failures/test_bad_peers.py::BadPeerTest::"
FOLLOW_TESTS = "tests/consortium/test_follow.py::FollowAfterOutageTest::"
HTTP_CLIENT_TESTS = "tests/platform/test_http_client.py::HttpClientTest::"
BEST_EFFORT_TESTS = "tests/entry/test_best_effort.py::"
GIVEN_UP_TESTS = "tests/entry/test_dispatcher.py::GivenUpJobsTest::"
ORIGIN_TESTS = "tests/http/test_direct_server.py::RequestOriginTest::"
RUN_PROOFS_TESTS = "tests/agent/test_run_proofs.py::RunProofsTest::"
LATE_START_TESTS = "tests/agent/test_late_starts.py::LateStartTest::"
SUCCESSORS_TESTS = "tests/entry/test_successors.py::SuccessorsTest::"
LOST_AGENT_TESTS = "tests/entry/test_late_starts.py::LostAgentTest::"
RESENT_TESTS = "tests/failures/test_resent_jobs.py::ResentJobsTest::"
RELEASE_TESTS = "tests/entry/test_best_effort.py::ReleaseTest::"
OPERATORS_TESTS = "tests/platform/test_operators.py::OperatorsTest::"
OLDER_MANIFEST_TESTS = "tests/failures/test_older_manifest.py::OlderManifestTest::"

MOVES_TESTS = "tests/overload/test_moves.py::MovesTest::"
SLOW_TARGETS_TESTS = "tests/overload/test_slow_targets.py::SlowTargetsTest::"

SHARED_WORK_TESTS = "tests/shared_load/test_shared_work.py::"
TARGET_SPEED_TESTS = "tests/shared_load/test_target_speed.py::"

MUTANTS = (
    Mutant(
        "a resubmission at another entry runs without recovery",
        KILL_TESTS + "test_entry_killed_with_all_tasks_started",
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
        KILL_TESTS + "test_agent_killed",
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
        "not run is answered before every agent has sealed the submission",
        KILL_TESTS + "test_owner_and_the_only_agent_that_started_are_killed",
        (
            Edit(
                "pistachiohill/submissions/recovery.py",
                "        return self.expected <= self.sealed",
                "        return True",
            ),
        ),
    ),
    Mutant(
        "a request to a target whose connection drops counts as not run",
        KILL_TESTS + "test_target_killed",
        (
            Edit(
                "pistachiohill/agent/target_client.py",
                "            return TargetResult(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_LOST)",
                "            return TargetResult(Verdict.NOT_RUN, RefusalReason.TARGET_LOST)",
            ),
        ),
    ),
    Mutant(
        "unreported tasks count as not run without a query to the agent",
        FREEZE_TESTS + "test_connection_silent_from_the_agent",
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
        "silent links are not replaced",
        FREEZE_TESTS + "test_connection_silent_to_the_agent",
        (
            Edit(
                "pistachiohill/entry/agents.py",
                "        if self.silence_s(agent, now_s) >= self._silence_s + ECHO_INTERVAL_S:",
                "        if self.silence_s(agent, now_s) < 0.0:",
            ),
        ),
    ),
    Mutant(
        "agents start tasks on stale views",
        DOMAIN_TESTS + "test_domain_out_while_an_agent_is_frozen_with_a_start_message",
        (
            Edit(
                "pistachiohill/agent/view.py",
                "        return self.age_s(now_s) <= self.max_age_s",
                "        return True",
            ),
        ),
    ),
    Mutant(
        "log reads wait as long as the maximum view age",
        STORE_TESTS + "test_outage_in_the_middle_of_a_job",
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
        STORE_TESTS + "test_outage_longer_than_the_view_age_refuses_as_not_run",
        (
            Edit(
                "pistachiohill/entry/submission_service.py",
                "        if view_age_s > settings.view_max_age_s:",
                "        if view_age_s > 1e9:",
            ),
        ),
    ),
    Mutant(
        "a change is appended without an expected offset",
        STORE_TESTS + "test_late_append_is_not_applied_twice",
        (
            Edit(
                "pistachiohill/consortium/publisher.py",
                "async_append(TOPIC_SETTINGS, change_key(record), value, end)",
                "async_append(TOPIC_SETTINGS, change_key(record), value)",
            ),
        ),
    ),
    Mutant(
        "a published change is appended again",
        STORE_TESTS + "test_change_is_published_once_despite_lost_answers",
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
        "the expected version of a change is ignored",
        STORE_TESTS + "test_concurrent_changes_conflict",
        (
            Edit(
                "pistachiohill/consortium/state.py",
                "    if expected in (ANY_VERSION, found):\n",
                "    if expected >= ANY_VERSION:\n",
            ),
        ),
    ),
    Mutant(
        "a new process does not fetch the newest record of each key",
        STORE_TESTS + "test_records_expired_before_a_process_starts",
        (
            Edit(
                "pistachiohill/consortium/follow.py",
                "            outcome = await self.store.async_read_newest(\n"
                "                self.topic, response_timeout_s, new_connection=new_connection\n"
                "            )\n",
                "            outcome = await self.store.async_read(self.topic, 0, 0.0)\n",
            ),
        ),
    ),
    Mutant(
        "snapshots from peers are not adopted",
        STORE_TESTS + "test_new_instances_during_an_outage",
        (
            Edit(
                "pistachiohill/entry/peers.py",
                "            adopted = self._view.adopt(message.snapshot)",
                "            adopted = False",
            ),
        ),
    ),
    Mutant(
        "an invalid record stops the log reader",
        STORE_TESTS + "test_invalid_record_does_not_stop_the_tail",
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
        DOMAIN_TESTS + "test_no_start_in_a_domain_that_is_out",
        (
            Edit(
                "pistachiohill/consortium/state.py",
                "        return found is not None and found.out",
                "        return False",
            ),
        ),
    ),
    Mutant(
        "leaving targets receive tasks",
        DOMAIN_TESTS + "test_leaving_target_receives_no_new_work",
        (
            Edit(
                "pistachiohill/agent/models.py",
                "        return not self.leaving and self.cpu_m > 0",
                "        return self.cpu_m > 0",
            ),
        ),
    ),
    Mutant(
        "SIGTERM stops an entry without waiting for its answers",
        DOMAIN_TESTS + "test_entry_finishes_requests_on_sigterm",
        (
            Edit(
                "pistachiohill/daemon/entry.py",
                "        await self.dispatcher.async_wait_answered()\n",
                "        self.nursery.cancel_scope.cancel()\n",
            ),
        ),
    ),
    Mutant(
        "SIGTERM stops an agent without waiting for its tasks",
        DOMAIN_TESTS + "test_agent_finishes_tasks_on_sigterm",
        (
            Edit(
                "pistachiohill/daemon/agent.py",
                "    await runner.async_wait_idle()\n",
                "    runner._nursery.cancel_scope.cancel()\n",
            ),
        ),
    ),
    Mutant(
        "waiting tasks of cancelled jobs still start",
        DOMAIN_TESTS + "test_many_jobs_cancelled_at_once",
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
        "requests that are not idempotent are retried",
        DOMAIN_TESTS + "test_non_idempotent_request_runs_at_most_once",
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
        "every 503 response of a target counts as not run",
        DOMAIN_TESTS + "test_target_refusal_is_not_run_only_by_contract",
        (
            Edit(
                "pistachiohill/agent/target_client.py",
                "    if status == 503 and call.refusal_is_not_run:",
                "    if status == 503:",
            ),
        ),
    ),
    Mutant(
        "a peer's reply goes to any pending request",
        ANSWER_TESTS + "test_concurrent_jobs_receive_their_own_answers",
        (
            Edit(
                "pistachiohill/entry/peers.py",
                "        pending = self._pending.get(message.request_id)",
                "        pending = next(iter(self._pending.values()), None)",
            ),
        ),
    ),
    Mutant(
        "submission identifiers are not bound to members",
        PEER_TESTS + "test_submission_is_hidden_from_other_members",
        (
            Edit(
                "pistachiohill/submissions/identifiers.py",
                '        data = f"{prefix}/{member}".encode()',
                "        data = prefix.encode()",
            ),
        ),
    ),
    Mutant(
        "an agent keeps running tasks of a lost entry",
        PLATFORM_TESTS + "test_an_entry_is_killed",
        (
            Edit(
                "pistachiohill/agent/leases.py",
                "        return self._last_echo_s.get(entry, -math.inf) + self.lease_s",
                "        return math.inf",
            ),
        ),
    ),
    Mutant(
        "the fencing token is not raised after an unanswered request",
        PLATFORM_TESTS + "test_unanswered_requests_take_effect_late",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "        self._token = max(self._token, token + 1)\n",
                "        return\n",
            ),
        ),
    ),
    Mutant(
        "tasks of an unreachable agent run again before its leases end",
        PLATFORM_TESTS + "test_an_unreachable_agent_keeps_running",
        (
            Edit(
                "pistachiohill/entry/agent.py",
                "        return sent_at_s + RUNS_END_S",
                "        return 0.0",
            ),
        ),
    ),
    Mutant(
        "runs of a silent runner count as lost before their lease ends",
        "tests/agent/test_leased_target.py::LeasedTargetTest::"
        "test_runs_of_a_silent_runner_are_lost_only_when_their_lease_has_ended",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "        elif self._runs and self._lease.runs_have_ended(now_s):",
                "        elif self._runs:",
            ),
        ),
    ),
    Mutant(
        "detecting a caller's disconnect cancels the answer",
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
        "the shared secret of a connection is not checked",
        PEER_TESTS + "test_invalid_frames_close_the_connection",
        (
            Edit(
                "pistachiohill/protocol/link.py",
                "        if not hmac.compare_digest(hello.secret.encode(), secret.encode()):",
                "        if hmac is None:",
            ),
        ),
    ),
    Mutant(
        "a reader continues at the end of the topic after a part of a backlog",
        OPERATORS_TESTS + "test_changes_beyond_the_first_page_are_not_passed_over",
        (
            Edit(
                "pistachiohill/platform/store.py",
                "    return KeyedPage(tuple(records), offset, more=topic_end > offset)\n",
                "    return KeyedPage(tuple(records), max(topic_end, offset))\n",
            ),
        ),
    ),
    Mutant(
        "a read may wait longer than a change may take",
        OPERATORS_TESTS + "test_evacuation_is_not_late_after_all_store_connections_fall_silent",
        (
            Edit(
                "pistachiohill/consortium/const.py",
                "POLL_WAIT_S: Final = 1.0 ",
                "POLL_WAIT_S: Final = 10.0 ",
            ),
        ),
    ),
    Mutant(
        "idle connections are used after another one has fallen silent",
        HTTP_CLIENT_TESTS + "test_silent_request_closes_connections_that_were_idle_meanwhile",
        (
            Edit(
                "pistachiohill/platform/http_client.py",
                "        if sent:\n            await self._async_close_idle(SUSPECT_IDLE_S)\n",
                "        if sent:\n            await trio.lowlevel.checkpoint()\n",
            ),
        ),
    ),
    Mutant(
        "idle connections are used after a read was overdue",
        HTTP_CLIENT_TESTS
        + "test_request_on_a_new_connection_uses_none_that_may_have_fallen_silent",
        (
            Edit(
                "pistachiohill/platform/http_client.py",
                "                        await self._async_close_idle(SUSPECT_IDLE_S)\n",
                "                        await trio.lowlevel.checkpoint()\n",
            ),
        ),
    ),
    Mutant(
        "a read on a silent connection is repeated on one that may be silent as well",
        OPERATORS_TESTS + "test_change_is_not_late_if_store_connections_fall_silent_just_before",
        (
            Edit(
                "pistachiohill/consortium/follow.py",
                "self._async_read_once(0.0, SECOND_READ_TIMEOUT_S, new_connection=True)",
                "self._async_read_once(0.0, SECOND_READ_TIMEOUT_S)",
            ),
        ),
    ),
    Mutant(
        "no second read is sent beside one that has had no response",
        FOLLOW_TESTS + "test_change_is_not_late_after_the_store_was_silent",
        (
            Edit(
                "pistachiohill/consortium/follow.py",
                "            await trio.sleep(wait_s + RESPONSE_OVERDUE_S)\n",
                "            await trio.sleep_forever()\n",
            ),
        ),
    ),
    Mutant(
        "the second read is waited for as long as the first",
        FOLLOW_TESTS + "test_change_is_not_late_after_the_store_was_slow",
        (
            Edit(
                "pistachiohill/consortium/const.py",
                "SECOND_READ_TIMEOUT_S: Final = 1.0\n",
                "SECOND_READ_TIMEOUT_S: Final = 4.0\n",
            ),
        ),
    ),
    Mutant(
        "expired records are read again without a delay",
        FOLLOW_TESTS
        + "test_calls_are_limited_while_the_store_drops_records_faster_than_they_are_read",
        (
            Edit(
                "pistachiohill/consortium/follow.py",
                "            reader.offset = None\n            await trio.sleep(delay.advance())\n",
                "            reader.offset = None\n",
            ),
        ),
    ),
    Mutant(
        "the read after one with records waits like any other",
        FOLLOW_TESTS + "test_second_of_two_changes_is_not_late_if_the_store_does_not_notice_it",
        (
            Edit(
                "pistachiohill/consortium/follow.py",
                "        if self.records_received:\n",
                "        if False:\n",
            ),
        ),
    ),
    Mutant(
        "the delay between refused reads grows with the outage",
        FOLLOW_TESTS + "test_change_is_not_late_after_the_store_refused_connections",
        (
            Edit(
                "pistachiohill/consortium/const.py",
                "RETRY_MAX_S: Final = 1.0\n",
                "RETRY_MAX_S: Final = 60.0\n",
            ),
        ),
    ),
    Mutant(
        "an entry waits for seconds for the Hello of another one",
        "tests/entry/test_peers.py::PeersTest::"
        "test_change_is_not_late_after_new_links_between_entries_were_silent",
        (
            Edit(
                "pistachiohill/entry/const.py",
                "PEER_CONNECT_TIMEOUT_S: Final = 1.0\n",
                "PEER_CONNECT_TIMEOUT_S: Final = 3.0\n",
            ),
        ),
    ),
    Mutant(
        "an entry waits for seconds for the Hello of an agent",
        "tests/entry/test_agents.py::AgentsTest::"
        "test_agent_is_linked_soon_after_its_link_fell_silent_before_the_reply",
        (
            Edit(
                "pistachiohill/entry/agents.py",
                "async_send_hello(connection, hello, AGENT_CONNECT_TIMEOUT_S)",
                "async_send_hello(connection, hello, 3.0)",
            ),
        ),
    ),
    Mutant(
        "silent links between entries are kept for longer than a change may take",
        "tests/entry/test_peers.py::PeersTest::"
        "test_change_is_not_late_after_the_links_between_entries_fall_silent",
        (
            Edit(
                "pistachiohill/entry/const.py",
                "PEER_SILENCE_S: Final = 2.2",
                "PEER_SILENCE_S: Final = 4.0",
            ),
        ),
    ),
    Mutant(
        "an older tree replaces a newer one",
        "tests/consortium/test_state.py::StateTest::"
        "test_snapshot_replaces_neither_a_newer_tree_nor_a_newer_domain",
        (
            Edit(
                "pistachiohill/consortium/state.py",
                "        if not is_own and not self._is_newer_tree(offset, tree_version):\n",
                "        if offset < 0:\n",
            ),
        ),
    ),
    Mutant(
        "a start that was held up on an old link runs",
        "tests/agent/test_runner.py::TaskRunnerTest::"
        "test_start_that_was_held_up_on_an_old_link_does_not_run",
        (
            Edit(
                "pistachiohill/agent/runner.py",
                "        return self._echo_age_s(task.link, now_s) <= ENTRY_LEASE_S\n",
                "        return True\n",
            ),
        ),
    ),
    Mutant(
        "an entry that was frozen proves that it is alive with what it knew before",
        "tests/entry/test_peer_clock.py::PeerClockTest::"
        "test_a_process_that_was_frozen_proves_nothing_until_it_hears_from_the_agent",
        (
            Edit(
                "pistachiohill/peer_clock.py",
                "        if self.reading_s < 0.0 or self.received_at_s < running_since_s:\n",
                "        if self.reading_s < 0.0:\n",
            ),
        ),
    ),
    Mutant(
        "clocks are taken to run at the same rate",
        "tests/entry/test_peer_clock.py::PeerClockTest::"
        "test_the_bound_is_never_ahead_of_the_peer",
        (
            Edit(
                "pistachiohill/peer_clock.py",
                "        drift = -MAX_CLOCK_DRIFT if passed_s > 0.0 else MAX_CLOCK_DRIFT\n",
                "        drift = 0.0\n",
            ),
        ),
    ),
    Mutant(
        "runs that the product stopped use up a task's attempts",
        "tests/entry/test_dispatcher.py::RepeatedRunsTest::"
        "test_runs_that_the_product_stopped_use_up_no_attempts",
        (
            Edit(
                "pistachiohill/entry/dispatcher.py",
                "reason not in UNCOUNTED_REASONS",
                "reason != RefusalReason.BUSY",
            ),
        ),
    ),
    Mutant(
        "jobs that can't end in time hold up those that can",
        "tests/entry/test_overload.py::OverloadTest::"
        "test_a_new_job_is_not_refused_for_the_sake_of_late_ones",
        (
            Edit(
                "pistachiohill/scheduling/urgency.py",
                "    if waited_s + run_s <= goal_s:\n",
                "    if waited_s >= 0.0:\n",
            ),
        ),
    ),
    Mutant(
        "the oldest job goes first in long waits",
        "tests/entry/test_overload.py::OverloadTest::"
        "test_an_overload_makes_only_the_excess_late",
        (
            Edit(
                "pistachiohill/scheduling/urgency.py",
                "    return waited_s > LONG_WAIT_FRACTION * (goal_s - run_s)\n",
                "    return waited_s > 1e9\n",
            ),
        ),
    ),
    Mutant(
        "a runner's lease is renewed while a run that must end goes on",
        TWO_FAULTS_TESTS + "UnansweredStopTest::"
        "test_run_ends_while_others_go_on_although_its_stops_are_lost",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "        if self._runs.is_renewal_paused(now_s):\n",
                "        if False:\n",
            ),
        ),
    ),
    Mutant(
        "a run must end only from its stop request on",
        TWO_FAULTS_TESTS + "SlowAgentTest::"
        "test_run_ends_although_the_check_of_its_entrys_lease_never_comes",
        (
            Edit(
                "pistachiohill/agent/run.py",
                "min(self.stop_requested_at_s, self.permission.ends_at_s())",
                "self.stop_requested_at_s",
            ),
        ),
    ),
    Mutant(
        "a start is sent on a permission that was checked before a pause",
        TWO_FAULTS_TESTS + "FrozenAgentTest::"
        "test_prepared_start_is_not_sent_after_the_lease_of_its_entry",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "        refusal = run.start_refusal(sent_at_s)\n",
                "        refusal = None\n",
            ),
        ),
    ),
    Mutant(
        "the fencing token is not raised after an unanswered hold",
        TWO_FAULTS_TESTS + "FrozenAgentTest::"
        "test_late_hold_does_not_prolong_runs_of_an_agent_that_was_killed",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "            if lease.until_clock_s is not None:\n"
                "                self._raise_token_above(lease.token)\n",
                "",
            ),
        ),
    ),
    Mutant(
        "a runner's clock is taken to run at full rate",
        "tests/agent/test_runner_lease.py::RunnerLeaseTest::"
        "test_no_lease_lasts_longer_than_its_agent_assumes",
        (
            Edit(
                "pistachiohill/agent/runner_lease.py",
                "        clock_s = self.clock_bound_s(now_s)\n",
                "        clock_s = self._clock.reading_s + now_s - self._clock.received_at_s\n",
            ),
        ),
    ),
    Mutant(
        "a suspension counts for the runner's clock",
        "tests/agent/test_runner_lease.py::RunnerLeaseTest::"
        "test_suspension_does_not_count_for_the_bound_of_the_clock",
        (
            Edit(
                "pistachiohill/agent/runner_lease.py",
                "        self._clock.received_at_s += stalled_s\n",
                "",
            ),
        ),
    ),
    Mutant(
        "a suspension counts for the end of a lease",
        "tests/agent/test_runner_lease.py::RunnerLeaseTest::"
        "test_lease_goes_on_after_a_suspension_for_as_long_as_it_had_left",
        (
            Edit(
                "pistachiohill/agent/runner_lease.py",
                "        self.expires_at_s += stalled_s\n",
                "",
            ),
        ),
    ),
    Mutant(
        "no reading lowers the bound of the runner's clock",
        "tests/agent/test_runner_lease.py::RunnerLeaseTest::"
        "test_reading_that_proves_the_bound_wrong_replaces_it",
        (
            Edit(
                "pistachiohill/agent/runner_lease.py",
                "            self._clock = PeerClock()\n            self.granted_until",
                "            self.granted_until",
            ),
        ),
    ),
    Mutant(
        "an agent at another target takes runs over",
        SUCCESSORS_TESTS + "test_agent_at_another_target_takes_nothing_over",
        (
            Edit(
                "pistachiohill/entry/successors.py",
                "        if task.target_id == successor.target_id\n",
                "        if True\n",
            ),
        ),
    ),
    Mutant(
        "a task that was taken over in vain is placed again",
        SUCCESSORS_TESTS
        + "test_outcome_other_than_success_fails_the_job_and_places_the_task_nowhere",
        (
            Edit(
                "pistachiohill/entry/dispatcher.py",
                "        if not succeeded and now_s < task.late_start_until_s:\n",
                "        if False:\n",
            ),
        ),
    ),
    Mutant(
        "a job's time limit counts from the reading of its request",
        BEST_EFFORT_TESTS + "LateRequestTest::test_deadline_counts_from_the_arrival",
        (
            Edit(
                "pistachiohill/entry/best_effort.py",
                " - request.origin.age_s(now_s)\n",
                "\n",
            ),
        ),
    ),
    Mutant(
        "the connection of a job's caller is not looked at",
        BEST_EFFORT_TESTS + "LateRequestTest::test_job_whose_caller_has_left_is_not_accepted",
        (
            Edit(
                "pistachiohill/entry/best_effort.py",
                "        elif job.has_caller_left():\n",
                "        elif False:\n",
            ),
        ),
    ),
    Mutant(
        "callers are not looked at before tasks are placed",
        GIVEN_UP_TESTS + "test_waiting_tasks_of_a_caller_who_has_left_are_not_placed",
        (
            Edit(
                "pistachiohill/entry/dispatcher.py",
                "        self.end_unwanted(now_s)\n" "        root",
                "        root",
            ),
        ),
    ),
    Mutant(
        "a lease is renewed before unwanted tasks are cancelled",
        GIVEN_UP_TESTS + "test_lease_is_renewed_only_after_unwanted_tasks_were_cancelled",
        (
            Edit(
                "pistachiohill/entry/agents.py",
                "        self._check_renewal(now_s)\n",
                "",
            ),
        ),
    ),
    Mutant(
        "a request's wait in the listener's queue is not counted",
        ORIGIN_TESTS + "test_age_includes_the_wait_in_the_queue_of_the_listener",
        (
            Edit(
                "pistachiohill/http/direct_server.py",
                "client_socket, queue_empty.seen_at_s)",
                "client_socket, clock.boot_s())",
            ),
        ),
    ),
    Mutant(
        "a request's wait in its socket is not counted",
        ORIGIN_TESTS + "test_age_includes_a_pause_on_an_open_connection",
        (
            Edit(
                "pistachiohill/http/direct_server.py",
                "self._reader.feed(data, self._empty.seen_at_s, self._received_at_s)",
                "self._reader.feed(data, clock.boot_s(), self._received_at_s)",
            ),
        ),
    ),
    Mutant(
        "jobs are accepted after the drain of a planned stop",
        BEST_EFFORT_TESTS + "StopTest::test_no_job_is_accepted_once_the_drain_has_ended",
        (
            Edit(
                "pistachiohill/entry/best_effort.py",
                "        self._closed = True\n",
                "",
            ),
        ),
    ),
    Mutant(
        "an unexpected error of a connection ends the server",
        "tests/http/test_direct_server.py::DirectServerTest::"
        "test_unexpected_error_of_a_connection_does_not_stop_the_server",
        (
            Edit(
                "pistachiohill/http/direct_server.py",
                "        except Exception as err:\n"
                '            logs.exception("connection_failed", err)\n',
                "",
            ),
        ),
    ),
    Mutant(
        "a start that was fenced once is reported as not run",
        RUN_PROOFS_TESTS + "test_start_that_was_fenced_is_not_carried_out_after_a_restart",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "        if run.starts_sent >= MAX_STARTS_SENT:\n"
                "            run.fencing_token = None\n"
                "            self._settle(run,",
                "        if True:\n            run.end(",
            ),
        ),
    ),
    Mutant(
        "fields of an announcement that the agent has no use for are not checked",
        "tests/platform/test_odd_announcements.py::OddAnnouncementTest::"
        "test_announcement_that_is_not_whole_is_refused",
        (
            Edit(
                "pistachiohill/platform/registry.py",
                "    _check_unused(fields, capacity)\n",
                "",
            ),
        ),
    ),
    Mutant(
        "runs of an agent count as ended when its successor accepts tasks",
        "tests/entry/test_agents.py::RunsEndTest::"
        "test_runs_of_an_agent_are_not_taken_for_ended_as_its_successor_accepts_tasks",
        (
            Edit(
                "pistachiohill/entry/agents.py",
                '            logs.event("agent_accepting", agent=agent.incarnation, '
                "service=agent.service)\n",
                "            for lost in self._lost_agents:\n"
                "                self._report_runs_ended(lost, listener, now_s)\n",
            ),
        ),
    ),
    Mutant(
        "one announcement is enough to use a draining runner again",
        "tests/platform/test_agent.py::AgentPlatformAdapterTest::"
        "test_a_draining_runner_is_not_used_again_after_one_announcement",
        (
            Edit(
                "pistachiohill/platform/announced_states.py",
                "        if now_s - self.claimed_since_s <= CONFIRMATION_S:\n",
                "        if now_s < self.claimed_since_s:\n",
            ),
        ),
    ),
    Mutant(
        "an announcement out of order does not make a runner drain",
        "tests/platform/test_agent.py::AgentPlatformAdapterTest::"
        "test_a_runner_that_drains_is_heard_beside_announcements_of_another_writer",
        (
            Edit(
                "pistachiohill/platform/registry.py",
                "            self._on_out_of_order(announcement, now_s)\n",
                "",
            ),
        ),
    ),
    Mutant(
        "announcements of one process are ordered by their numbers alone",
        "tests/platform/test_odd_announcements.py::OddAnnouncementTest::"
        "test_sequence_number_far_ahead_does_not_silence_the_runner",
        (
            Edit(
                "pistachiohill/platform/announcement_order.py",
                "        if announcement.clock_s != self._clock_s:\n",
                "        if announcement.clock_s < 0.0:\n",
            ),
        ),
    ),
    Mutant(
        "a run is settled by the refusal of its next attempt",
        LATE_START_TESTS
        + "test_run_that_may_not_be_started_again_is_not_run_only_when_no_start_can_come",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "            self._settle(run, Verdict.NOT_RUN, refusal)\n",
                "            run.end(Verdict.NOT_RUN, refusal)\n",
            ),
        ),
    ),
    Mutant(
        "a run is settled by the runner's refusal of a later attempt",
        LATE_START_TESTS
        + "test_run_that_the_runner_refuses_later_is_not_run_only_when_no_start_can_come",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "self._settle(run, Verdict.NOT_RUN, START_REFUSAL_REASONS[outcome.refusal])",
                "run.end(Verdict.NOT_RUN, START_REFUSAL_REASONS[outcome.refusal])",
            ),
        ),
    ),
    Mutant(
        "a withheld run that the next process executes is not looked after",
        LATE_START_TESTS + "test_cancelled_run_that_the_next_process_executes_is_stopped",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "            if run.is_stop_requested:\n",
                "            if False:\n",
            ),
        ),
    ),
    Mutant(
        "a run that failed is reported while a start of it may come",
        LATE_START_TESTS
        + "test_run_that_failed_after_an_unanswered_start_is_reported_when_none_can_come",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "            self._settle(run, Verdict.RAN, reason)\n",
                "            run.end(Verdict.RAN, reason)\n",
            ),
        ),
    ),
    Mutant(
        "a run with an unanswered start is settled by the end of a lease",
        RUN_PROOFS_TESTS
        + "test_start_without_an_answer_is_not_carried_out_after_its_lease_and_a_restart",
        (
            Edit(
                "pistachiohill/agent/unsettled_starts.py",
                "        run.unsettled_until_s = until_s\n",
                "        run.unsettled_until_s = -math.inf\n",
            ),
        ),
    ),
    Mutant(
        "a run whose start is under way is settled by the end of a lease",
        "tests/agent/test_next_incarnation.py::NextIncarnationTest::"
        "test_start_that_is_under_way_when_a_lease_has_ended_is_not_taken_for_ended",
        (
            Edit(
                "pistachiohill/agent/run.py",
                "return not self.is_start_pending and now_s",
                "return now_s",
            ),
        ),
    ),
    Mutant(
        "a list of the next process settles a run whose start may come",
        LATE_START_TESTS
        + "test_run_of_a_restarted_runner_is_not_lost_while_its_next_process_may_start_it",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "            if self._observe() >= run.unsettled_until_s:\n",
                "            if True:\n",
            ),
        ),
    ),
    Mutant(
        "an agent keeps an unanswered start to itself",
        "tests/agent/test_late_start_notices.py::LateStartNoticesTest::"
        "test_all_entries_are_told_as_soon_as_a_start_is_unanswered",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "            self._unsettled.expect(run, now_s + LATE_START_S, now_s)\n"
                "        elif is_repeated",
                "            run.unsettled_until_s = now_s + LATE_START_S\n"
                "        elif is_repeated",
            ),
        ),
    ),
    Mutant(
        "an entry forgets a late start with its agent",
        LOST_AGENT_TESTS
        + "test_task_of_a_lost_agent_is_placed_again_only_when_its_start_cannot_come",
        (
            Edit(
                "pistachiohill/entry/dispatcher.py",
                "        until_s = self._directory.late_starts.task_until_s("
                "task_id, agent.incarnation)\n",
                "        until_s = 0.0\n",
            ),
        ),
    ),
    Mutant(
        "a start at a lost agent counts as answered",
        LOST_AGENT_TESTS + "test_task_is_not_placed_again_while_its_agent_has_not_said_that_"
        "its_start_was_answered",
        (
            Edit(
                "pistachiohill/entry/dispatcher.py",
                "        if not task.is_start_answered:\n",
                "        if False:\n",
            ),
        ),
    ),
    Mutant(
        "a job that is sent again doesn't wait for a late start",
        "tests/entry/test_late_starts.py::JobSentAgainTest::"
        "test_job_waits_at_each_entry_until_its_earlier_start_cannot_come",
        (
            Edit(
                "pistachiohill/entry/best_effort.py",
                "        if holding == Holding.FREE and now_s < self._late_starts"
                ".job_until_s(request.key):\n",
                "        if False:\n",
            ),
        ),
    ),
    Mutant(
        "a job that another entry holds runs here as well",
        RESENT_TESTS
        + "test_job_does_not_run_at_two_entries_if_the_first_did_not_see_its_caller_leave",
        (
            Edit(
                "pistachiohill/entry/best_effort.py",
                "holding = self._holders.check(request.key, request.origin.age_s(now_s), now_s)",
                "holding = Holding.FREE",
            ),
        ),
    ),
    Mutant(
        "a job is released before its runs have ended",
        RELEASE_TESTS + "test_a_job_is_released_only_when_its_runs_have_ended",
        (
            Edit(
                "pistachiohill/entry/best_effort.py",
                "return Release.ENDING if key in self.held_keys(now_s) else Release.ENDED",
                "return Release.ENDED",
            ),
        ),
    ),
    Mutant(
        "an older request takes a job from a newer one",
        RELEASE_TESTS + "test_a_job_is_kept_for_a_newer_request",
        (
            Edit(
                "pistachiohill/entry/best_effort.py",
                "            if job.age_s(now_s) < age_s:\n",
                "            if False:\n",
            ),
        ),
    ),
    Mutant(
        "an old request is accepted without asking the other entries",
        RESENT_TESTS + "test_job_read_behind_another_does_not_run_while_a_newer_request_is_served",
        (
            Edit(
                "pistachiohill/entry/best_effort.py",
                "if all_asked or request.origin.age_s(now_s) <= OLD_REQUEST_S:",
                "if True:",
            ),
        ),
    ),
    Mutant(
        "a holder whose link is closed counts as ended at once",
        "tests/entry/test_job_holders.py::JobHoldersTest::"
        "test_a_holder_that_was_killed_is_waited_for_until_its_runs_have_ended",
        (
            Edit(
                "pistachiohill/entry/job_holders.py",
                "            return self._heard_at_s.get(entry, -math.inf)\n",
                "            return -math.inf\n",
            ),
        ),
    ),
    Mutant(
        "the settings tree at the later offset counts as newer, whatever its version",
        "tests/consortium/test_state.py::StateTest::"
        "test_the_higher_version_of_the_tree_counts_whatever_its_offset",
        (
            Edit(
                "pistachiohill/consortium/state.py",
                "            return tree_version > self.tree_version\n",
                "            return offset > self.tree_offset\n",
            ),
        ),
    ),
    Mutant(
        "the settings tree of the highest version is not kept",
        OLDER_MANIFEST_TESTS
        + "test_entries_that_all_start_after_a_late_write_take_the_newer_manifest",
        (
            Edit(
                "pistachiohill/consortium/tree_keeper.py",
                "            await _async_write_tree(store, view)\n",
                "            await trio.sleep_forever()\n",
            ),
        ),
    ),
    Mutant(
        "the settings tree is kept whatever was written in the meantime",
        "tests/consortium/test_tree_keeper.py::TreeKeeperTest::"
        "test_a_newer_copy_that_was_not_read_is_not_replaced",
        (
            Edit(
                "pistachiohill/consortium/tree_keeper.py",
                "encode_tree(tree), kept.end)",
                "encode_tree(tree))",
            ),
        ),
    ),
    Mutant(
        "a peer with a higher version of the settings tree is not asked for it",
        "tests/entry/test_peers.py::PeersTest::"
        "test_higher_version_of_the_tree_is_adopted_from_a_peer_at_the_same_offset",
        (
            Edit(
                "pistachiohill/entry/peers.py",
                " and message.tree_version <= state.tree_version:",
                ":",
            ),
        ),
    ),
    Mutant(
        "callers are answered before the other entries have told their version",
        "tests/platform/test_entry.py::EntryPlatformAdapterTest::"
        "test_unknown_route_is_not_denied_before_the_peers_have_answered",
        (
            Edit(
                "pistachiohill/platform/jobs_api.py",
                "        if not self._startup.done:\n",
                "        if False:\n",
            ),
        ),
    ),
    Mutant(
        "the kept tree is served before the evacuations are known",
        "tests/platform/test_entry.py::EntryPlatformAdapterTest::"
        "test_routes_of_the_kept_tree_are_not_served_before_the_evacuations_are_known",
        (
            Edit(
                "pistachiohill/entry/startup_check.py",
                " and self._view.state.offset > NO_OFFSET\n",
                "\n",
            ),
        ),
    ),
    Mutant(
        "a job that an entry doesn't have can't be cancelled there",
        "tests/failures/test_cancel_elsewhere.py::CancelElsewhereTest::"
        "test_job_is_cancelled_at_another_entry",
        (
            Edit(
                "pistachiohill/entry/peers.py",
                "self._cancel_job(message.key))",
                "False)",
            ),
        ),
    ),
    Mutant(
        "a silent entry counts as one without the job",
        "tests/entry/test_job_cancels.py::JobCancelsTest::" "test_answers_of_the_others_decide",
        (
            Edit(
                "pistachiohill/entry/job_cancels.py",
                "        return Cancellation.UNANSWERED\n",
                "        return Cancellation.NOT_FOUND\n",
            ),
        ),
    ),
    Mutant(
        "a wait for an offset doesn't end with a page of unreadable records",
        "tests/consortium/test_unreadable_pages.py::UnreadablePageTest::"
        "test_record_without_a_key_ends_the_wait_for_its_offset",
        (
            Edit(
                "pistachiohill/consortium/tail.py",
                "        if page.records or view.state.offset > known:",
                "        if page.records:",
            ),
        ),
    ),
    Mutant(
        "a run that was stopped to run elsewhere counts as a failed one",
        MOVES_TESTS + "test_a_task_runs_elsewhere_once_its_stop_is_reported_and_not_before",
        (
            Edit(
                "pistachiohill/entry/retry_rules.py",
                "        RefusalReason.LOST_AGENT,\n        RefusalReason.MOVED,\n",
                "        RefusalReason.LOST_AGENT,\n",
            ),
        ),
    ),
    Mutant(
        "a run is stopped although its job is served in time or not at all either way",
        MOVES_TESTS + "test_no_task_moves_for_a_caller_who_is_served_in_time_or_gets_nothing"
        "_either_way",
        (
            Edit(
                "pistachiohill/overload/overrun.py",
                "        if best_end_s <= limit_s:\n",
                "        if True:\n",
            ),
        ),
    ),
    Mutant(
        "stops have no budget",
        SLOW_TARGETS_TESTS
        + "test_a_fleet_that_is_slow_for_the_most_part_stops_no_more_than_its_budget",
        (
            Edit(
                "pistachiohill/overload/mover.py",
                "if not targets or self._budget.allows(targets, now_s):",
                "if True:",
            ),
        ),
    ),
    Mutant(
        "a single late run makes its target slow",
        SLOW_TARGETS_TESTS + "test_long_tasks_at_sound_targets_are_left_alone",
        (
            Edit(
                "pistachiohill/overload/slowdown.py",
                "len(late) < MIN_LATE_RUNS or not recent[-1].is_late",
                "not late",
            ),
        ),
    ),
    Mutant(
        "moves for late answers take the room of jobs in time",
        MOVES_TESTS + "test_a_task_that_will_be_late_anyway_only_moves_where_room_is_left",
        (
            Edit(
                "pistachiohill/overload/mover.py",
                "urgency == Urgency.ON_TIME or free_cpu_m >= LATE_RESERVE * target.cpu_m",
                "True",
            ),
        ),
    ),
    Mutant(
        "a stop that is not carried out ends the other runs of the runner",
        "tests/agent/test_stop_task.py::StopTaskTest::"
        "test_a_stop_that_is_not_carried_out_does_not_end_the_other_runs",
        (
            Edit(
                "pistachiohill/agent/leased_target.py",
                "        if must_end:\n            run.stop_requested_at_s",
                "        if True:\n            run.stop_requested_at_s",
            ),
        ),
    ),
    Mutant(
        "long tasks of one job make their target slow",
        "tests/overload/test_slowdown.py::SlowdownTest::"
        "test_tasks_of_one_job_that_are_long_together_leave_a_target_sound",
        (
            Edit(
                "pistachiohill/overload/slowdown.py",
                "[item for item in self._judged if item.job != run.job]",
                "self._judged",
            ),
        ),
    ),
    Mutant(
        "work of a lost entry is counted for ever",
        SHARED_WORK_TESTS
        + "WaitingWorkTest::test_work_of_a_lost_entry_expires_and_repeated_messages_count_once",
        (
            Edit(
                "pistachiohill/shared_load/waiting_work.py",
                "if now_s - told.at_s > WORK_TTL_S:",
                "if False:",
            ),
        ),
    ),
    Mutant(
        "old reports of waiting work are counted",
        SHARED_WORK_TESTS + "WaitingWorkTest::test_an_old_report_is_not_counted",
        (
            Edit(
                "pistachiohill/scheduling/models.py",
                "return now_s - self.reported_at_s <= REPORT_TTL_S",
                "return True",
            ),
        ),
    ),
    Mutant(
        "waiting work is taken as told, however odd",
        SHARED_WORK_TESTS + "WaitingWorkTest::test_odd_work_is_bounded",
        (
            Edit(
                "pistachiohill/shared_load/waiting_work.py",
                "float(min(MAX_CORE_MS, max(0, item)))",
                "float(item)",
            ),
        ),
    ),
    Mutant(
        "factors pass between entries without regard to their scales",
        TARGET_SPEED_TESTS
        + "TargetSpeedTest::"
        + "test_entries_with_different_job_means_each_get_the_factor_on_their_own_scale",
        (
            Edit(
                "pistachiohill/shared_load/entry.py",
                "return median(ratios) if ratios else None",
                "return 1.0 if ratios else None",
            ),
        ),
    ),
    Mutant(
        "a long task turns all entries away from its target",
        TARGET_SPEED_TESTS
        + "TargetSpeedTest::"
        + "test_a_slow_target_shows_before_its_tasks_end_and_single_long_tasks_do_not",
        (
            Edit(
                "pistachiohill/shared_load/target_speed.py",
                "median_low([*excesses, 0.0])",
                "sum(excesses) / len(excesses)",
            ),
        ),
    ),
    Mutant(
        "entries go by an agent's factor for good",
        TARGET_SPEED_TESTS + "FleetTest::test_an_entry_goes_by_its_own_runs_once_it_has_some",
        (
            Edit(
                "pistachiohill/shared_load/entry.py",
                "if scale is None or own.samples >= FACTOR_RUNS:",
                "if scale is None:",
            ),
        ),
    ),
    Mutant(
        "odd estimates change a target's factor",
        TARGET_SPEED_TESTS + "TargetSpeedTest::test_odd_estimates_and_reports_change_nothing",
        (
            Edit(
                "pistachiohill/shared_load/target_speed.py",
                "        if not _is_valid(estimate):\n            return\n",
                "",
            ),
        ),
    ),
    Mutant(
        "other entries' waiting work is not counted",
        SHARED_WORK_TESTS
        + "BurstTest::test_fewer_jobs_end_late_or_wait_in_vain_and_no_kind_is_worse_off",
        (
            Edit(
                "pistachiohill/scheduling/plan.py",
                "if ahead is not None and run_s > 0.0:",
                "if False:",
            ),
        ),
    ),
)
