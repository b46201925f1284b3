"""Tests of the shared retry budget (pattern: all targets shed load)."""

from __future__ import annotations

import heapq
import random
from collections import Counter

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.settings import RetrySettings
from cranberryseam.routing.messages import BudgetAsked, BudgetGiven
from cranberryseam.routing.shared_budget import RetryAllowance, RetryPools
from cranberryseam.types import VmId

WINDOW_S = 10.0
DELAY_S = 0.03
REPORT_S = 1.0
SERVICE = 'pay'


class _LeaderStub:
    """Leader lookup in which ``c1`` leads, or no VM does."""

    known = True

    def leader_of(self, region: str, shard_key: str) -> VmId | None:
        return VmId('c1') if self.known else None

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        return True


class _Fleet:
    """VMs that try to retry every request, and their leader."""

    def __init__(self, vms: int, slack: float, seed: str) -> None:
        settings = RetrySettings(0.2, slack, WINDOW_S)
        self.leader = _LeaderStub()
        self.pools = RetryPools(settings)
        self.pools.vm_count = vms
        self.vms = [
            RetryAllowance(settings, 'fleet', self.leader) for _ in range(vms)
        ]
        for vm in self.vms:
            vm.vm_count = vms
        self.sent: list[float] = []
        self.retried: list[float] = []
        self._rng = random.Random(seed)
        self._unreported: Counter[int] = Counter()
        self._arriving: list[tuple[float, int, int, object]] = []
        self._number = 0

    def run(self, rate: float, calm_s: float, until: float) -> None:
        """Send requests at a rate; retry them after the calm time."""
        at = 0.0
        reported = 0.0
        while at < until:
            at += self._rng.expovariate(rate)
            self._deliver(at)
            if at >= reported + REPORT_S:
                reported = at
                self.pools.credit(SERVICE, self._unreported.total())
                self._unreported.clear()
            self._request(at, is_unchanged=at >= calm_s)

    def max_in_window(self) -> float:
        """Return the largest excess over the share in any window."""
        worst = float('-inf')
        for until in self.retried:
            since = until - WINDOW_S
            count = sum(since < each <= until for each in self.retried)
            requests = sum(since < each <= until for each in self.sent)
            worst = max(worst, count - 0.2 * requests)
        return worst

    def _request(self, at: float, *, is_unchanged: bool) -> None:
        number = self._rng.randrange(len(self.vms))
        vm = self.vms[number]
        self.sent.append(at)
        self._unreported[number] += 1
        if is_unchanged and vm.acquire(SERVICE):
            self.retried.append(at)
            self._unreported[number] += 1
        for output in vm.request_units(SERVICE, at):
            self._send(at, number, output.message)

    def _send(self, at: float, number: int, message: object) -> None:
        self._number += 1
        entry = (at + DELAY_S, self._number, number, message)
        heapq.heappush(self._arriving, entry)

    def _deliver(self, at: float) -> None:
        while self._arriving and self._arriving[0][0] <= at:
            arrived_at, _, number, message = heapq.heappop(self._arriving)
            if isinstance(message, BudgetAsked):
                granted = self.pools.grant(VmId(str(number)), message)
                self._send(arrived_at, number, granted.message)
            elif isinstance(message, BudgetGiven):
                self.vms[number].receive(message)


class RetryPoolsTest(TestCase):
    """Every VM retries every request, at once or after a calm time."""

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
        """Guards against saved units whose sum exceeds the budget."""
        fleet = _Fleet(vms, slack, f'{vms}/{rate}/{calm_s}')
        fleet.run(rate, calm_s, calm_s + 3 * WINDOW_S)
        self.assertLessEqual(fleet.max_in_window(), slack)

    @parameterized.expand([('mapovu', 32, 56, 46.0), ('grown', 87, 156, 104.0)])
    def test_the_budget_is_used(
        self, _: str, vms: int, slack: float, rate: float
    ) -> None:
        """Guards against refused retries while the budget isn't used up: a
        fixed part per VM was lost to the VMs that needed it.
        """
        fleet = _Fleet(vms, slack, 'used')
        fleet.run(rate, 0, 4 * WINDOW_S)
        self.assertGreater(len(fleet.retried), 0.15 * len(fleet.sent))

    def test_without_a_leader(self) -> None:
        """Guards against unlimited retries without a leader."""
        fleet = _Fleet(32, 56, 'alone')
        fleet.leader.known = False
        fleet.run(46, 0, 4 * WINDOW_S)
        self.assertLessEqual(len(fleet.retried), 56)

    def test_lost_answer_is_requested_again(self) -> None:
        """Guards against a VM that never retries after a lost message."""
        allowance = RetryAllowance(
            RetrySettings(0.2, 56, WINDOW_S), 'fleet', _LeaderStub()
        )
        self.assertTrue(allowance.acquire(SERVICE))
        self.assertEqual(1, len(allowance.request_units(SERVICE, 1)))
        self.assertEqual([], allowance.request_units(SERVICE, 1.1))
        self.assertEqual(1, len(allowance.request_units(SERVICE, 1.4)))
