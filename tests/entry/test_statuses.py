"""Tests that the HTTP status of every failed answer agrees with its verdict."""

from pistachiohill.const import JobState
from pistachiohill.entry.caller_api import answer_response, failed_status
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.submissions.models import JobAnswer, failed_answer, refused_answer

from ..base import TestCase


class StatusTest(TestCase):
    def test_verdicts_and_statuses_agree(self) -> None:
        for reason in RefusalReason:
            ran = failed_answer(reason, Verdict.RAN, "", 1, 1)
            unknown = failed_answer(reason, Verdict.MAY_HAVE_RUN, "", 1, 0)
            not_run = refused_answer(reason, "")
            if reason != RefusalReason.EXPIRED_ID:
                self.assertEqual((502, 504), (failed_status(ran), failed_status(unknown)))
            self.assertIn(failed_status(not_run), (404, 409, 410, 429, 503, 504))

    def test_retry_after_is_set_only_for_retryable_refusals(self) -> None:
        retryable = answer_response("s", refused_answer(RefusalReason.OVERLOAD, "", 2.2))
        self.assertEqual("3", retryable.headers["retry-after"])
        permanent = answer_response(
            "s", failed_answer(RefusalReason.TARGET_FAILED, Verdict.RAN, "", 1, 1)
        )
        self.assertNotIn("retry-after", permanent.headers)

    def test_answers_are_unchanged_by_forwarding(self) -> None:
        answers = [
            JobAnswer(JobState.COMPLETE, Verdict.RAN, 2, 2, (b"a", b"")),
            JobAnswer(JobState.RUNNING, Verdict.MAY_HAVE_RUN, 5, 3),
            refused_answer(RefusalReason.OVERLOAD, "later", 1.5, 7),
        ]
        for answer in answers:
            self.assertEqual(answer, JobAnswer.from_reply(answer.to_reply(1)))
