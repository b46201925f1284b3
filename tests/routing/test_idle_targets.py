"""Tests of the log of idle targets (pattern: targets that get no requests)."""

from __future__ import annotations

import random
from collections.abc import Iterator

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.settings import (
    Addresses,
    Settings,
    VmSettings,
)
from cranberryseam.core.effects import SendMessage, WriteLog
from cranberryseam.core.events import MessageReceived, Started, TimerFired
from cranberryseam.core.notices import SlotAssigned, TargetChanged
from cranberryseam.routing import (
    ATTACHED_TUNING,
    AdmitRequest,
    AttemptOutcome,
    Router,
)
from cranberryseam.routing.idle_targets import IdleTargets
from cranberryseam.routing.messages import (
    HealthTold,
    OutcomeReport,
    ServiceView,
)
from cranberryseam.routing.target import hash_name
from cranberryseam.types import (
    AccountId,
    RequestId,
    ServiceName,
    TargetId,
    VmId,
)
from tests.attachment.attached_fleet import make_announcement

from .test_overdue import _OtherLeader

LEADER = VmId('c1')
READY = frozenset(map(TargetId, ('t1', 't2')))
PERCENTS = {hash_name('t1'): 3, hash_name('t2'): 91}


class IdleTargetsTest(TestCase):
    """The leader logs when a target becomes idle and when it is used again."""

    def setUp(self) -> None:
        super().setUp()
        self.idle = IdleTargets(ServiceName('katalogi'))
        self.logged: list[tuple[object, ...]] = []

    def _update(self, at: float, *used: str) -> None:
        for name in used:
            self.idle.record_use(TargetId(name), 1, at)
        outputs = self.idle.update(READY, at, lambda key, _: PERCENTS[key])
        self.logged += [
            (line.message, *list(line.fields.values())[1:])
            for line in outputs
            if isinstance(line, WriteLog)
        ]

    def test_idle_target_is_logged_once(self) -> None:
        """Guards against an idle target that leaves no trace in the log."""
        self._update(1, 't1', 't2')
        for at in range(2, 7):
            self._update(at, 't1')
        self._update(7, 't1', 't2')
        self._update(8, 't1', 't2')
        self.assertEqual(
            [
                ('target idle', 't2', 2.0, 91),
                ('idle target in use again', 't2', 6.0, 91),
            ],
            self.logged,
        )

    def test_service_without_requests(self) -> None:
        """Guards against lines about all targets of an unused service."""
        self._update(1, 't1', 't2')
        for at in range(2, 20):
            self._update(at)
        self.assertEqual([], self.logged)

    def test_target_that_left(self) -> None:
        """Guards against idle targets that are no longer ready."""
        self.idle.record_use(TargetId('gone'), 1, 1)
        self._update(2, 't1', 't2')
        self._update(5, 't1', 't2')
        self.assertEqual([], self.logged)


class OfferedTargetsTest(TestCase):
    """The leader offers idle targets to single VMs.

    Pattern: a target that is avoided gives no outcomes that could change this.
    """

    def _run(self, rate: int, seconds: int) -> IdleTargets:
        idle = IdleTargets(ServiceName('katalogi'))
        idle.record_use(TargetId('t2'), 1, 0)
        for at in range(seconds):
            idle.record_use(TargetId('t1'), rate, at)
            idle.update(READY, at, lambda _key, _at: 0)
        return idle

    def test_idle_target_is_offered(self) -> None:
        """Guards against an idle target that VMs don't know of."""
        idle = self._run(rate=10, seconds=2)
        self.assertEqual((hash_name('t2'),), idle.offer(1.1, _serve))

    def test_doubtful_target_is_last(self) -> None:
        """Guards against sound targets that are left out of a full list."""
        names = [TargetId(f'i{number}') for number in range(12)]
        idle = IdleTargets(ServiceName('katalogi'))
        percents = {hash_name(name): 90 for name in names}
        percents[hash_name('i11')] = 20
        for at, name in enumerate(names):
            idle.record_use(name, 1, at / 10)
        idle.update(frozenset(names), 2, lambda key, _: percents[key])
        self.assertEqual(hash_name('i11'), idle.offer(3, _serve)[0])

    @parameterized.expand([('few_requests', 1), ('many_requests', 100)])
    def test_offers_of_one_target(self, _: str, rate: int) -> None:
        """Guards against a burst of requests at an idle target."""
        idle = self._run(rate, seconds=30)
        offers = [
            name
            for number in range(100)
            for name in idle.offer(30 + number / 100, _serve)
        ]
        self.assertIn(offers.count(hash_name('t2')), {1, 2})

    @parameterized.expand([('few_requests', 1, 2), ('many_requests', 40, 10)])
    def test_offers_of_all_targets(self, _: str, rate: int, most: int) -> None:
        """Guards against too many requests at targets that may still fail."""
        idle = self._run(rate, seconds=30)
        for number in range(200):
            idle.record_use(TargetId(f'i{number}'), 0, 28)
        offers = sum(
            len(idle.offer(30 + number / 100, _serve)) for number in range(100)
        )
        self.assertLessEqual(offers, most)
        self.assertGreaterEqual(offers, most - 1)

    def test_offers_to_nearby_vms(self) -> None:
        """Guards against requests that leave their data centre needlessly."""
        idle = self._run(rate=10, seconds=2)
        self.assertEqual((), idle.offer(1.1, lambda _: False))
        self.assertEqual((hash_name('t2'),), idle.offer(1.1, _serve))

    @parameterized.expand([('failure', True, 1.5), ('success', False, 0.7)])
    def test_outcome_of_an_offer(
        self, _: str, failed: bool, least_s: float
    ) -> None:
        """Guards against offers of a target that has just failed.

        Orders were lost at targets that were offered twice a second until the
        next report of the VM.
        """
        idle = self._run(rate=100, seconds=30)
        self.assertIn(hash_name('t2'), idle.offer(30, _serve))
        idle.record_outcome(TargetId('t2'), 30.1, failed)
        offered = [
            number / 100
            for number in range(300)
            if hash_name('t2') in idle.offer(30.1 + number / 100, _serve)
        ]
        self.assertAlmostEqual(least_s, offered[0], delta=0.02)

    def test_proof(self) -> None:
        """Guards against trust in a target that hangs or wasn't used.

        A request in progress counts as use of a target, but shows nothing.
        """
        idle = IdleTargets(ServiceName('katalogi'))
        for name in ('t1', 't2'):
            idle.record_use(TargetId(name), 1, 1, succeeded=1)
        idle.record_use(TargetId('t1'), 1, 3.5, succeeded=1)
        idle.record_use(TargetId('t2'), 0, 3.5)
        idle.update(READY | {TargetId('new')}, 3.6, lambda _key, _at: 0)
        proof = idle.find_proof(4)
        self.assertEqual(0.5, proof.age_s)
        self.assertEqual(
            {hash_name('t2'), hash_name('new')}, set(proof.unproven)
        )

    def test_failing_targets_need_no_proof(self) -> None:
        """Guards against a list of targets that VMs avoid already."""
        idle = IdleTargets(ServiceName('katalogi'))
        idle.record_use(TargetId('t1'), 1, 3, succeeded=1)
        idle.update(READY, 3, lambda key, _: 90 * (key == hash_name('t2')))
        self.assertEqual((), idle.find_proof(4).unproven)

    def test_many_unproven_targets(self) -> None:
        """Guards against a view that grows with the number of targets."""
        idle = IdleTargets(ServiceName('katalogi'))
        for number in range(40):
            idle.record_use(TargetId(f't{number}'), 1, 1)
        self.assertIsNone(idle.find_proof(2))


def _serve(_: TargetId) -> bool:
    return True


class SelectionTest(TestCase):
    """A VM sends requests to the targets that the leader names as idle.

    Pattern: all VMs avoid a target after one failure.
    """

    def _build(self) -> Router:
        settings = Settings(
            VmSettings('e1', 'fleet', 'dc-1'), Addresses(''), ('fleet',)
        )
        router = Router(
            settings, _OtherLeader(), random.Random(1), ATTACHED_TUNING
        )
        router.handle(Started(0, 0))
        for number in (1, 2):
            announcement = make_announcement(f't{number}', port=number)
            router.handle(TargetChanged(0, announcement))
        return router

    def _select(
        self, router: Router, numbers: range, *, retriable: bool
    ) -> Iterator[str]:
        for number in numbers:
            request = AdmitRequest(
                RequestId(number),
                ServiceName('katalogi'),
                AccountId('asha'),
                weight=1,
                lane='interactive',
                deadline_at=20,
                retriable=retriable,
            )
            (assigned,) = router.admit(request, 1.5)
            assert isinstance(assigned, SlotAssigned)
            yield assigned.target
            router.release(
                RequestId(number), AttemptOutcome.cancelled, 1.5, 0.1
            )

    def _offer(self, router: Router, percent: int) -> None:
        """Make ``t2`` an idle target with a failure probability."""
        healthy = HealthTold(((hash_name('t1'), 1), (hash_name('t2'), percent)))
        router.handle(MessageReceived(1.4, LEADER, healthy))
        list(self._select(router, range(1, 2), retriable=False))
        (report,) = [
            output.message
            for output in router.handle(TimerFired(1.45, 'routing', 'tick'))
            if isinstance(output, SendMessage)
            and isinstance(output.message, OutcomeReport)
        ]
        view = ServiceView(
            report.service,
            report.region,
            sequence=1,
            report_sent_at=report.sent_at,
            ejected=(),
            loads=(),
            idle=(hash_name('t2'),),
        )
        router.handle(MessageReceived(1.5, LEADER, view))

    @parameterized.expand(
        [
            ('retriable', True, 85, True),
            ('retriable_and_failing', True, 97, False),
            ('final', False, 65, True),
            ('final_and_failing', False, 85, False),
        ]
    )
    def test_idle_target(
        self, _: str, retriable: bool, percent: int, used: bool
    ) -> None:
        """Guards against targets without requests, and against requests that
        are lost at a target that is failing.
        """
        router = self._build()
        self._offer(router, percent)
        selected = list(
            self._select(router, range(10, 20), retriable=retriable)
        )
        self.assertEqual(used, 't2' in selected)

    def test_retriable_requests_go_first(self) -> None:
        """Guards against lost orders at a target that reads could try."""
        router = self._build()
        self._offer(router, 65)
        router._services.find('katalogi').retriable_at = 1.0
        selected = list(self._select(router, range(10, 20), retriable=False))
        self.assertNotIn('t2', selected)

    def test_one_request_per_view(self) -> None:
        """Guards against a burst of requests of one VM at an idle target."""
        router = self._build()
        self._offer(router, 85)
        selected = list(self._select(router, range(10, 30), retriable=True))
        self.assertEqual(1, selected.count('t2'))

    def test_outcome_of_another_vm(self) -> None:
        """Guards against further requests after the target has answered."""
        router = self._build()
        self._offer(router, 85)
        outcome = HealthTold(((hash_name('t2'), 85),))
        router.handle(MessageReceived(1.5, LEADER, outcome))
        selected = list(self._select(router, range(10, 20), retriable=True))
        self.assertNotIn('t2', selected)
