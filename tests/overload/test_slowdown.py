"""The detector tells a slow target from long tasks."""

from pistachiohill.overload.slowdown import MAX_AGE_S, NOT_SLOW, SlowdownDetector

from ..base import TestCase

RUN_S = 0.2


class SlowdownTest(TestCase):
    def play(self, *run_times_s: float, job: str = "") -> SlowdownDetector:
        """Start runs of these lengths together at 0.0 and end them; infinite ones go on."""
        detector = SlowdownDetector()
        for key in range(len(run_times_s)):
            detector.run_started(key, job or str(key), RUN_S, 0.0)
        for key, run_s in sorted(enumerate(run_times_s), key=lambda item: item[1]):
            if run_s < 10.0:
                detector.run_ended(key, True, run_s)
        return detector

    def test_runs_that_all_take_longer_make_a_target_slow_before_they_end(self) -> None:
        detector = self.play(99.0, 99.0, 99.0, 99.0)
        self.assertEqual(NOT_SLOW, detector.slowdown(0.4))
        slowdown = detector.slowdown(0.6)
        self.assertAlmostEqual(6.0, slowdown.factor)  # three so far, and as much again
        self.assertAlmostEqual(0.6, slowdown.for_s)

    def test_runs_that_have_ended_tell_how_slow_it_is(self) -> None:
        self.assertAlmostEqual(5.0, self.play(1.0, 1.0, 1.0, 1.0).slowdown(1.1).factor)

    def test_long_tasks_among_others_leave_a_target_sound(self) -> None:
        for run_times_s in ((0.2, 0.21, 99.0, 99.0), (99.0, 99.0, 99.0, 1.5)):
            detector = self.play(*run_times_s)
            detector.run_started(10, "10", RUN_S, 1.2)
            detector.run_ended(10, True, 1.4)
            self.assertEqual(NOT_SLOW, detector.slowdown(1.4), run_times_s)

    def test_tasks_of_one_job_that_are_long_together_leave_a_target_sound(self) -> None:
        detector = self.play(99.0, 99.0, 99.0, 99.0, 99.0, job="j")
        self.assertEqual(NOT_SLOW, detector.slowdown(1.4))

    def test_a_slow_target_is_sound_again_once_runs_end_in_time(self) -> None:
        detector = self.play(1.0, 1.0, 1.0, 1.0)
        for key in range(10, 11):
            detector.run_started(key, str(key), RUN_S, 1.1)
            detector.run_ended(key, True, 1.3)
        self.assertEqual(NOT_SLOW, detector.slowdown(1.3))

    def test_old_runs_do_not_count(self) -> None:
        detector = self.play(1.0, 1.0, 1.0, 1.0)
        self.assertTrue(detector.slowdown(MAX_AGE_S).is_slow)
        self.assertEqual(NOT_SLOW, detector.slowdown(MAX_AGE_S + 0.5))

    def test_runs_that_were_stopped_in_time_tell_nothing(self) -> None:
        detector = self.play(99.0, 99.0, 99.0, 99.0)
        for key in range(4):
            detector.run_ended(key, False, 0.3)
        self.assertEqual(NOT_SLOW, detector.slowdown(9.0))
