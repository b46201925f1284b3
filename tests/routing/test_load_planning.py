"""Tests of load planning (pattern: all VMs select the same target)."""

from __future__ import annotations

import random
from collections import Counter

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.settings import (
    Addresses,
    Settings,
    VmSettings,
)
from cranberryseam.core.events import Started
from cranberryseam.core.notices import SlotAssigned, TargetChanged
from cranberryseam.routing import (
    ATTACHED_TUNING,
    AdmitRequest,
    AttemptOutcome,
    Router,
)
from cranberryseam.routing.health import Evidence
from cranberryseam.routing.load_planning import MAX_LOAD, Candidate, plan_loads
from cranberryseam.types import AccountId, RequestId, ServiceName
from tests.attachment.attached_fleet import make_announcement

from .test_overdue import _OtherLeader

VMS = 32
TARGETS = 12
SERVICE = ServiceName('katalogi')


class PlanTest(TestCase):
    """The plan assigns load to the cheapest targets up to their capacity."""

    @parameterized.expand(
        [
            ('one target is enough', (0, 1, 1), 2.0, (2, 0, 0)),
            ('equal costs', (0.1, 0.1, 0.1), 3.0, (1, 1, 1)),
            ('the most expensive one last', (0, 0.2, 0.9), 4.0, (2.4, 1.6, 0)),
            ('demand above the capacity', (0, 0, 1), 99.0, (3.4, 3.4, 3.4)),
            ('no demand', (0, 1), 0.0, (0, 0)),
        ]
    )
    def test_loads(
        self,
        _: str,
        costs: tuple[float, ...],
        demand: float,
        expected: tuple[float, ...],
    ) -> None:
        loads = plan_loads([Candidate(cost, 4) for cost in costs], demand)
        for load, expected_load in zip(loads, expected, strict=True):
            self.assertAlmostEqual(expected_load, load, places=1)

    def test_without_targets(self) -> None:
        self.assertEqual([], plan_loads([], 3))

    def test_loads_add_up_to_the_demand(self) -> None:
        """Guards against a plan that violates its definition: at one cost level
        the targets together take the whole demand.
        """
        rng = random.Random(5)
        for _ in range(100):
            candidates = [
                Candidate(
                    rng.choice((0, 0.2, rng.random())), rng.choice((0.4, 4))
                )
                for _ in range(TARGETS)
            ]
            room = sum(candidate.slots for candidate in candidates) * MAX_LOAD
            demand = rng.uniform(0, room)
            self.assertAlmostEqual(demand, sum(plan_loads(candidates, demand)))

    def test_no_target_is_planned_full(self) -> None:
        rng = random.Random(3)
        for _ in range(50):
            candidates = [
                Candidate(rng.random(), rng.choice((0.4, 4, 6)))
                for _ in range(TARGETS)
            ]
            loads = plan_loads(candidates, rng.uniform(0, 60))
            for candidate, load in zip(candidates, loads, strict=True):
                self.assertLessEqual(load, candidate.slots * MAX_LOAD + 1e-9)


class HerdTest(TestCase):
    """VMs that don't see the requests of other VMs."""

    def _build(self, seed: int) -> Router:
        settings = Settings(
            VmSettings(f'e{seed}', 'fleet', 'dc-1'), Addresses(''), ('fleet',)
        )
        router = Router(
            settings, _OtherLeader(), random.Random(seed), ATTACHED_TUNING
        )
        router.handle(Started(0, 0))
        for number in range(TARGETS):
            announcement = make_announcement(f't{number}', port=number + 1)
            router.handle(TargetChanged(0, announcement))
        return router

    def _choose(self, router: Router, number: int, at: float) -> str:
        request = AdmitRequest(
            RequestId(number),
            SERVICE,
            AccountId('asha'),
            weight=1,
            lane='interactive',
            deadline_at=at + 10,
            retriable=False,
            objective_s=1.0,
        )
        (assigned,) = router.admit(request, at)
        assert isinstance(assigned, SlotAssigned)
        return assigned.target

    def _spread(self, healthy: int, demand: float) -> Counter[str]:
        selected: Counter[str] = Counter()
        for seed in range(VMS):
            router = self._build(seed)
            state = router._services.find(SERVICE)
            state.demand = demand
            for number in range(TARGETS):
                evidence = Evidence.failure
                if number < healthy:
                    evidence = Evidence.success
                target = state.targets[f't{number}']
                target.fleet_estimate.update(evidence, 1)
                target.fleet_estimate.update(evidence, 1)
            selected[self._choose(router, seed, 1)] += 1
        return selected

    def test_two_healthy_targets_share_the_load(self) -> None:
        """Guards against herd behaviour: 32 VMs sent 37 requests in one second
        to the target that looked best, which shed half of them.
        """
        selected = self._spread(healthy=2, demand=6)
        self.assertEqual({'t0', 't1'}, set(selected))
        self.assertGreater(min(selected.values()), VMS / 5)

    def test_connections_are_reused(self) -> None:
        """Guards against a new connection for each request on VMs with few
        requests: more than a third of all requests opened one.
        """
        router = self._build(1)
        state = router._services.find(SERVICE)
        state.demand = 4
        selected: list[str] = []
        for number in range(40):
            at = 1 + number * 0.7
            for target in state.targets.values():
                target.fleet_estimate.replace(0.03, at)
                target.local_estimate.replace(0.03, at)
            selected.append(self._choose(router, number, at))
            router.release(
                RequestId(number), AttemptOutcome.succeeded, at + 0.2, 0.2
            )
        again = sum(
            target in selected[max(0, number - 5) : number]
            for number, target in enumerate(selected)
        )
        self.assertGreater(again, len(selected) / 2)

    def test_failing_targets_take_excess_load(self) -> None:
        """Guards against a full queue at the only healthy target while others
        may have recovered.
        """
        selected = self._spread(healthy=1, demand=20)
        self.assertGreater(len(selected), 4)
        self.assertLess(selected['t0'], VMS * 0.7)
