"""Timers of the reducer, run on the event loop."""

from __future__ import annotations

import heapq
import itertools
import logging
from collections.abc import Callable
from typing import Final

import anyio

from ..core.effects import CancelTimer, Effect, SetTimer
from ..core.events import Event, TimerFired

# Longest time between two reads of the clock, so that a pause of the VM is
# detected even when no timer is due.
MAX_SLEEP_S: Final = 0.5
# The control leader is polled every 0.35 s; an event loop that is delayed for
# longer works with outdated state.
LATE_THRESHOLD_S: Final = 0.35
_MS_PER_S: Final = 1000
_logger = logging.getLogger(__name__)


def _ignore_duration(_name: str, _seconds: float) -> None:
    """Discard a duration."""


class Timers:
    """Execute ``SetTimer`` effects and dispatch ``TimerFired`` events.

    Parameters
    ----------
    clock
        Returns the current time in seconds.
    dispatch
        Receives the events.
    observe
        Receives a metric name and the delay of a timer in seconds.

    """

    def __init__(
        self,
        clock: Callable[[], float],
        dispatch: Callable[[Event], None],
        observe: Callable[[str, float], None] = _ignore_duration,
    ) -> None:
        """Start with no timers set."""
        self._clock = clock
        self._dispatch = dispatch
        self._observe = observe
        self._deadlines: dict[tuple[str, str], tuple[float, int]] = {}
        self._heap: list[tuple[float, int, str, str]] = []
        self._sequence = itertools.count()
        self._changed = anyio.Event()

    def execute(self, effect: Effect) -> bool:
        """Set or cancel a timer; return False for other effects."""
        if isinstance(effect, SetTimer):
            self._set(effect)
            return True
        if isinstance(effect, CancelTimer):
            self._deadlines.pop((effect.component, effect.name), None)
            return True
        return False

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            self._changed = anyio.Event()
            self._fire_due()
            delay = MAX_SLEEP_S
            if self._heap:
                delay = min(delay, self._heap[0][0] - self._clock())
            with anyio.move_on_after(max(delay, 0)):
                await self._changed.wait()

    def _set(self, effect: SetTimer) -> None:
        due = (effect.at, next(self._sequence))
        self._deadlines[(effect.component, effect.name)] = due
        earliest = not self._heap or effect.at < self._heap[0][0]
        heapq.heappush(self._heap, (*due, effect.component, effect.name))
        if earliest:
            self._changed.set()

    def _fire_due(self) -> None:
        now = self._clock()
        if self._heap and self._heap[0][0] <= now:
            self._report_lateness(now - self._heap[0][0])
        while self._heap and self._heap[0][0] <= now:
            at, order, component, name = heapq.heappop(self._heap)
            if self._deadlines.get((component, name)) == (at, order):
                self._deadlines.pop((component, name))
                self._dispatch(TimerFired(self._clock(), component, name))

    def _report_lateness(self, late_s: float) -> None:
        self._observe('loop.late', late_s)
        if late_s > LATE_THRESHOLD_S:
            fields = {'late_ms': round(late_s * _MS_PER_S)}
            _logger.warning('event loop was late', extra={'fields': fields})


__all__ = ('Timers',)
