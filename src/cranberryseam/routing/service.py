"""State of one service on an entry VM."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .accounts import AccountEvidence
from .latency import LatencyWindow
from .messages import EjectedRow
from .model import INTERACTIVE_LANE, LONG_LANE, Tuning
from .target import Target
from .views import RegionView, keep_floor
from .waiting import FairQueue

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..core.events import Announcement
    from ..types import ServiceName, TargetId

# Long work may not use a quarter of the targets of a region, so that it never
# takes all slots although VMs don't know each other's use.
_RESERVED_SHARE = 0.25
_FAR = 2
# Beyond this share of all slots requests begin to wait at the targets.
_SPARE_SHARE = 0.6
_RATE_SHARE = 0.3
_SLOW_FACTOR = 3.0
_SLOW_SAMPLES = 30
_FAR_EXTRA_S = 0.06
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
        self.touched: dict[TargetId, Target] = {}
        self.views: dict[str, RegionView] = {}
        self.accounts = AccountEvidence()
        self.lanes = {
            lane: LaneState(tuning.queue_limit)
            for lane in (INTERACTIVE_LANE, LONG_LANE)
        }
        self.trials: tuple[Target, ...] = ()
        self.reserved: frozenset[TargetId] = frozenset()
        self.ejected: dict[TargetId, EjectedRow] = {}
        self._near: tuple[tuple[Target, ...], ...] = ((), (), ())
        self._near_until = -1.0

    def near(self, at: float) -> tuple[tuple[Target, ...], ...]:
        """Return the eligible targets by distance."""
        if at >= self._near_until:
            self._rebuild(at)
        return self._near

    def invalidate(self) -> None:
        """Compute the eligible targets again before the next use."""
        self._near_until = -1

    def lane(self, name: str) -> LaneState:
        """Return a lane; unknown names count as interactive."""
        return self.lanes.get(name) or self.lanes[INTERACTIVE_LANE]

    def view(self, region: str) -> RegionView:
        """Return the view of a region, creating it on first use."""
        found = self.views.get(region)
        if found is None:
            found = RegionView(self.tuning.lease_s)
            self.views[region] = found
        return found

    def waiting(self) -> int:
        """Return the number of requests that wait in all lanes."""
        return sum(len(lane.queue) for lane in self.lanes.values())

    def is_loaded(self, at: float) -> bool:
        """Return whether so much is at work that no attempt is to spare."""
        slots = sum(
            target.announcement.slots
            for group in self.near(at)
            for target in group
        )
        return self.demand > slots * _SPARE_SHARE

    def is_slow(self, at: float, lane: str, far: bool, took_s: float) -> bool:
        """Return whether an attempt took several times the median."""
        latency = self.lane(lane).latency
        if latency.count() < _SLOW_SAMPLES:
            return False
        median = latency.quantile_s(at, 0.5) or 0
        extra = _FAR_EXTRA_S if far else 0
        return took_s > _SLOW_FACTOR * median + extra

    def _rebuild(self, at: float) -> None:
        self._near_until = _NEVER
        self.ejected = {}
        for region, view in self.views.items():
            ejected = view.ejected_at(at)
            if ejected:
                self._near_until = min(self._near_until, view.valid_until)
                known = self._announcements(region)
                self.ejected.update(keep_floor(ejected, known, self.floor))
        near: tuple[list[Target], ...] = ([], [], [])
        trials = []
        for name, target in self.targets.items():
            if not target.usable:
                continue
            row = self.ejected.get(name)
            if row is None:
                near[target.distance].append(target)
            elif row.trial:
                trials.append(target)
        self._near = tuple(tuple(group) for group in near)
        self.trials = tuple(trials)
        self.reserved = _reserve([*near[0], *near[1]])

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
        self._ended = 0

    def count_end(self) -> None:
        """Count a slot that became free."""
        self._ended += 1

    def update_rate(self, period_s: float) -> None:
        """Update the attempts that end per second; called once a tick."""
        rate = self._ended / period_s
        self.rate += _RATE_SHARE * (rate - self.rate)
        self._ended = 0

    def wait_s(self, ahead: int) -> float:
        """Return the expected wait behind other requests."""
        if not ahead or self.rate <= 0:
            return 0
        return ahead / self.rate


def _reserve(targets: list[Target]) -> frozenset[TargetId]:
    if len(targets) < 2:
        return frozenset()
    ordered = sorted(targets, key=lambda target: target.key)
    count = math.ceil(len(ordered) * _RESERVED_SHARE)
    return frozenset(target.announcement.target for target in ordered[:count])


__all__ = ('LaneState', 'ServiceState')
