"""Graceful shutdown of a VM."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Final, Protocol

from ..types import Output
from .effects import Effect, SetReadiness, SetTimer, StopProcess
from .events import Event, StopRequested, TimerFired
from .notices import Notice

if TYPE_CHECKING:
    from ..configuration.settings import RequestSettings

COMPONENT: Final = 'drain'
# Interval between checks whether all requests have completed.
CHECK_INTERVAL_S: Final = 0.1


class RequestTracker(Protocol):
    """Component that counts the requests in progress."""

    @property
    def in_progress(self) -> int:
        """Number of requests that have not completed."""

    def limit_new(self, stop_at: float) -> None:
        """Accept new requests only if they will end before the process."""

    def refuse_new(self) -> None:
        """Refuse all requests that arrive after this call."""

    def refuse_all(self, at: float) -> Sequence[Output]:
        """Refuse the requests in progress."""


class Drain:
    """Stops the process when no request is in progress or at the drain limit.

    Parameters
    ----------
    settings
        Grace period and drain limit.
    requests
        Counts and refuses requests.

    """

    def __init__(
        self, settings: RequestSettings, requests: RequestTracker
    ) -> None:
        """Create the component; draining begins with ``StopRequested``."""
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
            # A second stop request must not cut off requests that still drain.
            return []
        self._stop_at = at + self._settings.drain_limit_s
        self._requests.limit_new(self._stop_at)
        grace_end = at + self._settings.drain_grace_s
        return [SetReadiness(False), SetTimer(COMPONENT, 'refuse', grace_end)]

    def _check(self, event: TimerFired) -> list[Output]:
        self._requests.refuse_new()
        stop_at = self._stop_at or event.at
        if self._requests.in_progress and event.at < stop_at:
            return [SetTimer(COMPONENT, 'check', event.at + CHECK_INTERVAL_S)]
        return [*self._requests.refuse_all(event.at), StopProcess()]


__all__ = ('COMPONENT', 'Drain', 'RequestTracker')
