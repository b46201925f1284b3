"""Property tests: combined ejections of all VMs never go below the floor."""

from __future__ import annotations

import random

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.configuration.model import Configuration, Service
from cranberryseam.configuration.settings import (
    Addresses,
    Settings,
    VmSettings,
)
from cranberryseam.core.effects import SendMessage, SetTimer
from cranberryseam.core.events import (
    Announcement,
    MessageReceived,
    Started,
    TargetState,
    TimerFired,
)
from cranberryseam.core.notices import (
    ConfigurationChanged,
    SlotAssigned,
    TargetChanged,
)
from cranberryseam.routing import AdmitRequest, AttemptOutcome, Router
from cranberryseam.routing.floor import measure_capacity, min_healthy_slots

FLOOR = 0.5
STEP_S = 0.05
END_S = 45.0
VMS = ('a', 'b', 'c', 'd')
TARGETS = tuple(f't{number}' for number in range(6))


class LeadershipSchedule:
    """Leadership that alternates between ``a`` and ``b``.

    The lease is exclusive, as ownership guarantees. Other VMs learn of a change
    with a delay and may report to the previous leader.
    """

    def __init__(self, rng: random.Random) -> None:
        self.changes: list[tuple[float, str | None]] = [(0.0, 'a')]
        at = 0.0
        leader = 'a'
        while at < END_S:
            at += rng.uniform(8, 16)
            self.changes.append((at, None))
            leader = 'b' if leader == 'a' else 'a'
            at += rng.choice((0.0, 0.5, 3.0))
            self.changes.append((at, leader))

    def at(self, now: float) -> str | None:
        return [name for start, name in self.changes if start <= now][-1]


@attrs.define
class DelayedOwnership:
    leadership: LeadershipSchedule
    vm: str
    clock: list[float]
    delay_s: float

    def leader_of(self, region: str, shard_key: str) -> str | None:
        return self.leadership.at(max(0, self.clock[0] - self.delay_s))

    def is_leader(self, region: str, shard_key: str, at: float) -> bool:
        return self.leadership.at(at) == self.vm


class Fleet:
    """Four routers and six targets on a network with loss and delays."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = [0.0]
        self.leadership = LeadershipSchedule(self.rng)
        self.pending_messages: list[tuple[float, str, MessageReceived]] = []
        self.timers: dict[tuple[str, str], SetTimer] = {}
        self.request_number = 0
        self.failing: frozenset[str] = frozenset()
        self.failures_change_at = 0.0
        self.states = {name: TargetState.ready for name in TARGETS}
        self.routers: dict[str, Router] = {}
        for index, name in enumerate(VMS):
            settings = Settings(
                VmSettings(name, 'r', 'r1'), Addresses('x:1'), ('r',)
            )
            view = DelayedOwnership(
                self.leadership, name, self.clock, index * 0.4
            )
            router = Router(settings, view, random.Random(seed + index))
            self.routers[name] = router
            service = Service('work', FLOOR)
            configuration = Configuration(1, services={'work': service})
            for event in (
                Started(0, 0),
                ConfigurationChanged(0, configuration),
                *(
                    TargetChanged(0, build_announcement(target))
                    for target in TARGETS
                ),
            ):
                self.execute(name, router.handle(event))

    def step(self) -> None:
        self.clock[0] += STEP_S
        now = self.clock[0]
        if now >= self.failures_change_at:
            # A random half of the targets fails until the next change.
            self.failing = frozenset(self.rng.sample(TARGETS, 3))
            self.failures_change_at = now + self.rng.uniform(3, 12)
        for key, timer in list(self.timers.items()):
            if timer.at <= now:
                del self.timers[key]
                event = TimerFired(now, timer.component, timer.name)
                self.execute(key[0], self.routers[key[0]].handle(event))
        due = [
            message for message in self.pending_messages if message[0] <= now
        ]
        self.pending_messages = [
            message for message in self.pending_messages if message[0] > now
        ]
        self.rng.shuffle(due)
        for _, to, event in due:
            event = attrs.evolve(event, at=now)
            self.execute(to, self.routers[to].handle(event))
        for name in VMS:
            for _ in range(3):
                self.request(name, now)

    def request(self, vm: str, now: float) -> None:
        self.request_number += 1
        account = f'account{self.request_number % 5}'
        request = AdmitRequest(
            self.request_number,
            'work',
            account,
            1,
            'interactive',
            now + 5,
            True,
        )
        outputs = self.routers[vm].admit(request, now)
        for output in outputs:
            if isinstance(output, SlotAssigned):
                failed = output.target in self.failing
                outcome = AttemptOutcome.succeeded
                if failed:
                    outcome = AttemptOutcome.failed
                released = self.routers[vm].release(
                    request.request_id, outcome, now, 0.02
                )
                self.execute(vm, released)

    def execute(self, vm: str, outputs: list) -> None:
        for output in outputs:
            if isinstance(output, SetTimer):
                self.timers[vm, output.name] = output
            if isinstance(output, SendMessage):
                self.send(vm, output)

    def send(self, vm: str, output: SendMessage) -> None:
        now = self.clock[0]
        draw = self.rng.random()
        if draw < 0.1:
            return
        delivery_delay_s = 0.01 if draw < 0.7 else self.rng.uniform(0, 9)
        copies = 2 if draw > 0.9 else 1
        for _ in range(copies):
            event = MessageReceived(now, vm, output.message)
            self.pending_messages.append(
                (now + delivery_delay_s, output.to, event)
            )
            delivery_delay_s += self.rng.uniform(0, 9)

    def list_excluded(self) -> dict[str, frozenset[str]]:
        now = self.clock[0]
        return {
            name: router.excluded_targets('work', now)
            for name, router in self.routers.items()
        }

    def drain(self, target: str) -> None:
        self.states[target] = TargetState.draining
        for name, router in self.routers.items():
            announcement = build_announcement(target, TargetState.draining)
            notice = TargetChanged(self.clock[0], announcement)
            self.execute(name, router.handle(notice))

    def count_healthy_slots(self, excluded: frozenset[str]) -> int:
        known = [
            (build_announcement(name, self.states[name]), False)
            for name in TARGETS
        ]
        return measure_capacity(known, excluded).healthy


def build_announcement(
    name: str, state: TargetState = TargetState.ready
) -> Announcement:
    return Announcement(name, 'work', 'h', 80, 'r', 'r1', 4, 330, state, 1)


class EjectionFloorTest(testtools.TestCase):
    """Guards against ejections by successive leaders that add up.

    Messages are lost, duplicated, reordered and delayed by up to 18 s. The
    test fails if a new leader doesn't wait until the lease of the previous
    leader ends, if a lifted ejection isn't kept until the views that contain
    it have expired, or if a VM starts the lease of a view at its receipt.
    """

    @parameterized.expand([(seed,) for seed in range(12)])
    def test_union_of_exclusions_keeps_floor(self, seed: int) -> None:
        fleet = Fleet(seed)
        min_slots = min_healthy_slots(4 * len(TARGETS), FLOOR)
        ever_excluded: set[str] = set()
        while fleet.clock[0] < END_S:
            fleet.step()
            union = frozenset().union(*fleet.list_excluded().values())
            ever_excluded |= union
            self.assertGreaterEqual(
                fleet.count_healthy_slots(union),
                min_slots,
                (seed, fleet.clock, union),
            )
        self.assertNotEqual(set(), ever_excluded, 'no target was ejected')

    @parameterized.expand([(seed,) for seed in range(4)])
    def test_each_vm_keeps_floor_when_targets_drain(self, seed: int) -> None:
        """A VM drops ejections when targets drain, before its leader does."""
        fleet = Fleet(seed + 100)
        min_slots = min_healthy_slots(4 * len(TARGETS), FLOOR)
        drains = {20.0: TARGETS[0], 24.0: TARGETS[1], 30.0: TARGETS[2]}
        while fleet.clock[0] < END_S:
            fleet.step()
            for at in [at for at in drains if at <= fleet.clock[0]]:
                fleet.drain(drains.pop(at))
            for vm, excluded in fleet.list_excluded().items():
                if excluded:
                    self.assertGreaterEqual(
                        fleet.count_healthy_slots(excluded),
                        min_slots,
                        (seed, vm, excluded),
                    )

    def test_no_exclusion_without_fresh_leader(self) -> None:
        """Exclusions end within the lease if no views arrive."""
        fleet = Fleet(7)
        while not any(fleet.list_excluded().values()):
            fleet.step()
            self.assertLess(fleet.clock[0], END_S)
        fleet.send = lambda vm, output: None
        fleet.leadership.changes = [(0.0, None)]
        fleet.pending_messages = []
        for _ in range(int(5.1 / STEP_S)):
            fleet.step()
        self.assertEqual(
            {name: frozenset() for name in VMS}, fleet.list_excluded()
        )
