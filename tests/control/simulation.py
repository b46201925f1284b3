"""Simulation of replicas in virtual time with network and disk failures."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Sequence

import attrs
import msgspec

from cranberryseam.configuration.settings import (
    Addresses,
    ControlSettings,
    Settings,
    VmSettings,
)
from cranberryseam.control import MESSAGES, Replica, StoredState
from cranberryseam.control.effects import (
    AppendRecords,
    SaveSnapshot,
    SaveVote,
    StorageEffect,
)
from cranberryseam.core.codec import Codec
from cranberryseam.core.commands import (
    Command,
    CommandAnswer,
    InitialiseFleet,
)
from cranberryseam.core.effects import (
    AnswerCommand,
    CancelTimer,
    SendMessage,
    SetTimer,
)
from cranberryseam.core.errors import Failure
from cranberryseam.core.events import (
    CommandReceived,
    Event,
    MessageReceived,
    Started,
    StorageSynced,
    TimerFired,
)
from cranberryseam.core.messages import Message
from cranberryseam.core.notices import EntryCommitted, SnapshotInstalled
from cranberryseam.types import VmId

Answer = CommandAnswer | Failure


def write_disk(disk: StoredState, effect: StorageEffect) -> StoredState:
    """Return the stored state after a storage effect."""
    match effect:
        case SaveVote(term=term, voted_for=voted_for):
            return msgspec.structs.replace(disk, term=term, voted_for=voted_for)
        case AppendRecords(records=records, commit=commit):
            kept = disk.records[: records[0].index - disk.base.index - 1]
            return msgspec.structs.replace(
                disk, records=(*kept, *records), commit=commit
            )
        case SaveSnapshot(snapshot=snapshot, base=base, records=records):
            return msgspec.structs.replace(
                disk,
                snapshot=snapshot,
                base=base,
                records=records,
                commit=max(disk.commit, snapshot.index),
            )
    raise AssertionError(effect)


@attrs.define
class Vm:
    """VM with its disk and, while its process runs, a replica."""

    name: str
    disk: StoredState
    replica: Replica | None = None
    incarnation: int = 0
    frozen_until: float = 0
    last_at: float = 0
    committed: int = 0
    unsynced: list[StorageEffect] = attrs.field(factory=list)
    timers: dict[str, int] = attrs.field(factory=dict)

    @property
    def context(self):  # noqa: ANN201
        """Internal state of the replica, for assertions."""
        return self.replica._context  # noqa: SLF001


@attrs.define
class Network:
    """Failure rates and delays; ``cut_links`` holds pairs (from, to)."""

    min_delay_s: float = 0.001
    max_delay_s: float = 0.035
    loss: float = 0
    duplication: float = 0
    cut_links: set[tuple[str, str]] = attrs.field(factory=set)


class Simulation:
    """Runs replicas and checks the safety of commits and elections."""

    def __init__(
        self,
        seed: int,
        names: Sequence[str] = ('a', 'b', 'c'),
        replica_type: type[Replica] = Replica,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.names = tuple(names)
        self.replica_type = replica_type
        self.network = Network()
        self.sync_s = (0.001, 0.01)
        self.answers: dict[int, tuple[float, Answer]] = {}
        self.committed: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.sent: dict[str, int] = {}
        self.sent_bytes = 0
        self.steps = 0
        self._codec = Codec(MESSAGES)
        self._disk_count = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._command_id = 0
        self.vms = {name: Vm(name, self._new_disk()) for name in names}
        for name in names:
            self.start(name)

    def add_vm(self, name: str) -> None:
        """Start a VM that isn't listed in the settings."""
        self.vms[name] = Vm(name, self._new_disk())
        self.start(name)

    def start(self, name: str) -> None:
        """Start the process of a VM with the state on its disk."""
        vm = self.vms[name]
        vm.incarnation += 1
        vm.committed = 0
        vm.timers = {}
        settings = Settings(
            VmSettings(name, 'r', 'd', ('control',)),
            Addresses(''),
            ('r',),
            control=ControlSettings(self.names),
        )
        rng = random.Random(self.rng.random())
        vm.replica = self.replica_type(settings, vm.disk, rng)
        self.handle(name, Started(self.now, self.now))

    def crash(self, name: str) -> None:
        """Stop a process, writing only a prefix of its unsynced effects."""
        vm = self.vms[name]
        vm.replica = None
        vm.incarnation += 1
        for effect in vm.unsynced[: self.rng.randint(0, len(vm.unsynced))]:
            vm.disk = write_disk(vm.disk, effect)
        vm.unsynced = []

    def lose_disk(self, name: str) -> None:
        """Crash a VM and replace its disk by an empty one."""
        self.crash(name)
        self.vms[name].disk = self._new_disk()

    def send_command(self, name: str, command: Command) -> int:
        """Send a command and return the id of its entry in ``answers``."""
        self._command_id += 1
        command_id = self._command_id
        if self.vms[name].replica is not None:
            self.handle(name, CommandReceived(self.now, command_id, command))
        return command_id

    def execute(
        self, name: str, command: Command, timeout_s: float = 3
    ) -> Answer:
        """Send a command, run until it's answered, and return the answer."""
        command_id = self.send_command(name, command)
        self.run_until(lambda: command_id in self.answers, timeout_s)
        return self.answers[command_id][1]

    def initialise(self) -> None:
        """Bootstrap the group and wait until all have the first record."""
        self.execute(self.names[0], InitialiseFleet(1000.0), 15)
        self.run(0.5)

    def leader(self) -> str | None:
        """Return the running leader of the highest term."""
        found = [
            (vm.context.term, name)
            for name, vm in self.vms.items()
            if vm.replica is not None and vm.context.role.value == 'leader'
        ]
        return max(found)[1] if found else None

    def run(self, duration_s: float) -> None:
        """Run for a duration of virtual time."""
        self.run_until(lambda: False, duration_s)

    def run_until(
        self, done: Callable[[], bool], timeout_s: float = 10
    ) -> bool:
        """Run until a condition holds, and return whether it does in time."""
        end = self.now + timeout_s
        while not done():
            if not self._queue or self._queue[0][0] > end:
                self.now = end
                return done()
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return True

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self._sequence += 1
        heapq.heappush(
            self._queue, (self.now + delay_s, self._sequence, action)
        )

    def handle(self, name: str, event: Event) -> None:
        """Pass an event to a replica and execute the outputs."""
        vm = self.vms[name]
        assert vm.replica is not None
        self.steps += 1
        outputs = vm.replica.handle(event)
        for output in outputs:
            self._execute(vm, output)
        self._check_leader(vm)

    def _execute(self, vm: Vm, output: object) -> None:
        match output:
            case SendMessage(to=to, message=message):
                self._send(vm.name, to, message)
            case SetTimer(name=name, at=at):
                self._set_timer(vm, name, at)
            case CancelTimer(name=name):
                vm.timers.pop(name, None)
            case StorageEffect():
                vm.unsynced.append(output)
                self._schedule_for(
                    vm, self.rng.uniform(*self.sync_s), self._complete_sync, vm
                )
            case AnswerCommand(command_id=command_id, answer=answer):
                assert command_id not in self.answers, 'answered twice'
                self.answers[command_id] = (self.now, answer)
            case EntryCommitted(version=version, entry=entry):
                self._check_commit(vm, version, msgspec.json.encode(entry))
            case SnapshotInstalled(configuration=configuration):
                assert configuration.version > vm.committed, (
                    'version not increased'
                )
                vm.committed = configuration.version

    def _complete_sync(self, vm: Vm) -> None:
        effect = vm.unsynced.pop(0)
        vm.disk = write_disk(vm.disk, effect)
        self.handle(vm.name, StorageSynced(self.now, effect.sync_id))

    def _set_timer(self, vm: Vm, name: str, at: float) -> None:
        self._sequence += 1
        token = self._sequence
        vm.timers[name] = token

        def fire() -> None:
            if vm.timers.get(name) == token:
                vm.timers.pop(name)
                self.handle(vm.name, TimerFired(self.now, 'control', name))

        self._schedule_for(vm, max(0.0, at - self.now), fire)

    def _schedule_for(
        self,
        vm: Vm,
        delay_s: float,
        action: Callable[..., None],
        *arguments: object,
    ) -> None:
        """Run an action later, unless the process has stopped by then.

        The action is delayed further while the VM is frozen.
        """
        incarnation = vm.incarnation

        def run_if_current() -> None:
            if vm.incarnation != incarnation:
                return
            if vm.frozen_until > self.now:
                self.schedule(vm.frozen_until - self.now, run_if_current)
                return
            action(*arguments)

        self.schedule(delay_s, run_if_current)

    def _send(self, sender: str, to: str, message: Message) -> None:
        raw = self._codec.encode(VmId(sender), message)
        self.sent_bytes += len(raw)
        kind = type(message).__name__
        self.sent[kind] = self.sent.get(kind, 0) + 1
        network = self.network
        if (sender, to) in network.cut_links or to not in self.vms:
            return
        copies = 1 + (self.rng.random() < network.duplication)
        for _ in range(copies):
            if self.rng.random() >= network.loss:
                delay = self.rng.uniform(
                    network.min_delay_s, network.max_delay_s
                )
                self.schedule(delay, lambda: self._deliver(to, raw))

    def _deliver(self, to: str, raw: bytes) -> None:
        vm = self.vms[to]
        if vm.replica is None:
            return
        if vm.frozen_until > self.now:
            self.schedule(
                vm.frozen_until - self.now, lambda: self._deliver(to, raw)
            )
            return
        envelope = self._codec.decode(raw).ok
        self.handle(
            to, MessageReceived(self.now, envelope.sender, envelope.message)
        )

    def _check_commit(self, vm: Vm, version: int, entry: bytes) -> None:
        assert version == vm.committed + 1, 'commits out of order'
        vm.committed = version
        known = self.committed.setdefault(version, entry)
        assert known == entry, f'different records at index {version}'

    def _check_leader(self, vm: Vm) -> None:
        if vm.replica is not None and vm.context.role.value == 'leader':
            context = vm.context
            known = self.leaders.setdefault(context.term, context.disk)
            assert known == context.disk, f'two leaders in term {context.term}'

    def _new_disk(self) -> StoredState:
        self._disk_count += 1
        return StoredState(f'disk{self._disk_count}')
