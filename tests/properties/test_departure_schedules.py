"""Property tests: all VMs apply an acknowledged departure despite failures."""

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

# Time after the acknowledgement by which all VMs stop using a target.
DEPARTURE_TIMEOUT_S = 2.5
# Bounds apply to a VM if it and all control VMs were undisturbed for this long.
UNDISTURBED_S = 4.0
SETTLE_S = 6.0
END_S = 40.0
HEARTBEAT_PERIOD_S = 1.5
LEAVE_RETRY_S = 0.5
LEAVE_TIMEOUT_S = 6.0
RESTART_DELAY_S = 5.0
START_GRACE_MS = 2000
TARGETS = tuple(f't{number}' for number in range(6))


@attrs.define(eq=False)
class LeavingTarget:
    """A target that announces itself, departs and restarts.

    Parameters
    ----------
    acknowledged
        Time of the acknowledged departure by start time of the target.

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
        """Start to send heartbeats."""
        self.state = 'ready'
        self.born_ms = self.fleet.wall_ms()
        self.sequence = 0
        self.leaves_at = self.fleet.now + self.rng.uniform(3, 15)
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send a heartbeat, and sometimes a delayed duplicate of it."""
        if self.state != 'ready':
            return
        if self.fleet.now >= self.leaves_at:
            self.request_leave()
            return
        self.sequence += 1
        announcement = self.build_announcement(TargetState.ready)
        self.announce(announcement)
        if self.rng.random() < 0.3:
            delay_s = self.rng.uniform(0.2, 4)
            self.fleet.schedule(delay_s, lambda: self.announce(announcement))
        self.fleet.schedule(HEARTBEAT_PERIOD_S, self.send_heartbeat)

    def request_leave(self) -> None:
        """Announce the departure until it is acknowledged."""
        self.state = 'leaving'
        self.sequence += 1
        minimal = Announcement(
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
        full = self.build_announcement(TargetState.draining)
        self.request_departure(
            self.rng.choice((minimal, full)), self.fleet.now + LEAVE_TIMEOUT_S
        )

    def request_departure(
        self, announcement: Announcement, until: float
    ) -> None:
        """Announce the departure to random control VMs until a time."""
        accepted = self.announce(announcement)

        def check() -> None:
            if accepted():
                self.acknowledged[self.born_ms] = self.fleet.now
            elif self.fleet.now < until:
                self.request_departure(announcement, until)
                return
            self.state = 'away'
            self.fleet.schedule(RESTART_DELAY_S, self.start)

        self.fleet.schedule(LEAVE_RETRY_S, check)

    def build_announcement(self, state: TargetState) -> Announcement:
        """Return the current announcement of the target."""
        return make_announcement(
            self.name,
            state=state,
            sequence=self.sequence,
            born_ms=self.born_ms,
            port=self.port,
        )

    def announce(self, announcement: Announcement) -> Callable[[], bool]:
        """Send an announcement to a random running control VM."""
        running = [name for name in CONTROL if name in self.fleet.processes]
        if not running:
            return lambda: False
        return self.fleet.announce(self.rng.choice(running), announcement)


@attrs.define(eq=False)
class FaultSchedule:
    """Random failures of VMs and of links to the control VMs."""

    fleet: AttachedFleet
    rng: random.Random
    last_disturbed_at: dict[str, float] = attrs.field(factory=dict)

    def run(self, until: float) -> None:
        """Inject a failure every few seconds."""
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
        self.fleet.schedule(self.rng.uniform(2, 8), lambda: self.run(until))

    def record_disturbance(self, names: tuple[str, ...] | list[str]) -> None:
        """Record a disturbance of VMs at the current time."""
        for name in names:
            self.last_disturbed_at[name] = self.fleet.now

    def kill(
        self, names: tuple[str, ...] | list[str], downtime_s: float
    ) -> None:
        """Kill processes; each restarts with empty memory."""
        for name in names:
            if name in self.fleet.processes:
                self.fleet.kill(name)
                self.fleet.schedule(
                    downtime_s, lambda name=name: self.start(name)
                )
        self.record_disturbance(names)

    def start(self, name: str) -> None:
        """Restart a process."""
        self.fleet.restart(name)
        self.record_disturbance([name])

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
        """Isolate the leader from the other control VMs."""
        leader = self.fleet.leader()
        self.block_links([leader], [name for name in CONTROL if name != leader])

    def cut_entry(self) -> None:
        """Isolate an entry VM from all control VMs."""
        self.block_links([self.rng.choice(ENTRIES)], list(CONTROL))

    def block_links(self, isolated: list[str], others: list[str]) -> None:
        """Block links for a random time."""
        self.fleet.block_links(isolated, others, both=True)
        self.record_disturbance(isolated)

        def unblock() -> None:
            self.fleet.blocked_links.clear()
            self.record_disturbance(isolated)

        self.fleet.schedule(self.rng.uniform(1, 4), unblock)

    def freeze_leader(self) -> None:
        """Suspend the leader for a random time."""
        leader = self.fleet.leader()
        if leader:
            seconds = self.rng.uniform(0.5, 3)
            self.fleet.freeze(leader, seconds)
            self.record_disturbance([leader])
            self.fleet.schedule(
                seconds, lambda: self.record_disturbance([leader])
            )

    def is_undisturbed(self, entry: str) -> bool:
        """Return whether the bounds apply to an entry VM now."""
        latest = self.fleet.now - UNDISTURBED_S
        return all(
            self.last_disturbed_at.get(name, 0) < latest
            for name in (entry, *CONTROL)
        )


def list_usable_targets(fleet: AttachedFleet, entry: str) -> dict[str, int]:
    """Return the targets that an entry VM may use, with their start times."""
    rows = fleet.processes[entry].node._component_by_name['attachment'].rows
    return {
        target: row.announcement.born_ms
        for target, row in rows.items()
        if row.announcement.state is not TargetState.draining
    }


def find_wrongly_used(
    fleet: AttachedFleet, entry: str, targets: list[LeavingTarget]
) -> list[str]:
    """Return the targets that an entry VM still uses after they departed."""
    usable = list_usable_targets(fleet, entry)
    wrongly_used = []
    for target in targets:
        acknowledged = target.acknowledged.get(usable.get(target.name, -1))
        if acknowledged and fleet.now > acknowledged + DEPARTURE_TIMEOUT_S:
            wrongly_used.append(target.name)
    return wrongly_used


class DepartureScheduleTest(testtools.TestCase):
    """Guards against departures that are lost in a sequence of failures."""

    @parameterized.expand([(seed,) for seed in range(8)])
    def test_schedule(self, seed: int) -> None:
        """Departures take effect in time, and only for the departed runs."""
        self.check_seed(seed)

    def check_seed(self, seed: int) -> None:
        """Run the schedule of a seed and check the targets throughout."""
        rng = random.Random(seed)
        with run_fleet(seed) as fleet:
            targets = [
                LeavingTarget(name, fleet, rng, 1000 + number)
                for number, name in enumerate(TARGETS)
            ]
            for target in targets:
                fleet.schedule(rng.uniform(0, 2), target.start)
            schedule = FaultSchedule(fleet, rng)
            end = fleet.now + END_S
            fleet.schedule(3, lambda: schedule.run(end))
            while fleet.now < end + SETTLE_S:
                fleet.run(0.25)
                for entry in ENTRIES:
                    if entry in fleet.processes and schedule.is_undisturbed(
                        entry
                    ):
                        self.assertEqual(
                            find_wrongly_used(fleet, entry, targets),
                            [],
                            fleet.now,
                        )
            self.check_end(fleet, targets)

    def check_end(
        self, fleet: AttachedFleet, targets: list[LeavingTarget]
    ) -> None:
        """Check that all VMs use the announced targets and no others."""
        for target in targets:
            target.leaves_at = fleet.now + SETTLE_S
        fleet.run(SETTLE_S / 2)
        # The first heartbeat may have reached a control VM during its start.
        known_ms = fleet.wall_ms() - START_GRACE_MS
        ready = {
            target.name: target.born_ms
            for target in targets
            if target.state == 'ready' and target.born_ms < known_ms
        }
        for entry in ENTRIES:
            usable = list_usable_targets(fleet, entry)
            self.assertEqual(find_wrongly_used(fleet, entry, targets), [])
            self.assertEqual(
                ready,
                {name: born for name, born in usable.items() if name in ready},
            )
