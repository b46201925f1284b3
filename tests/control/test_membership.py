"""Tests of the bootstrap and of replacements."""

from __future__ import annotations

import testtools
from parameterized import parameterized

from cranberryseam.core.commands import (
    AlreadyInitialised,
    CommandAnswer,
    InitialiseFleet,
    NotLeader,
    OutcomeUnknown,
    ReplaceReplica,
    ReplicaUnusable,
    UnknownName,
    WithdrawKey,
)

from .simulation import Simulation


class FormationTest(testtools.TestCase):
    """Guards against a bootstrap that creates two logs in one fleet."""

    @parameterized.expand([(f'seed_{seed}', seed) for seed in range(20)])
    def test_two_operators_under_faults(self, _name, seed) -> None:
        simulation = Simulation(seed)
        simulation.network.loss = 0.2
        first = simulation.send_command('a', InitialiseFleet(10.0))
        simulation.run(simulation.rng.uniform(0, 0.5))
        second = simulation.send_command('b', InitialiseFleet(20.0))
        simulation.run(simulation.rng.uniform(0, 0.3))
        victim = simulation.rng.choice('abc')
        simulation.crash(victim)
        simulation.start(victim)
        simulation.network.loss = 0
        simulation.run(15)
        # An operator may have to repeat the command after a crash.
        for name in 'cab':
            answer = simulation.execute(name, InitialiseFleet(30.0), 15)
            self.assertIn(answer, [CommandAnswer(1), AlreadyInitialised()])
        simulation.run(3)
        self.assertIsNotNone(simulation.leader())
        fleets = {
            vm.context.log.membership.fleet for vm in simulation.vms.values()
        }
        self.assertEqual(len(fleets), 1)
        configuration = simulation.vms['a'].context.machine.configuration
        self.assertIn(configuration.initialised_wall_s, {10, 20, 30})
        for command_id in (first, second):
            if command_id in simulation.answers:
                answer = simulation.answers[command_id][1]
                self.assertIsInstance(
                    answer,
                    (CommandAnswer, AlreadyInitialised, OutcomeUnknown),
                )

    def test_all_replicas_are_needed(self) -> None:
        simulation = Simulation(1)
        simulation.crash('c')
        answer = simulation.execute('a', InitialiseFleet(1.0), 15)
        self.assertIsInstance(answer, ReplicaUnusable)
        simulation.start('c')
        answer = simulation.execute('b', InitialiseFleet(1.0), 15)
        self.assertEqual(answer, CommandAnswer(1))

    def test_empty_disk_in_a_running_group(self) -> None:
        simulation = Simulation(1)
        simulation.initialise()
        simulation.lose_disk('a')
        simulation.start('a')
        answer = simulation.execute('a', InitialiseFleet(1.0), 15)
        self.assertEqual(answer, AlreadyInitialised())


class ReplacementTest(testtools.TestCase):
    """Guards against unsafe membership changes."""

    def setUp(self) -> None:
        super().setUp()
        self.simulation = Simulation(3)
        self.simulation.initialise()
        self.leader = self.simulation.leader()
        self.lost, self.other = [n for n in 'abc' if n != self.leader]

    def voters(self) -> list[str]:
        """Return the VMs of the voters according to the leader."""
        leader = self.simulation.leader()
        members = self.simulation.vms[leader].context.log.membership.members
        return sorted(member.vm for member in members if member.voter)

    @parameterized.expand([('same_vm', None), ('another_vm', 'd')])
    def test_replace(self, _name, added) -> None:
        simulation = self.simulation
        if added is None:
            added = self.lost
            simulation.lose_disk(self.lost)
            simulation.start(self.lost)
        else:
            simulation.crash(self.lost)
            simulation.add_vm(added)
        command = ReplaceReplica('r', self.lost, added)
        first = simulation.execute(self.leader, command, 40)
        self.assertIsInstance(first, CommandAnswer)
        expected = sorted([self.leader, self.other, added])
        self.assertEqual(self.voters(), expected)
        # The new group must tolerate the next crash immediately.
        simulation.crash(self.leader)
        simulation.run(2)
        answer = simulation.execute(simulation.leader(), command, 40)
        self.assertIsInstance(answer, CommandAnswer)
        self.assertEqual(self.voters(), expected)

    def test_empty_disk_gets_no_vote_before_replacement(self) -> None:
        simulation = self.simulation
        simulation.lose_disk(self.lost)
        simulation.start(self.lost)
        simulation.crash(self.leader)
        simulation.run(10)
        self.assertIsNone(simulation.leader())

    def test_second_loss_meanwhile(self) -> None:
        simulation = self.simulation
        simulation.lose_disk(self.lost)
        simulation.start(self.lost)
        command = ReplaceReplica('r', self.lost, self.lost)
        command_id = simulation.send_command(self.leader, command)
        simulation.crash(self.other)
        simulation.run(5)
        self.assertEqual(simulation.answers[command_id][1], OutcomeUnknown())
        answer = simulation.execute(self.leader, command)
        self.assertIsInstance(answer, NotLeader)
        simulation.start(self.other)
        simulation.run(3)
        answer = simulation.execute(simulation.leader(), command, 40)
        self.assertIsInstance(answer, CommandAnswer)
        self.assertEqual(self.voters(), ['a', 'b', 'c'])

    def test_learner_lost_before_it_caught_up(self) -> None:
        simulation = self.simulation
        simulation.crash(self.lost)
        simulation.add_vm('d')
        simulation.add_vm('e')
        command_id = simulation.send_command(
            self.leader, ReplaceReplica('r1', self.lost, 'd')
        )
        context = simulation.vms[self.leader].context
        simulation.run_until(lambda: context.log.membership.replacing)
        simulation.crash('d')
        simulation.run(0.5)
        command = ReplaceReplica('r2', 'd', 'e')
        answer = simulation.execute(self.leader, command, 40)
        self.assertIsInstance(answer, CommandAnswer)
        self.assertEqual(simulation.answers[command_id][1], OutcomeUnknown())
        self.assertEqual(self.voters(), sorted([self.leader, self.other, 'e']))

    def test_live_leader_is_replaced(self) -> None:
        """The leader transfers its role, and the next leader removes it."""
        simulation = self.simulation
        simulation.add_vm('d')
        command = ReplaceReplica('r', self.leader, 'd')
        simulation.send_command(self.leader, command)
        simulation.run(5)
        answer = simulation.execute(simulation.leader(), command, 40)
        self.assertIsInstance(answer, CommandAnswer)
        self.assertEqual(self.voters(), sorted([self.lost, self.other, 'd']))
        # The removed replica still runs and must not cause elections.
        term = simulation.vms[simulation.leader()].context.term
        simulation.run(20)
        self.assertEqual(simulation.vms[simulation.leader()].context.term, term)

    def test_refusals(self) -> None:
        simulation = self.simulation
        for lost, added, expected in (
            ('z', 'a', UnknownName('replica', 'z')),
            (
                self.lost,
                self.lost,
                ReplicaUnusable(
                    self.lost,
                    f'disk {simulation.vms[self.lost].disk.disk} is a member;'
                    ' expected an empty disk',
                ),
            ),
            (self.lost, 'z', ReplicaUnusable('z', 'no answer within 2.0 s')),
        ):
            command = ReplaceReplica(f'{lost}{added}', lost, added)
            answer = simulation.execute(self.leader, command)
            self.assertEqual(answer, expected)
        answer = simulation.execute(self.leader, WithdrawKey('k', 'none'))
        self.assertEqual(answer, UnknownName('key', 'none'))
