"""Late or concurrent answers reach only the request to which they belong."""

import trio

from pistachiohill.client import JobComplete
from pistachiohill.errors import Verdict
from standins.deployment import Deployment, MemberSpec

from .base import FailureTest, payloads, spec


class AnswerTest(FailureTest):
    async def test_concurrent_jobs_receive_their_own_answers(self) -> None:
        """Jobs of two members are submitted concurrently; each receives its own results."""
        members = (MemberSpec("brunner"), MemberSpec("brno"))
        async with Deployment(spec(members=members)) as deployment, trio.open_nursery() as nursery:

            async def async_run(number: int) -> None:
                member = members[number % 2].name
                bodies = [b'{"run_s": 0.02, "job": %d, "n": %d}' % (number, n) for n in range(10)]
                client = deployment.client(member, [number % 2, 1 - number % 2])
                (submission_id,) = await client.async_ids()
                result = await client.async_submit(submission_id, "clocking", bodies, 30.0)
                self.assertIsInstance(result, JobComplete, result)
                self.assertEqual([b"done " + body for body in bodies], list(result.bodies))
                await client.async_close()

            for number in range(40):
                nursery.start_soon(async_run, number)
        self.assert_single_starts(deployment)

    async def test_late_answer_is_not_given_to_another_job(self) -> None:
        async with Deployment(spec()) as deployment:
            client = deployment.client("brunner")
            late_id, next_id = await client.async_ids(2)
            late = await client.async_submit(late_id, "clocking", payloads(24, 1.0), 0.3)
            self.assertEqual(Verdict.MAY_HAVE_RUN, getattr(late, "verdict", None))
            bodies = [b'{"run_s": 0.0, "next": true}'] * 24
            result = await client.async_submit(next_id, "clocking", bodies, 20.0)
            self.assertIsInstance(result, JobComplete, result)
            self.assertEqual({b"done " + bodies[0]}, set(result.bodies))
            repeated = await client.async_submit(late_id, "clocking", payloads(24, 1.0), 0.3)
            self.assertEqual(Verdict.MAY_HAVE_RUN, getattr(repeated, "verdict", None))
            self.assert_single_starts(deployment)

    async def test_progress_of_a_running_job(self) -> None:
        """The job is submitted once and then polled; the progress counts never decrease."""
        async with Deployment(spec()) as deployment:
            seen: list[tuple[int, int]] = []
            client = deployment.client("brunner")
            result = await client.async_run(
                "clocking", payloads(72, 0.5), 30.0, lambda *counts: seen.append(counts)
            )
            self.assertIsInstance(result, JobComplete, result)
            self.assertEqual(0, getattr(result, "resubmissions", None))
            self.assertEqual(sorted(seen), seen)
            self.assertEqual({72}, {total for _, total in seen})
            self.assert_single_starts(deployment)

    async def test_waiting_polling_and_resubmission_agree(self) -> None:
        async with Deployment(spec()) as deployment:
            client = deployment.client("brunner")
            (submission_id,) = await client.async_ids()
            url = f"{deployment.entries[0].url}/v1/submissions/{submission_id}"
            tasks = [{"payload": '{"run_s": 0.5}'}] * 24
            body = {"job": "clocking", "tasks": tasks, "wait_s": 0}
            status, value = await deployment.async_request_json("PUT", url, body, "token-brunner")
            self.assertEqual((202, "running"), (status, value["state"]))
            other = f"{deployment.entries[1].url}/v1/submissions/{submission_id}?wait_s=20"
            status, value = await deployment.async_request_json("GET", other, token="token-brunner")
            self.assertEqual(
                (200, "complete", 24), (status, value["state"], len(value["results_base64"]))
            )
            status, again = await deployment.async_request_json("PUT", url, body, "token-brunner")
            self.assertEqual((200, value["results_base64"]), (status, again["results_base64"]))
            self.assert_single_starts(deployment)
