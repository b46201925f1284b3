"""Simulation of many nodes in one process, in simulated time.

All messages are encoded and decoded. Disks, targets and callers are simple
fakes; the network adds a fixed delay.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random
import time
from collections import Counter

import attrs

from cranberryseam.assembly import build_codec, build_node
from cranberryseam.configuration.model import (
    Account,
    Key,
    Lists,
    Plan,
    Route,
    Service,
)
from cranberryseam.configuration.settings import (
    Addresses,
    ControlSettings,
    GroupSettings,
    PeerSettings,
    Settings,
    VmSettings,
)
from cranberryseam.control import StoredState
from cranberryseam.control.effects import StorageEffect
from cranberryseam.control.records import (
    LogBase,
    Member,
    Membership,
    Snapshot,
    StoredConfiguration,
)
from cranberryseam.core import effects as fx
from cranberryseam.core import events as ev
from cranberryseam.core.commands import Command

REGIONS = ('dar', 'aru', 'mwz')
CONTROL_VMS = 3
GROUP_SIZE = 3
SEEDS_PER_REGION = 2
WALL_S = 1_800_000_000.0
# After the start of all group members, so that their empty record tables count
# as complete.
INITIALISED_WALL_S = WALL_S + 5
SAME_REGION_DELAY_S = 0.0015
OTHER_REGION_DELAY_S = 0.03
SYNC_DELAY_S = 0.002
ANSWER_DELAY_S = 0.025
ANNOUNCE_PERIOD_S = 1.0
TARGET_KEY = hashlib.sha256(b'target').digest()
# Headers of IPv4 and of TCP with timestamps, and the 8-byte length prefix of
# pynng. Excludes TCP acknowledgements without data.
TRANSPORT_BYTES = 20 + 32 + 8
_FAILURES = (fx.RefuseRequest, fx.CutRequest)


@attrs.frozen
class Sizes:
    """Size of the simulated fleet.

    Parameters
    ----------
    nodes
        Number of entry VMs, in addition to three control VMs.
    rotate
        Whether each announcement of a target goes to another VM, as behind a
        load balancer, or always to the same one.

    """

    nodes: int = 45
    targets: int = 36
    routes: int = 10
    accounts: int = 8
    services: int = 3
    data_centres: int = 11
    rotate: bool = True


def build_lists(sizes: Sizes) -> Lists:
    """Return lists of the given size, with rates that no account reaches."""
    routes = tuple(
        Route(
            f'route-{number:05d}',
            f'service-{number % sizes.services:03d}',
            f'/api/{number:05d}/items',
            ('GET', 'POST'),
        )
        for number in range(sizes.routes)
    )
    names = tuple(route.name for route in routes)
    plans = tuple(
        Plan(name, 1e6, 100_000, 1, names) for name in ('small', 'large')
    )
    accounts = tuple(
        Account(f'account-{number:06d}', 'small')
        for number in range(sizes.accounts)
    )
    services = tuple(
        Service(f'service-{number:03d}', 0.5, 1000, (TARGET_KEY.hex(),))
        for number in range(sizes.services)
    )
    return Lists(accounts, plans, routes, services)


def hash_account_key(number: int) -> bytes:
    """Return the hash of the key of an account."""
    return hashlib.sha256(b'%d' % number).digest()


class Cost:
    """Traffic and CPU time of one measured interval."""

    def __init__(self) -> None:
        self.sent_bytes: Counter[tuple[str, str]] = Counter()
        self.sent: Counter[tuple[str, str]] = Counter()
        self.received_bytes: Counter[str] = Counter()
        self.cross_region_bytes: Counter[str] = Counter()
        self.cross_region_messages: Counter[str] = Counter()
        self.cpu_s: Counter[tuple[str, str]] = Counter()
        self.events: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()


class NodeNetwork:
    """Simulated entry and control VMs with disks, targets and callers."""

    def __init__(self, sizes: Sizes, seed: int) -> None:
        self.sizes = sizes
        self.rng = random.Random(seed)
        self.lists = build_lists(sizes)
        self.now = 0.0
        self.cost = Cost()
        self.answers: dict[int, object] = {}
        self._codec = build_codec()
        self._sequence_numbers = itertools.count()
        self._queue: list[tuple[float, int, str, object]] = []
        self._timers: dict[tuple[str, str, str], int] = {}
        self.entry = [f'vm{number:04d}' for number in range(sizes.nodes)]
        self.control = [f'control{number}' for number in range(CONTROL_VMS)]
        self._regions = {
            name: REGIONS[position % len(REGIONS)]
            for names in (self.entry, self.control)
            for position, name in enumerate(names)
        }
        self._groups = tuple(self._build_groups())
        snapshot = self._build_snapshot()
        self.nodes = {}
        for name in (*self.control, *self.entry):
            stored = None
            if name in self.control:
                stored = StoredState(
                    f'disk-{name}', 1, '', 1, snapshot, LogBase(1, 1)
                )
            node = build_node(
                self._build_settings(name), stored, self.rng.getrandbits(60)
            )
            self.nodes[name] = node
            self._schedule(self.rng.random() * 0.2, name, 'start')
        self._schedule_targets()

    def region(self, name: str) -> str:
        return self._regions[name]

    def run(self, seconds: float) -> None:
        """Advance time and handle all events that are due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, name, event = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            self._dispatch(name, event)
        self.now = end

    def start_interval(self) -> None:
        """Start a new measured interval with empty counts."""
        self.cost = Cost()

    def command(self, name: str, command: Command) -> int:
        """Send a command to a VM and return the number of its answer."""
        number = next(self._sequence_numbers)
        self.deliver(name, ev.CommandReceived(self.now, number, command))
        return number

    def request(self, name: str, account: int, route: int, at: float) -> None:
        """Schedule a request of an account."""
        self._schedule(at, name, (account, route))

    def deliver(self, name: str, event: ev.Event, kind: str = '') -> None:
        """Handle an event at a VM and execute its effects."""
        kind = kind or type(event).__name__
        started_at = time.process_time()
        effects = self.nodes[name].handle(event)
        self.cost.cpu_s[name, kind] += time.process_time() - started_at
        self.cost.events[kind] += 1
        for effect in effects:
            self._execute(name, effect)

    def _dispatch(self, name: str, event: object) -> None:
        match event:
            case 'start':
                self.deliver(name, ev.Started(self.now, WALL_S + self.now))
            case bytes():
                self._receive(name, event)
            case (str(component), str(timer), int(number)):
                if self._timers.get((name, component, timer)) == number:
                    del self._timers[name, component, timer]
                    fired = ev.TimerFired(self.now, component, timer)
                    self.deliver(name, fired, f'timer {component}.{timer[:8]}')
            case (int(account), int(route)):
                head = ev.RequestHead(
                    'GET',
                    f'/api/{route:05d}/items/1',
                    key_hashes=(hash_account_key(account),),
                )
                number = next(self._sequence_numbers)
                self.deliver(name, ev.RequestArrived(self.now, number, head))
            case ev.Announcement():
                self._announce(event)
            case ev.Event():
                self.deliver(name, attrs.evolve(event, at=self.now))

    def _receive(self, name: str, raw: bytes) -> None:
        started_at = time.process_time()
        envelope = self._codec.decode(raw).ok
        self.cost.cpu_s[name, 'decode'] += time.process_time() - started_at
        self.cost.received_bytes[name] += len(raw)
        message = envelope.message
        event = ev.MessageReceived(self.now, envelope.sender, message)
        self.deliver(name, event, type(message).__name__)

    def _execute(self, name: str, effect: object) -> None:
        match effect:
            case fx.SendMessage():
                self._send(name, effect)
            case fx.SetTimer(component=component, name=timer, at=at):
                number = next(self._sequence_numbers)
                self._timers[name, component, timer] = number
                self._schedule(
                    max(at, self.now), name, (component, timer, number)
                )
            case fx.CancelTimer(component=component, name=timer):
                self._timers.pop((name, component, timer), None)
            case StorageEffect(sync_id=sync_id):
                synced = ev.StorageSynced(0, sync_id)
                self._schedule(self.now + SYNC_DELAY_S, name, synced)
            case fx.StartAttempt(request_id=request, attempt_id=attempt):
                ready = ev.AnswerReady(0, request, attempt, 200, complete=True)
                self._schedule(self.now + ANSWER_DELAY_S, name, ready)
            case fx.ForwardAnswer(request_id=request, attempt_id=attempt):
                ended = ev.AnswerEnded(0, request, attempt, complete=True)
                self._schedule(self.now + 0.001, name, ended)
            case fx.AnswerCommand(command_id=command_id, answer=answer):
                self.answers[command_id] = answer
            case fx.RefuseRequest(refusal=refusal):
                self.cost.refused[refusal.reason.value] += 1

    def _send(self, name: str, effect: fx.SendMessage) -> None:
        kind = type(effect.message).__name__
        started_at = time.process_time()
        raw = self._codec.encode(name, effect.message)
        cost = self.cost
        cost.cpu_s[name, 'encode'] += time.process_time() - started_at
        cost.sent_bytes[name, kind] += len(raw)
        cost.sent[name, kind] += 1
        delay = SAME_REGION_DELAY_S
        if self.region(name) != self.region(effect.to):
            delay = OTHER_REGION_DELAY_S
            cost.cross_region_bytes[kind] += len(raw)
            cost.cross_region_messages[kind] += 1
        self._schedule(self.now + delay, effect.to, raw)

    def _schedule(self, at: float, name: str, event: object) -> None:
        heapq.heappush(
            self._queue, (at, next(self._sequence_numbers), name, event)
        )

    def _announce(self, announcement: ev.Announcement) -> None:
        number = int(announcement.target.rpartition('-')[2])
        entry_index = number
        if self.sizes.rotate:
            entry_index += announcement.sequence * 7
        name = self.entry[entry_index % len(self.entry)]
        event = ev.TargetAnnounced(self.now, announcement, TARGET_KEY, 0)
        self.deliver(name, event)
        next_announcement = attrs.evolve(
            announcement, sequence=announcement.sequence + 1
        )
        self._schedule(self.now + ANNOUNCE_PERIOD_S, '', next_announcement)

    def _schedule_targets(self) -> None:
        for number in range(self.sizes.targets):
            region = REGIONS[number % len(REGIONS)]
            service = number // len(REGIONS) % self.sizes.services
            announcement = ev.Announcement(
                target=f'target-{number}',
                service=f'service-{service:03d}',
                host=f'10.{number // 65536}.{number // 256 % 256}.'
                f'{number % 256}',
                port=8080,
                region=region,
                data_centre=f'{region}-{number % 4}',
                slots=6,
                connections=390,
                state=ev.TargetState.ready,
                sequence=1,
            )
            # Targets start after the VMs have received the configuration.
            self._schedule(6.0 + self.rng.random(), '', announcement)

    def _build_groups(self):
        for region in REGIONS:
            names = [vm for vm in self.entry if self.region(vm) == region]
            for start in range(0, len(names) - GROUP_SIZE + 1, GROUP_SIZE):
                vms = tuple(names[start : start + GROUP_SIZE])
                yield GroupSettings(f'{region}-{start:03d}', region, vms)

    def _build_snapshot(self) -> Snapshot:
        members = tuple(Member(name, f'disk-{name}') for name in self.control)
        keys = tuple(
            Key(f'key-{number:06d}', account.name, hash_account_key(number))
            for number, account in enumerate(self.lists.accounts)
        )
        lists = self.lists
        configuration = StoredConfiguration(
            1,
            1,
            INITIALISED_WALL_S,
            lists.accounts,
            lists.plans,
            lists.routes,
            lists.services,
            keys,
        )
        return Snapshot(1, 1, Membership(members, 'fleet'), configuration)

    def _build_settings(self, name: str) -> Settings:
        seeds = [*self.control, *self.entry[: SEEDS_PER_REGION * len(REGIONS)]]
        return Settings(
            vm=self._build_vm_settings(name),
            addresses=Addresses(peers=self._format_address(name)),
            regions=REGIONS,
            peers=tuple(
                PeerSettings(
                    seed,
                    self.region(seed),
                    self._build_vm_settings(seed).data_centre,
                    self._format_address(seed),
                    self._build_vm_settings(seed).roles,
                )
                for seed in seeds
                if seed != name
            ),
            groups=self._groups,
            control=ControlSettings(tuple(self.control), '/unused'),
        )

    def _build_vm_settings(self, name: str) -> VmSettings:
        region = self.region(name)
        role = 'control' if name in self.control else 'entry'
        number = int(name[-4:]) if role == 'entry' else 0
        per_region = max(self.sizes.data_centres // len(REGIONS), 1)
        data_centre = number // len(REGIONS) % per_region
        return VmSettings(name, region, f'{region}-{data_centre}', (role,))

    def _format_address(self, name: str) -> str:
        if name in self.control:
            return f'10.1.0.{int(name[-1])}:7000'
        number = int(name[2:])
        return f'10.0.{number // 250}.{number % 250}:7000'


__all__ = ('TRANSPORT_BYTES', 'NodeNetwork', 'Sizes', 'hash_account_key')
