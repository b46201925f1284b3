"""Freshness of the API keys known on this VM."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..configuration.settings import Settings
    from ..core.notices import RegionContactUpdated, RoundTripCompleted


class Freshness:
    """Tracks the latest evidence that key withdrawals reach this VM.

    A round trip counts from the time at which its ping was sent. With isolation
    ``region``, evidence from a majority of all regions is required as well; the
    region of this VM counts toward it.

    Parameters
    ----------
    settings
        The keys of a VM without peers and control seeds are always fresh.

    """

    def __init__(self, settings: Settings) -> None:
        """Start without evidence."""
        self._limit_s = settings.keys.freshness_s
        self._always_fresh = not settings.peers and not settings.control.seeds
        self._needs_region_majority = settings.keys.isolation == 'region'
        self._own_region = settings.vm.region
        self._majority = len(settings.regions) // 2 + 1
        self._round_trip_at = -math.inf
        self._valid_since = -math.inf
        self._heard_at: dict[str, float] = {
            region: -math.inf for region in settings.regions
        }

    def record_round_trip(self, notice: RoundTripCompleted) -> None:
        """Record a completed round trip; an older one has no effect."""
        if notice.sent_at >= self._valid_since:
            self._round_trip_at = max(self._round_trip_at, notice.sent_at)

    def record_regions(self, notice: RegionContactUpdated) -> None:
        """Record the time of the latest evidence from each region."""
        for region, at in notice.last_contact:
            known = self._heard_at.get(region)
            if known is not None and at >= self._valid_since:
                self._heard_at[region] = max(known, at)

    def restart(self, at: float) -> None:
        """Discard all evidence; only evidence sent from ``at`` on counts."""
        self._valid_since = at
        self._round_trip_at = -math.inf
        self._heard_at = dict.fromkeys(self._heard_at, -math.inf)

    def expires_at(self) -> float:
        """Return the time at which the keys become stale."""
        if self._always_fresh:
            return math.inf
        newest = self._round_trip_at
        if self._needs_region_majority:
            newest = min(newest, self._find_majority_time())
        return newest + self._limit_s

    def _find_majority_time(self) -> float:
        heard_at = {**self._heard_at, self._own_region: math.inf}
        return sorted(heard_at.values(), reverse=True)[self._majority - 1]


__all__ = ('Freshness',)
