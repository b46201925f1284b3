"""Execution of the reducer's effects."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

from ..core.effects import (
    Effect,
    IncrementCounter,
    ObserveLatency,
    StopProcess,
    WriteLog,
)
from ..core.events import Event, PauseSuspected
from ..core.node import Node
from .clock import Clock
from .metrics import Metrics

# At the target size a VM has 140 requests/s with two lines each.
LINES_PER_S: Final = 400
MOST_LINES: Final = 2000
_logger = logging.getLogger('cranberryseam')


class EffectHandler(Protocol):
    """Something that executes some kinds of effects."""

    def __call__(self, effect: Effect) -> bool:
        """Execute an effect; return False if it is of another kind."""


class Executor:
    """Feeds events to the reducer and executes what it returns.

    Parameters
    ----------
    node
        The reducer.
    clock
        Clock that the times of events come from.
    metrics
        Takes the counters.
    stop
        Called when the reducer has decided that the process may end.

    """

    def __init__(
        self,
        node: Node,
        clock: Clock,
        metrics: Metrics,
        stop: Callable[[], None],
    ) -> None:
        """Start without handlers; ``add_handler`` must follow."""
        self._node = node
        self._clock = clock
        self._metrics = metrics
        self._stop = stop
        self._handlers: list[EffectHandler] = []
        self._events: deque[Event] = deque()
        self._running = False
        self._lines: float = MOST_LINES
        self._lines_at = float(0)
        self.failed = False

    def add_handler(self, handler: EffectHandler) -> None:
        """Add a handler; handlers are tried in the order of their addition."""
        self._handlers.append(handler)

    def dispatch(self, event: Event) -> None:
        """Apply an event, after those that are being applied."""
        paused_s = self._clock.take_pause()
        if paused_s:
            self._events.append(PauseSuspected(event.at, paused_s))
        self._events.append(event)
        if self._running:
            return
        self._running = True
        try:
            self._drain_events()
        except Exception:
            # State may be half changed, so no further event is applied: a
            # process that stops is replaced, one that hangs is not.
            _logger.exception('an event or effect failed; stopping')
            self.failed = True
            self._stop()
            raise
        self._running = False

    def _log(self, effect: WriteLog) -> None:
        """Write a line, unless too many were written lately.

        Writing must not slow down requests under load; warnings are always
        written.
        """
        now = self._clock.read()
        gained = (now - self._lines_at) * LINES_PER_S
        self._lines = min(MOST_LINES, self._lines + gained)
        self._lines_at = now
        if self._lines < 1 and effect.level < logging.WARNING:
            self._metrics.increment('logs.dropped')
            return
        self._lines -= 1
        _logger.log(
            effect.level, effect.message, extra={'fields': effect.fields}
        )

    def _drain_events(self) -> None:
        while self._events:
            for effect in self._node.handle(self._events.popleft()):
                self._execute(effect)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case IncrementCounter():
                self._metrics.increment(effect.name, effect.by)
            case ObserveLatency():
                self._metrics.observe(effect.name, effect.seconds)
            case WriteLog():
                self._log(effect)
            case StopProcess():
                self._stop()
            case _:
                self._pass_on(effect)

    def _pass_on(self, effect: Effect) -> None:
        if not any(handler(effect) for handler in self._handlers):
            _logger.error(
                'no handler for an effect',
                extra={'fields': {'effect': type(effect).__name__}},
            )


__all__ = ('EffectHandler', 'Executor')
