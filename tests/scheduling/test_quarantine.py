"""Tests of quarantine: failing targets are quarantined, but not for the faults of a job."""

from pistachiohill.scheduling.models import TargetLoad
from pistachiohill.scheduling.quarantine import Quarantine, make_rule
from pistachiohill.settings.const import QuarantineRule

from ..base import TestCase

JOB = "consortium/m/j"


def pool(count: int = 4) -> list[TargetLoad]:
    return [TargetLoad(str(number), "d", cpu_m=8000) for number in range(count)]


class QuarantineTest(TestCase):
    def test_every_rule_quarantines_target_that_always_fails(self) -> None:
        for name in (QuarantineRule.CONSECUTIVE, QuarantineRule.RATIO, QuarantineRule.WINDOWS):
            quarantine, targets = Quarantine(), pool()
            quarantine.record_success(targets[1], JOB, 0.0)
            results = [
                quarantine.record_failure(make_rule(name), targets[0], targets, JOB, 0.1 * number)
                for number in range(20)
            ]
            self.assertIn(True, results, name)
            self.assertGreater(targets[0].quarantined_until_s, 0.0)
            self.assertEqual(1, quarantine.probation_limit(targets[0]))

    def test_quarantine_doubles_on_relapse_and_success_ends_probation(self) -> None:
        quarantine, targets = Quarantine(), pool()
        rule = make_rule(QuarantineRule.CONSECUTIVE)
        quarantine.record_success(targets[1], JOB, 0.0)
        for _ in range(3):
            quarantine.record_failure(rule, targets[0], targets, JOB, 1.0)
        first_s = targets[0].quarantined_until_s - 1.0
        self.assertTrue(quarantine.record_failure(rule, targets[0], targets, JOB, 10.0))
        self.assertEqual(2 * first_s, targets[0].quarantined_until_s - 10.0)
        quarantine.record_success(targets[0], JOB, 20.0)
        self.assertIsNone(quarantine.probation_limit(targets[0]))

    def test_job_that_always_fails_quarantines_at_most_one_target(self) -> None:
        quarantine, targets = Quarantine(), pool()
        rule = make_rule(QuarantineRule.CONSECUTIVE)
        for number in range(400):
            quarantine.record_failure(
                rule, targets[number % 4], targets, "consortium/m/bad", 0.01 * number
            )
        quarantined = [target for target in targets if target.quarantined_until_s > 0]
        self.assertLessEqual(len(quarantined), 1)

    def test_at_most_half_of_targets_are_quarantined(self) -> None:
        quarantine, targets = Quarantine(), pool()
        rule = make_rule(QuarantineRule.CONSECUTIVE)
        quarantine.record_success(targets[0], JOB, 0.0)
        for target in targets:
            for _ in range(5):
                quarantine.record_failure(rule, target, targets, JOB, 0.5)
        quarantined = [target for target in targets if target.quarantined_until_s > 0.5]
        self.assertEqual(2, len(quarantined))
