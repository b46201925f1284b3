"""Retries of a whole fleet (pattern: a service whose targets all shed)."""

from __future__ import annotations

import random

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.settings import RetrySettings
from cranberryseam.routing.shared_budget import SharedBudget

WINDOW_S = 10.0


class SharedBudgetTest(TestCase):
    """Every VM wants to repeat every request, at once or after a calm time."""

    @parameterized.expand(
        [
            (vms, slack, rate, calm_s)
            for vms, slack in ((32, 56), (44, 62), (87, 156), (98, 172))
            for rate in (10.0, 60.0, 250.0)
            for calm_s in (0.0, 30.0)
        ]
    )
    def test_no_window_exceeds_the_budget(
        self, vms: int, slack: float, rate: float, calm_s: float
    ) -> None:
        """Guards against saved parts that add up to more than the budget."""
        settings = RetrySettings(0.2, slack, WINDOW_S)
        rng = random.Random(f'{vms}/{rate}/{calm_s}')
        budgets = [SharedBudget(settings) for _ in range(vms)]
        for budget in budgets:
            budget.vm_count = vms
        at = 0.0
        sent: list[float] = []
        repeated: list[float] = []
        while at < calm_s + 3 * WINDOW_S:
            at += rng.expovariate(rate)
            budget = rng.choice(budgets)
            budget.credit('pay', at)
            sent.append(at)
            if at >= calm_s and budget.take('pay', at):
                repeated.append(at)
        for until in repeated:
            since = until - WINDOW_S
            count = sum(since < each <= until for each in repeated)
            requests = sum(since < each <= until for each in sent)
            self.assertLessEqual(count, 0.2 * requests + slack)

    def test_the_budget_is_used(self) -> None:
        """Guards against refusals while the fleet may still repeat."""
        budget = SharedBudget(RetrySettings(0.2, 56, WINDOW_S))
        budget.vm_count = 32
        taken = 0
        for step in range(300):
            budget.credit('pay', step / 10)
            taken += budget.take('pay', step / 10)
        self.assertGreater(taken, 0.15 * 300)
