"""Planned stop of a VM."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Final, Protocol

from ..types import Output
from .effects import Effect, SetReadiness, SetTimer, StopProcess
from .events import Event, StopRequested, TimerFired
from .notices import Notice

if TYPE_CHECKING:
    from ..configuration.settings import RequestSettings

PART: Final = 'drain'
# Interval at which the end of the last request is looked for.
CHECK_S: Final = 0.1


class InProgress(Protocol):
    """The part that knows the requests in progress."""

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""

    def refuse_new(self) -> None:
        """Refuse requests that arrive from now on."""


class Drain:
    """Stops the process once no request is in progress.

    Parameters
    ----------
    settings
        Grace period and drain limit.
    requests
        The requests in progress.

    """

    def __init__(self, settings: RequestSettings, requests: InProgress) -> None:
        """Wait for a stop to be requested."""
        self._settings = settings
        self._requests = requests
        self._stop_at: float | None = None

    def handle(self, event: Event | Notice) -> Sequence[Output]:
        """Apply one event; see ``Component``."""
        if isinstance(event, StopRequested):
            return self._begin(event.at)
        if isinstance(event, TimerFired):
            return self._check(event)
        return []

    def _begin(self, at: float) -> list[Effect]:
        if self._stop_at is not None:
            # A second request to stop must not cut what the first drains.
            return []
        self._stop_at = at + self._settings.drain_limit_s
        grace_over = at + self._settings.drain_grace_s
        return [SetReadiness(False), SetTimer(PART, 'refuse', grace_over)]

    def _check(self, event: TimerFired) -> list[Effect]:
        self._requests.refuse_new()
        stop_at = self._stop_at or event.at
        if self._requests.in_progress and event.at < stop_at:
            return [SetTimer(PART, 'check', event.at + CHECK_S)]
        return [StopProcess()]


__all__ = ('PART', 'Drain', 'InProgress')
