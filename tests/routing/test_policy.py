"""Tests of the routing policy against its goals, on a few seeds."""

from __future__ import annotations

import statistics

import testtools
from parameterized import parameterized

from cranberryseam.experiments.policy import RunParameters, run_simulation


def run(
    scenario: str, seed: int, policy: str = 'pooled', seconds: float = 28
) -> object:
    return run_simulation(
        RunParameters('kilimo', scenario, policy, seed, seconds)
    )


class PolicyTest(testtools.TestCase):
    """Guards the goals of the design against changes of constants."""

    def test_half_failing_target_is_found(self) -> None:
        runs = [run('half_failing', seed) for seed in range(4)]
        found = [at for one in runs for at in one.detection_delays_s]
        self.assertEqual(4, len(found))
        self.assertLessEqual(statistics.median(found), 3)
        self.assertLessEqual(max(found), 10)
        self.assertEqual(0, sum(one.false_ejections for one in runs))
        self.assertEqual(0, sum(one.samples_below_floor for one in runs))

    @parameterized.expand(
        [('healthy',), ('shedding',), ('one_path_broken',), ('bad_account',)]
    )
    def test_no_false_ejection(self, scenario: str) -> None:
        self.assertEqual(0, run(scenario, 1).false_ejections)

    def test_same_seed_gives_the_same_figures(self) -> None:
        one = run('flapping', 3, seconds=20)
        self.assertEqual(one, run('flapping', 3, seconds=20))
        self.assertNotEqual(one, run('flapping', 4, seconds=20))

    def test_greedy_account_does_not_reduce_others_share(self) -> None:
        result = run('greedy_account', 1, seconds=21)
        self.assertGreaterEqual(result.worst_answered_share, 0.95)
