"""State of one service on an entry VM."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .accounts import AccountEvidence
from .fair_queue import FairQueue
from .latency import LatencyWindow
from .messages import EjectedRow
from .model import INTERACTIVE_LANE, LONG_LANE, Tuning
from .target import Target
from .views import RegionView, limit_to_floor

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.events import Announcement
    from ..types import ServiceName, TargetId

# Long work may not use a quarter of the targets of a region, so that it never
# takes all slots although VMs don't know each other's use.
_RESERVED_SHARE = 0.25
_OTHER_REGION = 2
# Beyond this share of all slots requests begin to wait at the targets.
_MAX_HEDGE_LOAD = 0.6
_RATE_SMOOTHING = 0.3
_SLOW_FACTOR = 3.0
_MIN_SLOW_SAMPLES = 30
_REGION_ROUND_TRIP_S = 0.06
_DEFAULT_FLOOR = 0.5
_NEVER = math.inf


class ServiceState:
    """Targets, queues and latencies of one service.

    Parameters
    ----------
    name
        Name of the service.
    tuning
        Constants of the router.

    """

    def __init__(self, name: ServiceName, tuning: Tuning) -> None:
        """Start without targets."""
        self.name = name
        self.tuning = tuning
        self.floor = _DEFAULT_FLOOR
        # Slots in use at all targets by all VMs, as the leader pooled them.
        self.demand: float = 0
        self.targets: dict[TargetId, Target] = {}
        self.unreported: dict[TargetId, Target] = {}
        self.views: dict[str, RegionView] = {}
        self.accounts = AccountEvidence()
        self.lanes = {
            lane: LaneState(tuning.queue_limit)
            for lane in (INTERACTIVE_LANE, LONG_LANE)
        }
        self.trials: tuple[Target, ...] = ()
        self.reserved: frozenset[TargetId] = frozenset()
        self.ejected: dict[TargetId, EjectedRow] = {}
        self._eligible: tuple[tuple[Target, ...], ...] = ((), (), ())
        self._eligible_until = -1.0

    def eligible_targets(self, at: float) -> tuple[tuple[Target, ...], ...]:
        """Return the eligible targets by distance."""
        if at >= self._eligible_until:
            self._rebuild(at)
        return self._eligible

    def invalidate(self) -> None:
        """Compute the eligible targets again before the next use."""
        self._eligible_until = -1

    def lane(self, name: str) -> LaneState:
        """Return a lane; unknown names count as interactive."""
        return self.lanes.get(name) or self.lanes[INTERACTIVE_LANE]

    def region_view(self, region: str) -> RegionView:
        """Return the view of a region, creating it on first use."""
        found = self.views.get(region)
        if found is None:
            found = RegionView(self.tuning.lease_s)
            self.views[region] = found
        return found

    def waiting_count(self) -> int:
        """Return the number of requests that wait in all lanes."""
        return sum(len(lane.queue) for lane in self.lanes.values())

    def is_above_hedge_load(self, at: float) -> bool:
        """Return whether so much is at work that no attempt is to spare."""
        slots = sum(
            target.announcement.slots
            for group in self.eligible_targets(at)
            for target in group
        )
        return self.demand > slots * _MAX_HEDGE_LOAD

    def is_slow(
        self, at: float, lane: str, other_region: bool, elapsed_s: float
    ) -> bool:
        """Return whether an attempt took several times the median."""
        latency = self.lane(lane).latency
        if latency.count() < _MIN_SLOW_SAMPLES:
            return False
        median = latency.quantile_s(at, 0.5) or 0
        extra = _REGION_ROUND_TRIP_S if other_region else 0
        return elapsed_s > _SLOW_FACTOR * median + extra

    def _rebuild(self, at: float) -> None:
        self._eligible_until = _NEVER
        self.ejected = {}
        for region, region_view in self.views.items():
            ejected = region_view.ejected_at(at)
            if ejected:
                self._eligible_until = min(
                    self._eligible_until, region_view.valid_until
                )
                known = self._announcements(region)
                self.ejected.update(limit_to_floor(ejected, known, self.floor))
        eligible_targets: tuple[list[Target], ...] = ([], [], [])
        trials = []
        for name, target in self.targets.items():
            if not target.usable:
                continue
            row = self.ejected.get(name)
            if row is None:
                eligible_targets[target.distance].append(target)
            elif row.trial:
                trials.append(target)
        self._eligible = tuple(tuple(group) for group in eligible_targets)
        self.trials = tuple(trials)
        self.reserved = _reserve([*eligible_targets[0], *eligible_targets[1]])

    def _announcements(
        self, region: str
    ) -> Iterator[tuple[Announcement, bool]]:
        for target in self.targets.values():
            if target.announcement.region == region:
                yield target.announcement, target.silent


class LaneState:
    """Queue and latencies of one lane."""

    def __init__(self, queue_limit: int) -> None:
        """Start empty."""
        self.queue = FairQueue(queue_limit)
        self.latency = LatencyWindow()
        self.rate: float = 0
        self._completed = 0

    def count_completion(self) -> None:
        """Count a slot that became free."""
        self._completed += 1

    def update_rate(self, period_s: float) -> None:
        """Update the attempts that end per second; called once a tick."""
        rate = self._completed / period_s
        self.rate += _RATE_SMOOTHING * (rate - self.rate)
        self._completed = 0

    def wait_s(self, ahead: int) -> float:
        """Return the expected wait behind other requests."""
        if not ahead or self.rate <= 0:
            return 0
        return ahead / self.rate


def _reserve(targets: list[Target]) -> frozenset[TargetId]:
    if len(targets) < 2:
        return frozenset()
    ordered = sorted(targets, key=lambda target: target.name_hash)
    count = math.ceil(len(ordered) * _RESERVED_SHARE)
    return frozenset(target.announcement.target for target in ordered[:count])


__all__ = ('LaneState', 'ServiceState')
