"""Tests of requests that don't end before a stopping process.

Each case runs on a fleet of the project's own interface and on one whose VMs
are attached to the control leader, as on the platform.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager

import attrs
from parameterized import parameterized
from testtools import TestCase

from cranberryseam.configuration.settings import RequestSettings
from cranberryseam.core.refusals import Executed
from tests.attachment import attached_fleet

from . import fleets
from .harness import Fleet

# As on the platform, with a grace period of 6 s.
STOPPING = RequestSettings(drain_limit_s=5.3, drain_grace_s=2.5)
LATE_S = 2.3
SETTLE_S = 8.0
OWN = {'method': 'POST', 'path': '/orders'}
PLATFORM = {'method': 'POST'}
FleetFactory = Callable[[int], AbstractContextManager[Fleet]]


@contextmanager
def _run_attached(seed: int) -> Iterator[Fleet]:
    """Run a fleet of attached VMs whose target announces itself."""
    sequences = itertools.count(2)
    with attached_fleet.run_fleet(seed) as fleet:

        def announce() -> None:
            sequence = next(sequences)
            fleet.announce(
                'c2', attached_fleet.make_announcement(sequence=sequence)
            )
            fleet.schedule(1, announce)

        announce()
        yield fleet


INTERFACES: tuple[tuple[str, FleetFactory, str, dict[str, str]], ...] = (
    ('own', fleets.run_fleet, 'dar-2', OWN),
    ('platform', _run_attached, 'e1', PLATFORM),
)


class StopLimitTest(TestCase):
    """Requests that the process can't finish before it ends."""

    def _restart(self, fleet: Fleet, name: str, work_s: float) -> None:
        """Restart an entry VM with the settings of the test."""
        fleet.kill(name)
        fleet.settings[name] = attrs.evolve(
            fleet.settings[name], requests=STOPPING
        )
        fleet.start(name)
        for target in fleet.targets.values():
            target.work_duration_s = lambda: work_s
        fleet.run(SETTLE_S)

    @parameterized.expand(INTERFACES)
    def test_requests_at_the_limit(
        self,
        _: str,
        run_fleet: FleetFactory,
        name: str,
        order: dict[str, str],
    ) -> None:
        """Guards against connections that are cut without an answer."""
        with run_fleet(1) as fleet:
            self._restart(fleet, name, work_s=20)
            calls = [
                fleet.call(name, 'asha', timeout_s=30, **options)
                for options in ({}, order)
            ]
            fleet.run(0.5)
            fleet.stop(name)
            fleet.run(STOPPING.drain_limit_s + 1)
            self.assertNotIn(name, fleet.processes)
            self.assertEqual(
                [('outcome_unknown', Executed.unknown)] * len(calls),
                [(call.reason, call.refusal.ran) for call in calls],
            )

    @parameterized.expand(
        [
            (f'{interface[0]}_{case}', *interface[1:], work_s, reason)
            for interface in INTERFACES
            for case, work_s, reason in (
                ('too_long', 4.0, 'draining'),
                ('short', 1.0, ''),
            )
        ]
    )
    def test_late_in_the_grace(
        self,
        _: str,
        run_fleet: FleetFactory,
        name: str,
        order: dict[str, str],
        work_s: float,
        reason: str,
    ) -> None:
        """Guards against requests that are taken and cut at the end."""
        with run_fleet(1) as fleet:
            self._restart(fleet, name, work_s)
            for _number in range(8):
                for options in ({}, order):
                    fleet.call(name, 'asha', timeout_s=30, **options)
                fleet.run(work_s + 1)
            fleet.stop(name)
            fleet.run(LATE_S)
            late = [
                fleet.call(name, 'asha', timeout_s=30, **options)
                for options in ({}, order)
            ]
            fleet.run(STOPPING.drain_limit_s)
            self.assertNotIn(name, fleet.processes)
            self.assertEqual([reason] * 2, [call.reason for call in late])
            executions = 0 if reason else 1
            self.assertEqual(
                [executions] * 2, [call.executions for call in late]
            )
            self.assertEqual(
                [not reason] * 2, [bool(call.answer_complete) for call in late]
            )
