"""Tests of failure detection, caps per account, ejections and trials."""

from __future__ import annotations

import random

import testtools
from parameterized import parameterized

from cranberryseam.core.events import TargetState
from cranberryseam.routing.accounts import AccountEvidence
from cranberryseam.routing.evidence_pool import EvidencePool
from cranberryseam.routing.floor import measure_capacity
from cranberryseam.routing.messages import (
    EjectedRow,
    OutcomeReport,
    OutcomeRow,
    ServiceView,
)
from cranberryseam.routing.model import Tuning
from cranberryseam.routing.places import VmPlaces
from cranberryseam.routing.target import hash_name
from cranberryseam.routing.views import RegionView

from .routing_support import announce

NAMES = tuple(f't{number}' for number in range(8))
VMS = tuple(f'v{number}' for number in range(6))


class PoolDriver:
    """Sends reports to an evidence pool twice a second."""

    def __init__(self, floor: float = 0.5) -> None:
        self.pool = EvidencePool(
            'work', Tuning(), random.Random(1), 0, VmPlaces()
        )
        self.pool.floor = floor
        self.at = 0.0
        self.accounts = ('a', 'b', 'c', 'd')
        for name in NAMES:
            self.pool.update_target(announce(name), False, -100)

    def run(self, seconds: float, **faults: object) -> list[str]:
        """Report successes, and bad outcomes for the given targets and VMs."""
        ejected: list[str] = []
        for _ in range(int(seconds * 2)):
            self.at += 0.5
            for number, vm in enumerate(VMS):
                rows = tuple(self.row(name, number, faults) for name in NAMES)
                report = OutcomeReport('work', 'r', self.at, rows)
                self.pool.receive(vm, report, self.at)
            ejected.extend(self.pool.decide(self.at).ejected)
        return ejected

    def row(self, name: str, number: int, faults: dict) -> OutcomeRow:
        is_faulty = name in faults.get('targets', ())
        if number not in faults.get('vms', range(len(VMS))):
            is_faulty = False
        failed = (
            2 if is_faulty and faults.get('kind', 'failed') == 'failed' else 0
        )
        slow = 2 if is_faulty and faults.get('kind') == 'slow' else 0
        account = hash_name(faults.get('account', self.accounts[number % 4]))
        return OutcomeRow(
            hash_name(name),
            2 - failed,
            failed,
            slow,
            faults.get('shed', 0)
            if is_faulty
            else faults.get('shed_by_all', 0),
            100,
            account if failed else 0,
            failed,
        )


class DetectionTest(testtools.TestCase):
    """Guards against missed faults and against false ejections."""

    @parameterized.expand(
        [
            ('healthy', {}, set()),
            ('failing', {'targets': {'t1'}}, {'t1'}),
            ('slow', {'targets': {'t1'}, 'kind': 'slow'}, {'t1'}),
            (
                'slow_and_shedding_alone_is_slow',
                {'targets': {'t1'}, 'kind': 'slow', 'shed': 4},
                {'t1'},
            ),
            (
                'slow_while_all_shed_is_overload',
                {'targets': {'t1'}, 'kind': 'slow', 'shed_by_all': 4},
                set(),
            ),
            ('shedding_alone_is_no_fault', {'shed_by_all': 4}, set()),
            ('two', {'targets': {'t1', 't2'}}, {'t1', 't2'}),
            ('one_vm_only', {'targets': {'t1'}, 'vms': {0}}, set()),
            ('all', {'targets': set(NAMES)}, set()),
            ('most', {'targets': set(NAMES[:6])}, set()),
        ]
    )
    def test_found(self, _name: str, faults: dict, expected: set) -> None:
        driver = PoolDriver()
        driver.run(10)
        self.assertEqual(expected, set(driver.run(7, **faults)))

    def test_nothing_in_the_first_lease(self) -> None:
        driver = PoolDriver()
        self.assertEqual([], driver.run(5, targets={'t1'}))

    def test_cold_start_has_a_grace(self) -> None:
        driver = PoolDriver()
        driver.run(10)
        driver.pool.update_target(announce('t1'), False, driver.at)
        self.assertEqual([], driver.run(9, targets={'t1'}))
        self.assertEqual([], driver.run(5), 'ejected because of its cold start')
        self.assertEqual(['t1'], driver.run(5, targets={'t1'}))

    @parameterized.expand([(0.5, 4), (0.7, 2), (1.0, 0)])
    def test_floor(self, floor: float, max_ejected: int) -> None:
        driver = PoolDriver(floor)
        driver.run(10)
        driver.run(7, targets=set(NAMES[:4]))
        self.assertEqual(max_ejected, len(driver.pool.ejections.active))

    def test_ejections_are_lifted_when_others_leave(self) -> None:
        driver = PoolDriver()
        driver.run(10)
        driver.run(6, targets={'t0', 't1', 't2', 't3'})
        gone = announce('t7', state=TargetState.draining)
        driver.pool.update_target(gone, False, -100)
        driver.run(0.5, targets={'t0', 't1', 't2', 't3'})
        self.assertEqual(3, len(driver.pool.ejections.active))

    def test_ejections_are_lifted_when_the_rest_fails(self) -> None:
        driver = PoolDriver()
        driver.run(10)
        driver.run(6, targets={'t1'})
        driver.run(3, targets=set(NAMES))
        self.assertEqual({}, driver.pool.ejections.active)

    def test_repeated_reports_count_once(self) -> None:
        driver = PoolDriver()
        driver.run(10)
        row = OutcomeRow(hash_name('t1'), 0, 5, 0, 0, 0)
        report = OutcomeReport('work', 'r', driver.at + 0.1, (row,))
        for _ in range(20):
            for vm in VMS[:2]:
                driver.pool.receive(vm, report, driver.at + 0.1)
        pending = driver.pool.targets['t1'].rows
        self.assertEqual(2, len(pending))

    def test_trial_grows_and_then_returns_the_target(self) -> None:
        driver = PoolDriver()
        driver.run(10)
        driver.run(6, targets={'t1'})
        ejection = driver.pool.ejections.active['t1']
        driver.run(ejection.trial_starts_at - driver.at)
        self.assertEqual(1, len(ejection.trial_vms))
        driver.run(0.5)
        self.assertEqual(2, len(ejection.trial_vms))
        driver.run(4)
        self.assertEqual({}, driver.pool.ejections.active)

    def test_flapping_target_stays_out_longer(self) -> None:
        driver = PoolDriver()
        driver.run(10)
        outs = []
        for _ in range(8):
            driver.run(7, targets={'t1'})
            ejection = driver.pool.ejections.active['t1']
            outs.append(ejection.trial_starts_at - ejection.changed_at)
            while ejection.stage == 0:
                driver.run(0.5)
            driver.run(5)
        self.assertEqual([8, 16, 32, 64, 128, 256, 300, 300], outs)


class AccountTest(testtools.TestCase):
    """Guards against ejections caused by the requests of one account."""

    def test_failures_at_many_targets_point_at_the_account(self) -> None:
        evidence = AccountEvidence()
        for key in range(40):
            evidence.add_outcome('good', key % 5, False)
        counted = [
            evidence.add_outcome('bad', key % 5, True) for key in range(20)
        ]
        self.assertEqual(3, sum(counted))

    def test_failures_at_one_target_are_evidence(self) -> None:
        evidence = AccountEvidence()
        for key in range(40):
            evidence.add_outcome('good', key % 5, False)
        self.assertTrue(
            all(evidence.add_outcome('other', 1, True) for _ in range(20))
        )

    def test_one_account_is_capped_per_decision(self) -> None:
        capped, free = PoolDriver(), PoolDriver()
        for driver in (capped, free):
            driver.run(10)
        capped.run(0.5, targets={'t1'}, account='a')
        free.run(0.5, targets={'t1'})
        self.assertLess(
            capped.pool.targets['t1'].failed.total,
            free.pool.targets['t1'].failed.total / 2,
        )


class ViewTest(testtools.TestCase):
    """Guards against ejections that outlast their lease."""

    def make(
        self, sequence: int, report_sent_at: float, *names: str
    ) -> ServiceView:
        rows = tuple(EjectedRow(name, 'failing', 30, False) for name in names)
        return ServiceView('work', 'r', sequence, report_sent_at, rows, ())

    def test_lease_counts_from_the_report(self) -> None:
        view = RegionView(5)
        view.record_report(10)
        self.assertTrue(view.accept(14, self.make(1, 10, 't')))
        self.assertEqual({'t'}, set(view.ejected_at(14.9)))
        self.assertEqual({}, view.ejected_at(15))

    @parameterized.expand(
        [
            ('late', 15.1, 10, 2),
            ('reordered', 12.5, 10, 1),
            ('repeated', 12.5, 12, 2),
            ('never_asked', 12.5, 12.2, 9),
        ]
    )
    def test_refused(
        self, _name: str, at: float, report_sent_at: float, sequence: int
    ) -> None:
        view = RegionView(5)
        view.record_report(10)
        view.record_report(12)
        self.assertTrue(view.accept(12.1, self.make(2, 12)))
        self.assertFalse(
            view.accept(at, self.make(sequence, report_sent_at, 't'))
        )
        self.assertEqual({}, view.ejected_at(at))


class CapacityTest(testtools.TestCase):
    """Guards the rounding of the floor and the count of healthy slots."""

    @parameterized.expand(
        [
            (3, 0.5, 1, True),
            (3, 0.7, 1, False),
            (10, 0.7, 3, True),
            (1, 0.0, 1, False),
            (2, 0.0, 1, True),
        ]
    )
    def test_rounds_up(
        self, count: int, floor: float, lost: int, allowed: bool
    ) -> None:
        known = [(announce(f't{n}', slots=1), False) for n in range(count)]
        held = {f't{n}' for n in range(lost - 1)}
        capacity = measure_capacity(known, held)
        self.assertEqual(allowed, capacity.allows_loss(1, floor))

    def test_only_ready_targets_are_healthy(self) -> None:
        known = [
            (announce('t'), False),
            (announce('u', state=TargetState.cold), False),
            (announce('v', state=TargetState.draining), False),
            (announce('w'), True),
            (announce('x'), False),
        ]
        capacity = measure_capacity(known, {'x'})
        self.assertEqual((20, 4), (capacity.announced, capacity.healthy))
