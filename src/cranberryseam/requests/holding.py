"""Requests that arrive before the first configuration of a VM."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.events import RequestArrived
from ..types import RequestId

# Once control VMs run, a VM has its first configuration 0.7 s after its start
# at most, as measured after all VMs had lost power.
HOLD_S: Final = 1.0
# The other half of a caller's patience is for the work.
_PATIENCE_SHARE: Final = 0.5
# More than a VM gets in that time at the target size (140 requests/s).
MOST_HELD: Final = 500


@attrs.define(eq=False)
class Holding:
    """Requests that wait for the first configuration, oldest first."""

    _held: dict[RequestId, RequestArrived] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._held)

    def hold(self, event: RequestArrived) -> float | None:
        """Keep a request; return until when, None if it isn't kept."""
        if len(self._held) >= MOST_HELD:
            return None
        self._held[event.request_id] = event
        return _find_end(event)

    def cancel(self, request_id: RequestId) -> bool:
        """Forget a request; return False if it isn't held."""
        return self._held.pop(request_id, None) is not None

    def take_all(self) -> list[RequestArrived]:
        """Return all requests, which are held no longer."""
        held = list(self._held.values())
        self._held.clear()
        return held

    def take_expired(self, at: float) -> list[RequestArrived]:
        """Return the requests whose time to wait is over."""
        expired = [
            event for event in self._held.values() if _find_end(event) <= at
        ]
        for event in expired:
            self._held.pop(event.request_id)
        return expired

    def find_next_end(self) -> float | None:
        """Return when the next request has waited long enough."""
        return min(map(_find_end, self._held.values()), default=None)


def _find_end(event: RequestArrived) -> float:
    patience_s = event.head.timeout_s
    if patience_s is None:
        return event.at + HOLD_S
    return event.at + min(HOLD_S, patience_s * _PATIENCE_SHARE)


__all__ = ('HOLD_S', 'MOST_HELD', 'Holding')
