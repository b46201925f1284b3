"""Tests of the effect executor."""

from __future__ import annotations

import testtools

from cranberryseam.configuration.settings import StatsdSettings
from cranberryseam.core.effects import Effect, SetReadiness, StopProcess
from cranberryseam.core.events import Event, PauseSuspected, StopRequested
from cranberryseam.daemon.clock import Clock
from cranberryseam.daemon.executor import Executor
from cranberryseam.daemon.metrics import Metrics


class _Node:
    """Reducer that returns the same effects for each event."""

    def __init__(self, *effects: Effect) -> None:
        self.seen: list[Event] = []
        self._effects = list(effects)

    def handle(self, event: Event) -> list[Effect]:
        self.seen.append(event)
        return self._effects


def _fail(effect: Effect) -> bool:
    raise OSError('no space left on device')


class ExecutorTest(testtools.TestCase):
    """Guards against a process that keeps running without handling events."""

    def _build(self, node: _Node, clock: Clock | None = None) -> Executor:
        self.stops: list[None] = []
        metrics = Metrics(StatsdSettings())
        stop = lambda: self.stops.append(None)  # noqa: E731
        return Executor(node, clock or Clock(), metrics, stop)

    def test_failed_effect_stops_the_process(self) -> None:
        node = _Node(SetReadiness(True))
        executor = self._build(node)
        executor.add_handler(_fail)
        self.assertRaises(OSError, executor.dispatch, StopRequested(1))
        self.assertTrue(executor.failed)
        self.assertEqual(len(self.stops), 1)
        executor.dispatch(StopRequested(2))
        self.assertEqual(len(node.seen), 1)

    def test_planned_stop_is_no_failure(self) -> None:
        executor = self._build(_Node(StopProcess()))
        executor.dispatch(StopRequested(1))
        self.assertFalse(executor.failed)
        self.assertEqual(len(self.stops), 1)

    def test_pause_comes_before_the_event(self) -> None:
        wall = [5000.0]
        clock = Clock(lambda: 100.0, lambda: wall[0])
        node = _Node()
        executor = self._build(node, clock)
        wall[0] += 60
        executor.dispatch(StopRequested(clock.read()))
        kinds = [type(event) for event in node.seen]
        self.assertEqual(kinds, [PauseSuspected, StopRequested])
