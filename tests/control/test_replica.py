"""Tests of elections, commands and catching up in virtual time."""

from __future__ import annotations

import statistics

import testtools
from parameterized import parameterized

from cranberryseam.configuration.model import Account, Lists
from cranberryseam.core.commands import (
    ApplyLists,
    CommandAnswer,
    GrantKey,
    KeyExists,
    NotInitialised,
    NotLeader,
    OutcomeUnknown,
    ShowControl,
    UnknownName,
    VersionConflict,
    WithdrawKey,
)
from cranberryseam.core.events import StopRequested
from cranberryseam.core.notices import KeysWithdrawn

from .simulation import Simulation

LISTS = Lists(accounts=(Account('x', 'p'),))


def make_group(seed: int = 1, names: str = 'abc') -> Simulation:
    """Return an initialised group whose lists contain one account."""
    simulation = Simulation(seed, tuple(names))
    simulation.initialise()
    simulation.execute(simulation.leader(), ApplyLists('lists', 0, LISTS))
    return simulation


def isolate(simulation: Simulation, name: str, *, outwards: bool) -> None:
    """Cut all links to a replica, and optionally those from it."""
    others = [each for each in simulation.vms if each != name]
    simulation.network.cut_links = {(each, name) for each in others}
    if outwards:
        simulation.network.cut_links |= {(name, each) for each in others}


class ElectionTest(testtools.TestCase):
    """Guards against a group that remains without a leader."""

    @parameterized.expand([('three', 'abc'), ('five', 'abcde')])
    def test_leader_within_two_seconds_of_crash(self, _name, names) -> None:
        times = []
        for seed in range(60):
            simulation = make_group(seed, names)
            simulation.run(seed / 100)
            simulation.crash(simulation.leader())
            crashed_at = simulation.now
            simulation.run_until(lambda s=simulation: s.leader() is not None)
            times.append(simulation.now - crashed_at)
        self.assertLess(max(times), 2)
        self.assertLess(statistics.median(times), 1)

    @parameterized.expand([('one_way', False), ('both_ways', True)])
    def test_isolated_leader_steps_down(self, _name, outwards) -> None:
        simulation = make_group()
        old = simulation.leader()
        command_id = simulation.send_command(old, WithdrawKey('k', 'none'))
        isolate(simulation, old, outwards=outwards)
        simulation.run(0.7)
        self.assertEqual(simulation.answers[command_id][1], OutcomeUnknown())
        shown = simulation.execute(old, ShowControl()).body
        self.assertEqual(
            (shown['role'], shown['quorum_recent']), ('follower', False)
        )
        simulation.run(1.3)
        self.assertNotIn(simulation.leader(), {None, old})

    @parameterized.expand([('one_way', False), ('both_ways', True)])
    def test_returning_replica_keeps_leader(self, _name, outwards) -> None:
        simulation = make_group()
        leader = simulation.leader()
        term = simulation.vms[leader].context.term
        absent = next(name for name in 'abc' if name != leader)
        isolate(simulation, absent, outwards=outwards)
        simulation.run(60)
        shown = simulation.execute(absent, ShowControl()).body
        self.assertFalse(shown['quorum_recent'])
        simulation.network.cut_links.clear()
        simulation.run(2)
        self.assertEqual(simulation.vms[leader].context.term, term)
        self.assertTrue(
            simulation.execute(absent, ShowControl()).body['quorum_recent']
        )

    def test_restart_alone_confirms_no_entry(self) -> None:
        """A single replica must not report its old state as confirmed.

        Other VMs would otherwise take an outdated version for the latest.
        """
        simulation = make_group()
        simulation.run(1)
        for name in simulation.vms:
            simulation.crash(name)
        confirmed_versions: list[int] = []
        simulation._check_commit = lambda _vm, version, _entry: (
            confirmed_versions.append(version)
        )
        simulation.start('a')
        simulation.run(3)
        self.assertEqual(confirmed_versions, [])
        self.assertGreater(simulation.vms['a'].committed, 0)

    def test_stop_hands_leadership_over(self) -> None:
        simulation = make_group()
        old = simulation.leader()
        simulation.handle(old, StopRequested(simulation.now))
        simulation.run(0.3)
        self.assertNotIn(simulation.leader(), {None, old})

    def test_frozen_leader_answers_unknown(self) -> None:
        simulation = make_group()
        old = simulation.leader()
        simulation.vms[old].frozen_until = simulation.now + 5
        simulation.run(5.2)
        self.assertNotIn(simulation.leader(), {None, old})
        answer = simulation.execute(old, WithdrawKey('k', 'none'))
        self.assertEqual(answer, NotLeader(simulation.leader()))


class CommandTest(testtools.TestCase):
    """Guards against lost, duplicated and conflicting changes."""

    def test_conflict_and_repetition(self) -> None:
        simulation = make_group()
        leader = simulation.leader()
        first = ApplyLists('second', 2, Lists())
        for command, expected in (
            (first, CommandAnswer(3)),
            (ApplyLists('third', 2, LISTS), VersionConflict(2, 3)),
            (ApplyLists('fourth', 3, LISTS), CommandAnswer(5)),
            (first, CommandAnswer(3)),
            (ApplyLists('third', 2, LISTS), VersionConflict(2, 3)),
            (GrantKey('g1', 'id', 'x', b'h'), CommandAnswer(6)),
            (GrantKey('g2', 'id', 'x', b'i'), KeyExists('id')),
            (GrantKey('g3', 'id2', 'x', b'h'), KeyExists('id2')),
            (GrantKey('g4', 'id2', 'y', b'j'), UnknownName('account', 'y')),
            (WithdrawKey('w1', 'id'), CommandAnswer(10)),
            (WithdrawKey('w2', 'id3'), UnknownName('key', 'id3')),
        ):
            self.assertEqual(simulation.execute(leader, command), expected)

    def test_same_command_at_new_leader(self) -> None:
        simulation = make_group()
        command = GrantKey('g', 'id', 'x', b'h')
        first = simulation.execute(simulation.leader(), command)
        simulation.crash(simulation.leader())
        simulation.run(2)
        again = simulation.execute(simulation.leader(), command)
        self.assertEqual(again, first)

    def test_withdrawals_from_gossip_reach_the_log(self) -> None:
        simulation = make_group()
        follower = next(n for n in 'abc' if n != simulation.leader())
        notice = KeysWithdrawn(simulation.now, ('id1', 'id2'))
        simulation.handle(follower, notice)
        simulation.crash(simulation.leader())
        simulation.run(3)
        # The follower appends them only after it has become leader.
        simulation.handle(simulation.leader(), notice)
        simulation.handle(simulation.leader(), notice)
        simulation.run(1)
        context = simulation.vms[follower].context
        self.assertEqual(
            context.machine.configuration.withdrawn, {'id1', 'id2'}
        )
        self.assertEqual(
            sum(b'id' in entry for entry in simulation.committed.values()), 2
        )

    def test_empty_disk_refuses(self) -> None:
        answer = Simulation(1).execute('a', WithdrawKey('k', 'id'))
        self.assertEqual(answer, NotInitialised())


class CatchUpTest(testtools.TestCase):
    """Guards against a replica that can't catch up after a long absence."""

    @parameterized.expand(
        [('records', 100, 0), ('snapshot', 700, 0), ('lossy', 700, 0.2)]
    )
    def test_restart_after_many_changes(self, _name, changes, loss) -> None:
        simulation = make_group()
        leader = simulation.leader()
        absent = next(name for name in 'abc' if name != leader)
        simulation.crash(absent)
        padding = 'p' * 2000
        for number in range(changes):
            lists = Lists(
                accounts=tuple(
                    Account(f'a{n}', f'{padding}{number}')
                    for n in range(number % 3 * 70)
                )
            )
            version = simulation.vms[leader].context.machine
            command = ApplyLists(
                f'k{number}', version.configuration.lists_version, lists
            )
            simulation.execute(leader, command)
        simulation.network.loss = loss
        for name in (absent, leader):
            if simulation.vms[name].replica is not None:
                simulation.crash(name)
            simulation.start(name)
        simulation.run(5)
        simulation.network.loss = 0
        simulation.run(2)
        contexts = [vm.context for vm in simulation.vms.values()]
        commits = {context.commit_index for context in contexts}
        self.assertEqual(len(commits), 1)
        self.assertGreater(commits.pop(), changes)
        self.assertEqual(
            contexts[0].machine.configuration,
            contexts[1].machine.configuration,
        )
        if changes > 512:
            self.assertLess(len(contexts[0].log.records), 512)
