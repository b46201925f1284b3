"""Queue of requests that arrive before the first configuration of a VM."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.events import RequestArrived
from ..types import RequestId

# Once the control VMs run, a VM receives its first configuration within 0.7 s
# of its start, also after a power loss of all VMs.
MAX_STARTUP_WAIT_S: Final = 1.0
# Share of the timeout of a request; the rest is left for the attempts.
_STARTUP_WAIT_SHARE: Final = 0.5
# Exceeds the arrivals in that time at the target size (140 requests/s).
MAX_QUEUED_REQUESTS: Final = 500


@attrs.define(eq=False)
class StartupQueue:
    """Requests waiting for the first configuration, oldest first."""

    _queued: dict[RequestId, RequestArrived] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    def add(self, event: RequestArrived) -> float | None:
        """Queue a request; return its expiry, None if the queue is full."""
        if len(self._queued) >= MAX_QUEUED_REQUESTS:
            return None
        self._queued[event.request_id] = event
        return _find_expiry(event)

    def cancel(self, request_id: RequestId) -> bool:
        """Remove a request; return False if it is not queued."""
        return self._queued.pop(request_id, None) is not None

    def take_all(self) -> list[RequestArrived]:
        """Remove and return all requests."""
        queued = list(self._queued.values())
        self._queued.clear()
        return queued

    def take_expired(self, at: float) -> list[RequestArrived]:
        """Remove and return the requests that have expired."""
        expired = [
            event
            for event in self._queued.values()
            if _find_expiry(event) <= at
        ]
        for event in expired:
            self._queued.pop(event.request_id)
        return expired

    def find_next_expiry(self) -> float | None:
        """Return the earliest expiry of a queued request."""
        return min(map(_find_expiry, self._queued.values()), default=None)


def _find_expiry(event: RequestArrived) -> float:
    timeout_s = event.head.timeout_s
    if timeout_s is None:
        return event.at + MAX_STARTUP_WAIT_S
    return event.at + min(MAX_STARTUP_WAIT_S, timeout_s * _STARTUP_WAIT_SHARE)


__all__ = ('MAX_QUEUED_REQUESTS', 'MAX_STARTUP_WAIT_S', 'StartupQueue')
