"""Tests of timers on the event loop."""

from __future__ import annotations

import asyncio

import testtools

from cranberryseam.core.effects import CancelTimer, SetReadiness, SetTimer
from cranberryseam.core.events import Event
from cranberryseam.daemon.timers import Timers


class TimersTest(testtools.TestCase):
    """Guards against timers that are lost, late or fire twice."""

    def test_order_replacement_and_cancelling(self) -> None:
        fired: list[str] = []

        async def run() -> None:
            loop = asyncio.get_running_loop()

            def dispatch(event: Event) -> None:
                fired.append(event.name)
                if event.name == 'first':
                    timers.execute(SetTimer('p', 'next', loop.time() + 0.01))

            timers = Timers(loop.time, dispatch)
            now = loop.time()
            timers.execute(SetTimer('p', 'late', now + 0.5))
            timers.execute(SetTimer('p', 'first', now + 0.02))
            timers.execute(SetTimer('p', 'moved', now + 0.01))
            timers.execute(SetTimer('p', 'moved', now + 0.3))
            timers.execute(SetTimer('p', 'cancelled', now + 0.01))
            timers.execute(CancelTimer('p', 'cancelled'))
            running = asyncio.create_task(timers.run())
            await asyncio.sleep(0.8)
            running.cancel()

        asyncio.run(run())
        self.assertEqual(fired, ['first', 'next', 'moved', 'late'])

    def test_late_event_loop_is_reported(self) -> None:
        """Guards against a delayed event loop that leaves no log or metric."""
        observed: list[tuple[str, float]] = []

        async def run() -> None:
            loop = asyncio.get_running_loop()
            timers = Timers(
                loop.time,
                lambda _event: None,
                lambda name, seconds: observed.append((name, seconds)),
            )
            timers.execute(SetTimer('p', 'late', loop.time() - 0.5))
            running = asyncio.create_task(timers.run())
            await asyncio.sleep(0.01)
            running.cancel()

        with self.assertLogs('cranberryseam.daemon.timers', 'WARNING'):
            asyncio.run(run())
        ((name, seconds),) = observed
        self.assertEqual(name, 'loop.late')
        self.assertGreaterEqual(seconds, 0.5)

    def test_other_effects_are_not_handled(self) -> None:
        timers = Timers(lambda: 0, lambda _event: None)
        self.assertFalse(timers.execute(SetReadiness(True)))
