"""Simulation of one busy account on attached VMs while links are cut."""

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
from tests.attachment.attached_fleet import (
    CONTROL,
    FORMATION_S,
    AttachedFleet,
    make_document,
    make_settings,
)
from tests.integration.harness import Process, Target

ACCOUNT: Final = 'asha'
RATE: Final = 40.0
WINDOW_S: Final = 5.0
# The platform tolerates this excess in a window.
TOLERATED_SHARE: Final = 0.1
TOLERATED_TOKENS: Final = 20
ALLOWED: Final = (RATE * WINDOW_S + RATE) * (
    1 + TOLERATED_SHARE
) + TOLERATED_TOKENS
# Requests per second, as multiples of the account's rate.
BURST_LOAD: Final = 5.0
_TOKEN_COUNTERS: Final = 'limits.token_'
# Longer than any outage here, so that stale keys end no outage early.
_KEY_FRESHNESS_S: Final = 60.0


class LimitedFleet(AttachedFleet):
    """Fleet that records when tokens are granted, and from which source."""

    def __init__(
        self, folder: Path, seed: int, settings: dict[str, Any]
    ) -> None:
        super().__init__(folder, seed, settings)
        self.tokens: list[tuple[float, str]] = []
        self.entries = [name for name in settings if name.startswith('e')]
        self.draws = random.Random(seed)

    def _execute(self, process: Process, effect: Any) -> None:
        if isinstance(effect, fx.IncrementCounter):
            name = effect.name
            if name.startswith(_TOKEN_COUNTERS):
                source = name.removeprefix(_TOKEN_COUNTERS)
                self.tokens.append((self.now, source))
        super()._execute(process, effect)

    def send_load(self, load: float, seconds: float) -> None:
        """Send requests of the account at random times to random VMs.

        Parameters
        ----------
        load
            Requests per second, as a multiple of the account's rate.

        """
        at = 0.0
        while (at := at + self.draws.expovariate(load * RATE)) < seconds:
            vm = self.draws.choice(self.entries)
            self.schedule(at, lambda vm=vm: self.call(vm, ACCOUNT))

    def cut(self, vms: list[str], seconds: float, ways: str = 'both') -> None:
        """Cut VMs off from all control VMs for some time.

        Parameters
        ----------
        ways
            Direction that is lost: ``both``, ``requests`` from the VMs or
            ``replies`` to them.

        """
        links = {(vm, control) for vm in vms for control in CONTROL}
        replies = {link[::-1] for link in links}
        lost = {'requests': links, 'replies': replies}.get(
            ways, links | replies
        )
        self.blocked_links |= lost

        def heal() -> None:
            self.blocked_links -= lost

        self.schedule(seconds, heal)

    def stop_leader(self, kind: str, seconds: float) -> None:
        """Kill, freeze or cut off the owner of the limits for some time."""
        leader = self.leader()
        if not leader:
            return
        if kind == 'freeze':
            self.freeze(leader, seconds)
        elif kind == 'cut':
            rest = self.other_vms(leader)
            lost = {(leader, name) for name in rest}
            lost |= {link[::-1] for link in lost}
            self.blocked_links |= lost
            self.schedule(
                seconds, lambda: self.blocked_links.difference_update(lost)
            )
        else:
            self.kill(leader)
            self.schedule(seconds, lambda: self.restart(leader))

    def restart_entries(self, vms: list[str], seconds: float) -> None:
        """Kill entry VMs and start them again."""
        for vm in vms:
            if vm in self.processes:
                self.kill(vm)
                self.schedule(seconds, lambda vm=vm: self._start_again(vm))

    def _start_again(self, vm: str) -> None:
        if vm not in self.processes:
            self.settings[vm] = _settings(vm)
            self.start(vm)


@attrs.frozen
class Use:
    """Tokens used in the window with the most of them."""

    most: int
    since: float
    sources: dict[str, int]

    @property
    def share(self) -> float:
        """Tokens as a share of the allowed ones."""
        return self.most / ALLOWED


def find_most_used(tokens: list[tuple[float, str]]) -> Use:
    """Return the window of ``WINDOW_S`` with the most tokens."""
    most = Use(0, 0, {})
    first = 0
    for last, (at, _) in enumerate(tokens):
        while tokens[first][0] <= at - WINDOW_S:
            first += 1
        if last + 1 - first > most.most:
            window = [source for _, source in tokens[first : last + 1]]
            sources = {name: window.count(name) for name in set(window)}
            most = Use(len(window), tokens[first][0], sources)
    return most


@contextmanager
def run_limited_fleet(seed: int, vms: int) -> Iterator[LimitedFleet]:
    """Run a fleet with one account and a number of entry VMs."""
    names = (*CONTROL, *(f'e{number}' for number in range(vms)))
    with tempfile.TemporaryDirectory() as folder:
        fleet = LimitedFleet(
            Path(folder), seed, {name: _settings(name) for name in names}
        )
        fleet.targets['t1'] = Target('t1', 'katalogi')
        for name in names:
            fleet.start(name)
        fleet.run(FORMATION_S)
        answer = fleet.put(make_document(1, (ACCOUNT,), RATE))
        assert isinstance(answer, CommandAnswer)
        fleet.run(4)
        yield fleet
        for run in tuple(fleet.processes.values()):
            run.stack.close()


def run_drawn_faults(seed: int, vms: int, seconds: float = 16) -> Use:
    """Return the use of an account under a drawn series of faults."""
    with run_limited_fleet(seed, vms) as fleet:
        draws = random.Random(f'faults/{seed}')
        hot_at = draws.uniform(1, 4)
        fleet.send_load(0.6, hot_at)
        fleet.schedule(
            hot_at, lambda: fleet.send_load(BURST_LOAD, seconds - hot_at)
        )
        at = hot_at + draws.uniform(-0.5, 3)
        while at < seconds - 1:
            fleet.schedule(max(0, at), lambda: _inject_fault(fleet, draws))
            at += draws.uniform(0.5, 5)
        fleet.run(seconds)
        return find_most_used(fleet.tokens)


def _inject_fault(fleet: LimitedFleet, draws: random.Random) -> None:
    count = round(draws.uniform(0.2, 1) * len(fleet.entries))
    vms = draws.sample(fleet.entries, count)
    duration_s = draws.uniform(0.5, 6)
    match draws.randrange(6):
        case 0:
            kind = draws.choice(('kill', 'freeze', 'cut'))
            fleet.stop_leader(kind, duration_s)
        case 1:
            fleet.restart_entries(vms, draws.uniform(0.1, 0.8))
        case 2:
            fleet.cut(vms, duration_s, draws.choice(('requests', 'replies')))
        case _:
            fleet.cut(vms, duration_s)


def _settings(name: str) -> Any:
    settings = make_settings(name)
    return attrs.evolve(
        settings, keys=attrs.evolve(settings.keys, freshness_s=_KEY_FRESHNESS_S)
    )


__all__ = (
    'ALLOWED',
    'BURST_LOAD',
    'LimitedFleet',
    'Use',
    'find_most_used',
    'run_drawn_faults',
    'run_limited_fleet',
)
