"""Tests of the cost of leaving a data centre (pattern: dear links)."""

from __future__ import annotations

import random
from collections import Counter

import attrs
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.places import Distance
from cranberryseam.configuration.settings import (
    Addresses,
    Settings,
    TransferSettings,
    VmSettings,
)
from cranberryseam.core.events import Started, TargetState
from cranberryseam.core.notices import SlotAssigned, TargetChanged
from cranberryseam.routing import (
    ATTACHED_TUNING,
    AdmitRequest,
    AttemptOutcome,
    Router,
)
from cranberryseam.routing.transfer_costs import TransferCosts
from cranberryseam.types import AccountId, RequestId, ServiceName
from tests.attachment.attached_fleet import make_announcement

from .test_overdue import _OtherLeader

SERVICE = ServiceName('katalogi')
PLACES = (('dc-1', 'dar'), ('dc-2', 'dar'), ('dc-3', 'aru'))
DEAR = TransferSettings(data_centre_per_mb=5000, region_per_mb=5000)
FREE = TransferSettings(data_centre_per_mb=0, region_per_mb=0)
REQUESTS = 40


class MeasureTest(TestCase):
    """The cost follows the bytes, within the bound for callers."""

    @parameterized.expand(
        [
            ('free', FREE, 5000, (0, 0.1, 1)),
            ('small', TransferSettings(20, 40), 500, (0, 0.2, 1.2)),
            ('large', TransferSettings(20, 40), 5500, (0, 0.7, 1.6)),
            ('dear', DEAR, 500_000, (0, 0.7, 1.6)),
        ]
    )
    def test_costs(
        self,
        _: str,
        settings: TransferSettings,
        body_bytes: int,
        expected: tuple[float, ...],
    ) -> None:
        costs = TransferCosts.build(settings).list_by_distance(body_bytes)
        for cost, expected_cost in zip(costs, expected, strict=True):
            self.assertAlmostEqual(expected_cost, cost)

    def test_order(self) -> None:
        """Guards against another region that is cheaper than the own one."""
        for per_mb in (0, 1, 50, 5000):
            settings = TransferSettings(per_mb, 0)
            costs = TransferCosts.build(settings)
            for body_bytes in (0, 1000, 1_000_000):
                measured = costs.list_by_distance(body_bytes)
                self.assertEqual(sorted(measured), list(measured))
                self.assertLess(measured[Distance.own_region], 1)


class CallersFirstTest(TestCase):
    """No caller waits or is refused for the sake of bytes."""

    def _build(self, transfer: TransferSettings, **local: object) -> Router:
        settings = Settings(
            VmSettings('e1', 'fleet', 'dc-1'),
            Addresses(''),
            ('fleet',),
            places=PLACES,
            transfer=transfer,
        )
        router = Router(
            settings, _OtherLeader(), random.Random(1), ATTACHED_TUNING
        )
        router.handle(Started(0, 0))
        for number, (place, _) in enumerate(PLACES):
            announcement = attrs.evolve(
                make_announcement(f't-{place}', port=number + 1),
                data_centre=place,
                **(local if place == 'dc-1' else {}),
            )
            router.handle(TargetChanged(0, announcement))
        return router

    def _count(
        self, router: Router, *, percent: int = 1, hold: bool = False
    ) -> Counter[str]:
        chosen: Counter[str] = Counter()
        state = router._services.find(SERVICE)
        local = state.targets['t-dc-1']
        for number in range(REQUESTS):
            at = 1 + number / 10
            for target in state.targets.values():
                target.fleet_estimate.replace(0.02, at)
                target.local_estimate.replace(0.02, at)
            local.fleet_estimate.replace(percent / 100, at)
            request = AdmitRequest(
                RequestId(number + 1),
                SERVICE,
                AccountId('asha'),
                weight=1,
                lane='interactive',
                deadline_at=at + 10,
                retriable=False,
                body_bytes=500_000,
            )
            (assigned,) = router.admit(request, at)
            assert isinstance(assigned, SlotAssigned)
            chosen[assigned.target] += 1
            if not (hold and assigned.target == 't-dc-1'):
                router.release(
                    request.request_id, AttemptOutcome.succeeded, at, 0.1
                )
        return chosen

    def test_local_target_with_room(self) -> None:
        """Guards against bytes that no caller needs."""
        chosen = self._count(self._build(DEAR))
        self.assertEqual(REQUESTS, chosen['t-dc-1'])

    @parameterized.expand([('failing', 60), ('suspect', 25)])
    def test_gray_local_target(self, _: str, percent: int) -> None:
        """Guards against answers that are lost to save bytes."""
        chosen = self._count(self._build(DEAR), percent=percent)
        self.assertEqual(0, chosen['t-dc-1'])

    def test_full_local_target(self) -> None:
        """Guards against a wait for a slot while the region has room."""
        chosen = self._count(self._build(DEAR), hold=True)
        self.assertEqual(8, chosen['t-dc-1'])
        self.assertEqual(REQUESTS - 8, chosen['t-dc-2'])

    def test_leaving_local_target(self) -> None:
        """Guards against requests to a target that leaves."""
        router = self._build(DEAR, state=TargetState.draining)
        self.assertEqual(0, self._count(router)['t-dc-1'])
