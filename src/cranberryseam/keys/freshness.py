"""How long the keys known on this VM may be trusted."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..configuration.settings import Settings
    from ..core.notices import RegionsHeard, RoundTripCompleted


class Freshness:
    """Time of the newest evidence that withdrawals can reach this VM.

    Round trips count from the sending of the ping. With isolation ``region``
    a majority of all regions must have been heard as well; the own region
    counts, because this VM is part of it.

    Parameters
    ----------
    settings
        A VM whose settings name no peers is always fresh.

    """

    def __init__(self, settings: Settings) -> None:
        """Start without evidence."""
        self._limit_s = settings.keys.freshness_s
        self._is_exempt = not settings.peers and not settings.control.seeds
        self._by_region = settings.keys.isolation == 'region'
        self._own_region = settings.vm.region
        self._majority = len(settings.regions) // 2 + 1
        self._round_trip_at = -math.inf
        self._not_before = -math.inf
        self._heard: dict[str, float] = {
            region: -math.inf for region in settings.regions
        }

    def take_round_trip(self, notice: RoundTripCompleted) -> None:
        """Take a completed round trip; an older one changes nothing."""
        if notice.sent_at >= self._not_before:
            self._round_trip_at = max(self._round_trip_at, notice.sent_at)

    def take_regions(self, notice: RegionsHeard) -> None:
        """Take the time of the newest evidence of each region."""
        for region, at in notice.newest:
            known = self._heard.get(region)
            if known is not None and at >= self._not_before:
                self._heard[region] = max(known, at)

    def restart(self, at: float) -> None:
        """Forget all evidence; only what is sent from now on counts."""
        self._not_before = at
        self._round_trip_at = -math.inf
        self._heard = dict.fromkeys(self._heard, -math.inf)

    def ends_at(self) -> float:
        """Return the time from which on the keys are stale."""
        if self._is_exempt:
            return math.inf
        newest = self._round_trip_at
        if self._by_region:
            newest = min(newest, self._majority_at())
        return newest + self._limit_s

    def _majority_at(self) -> float:
        heard = {**self._heard, self._own_region: math.inf}
        return sorted(heard.values(), reverse=True)[self._majority - 1]


__all__ = ('Freshness',)
