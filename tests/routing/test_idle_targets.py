"""Tests of the log of idle targets (pattern: targets that get no requests)."""

from __future__ import annotations

from parameterized import parameterized
from testtools import TestCase

from cranberryseam.core.effects import WriteLog
from cranberryseam.routing.idle_targets import IdleTargets
from cranberryseam.routing.target import hash_name
from cranberryseam.types import ServiceName, TargetId

READY = frozenset(map(TargetId, ('t1', 't2')))
PERCENTS = {hash_name('t1'): 3, hash_name('t2'): 91}


class IdleTargetsTest(TestCase):
    """The leader logs when a target becomes idle and when it is used again."""

    def setUp(self) -> None:
        super().setUp()
        self.idle = IdleTargets(ServiceName('katalogi'))
        self.logged: list[tuple[object, ...]] = []

    def _update(self, at: float, *used: str) -> None:
        for name in used:
            self.idle.record_use(TargetId(name), 1, at)
        outputs = self.idle.update(READY, at, lambda key, _: PERCENTS[key])
        self.logged += [
            (line.message, *list(line.fields.values())[1:])
            for line in outputs
            if isinstance(line, WriteLog)
        ]

    def test_idle_target_is_logged_once(self) -> None:
        """Guards against an idle target that leaves no trace in the log."""
        self._update(1, 't1', 't2')
        for at in range(2, 7):
            self._update(at, 't1')
        self._update(7, 't1', 't2')
        self._update(8, 't1', 't2')
        self.assertEqual(
            [
                ('target idle', 't2', 2.0, 91),
                ('idle target in use again', 't2', 6.0, 91),
            ],
            self.logged,
        )

    def test_service_without_requests(self) -> None:
        """Guards against lines about all targets of an unused service."""
        self._update(1, 't1', 't2')
        for at in range(2, 20):
            self._update(at)
        self.assertEqual([], self.logged)

    def test_target_that_left(self) -> None:
        """Guards against idle targets that are no longer ready."""
        self.idle.record_use(TargetId('gone'), 1, 1)
        self._update(2, 't1', 't2')
        self._update(5, 't1', 't2')
        self.assertEqual([], self.logged)


class OfferedTargetsTest(TestCase):
    """The leader names idle targets and the share of requests they should get.

    Pattern: a target that is avoided gives no outcomes that could change this.
    """

    def _run(self, rate: int, seconds: int) -> IdleTargets:
        idle = IdleTargets(ServiceName('katalogi'))
        idle.record_use(TargetId('t2'), 1, 0)
        for at in range(seconds):
            idle.record_use(TargetId('t1'), rate, at)
            idle.update(READY, at, lambda _key, _at: 0)
        return idle

    def test_idle_target_is_offered(self) -> None:
        """Guards against an idle target that VMs don't know of."""
        idle = self._run(rate=10, seconds=2)
        self.assertEqual((hash_name('t2'),), idle.list_idle(1.1))

    @parameterized.expand(
        [('few_requests', 1, 1000), ('many_requests', 100, 20)]
    )
    def test_share(self, _: str, rate: int, permille: int) -> None:
        """Guards against a burst of requests at an idle target."""
        idle = self._run(rate, seconds=30)
        self.assertAlmostEqual(permille, idle.permille, delta=1)
