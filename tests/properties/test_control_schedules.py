"""Random schedules of faults against real replicas of the control log."""

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

# Answers that promise nothing about the log.
UNDECIDED = (
    NotInitialised,
    NotLeader,
    OutcomeUnknown,
    ReplacementInProgress,
    ReplicaUnusable,
)


class SingleCopy:
    """Naive configuration: one copy, one command at a time."""

    def __init__(self) -> None:
        self.lists = Lists()
        self.lists_version = 0
        self.keys: dict[str, Key] = {}
        self.withdrawn: set[str] = set()

    def run(self, command: Command, index: int) -> CommandAnswer | Failure:
        """Execute a command as the record of an index."""
        match command:
            case ApplyLists(based_on=based_on, lists=lists):
                if based_on != self.lists_version:
                    return VersionConflict(based_on, self.lists_version)
                self.lists, self.lists_version = lists, index
            case GrantKey(key_id=key_id, account=account, key_hash=key_hash):
                hashes = [key.key_hash for key in self.keys.values()]
                taken = key_id in self.keys or key_id in self.withdrawn
                if taken or key_hash in hashes:
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
        """Compare with the result of a replica."""
        return (
            set(current_lists(configuration).accounts)
            == set(self.lists.accounts)
            and configuration.lists_version == self.lists_version
            and configuration.keys == self.keys
            and configuration.withdrawn == self.withdrawn
        )


class Operators:
    """Send commands to random replicas, again and in conflict."""

    def __init__(self, simulation: Simulation, rng: random.Random) -> None:
        self.simulation = simulation
        self.rng = rng
        self.commands: dict[str, Command] = {}
        self.sent: list[tuple[int, float, Command]] = []
        self._number = 0

    def act(self) -> None:
        """Send a new command, a known one, or another under a known key."""
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
            command = self._make(f'k{self._number}')
            self.commands[command.command_key] = command
        self._send(name, command)
        if rng.random() < 0.1:
            other = WithdrawKey(command.command_key, 'never granted')
            self._send(name, other)

    def replace(self, lost: str, added: str) -> None:
        """Ask the leader for a replacement."""
        leader = self.simulation.leader()
        if leader is not None:
            self._number += 1
            key = f'k{self._number}'
            self._send(leader, ReplaceReplica(key, lost, added))

    def _send(self, name: str, command: Command) -> None:
        command_id = self.simulation.send_command(name, command)
        self.sent.append((command_id, self.simulation.now, command))

    def _make(self, key: str) -> Command:
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


class Faults:
    """Injects one random fault at a time and ends it later."""

    def __init__(self, simulation: Simulation, rng: random.Random) -> None:
        self.simulation = simulation
        self.rng = rng
        self.missing: str | None = None

    def act(self) -> None:
        """Inject a fault."""
        simulation = self.simulation
        name = self.rng.choice(sorted(simulation.vms))
        length = self.rng.uniform(0.05, 3)
        vm = simulation.vms[name]
        kind = self.rng.randrange(6)
        if kind == 0 and vm.replica is not None:
            simulation.crash(name)
            simulation.schedule(length, lambda: self._restart(name))
        elif kind == 1:
            vm.frozen_until = simulation.now + length
        elif kind == 2:
            self._cut(name, length, both=False)
        elif kind == 3:
            self._cut(name, length, both=True)
        elif kind == 4 and vm.replica is not None:
            self._lose_disk(name)
        elif kind == 5 and vm.replica is not None:
            withdrawn = KeysWithdrawn(simulation.now, ('id1', 'id2'))
            simulation.handle(name, withdrawn)
            if self.rng.random() < 0.3:
                simulation.handle(name, StopRequested(simulation.now))
                simulation.schedule(0.3, lambda: self._bounce(name))

    def heal(self) -> None:
        """End all faults."""
        network = self.simulation.network
        network.cut_links.clear()
        network.loss = network.duplication = 0
        for name, vm in self.simulation.vms.items():
            vm.frozen_until = 0
            self._restart(name)

    def _lose_disk(self, name: str) -> None:
        """Lose a disk if all other voters have theirs."""
        newest = max(
            (vm for vm in self.simulation.vms.values() if vm.replica),
            key=lambda vm: vm.context.commit_index,
        )
        log = newest.context.log
        voters = log.membership.voters
        disks = {vm.disk.disk for vm in self.simulation.vms.values()}
        settled = log.membership_index <= newest.context.commit_index
        complete = len(voters) == len(self.simulation.names)
        if settled and complete and voters <= disks:
            self.simulation.lose_disk(name)
            self.missing = name
            self._restart(name)

    def _cut(self, name: str, length: float, *, both: bool) -> None:
        others = [each for each in self.simulation.vms if each != name]
        chosen = set(self.rng.sample(others, self.rng.randint(1, len(others))))
        outwards = self.rng.random() < 0.5
        links = {
            (name, other) if outwards else (other, name) for other in chosen
        }
        if both:
            links |= {(to, sender) for sender, to in links}
        cut = self.simulation.network.cut_links
        cut |= links
        self.simulation.schedule(length, lambda: cut.difference_update(links))

    def _bounce(self, name: str) -> None:
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
    """Run operators and faults, then heal and let the replicas catch up."""
    rng = random.Random(seed)
    simulation = Simulation(seed, tuple(names), replica_type)
    simulation.initialise()
    network = simulation.network
    network.loss = rng.choice((0, 0.05, 0.2))
    network.duplication = rng.choice((0, 0.1))
    network.max_delay_s = rng.choice((0.035, 0.2))
    simulation.sync_s = (0.001, rng.choice((0.01, 0.2)))
    operators = Operators(simulation, rng)
    faults = Faults(simulation, rng)
    for _ in range(rounds):
        simulation.run(rng.uniform(0, 0.4))
        operators.act()
        if rng.random() < 0.3:
            faults.act()
        if faults.missing and rng.random() < 0.2:
            operators.replace(faults.missing, faults.missing)
    network.max_delay_s = 0.035
    simulation.sync_s = (0.001, 0.01)
    faults.heal()
    simulation.run(5)
    return simulation, operators


def check_schedule(simulation: Simulation, operators: Operators) -> None:
    """Compare the healed replicas and all answers with the single copy."""
    leader = simulation.leader()
    assert leader is not None, 'no leader'
    context = simulation.vms[leader].context
    naive = SingleCopy()
    results = context.machine.results.values()
    expected = _replay(operators, naive, results, simulation.committed)
    _check_answers(simulation, operators, expected)
    for vm in simulation.vms.values():
        if vm.disk.disk in context.log.membership.voters:
            assert vm.context.commit_index == context.commit_index, (
                'not caught up'
            )
            assert naive.matches(vm.context.machine.configuration)


def _replay(operators, naive, results, committed) -> dict:
    """Run the commands in log order on the naive single copy."""
    sent = {hash_command(each): each for *_, each in operators.sent}
    by_index = {result.index: result for result in results}
    expected = {}
    for index in range(1, max(committed) + 1):
        if index in by_index:
            fingerprint = by_index[index].fingerprint
            answer = naive.run(sent[fingerprint], index)
            expected[fingerprint] = (index, answer)
        elif committed[index].startswith(b'[4,'):
            # A withdrawal that came by gossip.
            naive.withdrawn.add(msgspec.json.decode(committed[index])[2])
    return expected


def _check_answers(simulation, operators, expected) -> None:
    """Each answer is the naive one, and none is older than a reply."""
    first_sent = {}
    answered = []
    for command_id, sent_at, command in operators.sent:
        fingerprint = hash_command(command)
        first_sent.setdefault(fingerprint, sent_at)
        at, answer = simulation.answers.get(command_id, (0, None))
        if answer is None or isinstance(answer, UNDECIDED):
            continue
        if isinstance(answer, CommandKeyReused):
            assert fingerprint not in expected
            continue
        if isinstance(command, ReplaceReplica) and fingerprint not in expected:
            assert isinstance(answer, UnknownName)
            continue
        index, wanted = expected[fingerprint]
        if not isinstance(command, ReplaceReplica):
            assert answer == wanted, (answer, wanted)
        answered.append((first_sent[fingerprint], at, index))
    for sent_at, _, index in answered:
        newer = [i for _, at, i in answered if at < sent_at and i > index]
        assert not newer, 'a later command got an earlier slot'


class ControlScheduleTest(testtools.TestCase):
    """Guards against two values in a slot, lost or repeated commands."""

    @parameterized.expand(
        [
            (f'{names}_{seed}', seed, names)
            for names, seeds in (('abc', range(60)), ('abcde', range(100, 130)))
            for seed in seeds
        ]
    )
    def test_schedule(self, _name: str, seed: int, names: str) -> None:
        check_schedule(*run_schedule(seed, names))
