"""Execution of the effects returned by the reducer."""

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

# At the target size a VM handles 140 requests/s with two log lines each.
LOG_LINES_PER_S: Final = 400
LOG_BURST_LINES: Final = 2000
_logger = logging.getLogger('cranberryseam')


class EffectHandler(Protocol):
    """Callable that executes some types of effects."""

    def __call__(self, effect: Effect) -> bool:
        """Execute an effect; return False if its type is not handled."""


class Executor:
    """Pass events to the reducer and execute the effects it returns.

    Parameters
    ----------
    node
        The reducer.
    clock
        Source of event times and of detected pauses.
    metrics
        Receives counters and durations.
    stop
        Called when the reducer stops the process or an error occurs.

    """

    def __init__(
        self,
        node: Node,
        clock: Clock,
        metrics: Metrics,
        stop: Callable[[], None],
    ) -> None:
        """Start without handlers; add them with ``add_handler``."""
        self._node = node
        self._clock = clock
        self._metrics = metrics
        self._stop = stop
        self._handlers: list[EffectHandler] = []
        self._events: deque[Event] = deque()
        self._processing = False
        self._log_tokens: float = LOG_BURST_LINES
        self._log_tokens_updated_at = float(0)
        self.failed = False

    def add_handler(self, handler: EffectHandler) -> None:
        """Add a handler; handlers are tried in insertion order."""
        self._handlers.append(handler)

    def dispatch(self, event: Event) -> None:
        """Process an event after those already queued."""
        paused_s = self._clock.pop_pause_s()
        if paused_s:
            self._events.append(PauseSuspected(event.at, paused_s))
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            self._process_events()
        except Exception:
            # The state may be partially updated, so no further event is
            # processed. A process that exits is restarted; a hung one is not.
            _logger.exception('an event or effect failed; stopping the process')
            self.failed = True
            self._stop()
            raise
        self._processing = False

    def _log(self, effect: WriteLog) -> None:
        """Write a log line, subject to a rate limit.

        The limit keeps logging from slowing down requests under load. Warnings
        and errors are always written.
        """
        now = self._clock.read()
        gained = (now - self._log_tokens_updated_at) * LOG_LINES_PER_S
        self._log_tokens = min(LOG_BURST_LINES, self._log_tokens + gained)
        self._log_tokens_updated_at = now
        if self._log_tokens < 1 and effect.level < logging.WARNING:
            self._metrics.increment('logs.dropped')
            return
        self._log_tokens -= 1
        _logger.log(
            effect.level, effect.message, extra={'fields': effect.fields}
        )

    def _process_events(self) -> None:
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
                self._execute_by_handler(effect)

    def _execute_by_handler(self, effect: Effect) -> None:
        if not any(handler(effect) for handler in self._handlers):
            _logger.error(
                'no handler accepted the effect',
                extra={'fields': {'effect': type(effect).__name__}},
            )


__all__ = ('EffectHandler', 'Executor')
