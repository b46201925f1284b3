"""Simulation of ownership, limits and idempotency on several VMs."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from itertools import count

import attrs

from cranberryseam.configuration.model import Account, Configuration, Plan
from cranberryseam.configuration.settings import (
    Addresses,
    GroupSettings,
    Settings,
    VmSettings,
)
from cranberryseam.core import events, notices
from cranberryseam.core.effects import CancelTimer, SendMessage, SetTimer
from cranberryseam.idempotency import Claims
from cranberryseam.limits import Limiter
from cranberryseam.ownership import Ownership
from cranberryseam.types import AccountId, Output, RequestId, VmId

WALL_S = 1_700_000_000.0
# Time until a new fleet has elected leaders, and until their buckets are open.
LEADER_ELECTED_S = 7.0
# Simulations send fewer than 20,000; the limit turns an endless exchange of
# messages into a failure instead of a test that never ends.
MAX_MESSAGES = 100_000
BUCKETS_OPEN_S = 10.0


@attrs.define
class Network:
    """Probabilities of message faults, and disconnected links."""

    loss: float = 0
    duplication: float = 0
    long_delay: float = 0
    latency_s: float = 0.002
    max_delay_s: float = 3.0
    cut: set[tuple[str, str]] = attrs.field(factory=set)
    extra_delay_s: dict[tuple[str, str], float] = attrs.field(factory=dict)


@attrs.define
class Vm:
    """Simulated VM: its components and its clock.

    Parameters
    ----------
    offset_s, speed
        The clock shows ``offset_s + speed * time``.

    """

    settings: Settings
    components: tuple[Ownership, Limiter, Claims]
    offset_s: float
    speed: float = 1.0
    run: int = 0
    frozen_until: float = 0
    down: bool = False
    timers: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def local_time(self, now: float) -> float:
        return self.offset_s + self.speed * now


def name_vms(region: str, size: int) -> tuple[str, ...]:
    return tuple(f'{region}{number}' for number in range(size))


class Fleet:
    """Simulated network and clock; a seed determines the whole run."""

    def __init__(
        self,
        seed: int,
        regions: dict[str, int],
        accounts: Iterable[Account] = (),
        plans: Iterable[Plan] = (),
        drift: float = 0,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.network = Network()
        self.drift = drift
        self.faults_enabled = True
        self.notices: list[tuple[float, str, notices.Notice]] = []
        self.sent: list[SendMessage] = []
        self.listeners: list[Callable[[float, str, notices.Notice], None]] = []
        self.configuration = Configuration(
            1,
            1,
            WALL_S - 1000,
            {account.name: account for account in accounts},
            {plan.name: plan for plan in plans},
        )
        self.regions = regions
        self.groups = tuple(
            GroupSettings(f'{region}-g', region, name_vms(region, 3))
            for region in regions
        )
        self._order = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.vms: dict[str, Vm] = {}
        for region, size in regions.items():
            for name in name_vms(region, size):
                self.vms[name] = self._make_vm(name, region)
        for name in self.vms:
            self._start(name)

    def run_until(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heappop(self._queue)
            action()
        self.now = until

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        heappush(self._queue, (at, next(self._order), action))

    def restart(self, name: str, pause_s: float = 0.2) -> None:
        vm = self.vms[name]
        vm.down = True
        vm.run += 1
        run = vm.run

        def start() -> None:
            if self.vms[name].run == run:
                fresh = self._make_vm(name, vm.settings.vm.region)
                fresh.run = run + 1
                self.vms[name] = fresh
                self._start(name)

        self.schedule(self.now + pause_s, start)

    def freeze(self, name: str, duration_s: float) -> None:
        self.vms[name].frozen_until = self.now + duration_s

    def cut(self, sender: str, receiver: str) -> None:
        self.network.cut.add((sender, receiver))

    def isolate(self, name: str, *, receives: bool, sends: bool) -> None:
        for other in self.vms:
            if other != name and not receives:
                self.cut(other, name)
            if other != name and not sends:
                self.cut(name, other)

    def heal(self) -> None:
        self.network.cut.clear()

    def change(self, configuration: Configuration, lag_s: float = 0) -> None:
        """Change the configuration on each VM, within a random lag."""
        self.configuration = configuration
        for name in self.vms:
            at = self.now + self.rng.random() * lag_s
            self.schedule(at, lambda name=name: self.configure(name))

    def configure(self, name: str) -> None:
        def notify(vm: Vm) -> list[Output]:
            return [
                notices.ConfigurationChanged(
                    vm.local_time(self.now), self.configuration
                )
            ]

        self.call(name, notify)

    def call(self, name: str, action: Callable[[Vm], list[Output]]) -> None:
        """Call a component of a VM; delayed if it is frozen, never if down."""
        vm = self.vms[name]
        run = vm.run

        def call() -> None:
            current = self.vms[name]
            if current.down or current.run != run:
                return
            if self.now < current.frozen_until:
                self.schedule(current.frozen_until, call)
            else:
                self._execute(name, action(current))

        call()

    def acquire(self, name: str, request: int, account: str) -> None:
        self.call(
            name,
            lambda vm: vm.components[1].acquire(
                RequestId(request), AccountId(account), vm.local_time(self.now)
            ),
        )

    def claim(self, name: str, request: int, account: str, key: str) -> None:
        self.call(
            name,
            lambda vm: vm.components[2].claim(
                RequestId(request),
                AccountId(account),
                key,
                b'f',
                vm.local_time(self.now),
            ),
        )

    def handle(self, name: str, make: Callable[[float], events.Event]) -> None:
        def handle(vm: Vm) -> list[Output]:
            event = make(vm.local_time(self.now))
            return [
                output
                for component in vm.components
                for output in component.handle(event)
            ]

        self.call(name, handle)

    def leaders(self, group: str) -> list[str]:
        """Return all VMs that hold a group's lease by their own clocks."""
        return [
            name
            for name, vm in self.vms.items()
            if not vm.down
            and vm.components[0].term_of(group, vm.local_time(self.now))
            is not None
        ]

    def _make_vm(self, name: str, region: str) -> Vm:
        settings = Settings(
            VmSettings(name, region, f'{region}-dc'),
            Addresses('127.0.0.1:0'),
            tuple(self.regions),
            groups=self.groups,
        )
        rng = random.Random(self.rng.random())
        ownership = Ownership(settings, rng)
        components = (
            ownership,
            Limiter(settings, ownership, rng),
            Claims(settings, ownership, rng),
        )
        speed = 1 + self.rng.uniform(-self.drift, self.drift)
        return Vm(settings, components, self.rng.random() * 1000, speed)

    def _start(self, name: str) -> None:
        skew_s = self.rng.uniform(-0.2, 0.2)
        wall_s = WALL_S + self.now + skew_s
        self.handle(name, lambda at: events.Started(at, wall_s))
        self.configure(name)

    def _execute(self, name: str, outputs: list[Output]) -> None:
        vm = self.vms[name]
        pending = list(outputs)
        while pending:
            output = pending.pop(0)
            match output:
                case notices.Notice():
                    self.notices.append((self.now, name, output))
                    for listener in self.listeners:
                        listener(self.now, name, output)
                    for component in vm.components:
                        pending.extend(component.handle(output))
                case SetTimer():
                    self._set_timer(name, vm, output)
                case CancelTimer():
                    vm.timers.pop((output.component, output.name), None)
                case SendMessage():
                    self._send(name, output)

    def _set_timer(self, name: str, vm: Vm, timer: SetTimer) -> None:
        key = (timer.component, timer.name)
        number = next(self._order)
        vm.timers[key] = number
        due = max(self.now, (timer.at - vm.offset_s) / vm.speed)

        def fire() -> None:
            # Timers belong to a process; a restart replaces the VM object.
            if self.vms[name] is not vm or vm.timers.get(key) != number:
                return
            if self.now < vm.frozen_until:
                self.schedule(vm.frozen_until, fire)
                return
            self.handle(name, lambda at: events.TimerFired(at, *key))

        self.schedule(due + 1e-6, fire)

    def _send(self, sender: str, output: SendMessage) -> None:
        self.sent.append(output)
        if len(self.sent) > MAX_MESSAGES:
            raise AssertionError('message storm')
        network = self.network
        copies = 1 + (self.rng.random() < network.duplication)
        for _ in range(copies):
            if self.rng.random() >= network.loss:
                delay = network.latency_s * (1 + self.rng.random())
                delay += network.extra_delay_s.get((sender, output.to), 0)
                if self.rng.random() < network.long_delay:
                    delay += self.rng.random() * network.max_delay_s
                self.schedule(
                    self.now + delay,
                    lambda: self._deliver(sender, output),
                )

    def _deliver(self, sender: str, output: SendMessage) -> None:
        if (sender, output.to) in self.network.cut:
            return
        self.handle(
            output.to,
            lambda at: events.MessageReceived(at, VmId(sender), output.message),
        )


__all__ = ('LEADER_ELECTED_S', 'BUCKETS_OPEN_S', 'Fleet', 'Network', 'name_vms')
