"""Tests of control log replicas with random schedules of faults."""

from __future__ import annotations

import random

import msgspec
import testtools
from parameterized import parameterized

from cranberryseam.configuration.entries import current_lists
from cranberryseam.configuration.model import (
    Account,
    Configuration,
    Key,
    Lists,
)
from cranberryseam.control import Replica
from cranberryseam.control.proposals import hash_command
from cranberryseam.core.commands import (
    ApplyLists,
    Command,
    CommandAnswer,
    CommandKeyReused,
    GrantKey,
    KeyExists,
    NotInitialised,
    NotLeader,
    OutcomeUnknown,
    ReplacementInProgress,
    ReplaceReplica,
    ReplicaUnusable,
    UnknownName,
    VersionConflict,
    WithdrawKey,
)
from cranberryseam.core.errors import Failure
from cranberryseam.core.events import StopRequested
from cranberryseam.core.notices import KeysWithdrawn

from ..control.simulation import Simulation

# Answers that don't say whether the command is in the log.
INCONCLUSIVE_ANSWERS = (
    NotInitialised,
    NotLeader,
    OutcomeUnknown,
    ReplacementInProgress,
    ReplicaUnusable,
)


class ReferenceModel:
    """Reference model: one configuration that executes commands serially."""

    def __init__(self) -> None:
        self.lists = Lists()
        self.lists_version = 0
        self.keys: dict[str, Key] = {}
        self.withdrawn: set[str] = set()

    def run(self, command: Command, index: int) -> CommandAnswer | Failure:
        """Execute the command that the log has at an index."""
        match command:
            case ApplyLists(based_on=based_on, lists=lists):
                if based_on != self.lists_version:
                    return VersionConflict(based_on, self.lists_version)
                self.lists, self.lists_version = lists, index
            case GrantKey(key_id=key_id, account=account, key_hash=key_hash):
                hashes = [key.key_hash for key in self.keys.values()]
                is_taken = key_id in self.keys or key_id in self.withdrawn
                if is_taken or key_hash in hashes:
                    return KeyExists(key_id)
                if account not in [row.name for row in self.lists.accounts]:
                    return UnknownName('account', account)
                self.keys[key_id] = Key(key_id, account, key_hash)
            case WithdrawKey(key_id=key_id):
                if key_id not in {*self.keys, *self.withdrawn}:
                    return UnknownName('key', key_id)
                self.withdrawn.add(key_id)
        return CommandAnswer(index)

    def matches(self, configuration: Configuration) -> bool:
        """Return whether a replica has the same configuration."""
        return (
            set(current_lists(configuration).accounts)
            == set(self.lists.accounts)
            and configuration.lists_version == self.lists_version
            and configuration.keys == self.keys
            and configuration.withdrawn == self.withdrawn
        )


class Operators:
    """Send new, repeated and conflicting commands to random replicas."""

    def __init__(self, simulation: Simulation, rng: random.Random) -> None:
        self.simulation = simulation
        self.rng = rng
        self.commands: dict[str, Command] = {}
        self.sent: list[tuple[int, float, Command]] = []
        self._number = 0

    def run_step(self) -> None:
        """Send a new command, a retry, or a command that reuses a key."""
        rng = self.rng
        names = sorted(self.simulation.vms)
        name = rng.choice(names)
        leader = self.simulation.leader()
        if leader is not None and rng.random() < 0.8:
            name = leader
        if self.commands and rng.random() < 0.3:
            command = self.commands[rng.choice(sorted(self.commands))]
        else:
            self._number += 1
            command = self._build_command(f'k{self._number}')
            self.commands[command.command_key] = command
        self._send(name, command)
        if rng.random() < 0.1:
            other = WithdrawKey(command.command_key, 'never granted')
            self._send(name, other)

    def replace(self, lost: str, added: str) -> None:
        """Ask the leader to replace a replica."""
        leader = self.simulation.leader()
        if leader is not None:
            self._number += 1
            key = f'k{self._number}'
            self._send(leader, ReplaceReplica(key, lost, added))

    def _send(self, name: str, command: Command) -> None:
        command_id = self.simulation.send_command(name, command)
        self.sent.append((command_id, self.simulation.now, command))

    def _build_command(self, key: str) -> Command:
        rng = self.rng
        vm = self.simulation.vms[rng.choice(sorted(self.simulation.vms))]
        version = 0
        if vm.replica is not None:
            version = vm.context.machine.configuration.lists_version
        kind = rng.random()
        if kind < 0.5:
            count = rng.randint(1, 4)
            rows = tuple(Account(f'a{n}', f'p{key}') for n in range(count))
            return ApplyLists(key, version, Lists(accounts=rows))
        key_id = f'id{rng.randint(1, 30)}'
        if kind < 0.8:
            account = f'a{rng.randint(0, 4)}'
            return GrantKey(key, key_id, account, key_id.encode())
        return WithdrawKey(key, key_id)


class FaultInjector:
    """Injects random faults, each of which ends after a while."""

    def __init__(self, simulation: Simulation, rng: random.Random) -> None:
        self.simulation = simulation
        self.rng = rng
        self.replica_without_disk: str | None = None

    def run_step(self) -> None:
        """Inject a random fault."""
        simulation = self.simulation
        name = self.rng.choice(sorted(simulation.vms))
        duration_s = self.rng.uniform(0.05, 3)
        vm = simulation.vms[name]
        kind = self.rng.randrange(6)
        if kind == 0 and vm.replica is not None:
            simulation.crash(name)
            simulation.schedule(duration_s, lambda: self._restart(name))
        elif kind == 1:
            vm.frozen_until = simulation.now + duration_s
        elif kind == 2:
            self._block_links(name, duration_s, both=False)
        elif kind == 3:
            self._block_links(name, duration_s, both=True)
        elif kind == 4 and vm.replica is not None:
            self._lose_disk(name)
        elif kind == 5 and vm.replica is not None:
            withdrawn = KeysWithdrawn(simulation.now, ('id1', 'id2'))
            simulation.handle(name, withdrawn)
            if self.rng.random() < 0.3:
                simulation.handle(name, StopRequested(simulation.now))
                simulation.schedule(0.3, lambda: self._crash_and_restart(name))

    def end_faults(self) -> None:
        """End all faults."""
        network = self.simulation.network
        network.cut_links.clear()
        network.loss = network.duplication = 0
        for name, vm in self.simulation.vms.items():
            vm.frozen_until = 0
            self._restart(name)

    def _lose_disk(self, name: str) -> None:
        """Lose the disk of a replica if all other voters have theirs."""
        newest = max(
            (vm for vm in self.simulation.vms.values() if vm.replica),
            key=lambda vm: vm.context.commit_index,
        )
        log = newest.context.log
        voters = log.membership.voters
        disks = {vm.disk.disk for vm in self.simulation.vms.values()}
        is_settled = log.membership_index <= newest.context.commit_index
        is_complete = len(voters) == len(self.simulation.names)
        if is_settled and is_complete and voters <= disks:
            self.simulation.lose_disk(name)
            self.replica_without_disk = name
            self._restart(name)

    def _block_links(self, name: str, duration_s: float, *, both: bool) -> None:
        others = [each for each in self.simulation.vms if each != name]
        chosen = set(self.rng.sample(others, self.rng.randint(1, len(others))))
        outwards = self.rng.random() < 0.5
        links = {
            (name, other) if outwards else (other, name) for other in chosen
        }
        if both:
            links |= {(to, sender) for sender, to in links}
        blocked_links = self.simulation.network.cut_links
        blocked_links |= links
        self.simulation.schedule(
            duration_s, lambda: blocked_links.difference_update(links)
        )

    def _crash_and_restart(self, name: str) -> None:
        if self.simulation.vms[name].replica is not None:
            self.simulation.crash(name)
        self._restart(name)

    def _restart(self, name: str) -> None:
        if self.simulation.vms[name].replica is None:
            self.simulation.start(name)


def run_schedule(
    seed: int,
    names: str,
    replica_type: type[Replica] = Replica,
    rounds: int = 50,
) -> tuple[Simulation, Operators]:
    """Run operators and faults, end all faults, and wait for catch-up."""
    rng = random.Random(seed)
    simulation = Simulation(seed, tuple(names), replica_type)
    simulation.initialise()
    network = simulation.network
    network.loss = rng.choice((0, 0.05, 0.2))
    network.duplication = rng.choice((0, 0.1))
    network.max_delay_s = rng.choice((0.035, 0.2))
    simulation.sync_s = (0.001, rng.choice((0.01, 0.2)))
    operators = Operators(simulation, rng)
    faults = FaultInjector(simulation, rng)
    for _ in range(rounds):
        simulation.run(rng.uniform(0, 0.4))
        operators.run_step()
        if rng.random() < 0.3:
            faults.run_step()
        if faults.replica_without_disk and rng.random() < 0.2:
            operators.replace(
                faults.replica_without_disk, faults.replica_without_disk
            )
    network.max_delay_s = 0.035
    simulation.sync_s = (0.001, 0.01)
    faults.end_faults()
    simulation.run(5)
    return simulation, operators


def check_schedule(simulation: Simulation, operators: Operators) -> None:
    """Compare the replicas and all answers with the reference model."""
    leader = simulation.leader()
    assert leader is not None, 'no leader'
    context = simulation.vms[leader].context
    reference = ReferenceModel()
    results = context.machine.results.values()
    expected = _replay(operators, reference, results, simulation.committed)
    _check_answers(simulation, operators, expected)
    for vm in simulation.vms.values():
        if vm.disk.disk in context.log.membership.voters:
            assert vm.context.commit_index == context.commit_index, (
                'not caught up'
            )
            assert reference.matches(vm.context.machine.configuration)


def _replay(operators, reference, results, committed) -> dict:
    """Run the commands in log order on the reference model."""
    sent = {hash_command(each): each for *_, each in operators.sent}
    by_index = {result.index: result for result in results}
    expected = {}
    for index in range(1, max(committed) + 1):
        if index in by_index:
            fingerprint = by_index[index].fingerprint
            answer = reference.run(sent[fingerprint], index)
            expected[fingerprint] = (index, answer)
        elif committed[index].startswith(b'[4,'):
            # The key was withdrawn by gossip, without a command.
            reference.withdrawn.add(msgspec.json.decode(committed[index])[2])
    return expected


def _check_answers(simulation, operators, expected) -> None:
    """Check answers against the reference model and for linearizability."""
    first_sent = {}
    answered_commands = []
    for command_id, sent_at, command in operators.sent:
        fingerprint = hash_command(command)
        first_sent.setdefault(fingerprint, sent_at)
        at, answer = simulation.answers.get(command_id, (0, None))
        if answer is None or isinstance(answer, INCONCLUSIVE_ANSWERS):
            continue
        if isinstance(answer, CommandKeyReused):
            assert fingerprint not in expected
            continue
        if isinstance(command, ReplaceReplica) and fingerprint not in expected:
            assert isinstance(answer, UnknownName)
            continue
        index, expected_answer = expected[fingerprint]
        if not isinstance(command, ReplaceReplica):
            assert answer == expected_answer, (answer, expected_answer)
        answered_commands.append((first_sent[fingerprint], at, index))
    for first_sent_at, _, index in answered_commands:
        later_answers = [
            i
            for _, at, i in answered_commands
            if at < first_sent_at and i > index
        ]
        assert not later_answers, 'a later command has a lower index'


class ControlScheduleTest(testtools.TestCase):
    """Guards against conflicting records and lost or repeated commands."""

    @parameterized.expand(
        [
            (f'{names}_{seed}', seed, names)
            for names, seeds in (('abc', range(60)), ('abcde', range(100, 130)))
            for seed in seeds
        ]
    )
    def test_schedule(self, _name: str, seed: int, names: str) -> None:
        check_schedule(*run_schedule(seed, names))
