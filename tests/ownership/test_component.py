"""Tests of leader election in a replica group on simulated VMs."""

from __future__ import annotations

from unittest import mock

import testtools
from parameterized import parameterized

from cranberryseam.core import events
from cranberryseam.core.notices import LeadershipChanged
from cranberryseam.ownership import member
from cranberryseam.ownership.directory import LeaderDirectory
from cranberryseam.ownership.messages import LeaderTold, LeaseGiven
from cranberryseam.ownership.voter import LEASE_MARGIN_S, LEASE_S, Voter
from cranberryseam.types import Output

from .fleet import LEADER_ELECTED_S, Fleet, Network

_GROUP = 'a-g'


def _run_with_check(fleet: Fleet, until: float) -> int:
    """Advance in small steps; return the most concurrent leaders seen."""
    max_leaders = 0
    while fleet.now < until:
        fleet.run_until(fleet.now + 0.05)
        max_leaders = max(max_leaders, len(fleet.leaders(_GROUP)))
    return max_leaders


def _inject_faults(fleet: Fleet) -> None:
    """Inject one random fault or heal the network, and schedule the next."""
    if not fleet.faults_enabled:
        return
    vm = fleet.rng.choice(list(fleet.vms))
    other = fleet.rng.choice(list(fleet.vms))
    match fleet.rng.randrange(6):
        case 0:
            fleet.restart(vm, fleet.rng.random() * 0.5)
        case 1:
            fleet.freeze(vm, fleet.rng.random() * 8)
        case 2:
            fleet.isolate(vm, receives=False, sends=True)
        case 3:
            fleet.cut(vm, other)
        case 4:
            fleet.handle(vm, events.StopRequested)
        case _:
            fleet.heal()
    fleet.schedule(
        fleet.now + fleet.rng.random() * 3, lambda: _inject_faults(fleet)
    )


class LeadershipTest(testtools.TestCase):
    """Guards against two leaders, no leader and flapping leaders."""

    def test_fresh_group(self) -> None:
        """All voters abstain after a start; then the first member leads."""
        fleet = Fleet(1, {'a': 3})
        fleet.run_until(5.4)
        self.assertEqual(fleet.leaders(_GROUP), [])
        fleet.run_until(LEADER_ELECTED_S)
        self.assertEqual(fleet.leaders(_GROUP), ['a0'])

    def test_healthy_group_keeps_leader(self) -> None:
        """A preferred member that restarts doesn't take over."""
        fleet = Fleet(2, {'a': 3})
        fleet.run_until(LEADER_ELECTED_S)
        fleet.restart('a0')
        fleet.run_until(40)
        leader = fleet.leaders(_GROUP)
        self.assertNotEqual(leader, ['a0'])
        fleet.run_until(200)
        self.assertEqual(fleet.leaders(_GROUP), leader)

    @parameterized.expand(
        [('deaf', False, True), ('mute', True, False), ('both', False, False)]
    )
    def test_cut_leader(self, _name: str, receives: bool, sends: bool) -> None:
        """A leader that is disconnected, even in one direction, is replaced."""
        fleet = Fleet(3, {'a': 3})
        fleet.run_until(LEADER_ELECTED_S)
        fleet.isolate('a0', receives=receives, sends=sends)
        self.assertLessEqual(_run_with_check(fleet, LEADER_ELECTED_S + 12), 1)
        self.assertIn(fleet.leaders(_GROUP), (['a1'], ['a2']))

    def test_deaf_follower_takes_no_vote(self) -> None:
        """A member that can't receive messages must not hold votes."""
        fleet = Fleet(4, {'a': 3})
        fleet.run_until(LEADER_ELECTED_S)
        fleet.isolate('a1', receives=False, sends=True)
        fleet.restart('a0', 60)
        fleet.restart('a2')
        fleet.run_until(50)
        self.assertEqual(fleet.leaders(_GROUP), [])
        fleet.heal()
        fleet.run_until(60)
        self.assertEqual(len(fleet.leaders(_GROUP)), 1)

    def test_frozen_leader(self) -> None:
        """A lease expires during a freeze, also for the first query after."""
        fleet = Fleet(5, {'a': 3})
        fleet.run_until(LEADER_ELECTED_S)
        vm = fleet.vms['a0']
        resumed_at = vm.local_time(fleet.now + 6)
        self.assertFalse(vm.components[0].is_leader('a', 'account', resumed_at))
        fleet.freeze('a0', 20)
        self.assertLessEqual(_run_with_check(fleet, LEADER_ELECTED_S + 30), 1)
        self.assertNotEqual(fleet.leaders(_GROUP), ['a0'])

    def test_slow_votes(self) -> None:
        """Leases start when votes are requested, so late votes add no time."""
        self.assertEqual(_run_slow_votes(), 1)

    def test_handover(self) -> None:
        """After a planned stop another member leads within a second."""
        fleet = Fleet(6, {'a': 3})
        fleet.run_until(LEADER_ELECTED_S)
        fleet.handle('a0', events.StopRequested)
        fleet.run_until(LEADER_ELECTED_S + 1)
        self.assertEqual(fleet.leaders(_GROUP), ['a1'])

    def test_terms_increase(self) -> None:
        """Terms increase even after a restart of all members."""
        fleet = Fleet(7, {'a': 3})
        terms = []
        for number in range(4):
            fleet.run_until(LEADER_ELECTED_S * 2 * (number + 1))
            leader = fleet.vms[fleet.leaders(_GROUP)[0]]
            at = leader.local_time(fleet.now)
            terms.append(leader.components[0].term_of(_GROUP, at))
            for name in fleet.vms:
                fleet.restart(name)
        self.assertEqual(terms, sorted(set(terms)))

    def test_outsider_learns_leader(self) -> None:
        """A VM outside the group queries its leader, again after a change."""
        fleet = Fleet(8, {'a': 3, 'b': 3})
        fleet.run_until(LEADER_ELECTED_S)
        outsider = fleet.vms['b0'].components[0]
        self.assertIsNone(outsider.leader_of('a', 'account'))
        for expected in ('a0', 'a1'):
            fleet.call(
                'b0',
                lambda vm: outsider.query_leader(
                    _GROUP, vm.local_time(fleet.now)
                ),
            )
            fleet.run_until(fleet.now + 1)
            self.assertEqual(outsider.leader_of('a', 'account'), expected)
            fleet.handle('a0', events.StopRequested)
            fleet.run_until(fleet.now + 2)
        changes = [
            notice.leader
            for _, vm, notice in fleet.notices
            if vm == 'b0'
            and isinstance(notice, LeadershipChanged)
            and notice.group == _GROUP
        ]
        self.assertEqual(changes, ['a0', 'a1'])

    def test_silent_group(self) -> None:
        """An unreachable group must not cost ten queries a second."""
        fleet = Fleet(8, {'a': 3, 'b': 3})
        fleet.run_until(LEADER_ELECTED_S)
        outsider = fleet.vms['b0'].components[0]
        query_times = [
            at / 20
            for at in range(200)
            if outsider.query_leader(
                _GROUP, fleet.vms['b0'].local_time(at / 20)
            )
        ]
        self.assertLess(len(query_times), 12)
        self.assertGreater(query_times[-1], 8)

    def test_members_disagree(self) -> None:
        """Answers that name an old leader must not make an outsider alternate.

        Each change of the leader resends the pending messages, and each of
        those is answered with a leader: this led to a message storm.
        """
        directory = LeaderDirectory()
        updates = [
            directory.update(LeaderTold(_GROUP, term, leader))
            for term, leader in (
                (5, 'a0'),
                (7, 'a1'),
                (5, 'a0'),
                (7, 'a1'),
                (7, ''),
                (8, 'a1'),
                (9, 'a2'),
            )
        ]
        expected = [True, True, False, False, False, False, True]
        self.assertEqual(updates, expected)

    def test_higher_term_heard(self) -> None:
        """A higher term from a probe must not end the leader's renewals."""
        voter = Voter(0)
        self.assertTrue(voter.grant('a0', 5, 1))
        voter.term = 9
        self.assertTrue(voter.grant('a0', 5, 2))
        self.assertFalse(voter.grant('a1', 8, 20))

    def test_region_without_groups(self) -> None:
        """A region without groups has no owner and raises no exception."""
        fleet = Fleet(9, {'a': 3})
        ownership = fleet.vms['a0'].components[0]
        self.assertEqual(ownership.group_of('x', 'account'), '')
        self.assertIsNone(ownership.leader_of('x', 'account'))
        self.assertFalse(ownership.is_leader('x', 'account', 0))

    @parameterized.expand([(seed,) for seed in range(40)])
    def test_disturbed_group(self, seed: int) -> None:
        """There are never two leaders, and one soon after the faults end."""
        fleet = _make_disturbed(seed)
        self.assertLessEqual(_run_with_check(fleet, 60), 1)
        fleet.faults_enabled = False
        fleet.network = Network()
        for name in fleet.vms:
            fleet.restart(name)
        fleet.run_until(60 + LEADER_ELECTED_S + 9)
        self.assertEqual(len(fleet.leaders(_GROUP)), 1)


class FaultTest(testtools.TestCase):
    """Checks that the tests above detect known faults."""

    @parameterized.expand(
        [
            ('no_abstention', 0.0),
            ('short_abstention', 1.0),
        ]
    )
    def test_restarted_voter(self, _name: str, s: float) -> None:
        """A voter that doesn't abstain after a restart allows two leaders."""

        def make_voter(abstains_until: float) -> Voter:
            return Voter(abstains_until - LEASE_S - LEASE_MARGIN_S + s)

        with mock.patch.object(member, 'Voter', make_voter):
            self.assertTrue(_find_double_leaders(200))

    def test_lease_counted_from_receipt(self) -> None:
        """A leader that starts its lease at the answer outlives its votes."""

        def receive_vote(
            voted: member.Member, message: LeaseGiven, at: float
        ) -> list[Output]:
            late = LeaseGiven(message.group, message.term, at)
            return original(voted, late, at)

        original = member.Member._take_vote
        with mock.patch.object(member.Member, '_take_vote', receive_vote):
            self.assertEqual(_run_slow_votes(), 2)


def _run_slow_votes() -> int:
    """Return the most concurrent leaders while votes arrive 4 s late."""
    fleet = Fleet(10, {'a': 3})
    fleet.run_until(LEADER_ELECTED_S)
    for voter in ('a1', 'a2'):
        fleet.network.extra_delay_s[voter, 'a0'] = 4
    fleet.run_until(LEADER_ELECTED_S + 10)
    fleet.isolate('a0', receives=True, sends=False)
    return _run_with_check(fleet, LEADER_ELECTED_S + 25)


def _make_disturbed(seed: int) -> Fleet:
    fleet = Fleet(seed, {'a': 3}, drift=0.01)
    fleet.network.loss = 0.1
    fleet.network.duplication = 0.1
    fleet.network.long_delay = 0.1
    if seed % 2:
        fleet.network.long_delay = 0.4
        fleet.network.max_delay_s = 8
    fleet.schedule(LEADER_ELECTED_S, lambda: _inject_faults(fleet))
    return fleet


def _find_double_leaders(seeds: int) -> bool:
    """Return whether any seed has two leaders at once; stops at the first."""
    return any(
        _run_with_check(_make_disturbed(seed), 60) > 1 for seed in range(seeds)
    )
