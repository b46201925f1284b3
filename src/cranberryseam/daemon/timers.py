"""Timers of the reducer on the event loop."""

from __future__ import annotations

import heapq
import itertools
import logging
from collections.abc import Callable
from typing import Final

import anyio

from ..core.effects import CancelTimer, Effect, SetTimer
from ..core.events import Event, TimerFired

# The loop looks at the clock at least this often, so that a pause of the VM
# is seen even while nothing else happens.
LONGEST_SLEEP_S: Final = 0.5
# Polls of the control leader are 0.35 s apart; a loop that is late by more
# uses old knowledge.
LATE_S: Final = 0.35
_MS: Final = 1000
_logger = logging.getLogger(__name__)


def _observe_nothing(_name: str, _seconds: float) -> None:
    """Drop a duration."""


class Timers:
    """Turns ``SetTimer`` effects into ``TimerFired`` events.

    Parameters
    ----------
    clock
        Time of the reducer's events, in seconds.
    dispatch
        Takes the events.
    observe
        Takes by how many seconds timers fired late.

    """

    def __init__(
        self,
        clock: Callable[[], float],
        dispatch: Callable[[Event], None],
        observe: Callable[[str, float], None] = _observe_nothing,
    ) -> None:
        """Start without timers."""
        self._clock = clock
        self._dispatch = dispatch
        self._observe = observe
        self._due: dict[tuple[str, str], tuple[float, int]] = {}
        self._heap: list[tuple[float, int, str, str]] = []
        self._order = itertools.count()
        self._changed = anyio.Event()

    def execute(self, effect: Effect) -> bool:
        """Set or cancel a timer; return False for any other effect."""
        if isinstance(effect, SetTimer):
            self._set(effect)
            return True
        if isinstance(effect, CancelTimer):
            self._due.pop((effect.component, effect.name), None)
            return True
        return False

    async def run(self) -> None:
        """Fire timers until cancelled."""
        while True:
            self._changed = anyio.Event()
            self._fire_due()
            delay = LONGEST_SLEEP_S
            if self._heap:
                delay = min(delay, self._heap[0][0] - self._clock())
            with anyio.move_on_after(max(delay, 0)):
                await self._changed.wait()

    def _set(self, effect: SetTimer) -> None:
        due = (effect.at, next(self._order))
        self._due[(effect.component, effect.name)] = due
        earliest = not self._heap or effect.at < self._heap[0][0]
        heapq.heappush(self._heap, (*due, effect.component, effect.name))
        if earliest:
            self._changed.set()

    def _fire_due(self) -> None:
        now = self._clock()
        if self._heap and self._heap[0][0] <= now:
            self._note_lateness(now - self._heap[0][0])
        while self._heap and self._heap[0][0] <= now:
            at, order, part, name = heapq.heappop(self._heap)
            if self._due.get((part, name)) == (at, order):
                self._due.pop((part, name))
                self._dispatch(TimerFired(self._clock(), part, name))

    def _note_lateness(self, late_s: float) -> None:
        self._observe('loop.late', late_s)
        if late_s > LATE_S:
            fields = {'late_ms': round(late_s * _MS)}
            _logger.warning('event loop was late', extra={'fields': fields})


__all__ = ('Timers',)
