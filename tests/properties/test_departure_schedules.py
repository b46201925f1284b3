"""Property: an acknowledged departure binds all VMs, under random failures."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
import testtools
from parameterized import parameterized

from cranberryseam.core.events import Announcement, TargetState
from cranberryseam.types import ServiceName, TargetId
from tests.attachment.attached_fleet import (
    CONTROL,
    ENTRIES,
    AttachedFleet,
    make_announcement,
    run_fleet,
)

# A departed target gets no work this long after the acknowledgement.
DRAINED_S = 2.5
# A bound holds for VMs that were undisturbed for this long, while the control
# VMs were, too.
CALM_S = 4.0
SETTLED_S = 6.0
END_S = 40.0
HEARTBEAT_S = 1.5
LEAVE_AGAIN_S = 0.5
LEAVE_FOR_S = 6.0
AWAY_S = 5.0
KNOWN_MS = 2000
TARGETS = tuple(f't{number}' for number in range(6))


@attrs.define(eq=False)
class LeavingTarget:
    """A target that announces itself, leaves and starts again.

    Parameters
    ----------
    acknowledged
        Time of the acknowledgement by the start time that left.

    """

    name: str
    fleet: AttachedFleet
    rng: random.Random
    port: int
    born_ms: int = 0
    sequence: int = 0
    leaves_at: float = 0
    state: str = 'away'
    acknowledged: dict[int, float] = attrs.field(factory=dict)

    def start(self) -> None:
        """Begin to send heartbeats."""
        self.state = 'ready'
        self.born_ms = self.fleet.wall_ms()
        self.sequence = 0
        self.leaves_at = self.fleet.now + self.rng.uniform(3, 15)
        self.beat()

    def beat(self) -> None:
        """Send a heartbeat, now and then a copy that arrives late."""
        if self.state != 'ready':
            return
        if self.fleet.now >= self.leaves_at:
            self.leave()
            return
        self.sequence += 1
        came = self.make(TargetState.ready)
        self.tell(came)
        if self.rng.random() < 0.3:
            delay_s = self.rng.uniform(0.2, 4)
            self.fleet.later(delay_s, lambda: self.tell(came))
        self.fleet.later(HEARTBEAT_S, self.beat)

    def leave(self) -> None:
        """Say that it leaves until that is acknowledged."""
        self.state = 'leaving'
        self.sequence += 1
        bare = Announcement(
            TargetId(self.name),
            ServiceName(''),
            '',
            0,
            'fleet',
            '',
            1,
            1,
            TargetState.draining,
            0,
        )
        full = self.make(TargetState.draining)
        self.ask(self.rng.choice((bare, full)), self.fleet.now + LEAVE_FOR_S)

    def ask(self, came: Announcement, until: float) -> None:
        """Ask one control VM after the other for the acknowledgement."""
        accepted = self.tell(came)

        def check() -> None:
            if accepted():
                self.acknowledged[self.born_ms] = self.fleet.now
            elif self.fleet.now < until:
                self.ask(came, until)
                return
            self.state = 'away'
            self.fleet.later(AWAY_S, self.start)

        self.fleet.later(LEAVE_AGAIN_S, check)

    def make(self, state: TargetState) -> Announcement:
        """Return what it announces now."""
        return make_announcement(
            self.name,
            state=state,
            sequence=self.sequence,
            born_ms=self.born_ms,
            port=self.port,
        )

    def tell(self, came: Announcement) -> Callable[[], bool]:
        """Send an announcement to a control VM that runs."""
        live = [name for name in CONTROL if name in self.fleet.runs]
        if not live:
            return lambda: False
        return self.fleet.announce(self.rng.choice(live), came)


@attrs.define(eq=False)
class Schedule:
    """Failures of the control VMs and of the paths to them."""

    fleet: AttachedFleet
    rng: random.Random
    disturbed_at: dict[str, float] = attrs.field(factory=dict)

    def run(self, until: float) -> None:
        """Cause a failure every few seconds."""
        if self.fleet.now >= until:
            return
        failures = (
            self.kill_one,
            self.kill_all,
            self.isolate_leader,
            self.cut_entry,
            self.freeze_leader,
            self.kill_entry,
        )
        self.rng.choice(failures)()
        self.fleet.later(self.rng.uniform(2, 8), lambda: self.run(until))

    def note(self, names: tuple[str, ...] | list[str]) -> None:
        """Note a disturbance of VMs, for all if it is of control VMs."""
        for name in names:
            self.disturbed_at[name] = self.fleet.now

    def kill(self, names: tuple[str, ...] | list[str], away_s: float) -> None:
        """Kill processes; each starts again without its memory."""
        for name in names:
            if name in self.fleet.runs:
                self.fleet.kill(name)
                self.fleet.later(away_s, lambda name=name: self.start(name))
        self.note(names)

    def start(self, name: str) -> None:
        """Start a process again."""
        self.fleet.restart(name)
        self.note([name])

    def kill_one(self) -> None:
        """Kill a control VM."""
        self.kill([self.rng.choice(CONTROL)], self.rng.uniform(0.3, 2))

    def kill_all(self) -> None:
        """Kill all control VMs."""
        self.kill(CONTROL, self.rng.uniform(0.3, 1))

    def kill_entry(self) -> None:
        """Kill an entry VM."""
        self.kill([self.rng.choice(ENTRIES)], self.rng.uniform(0.3, 2))

    def isolate_leader(self) -> None:
        """Cut the leader off from the other control VMs."""
        leader = self.fleet.leader()
        self.cut([leader], [name for name in CONTROL if name != leader])

    def cut_entry(self) -> None:
        """Cut an entry VM off from all control VMs."""
        self.cut([self.rng.choice(ENTRIES)], list(CONTROL))

    def cut(self, some: list[str], others: list[str]) -> None:
        """Cut links for a while."""
        self.fleet.cut(some, others, both=True)
        self.note(some)

        def heal() -> None:
            self.fleet.cuts.clear()
            self.note(some)

        self.fleet.later(self.rng.uniform(1, 4), heal)

    def freeze_leader(self) -> None:
        """Let the leader stand still."""
        leader = self.fleet.leader()
        if leader:
            seconds = self.rng.uniform(0.5, 3)
            self.fleet.freeze(leader, seconds)
            self.note([leader])
            self.fleet.later(seconds, lambda: self.note([leader]))

    def is_calm(self, entry: str) -> bool:
        """Return whether bounds hold for an entry VM now."""
        latest = self.fleet.now - CALM_S
        return all(
            self.disturbed_at.get(name, 0) < latest
            for name in (entry, *CONTROL)
        )


def list_used(fleet: AttachedFleet, entry: str) -> dict[str, int]:
    """Return the targets that an entry VM may use, with their starts."""
    rows = fleet.runs[entry].node._component_by_name['attachment'].rows
    return {
        target: row.announcement.born_ms
        for target, row in rows.items()
        if row.announcement.state is not TargetState.draining
    }


def find_late(
    fleet: AttachedFleet, entry: str, targets: list[LeavingTarget]
) -> list[str]:
    """Return the targets that an entry VM uses after their departure."""
    used = list_used(fleet, entry)
    late = []
    for target in targets:
        acknowledged = target.acknowledged.get(used.get(target.name, -1))
        if acknowledged and fleet.now > acknowledged + DRAINED_S:
            late.append(target.name)
    return late


class DepartureScheduleTest(testtools.TestCase):
    """Guards against departures that some order of failures loses."""

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_schedule(self, seed: int) -> None:
        """Departures bind within their time, and only the starts that left."""
        self.run_seed(seed)

    def run_seed(self, seed: int) -> None:
        """Play one schedule and check it all the time."""
        rng = random.Random(seed)
        with run_fleet(seed) as fleet:
            targets = [
                LeavingTarget(name, fleet, rng, 1000 + number)
                for number, name in enumerate(TARGETS)
            ]
            for target in targets:
                fleet.later(rng.uniform(0, 2), target.start)
            schedule = Schedule(fleet, rng)
            end = fleet.now + END_S
            fleet.later(3, lambda: schedule.run(end))
            while fleet.now < end + SETTLED_S:
                fleet.run(0.25)
                for entry in ENTRIES:
                    if entry in fleet.runs and schedule.is_calm(entry):
                        self.assertEqual(
                            find_late(fleet, entry, targets), [], fleet.now
                        )
            self.check_end(fleet, targets)

    def check_end(
        self, fleet: AttachedFleet, targets: list[LeavingTarget]
    ) -> None:
        """Check that all VMs use the targets that are there, and no others."""
        for target in targets:
            target.leaves_at = fleet.now + SETTLED_S
        fleet.run(SETTLED_S / 2)
        # A heartbeat may have met a control VM that was just starting.
        known_ms = fleet.wall_ms() - KNOWN_MS
        ready = {
            target.name: target.born_ms
            for target in targets
            if target.state == 'ready' and target.born_ms < known_ms
        }
        for entry in ENTRIES:
            used = list_used(fleet, entry)
            self.assertEqual(find_late(fleet, entry, targets), [])
            self.assertEqual(
                ready,
                {name: born for name, born in used.items() if name in ready},
            )
