"""Tests of control VMs whose disks are full, one after another."""

from __future__ import annotations

import random
from typing import Any

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core.commands import CommandAnswer
from tests.integration.harness import Process

from .attached_fleet import CONTROL, AttachedFleet, make_document, run_fleet

_RETRY_S = 0.1
_ACKNOWLEDGED_S = 4.0


class _FullDisks:
    """Delays the syncs of a VM while its disk is full, as the daemon does."""

    def __init__(self, fleet: AttachedFleet) -> None:
        self.full = ''
        self._complete = fleet._complete_sync
        self._fleet = fleet
        self._waiting: dict[int, list[Any]] = {}
        fleet._complete_sync = self.complete_sync  # type: ignore[method-assign]

    def complete_sync(self, process: Process, effect: Any) -> None:
        """Queue the effects of a disk, and execute them in order."""
        queue = self._waiting.setdefault(id(process), [])
        queue.append(effect)
        if len(queue) == 1:
            self._drain(process)

    def _drain(self, process: Process) -> None:
        queue = self._waiting[id(process)]
        if process.name == self.full:
            self._fleet.schedule(_RETRY_S, lambda: self._drain(process))
            return
        while queue:
            self._complete(process, queue[0])
            queue.pop(0)


class FullDiskTest(TestCase):
    """Changes during and after disks that refuse writes for some seconds."""

    @parameterized.expand([(seed,) for seed in range(16)])
    def test_one_after_another(self, seed: int) -> None:
        """Guards against changes that are refused or stay unanswered after
        the last disk has room again.
        """
        draws = random.Random(seed)
        with run_fleet(seed) as fleet:
            disks = _FullDisks(fleet)
            version = 1
            for step in range(6):
                fleet.run_until(fleet.leader, 10)
                others = [name for name in CONTROL if name != fleet.leader()]
                leads = draws.random() < 0.5
                disks.full = fleet.leader() if leads else draws.choice(others)
                for _ in range(draws.randrange(1, 5)):
                    version += 1
                    self._send(fleet, version, draws)
                    fleet.run(draws.uniform(0.2, 1.5))
                if seed % 4 == 3 and step % 2:
                    fleet.kill(disks.full)
                    fleet.run(0.3)
                    fleet.restart(disks.full)
                disks.full = ''
                fleet.run(draws.uniform(0, 2))
            fleet.run(2)
            for _ in range(3):
                version += 1
                answer = fleet.command(fleet.leader(), make_document(version))
                fleet.run_until(answer, _ACKNOWLEDGED_S)
                self.assertIsInstance(answer(), CommandAnswer)
                self.assertEqual(fleet.read().version, version)

    def _send(
        self, fleet: AttachedFleet, version: int, draws: random.Random
    ) -> None:
        """Send a change to a control VM, which may not answer."""
        running = [name for name in CONTROL if name in fleet.processes]
        fleet.command(draws.choice(running), make_document(version))
