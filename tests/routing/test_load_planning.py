"""Spread of load (pattern: all VMs choose the same good target)."""

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

from .test_overdue import _Leader

VMS = 32
TARGETS = 12
SERVICE = ServiceName('katalogi')


class PlanTest(TestCase):
    """The plan puts work where it costs least, up to the room there."""

    @parameterized.expand(
        [
            ('one is enough', (0, 1, 1), 2.0, (2, 0, 0)),
            ('equal ones', (0.1, 0.1, 0.1), 3.0, (1, 1, 1)),
            ('the dear one last', (0, 0.2, 0.9), 4.0, (2.4, 1.6, 0)),
            ('more than there is room', (0, 0, 1), 99.0, (3.4, 3.4, 3.4)),
            ('nothing to do', (0, 1), 0.0, (0, 0)),
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
        for load, most in zip(loads, expected, strict=True):
            self.assertAlmostEqual(most, load, places=1)

    def test_without_targets(self) -> None:
        self.assertEqual([], plan_loads([], 3))

    def test_agrees_with_a_search(self) -> None:
        """Guards against a plan that differs from the definition: one level at
        which the targets together take the demand.
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
    """VMs that see nothing of each other's requests."""

    def _build(self, seed: int) -> Router:
        settings = Settings(
            VmSettings(f'e{seed}', 'fleet', 'dc-1'), Addresses(''), ('fleet',)
        )
        router = Router(
            settings, _Leader(), random.Random(seed), ATTACHED_TUNING
        )
        router.handle(Started(0, 0))
        for number in range(TARGETS):
            came = make_announcement(f't{number}', port=number + 1)
            router.handle(TargetChanged(0, came))
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

    def _spread(self, good: int, demand: float) -> Counter[str]:
        chosen: Counter[str] = Counter()
        for seed in range(VMS):
            router = self._build(seed)
            state = router._services.find(SERVICE)
            state.demand = demand
            for number in range(TARGETS):
                evidence = Evidence.failure
                if number < good:
                    evidence = Evidence.success
                target = state.targets[f't{number}']
                target.fleet_estimate.update(evidence, 1)
                target.fleet_estimate.update(evidence, 1)
            chosen[self._choose(router, seed, 1)] += 1
        return chosen

    def test_two_good_targets_share_the_work(self) -> None:
        """Guards against a herd: 32 VMs sent 37 requests in one second to the
        one target that looked best, which shed the half of them.
        """
        chosen = self._spread(good=2, demand=6)
        self.assertEqual({'t0', 't1'}, set(chosen))
        self.assertGreater(min(chosen.values()), VMS / 5)

    def test_connections_are_used_again(self) -> None:
        """Guards against a new connection for each request of a VM that sees
        few of them: more than a third of all requests opened one.
        """
        router = self._build(1)
        state = router._services.find(SERVICE)
        state.demand = 4
        chosen: list[str] = []
        for number in range(40):
            at = 1 + number * 0.7
            for target in state.targets.values():
                target.fleet_estimate.replace(0.03, at)
                target.local_estimate.replace(0.03, at)
            chosen.append(self._choose(router, number, at))
            router.release(
                RequestId(number), AttemptOutcome.succeeded, at + 0.2, 0.2
            )
        again = sum(
            target in chosen[max(0, number - 5) : number]
            for number, target in enumerate(chosen)
        )
        self.assertGreater(again, len(chosen) / 2)

    def test_bad_targets_take_what_has_no_room(self) -> None:
        """Guards against a full queue at the only good target while others
        may work again.
        """
        chosen = self._spread(good=1, demand=20)
        self.assertGreater(len(chosen), 4)
        self.assertLess(chosen['t0'], VMS * 0.7)
