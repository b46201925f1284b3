"""Tests of failure detection and of the contact times from round trips."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.core.notices import (
    RegionContactUpdated,
    RoundTripCompleted,
    TargetChanged,
)
from cranberryseam.fleet.detector import FailureDetector
from cranberryseam.fleet.members import MemberTable
from cranberryseam.fleet.messages import (
    Ack,
    MemberRecord,
    Reports,
    SenderState,
    Updates,
)
from cranberryseam.fleet.outbox import Outbox

from .fleet_fixtures import announce, build_network
from .fleet_network import Network, Vm

STATE = SenderState(1, 1, 0, False, 0, 0, 0)


class EvidenceTest(testtools.TestCase):
    """Guards against late answers that count as recent contact."""

    def setUp(self) -> None:
        super().setUp()
        self.outbox = Outbox()
        settings = Network(2, 1).settings('vm0000')
        members = MemberTable(settings, self.outbox)
        self.detector = FailureDetector(members, self.outbox)
        self.outbox.now = 1.0
        self.number = self.detector.add_ping('b')
        self.outbox.now = 7.0

    def _ack(self) -> Ack:
        regions = (('aru', 0.5),)
        return Ack(self.number, STATE, Updates(), Reports(), regions)

    def test_counts_from_sending(self) -> None:
        self.detector.match_ack('b', 'dar', self._ack())
        round_trip, regions = self.outbox.drain()
        self.assertEqual(round_trip, RoundTripCompleted(7, 'b', 'dar', 1))
        heard = {'aru': 0.5, 'dar': 1.0}
        self.assertIsInstance(regions, RegionContactUpdated)
        self.assertEqual(dict(regions.last_contact), heard)

    def test_wrong_sender_and_repetition(self) -> None:
        self.detector.match_ack('c', 'dar', self._ack())
        self.assertEqual(self.outbox.drain(), [])
        self.detector.match_ack('b', 'dar', self._ack())
        self.outbox.drain()
        self.detector.match_ack('b', 'dar', self._ack())
        self.assertEqual(self.outbox.drain(), [])

    def test_ages_are_rounded_up(self) -> None:
        self.detector.match_ack('b', 'dar', self._ack())
        self.outbox.now = 7.01
        ages = dict(self.detector.region_contact_ages())
        self.assertEqual(ages, {'aru': 6.6, 'dar': 6.1})


class SuspicionTest(testtools.TestCase):
    """Guards against a VM that suspects others after its own pause."""

    @parameterized.expand([('on_time', 2.0, ['b']), ('late', 2.9, [])])
    def test_probe(self, _name: str, at: float, suspected: list) -> None:
        outbox = Outbox()
        members = MemberTable(Network(2, 1).settings('vm0000'), outbox)
        detector = FailureDetector(members, outbox)
        members.merge(MemberRecord('b', '', 'dar', 'd', (), 1, 0))
        outbox.now = 1.0
        detector.start_period()
        detector.add_probe('b')
        number = detector.add_ping('c')
        ack = Ack(number, STATE, Updates(), Reports(), ())
        detector.match_ack('c', 'dar', ack)
        outbox.now = at
        self.assertEqual(detector.start_period(), suspected)


class PauseTest(testtools.TestCase):
    """Guards against an origin that expires targets after its own pause."""

    def test_waits_for_queued_announcements(self) -> None:
        network = build_network(8, 41)
        announce(network, 'vm0007', 1)
        network.freeze('vm0007', 4)
        network.run(4.02)
        announce(network, 'vm0007', 2)
        network.run(1)
        silent = [
            notice
            for _, name, notice in network.changes
            if isinstance(notice, TargetChanged)
            and notice.silent
            and name == 'vm0007'
        ]
        self.assertEqual(silent, [])


class RegionIsolationTest(testtools.TestCase):
    """Guards against readiness errors with ``keys.isolation = "region"``.

    A VM must not become unready without a partition, and all VMs of a region
    that is cut off must become unready.
    """

    def test_only_the_cut_off_region_refuses(self) -> None:
        network = build_network(24, 42, loss=0.01, isolation='region')
        unready: set[str] = set()

        def observe(name: str, vm: Vm) -> None:
            if not vm.ready:
                unready.add(name)

        network.observer = observe
        network.run(20)
        self.assertEqual(unready, set())
        inside = {
            name for name in network.names if network.region(name) == 'mwz'
        }
        for name in inside:
            for other in set(network.names) - inside:
                network.block_link(name, other)
        network.run(8)
        self.assertEqual(unready, inside)
