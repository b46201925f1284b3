"""Simulation of targets that state what they take, and of attached VMs."""

from __future__ import annotations

import random
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import attrs

from cranberryseam.core import effects as fx
from cranberryseam.core.commands import CommandAnswer
from cranberryseam.core.events import TargetStatement
from tests.attachment.attached_fleet import (
    CONTROL,
    FORMATION_S,
    AttachedFleet,
    make_announcement,
    make_document,
    make_settings,
)
from tests.integration.harness import Process, Target

ACCOUNT: Final = 'asha'
_RATE: Final = 10_000.0
_ANNOUNCE_S: Final = 1.0
_WORK_S: Final = 0.3
_FIRST_PORT: Final = 1000


@attrs.frozen
class Arrival:
    """A request that reaches a target from one process of a VM."""

    at: float
    target: str
    process: Process


class StatingFleet(AttachedFleet):
    """Fleet that records the requests at targets, and their answers."""

    def __init__(
        self, folder: Path, seed: int, settings: dict[str, Any]
    ) -> None:
        super().__init__(folder, seed, settings)
        self.entries = [name for name in settings if name.startswith('e')]
        self.arrivals: list[Arrival] = []
        # First answer with a rate limit, by process and target.
        self.informed_at: dict[tuple[int, str], float] = {}
        self.stated_at: dict[str, float] = {}
        self.draws = random.Random(seed)

    def add_stating(self, count: int) -> None:
        """Add targets of the catalogue service, which announce themselves."""
        for number in range(count):
            name = f't{number}'
            self.targets[name] = Target(
                name,
                'katalogi',
                region='fleet',
                work_duration_s=lambda: _WORK_S,
            )
            self._announce_again(name, 1)

    def state_limit(self, target: str, max_rate: float | None) -> None:
        """Let a target state a rate limit from now on."""
        self.targets[target].statement = TargetStatement(max_rate)
        self.stated_at[target] = self.now

    def send_load(self, per_second: float, seconds: float) -> None:
        """Send requests at random times to random VMs."""
        at = 0.0
        while (at := at + self.draws.expovariate(per_second)) < seconds:
            vm = self.draws.choice(self.entries)
            self.schedule(at, lambda vm=vm: self.call(vm, ACCOUNT))

    def cut(self, vms: list[str], seconds: float) -> None:
        """Cut VMs off from all control VMs for some time."""
        links = {(vm, control) for vm in vms for control in CONTROL}
        lost = links | {link[::-1] for link in links}
        self.blocked_links |= lost
        self.schedule(
            seconds, lambda: self.blocked_links.difference_update(lost)
        )

    def stop_leader(self, seconds: float) -> None:
        """Kill the leader, which starts again later."""
        leader = self.leader()
        if leader:
            self.kill(leader)
            self.schedule(seconds, lambda: self.restart(leader))

    def restart_entries(self, vms: list[str]) -> None:
        """Kill entry VMs and start them again."""
        for vm in vms:
            self.kill(vm)
            self.restart(vm)

    def count_most(self, target: str, window_s: float, delay_s: float) -> int:
        """Return the most requests of informed VMs in a window.

        Parameters
        ----------
        delay_s
            Time from the first answer with the limit of a process from which
            its requests count.

        """
        times = [
            arrival.at
            for arrival in self.arrivals
            if arrival.target == target
            and arrival.at >= self.stated_at[target] + window_s
            and arrival.at
            >= self.informed_at.get(
                (id(arrival.process), target), arrival.at + 1
            )
            + delay_s
        ]
        most = first = 0
        for last, at in enumerate(times):
            while times[first] <= at - window_s:
                first += 1
            most = max(most, last + 1 - first)
        return most

    def _announce_again(self, name: str, sequence: int) -> None:
        running = [vm for vm in CONTROL if vm in self.processes]
        if running:
            announcement = make_announcement(
                name, sequence=sequence, port=_FIRST_PORT + int(name[1:])
            )
            self.announce(self.draws.choice(running), announcement)
        self.schedule(
            _ANNOUNCE_S, lambda: self._announce_again(name, sequence + 1)
        )

    def _start_attempt(self, process: Process, effect: fx.StartAttempt) -> None:
        self.arrivals.append(Arrival(self.now, effect.target, process))
        super()._start_attempt(process, effect)

    def _execute(self, process: Process, effect: Any) -> None:
        match effect:
            case fx.WriteLog(message='target statement changed', fields=fields):
                if fields['max_rate'] is not None:
                    key = (id(process), fields['target'])
                    self.informed_at.setdefault(key, self.now)
        super()._execute(process, effect)


@contextmanager
def run_stating_fleet(
    seed: int, vms: int, targets: int
) -> Iterator[StatingFleet]:
    """Run a fleet with one service."""
    names = (*CONTROL, *(f'e{number}' for number in range(vms)))
    with tempfile.TemporaryDirectory() as folder:
        fleet = StatingFleet(
            Path(folder), seed, {name: _settings(name) for name in names}
        )
        for name in names:
            fleet.start(name)
        fleet.run(FORMATION_S)
        answer = fleet.put(make_document(1, (ACCOUNT,), _RATE))
        assert isinstance(answer, CommandAnswer)
        fleet.add_stating(targets)
        fleet.run(4)
        yield fleet
        for run in tuple(fleet.processes.values()):
            run.stack.close()


def _settings(name: str) -> Any:
    settings = make_settings(name)
    return attrs.evolve(
        settings, keys=attrs.evolve(settings.keys, freshness_s=60)
    )


__all__ = ('StatingFleet', 'run_stating_fleet')
