"""Short plans of the fault soak, and every seed that ever found something."""

from experiments.soak import Soak, make_plan

from ..base import TestCase

SHORT_S = 5.0
SHORT_SEEDS = (20261204,)
REGRESSION_SEEDS: tuple[int, ...] = ()  # none has found anything yet


class SoakTest(TestCase):
    async def test_short_plans(self) -> None:
        for seed in SHORT_SEEDS:
            findings = await Soak(make_plan(seed, length_s=SHORT_S)).async_run()
            self.assertEqual([], findings.broken, findings)
            self.assertGreater(findings.completed, 0)

    async def test_seeds_that_found_something(self) -> None:
        for seed in REGRESSION_SEEDS:
            findings = await Soak(make_plan(seed)).async_run()
            self.assertEqual([], findings.broken, findings)

    def test_a_seed_repeats_its_plan(self) -> None:
        self.assertEqual(make_plan(7), make_plan(7))
        self.assertNotEqual(make_plan(7), make_plan(8))
