"""State of one service on an entry VM."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from ..configuration.places import Places
from .accounts import AccountEvidence
from .demand import Demand, plan_foreign_loads
from .fair_queue import FairQueue
from .latency import LatencyWindow
from .messages import EjectedRow
from .model import INTERACTIVE_LANE, LONG_LANE, Tuning
from .target import Target
from .views import RegionView, limit_to_floor

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from ..core.events import Announcement
    from ..types import ServiceName, TargetId

# The long lane may not use a quarter of the targets of a region, so it never
# occupies all slots, although VMs don't know the usage of other VMs.
_RESERVED_SHARE = 0.25
_OTHER_REGION = 2
# Above this load requests begin to queue at the targets.
_MAX_HEDGE_LOAD = 0.6
_RATE_SMOOTHING = 0.3
_SIZE_SMOOTHING = 0.1
_SLOW_FACTOR = 3.0
_MIN_SLOW_SAMPLES = 30
_OTHER_REGION_EXTRA_S = 0.06
_DEFAULT_FLOOR = 0.5
_NEVER = math.inf
# Less than the time that a target goes on to serve after it has said that it
# is leaving.
_LEAVING_USE_S = 1.0


class ServiceState:
    """Targets, queues and latencies of one service.

    Parameters
    ----------
    name
        Name of the service.
    tuning
        Constants of the router.
    places
        Data centres of the fleet.

    """

    def __init__(
        self, name: ServiceName, tuning: Tuning, places: Places
    ) -> None:
        """Create a service without targets."""
        self.name = name
        self.places = places
        self.demand_by_place = Demand()
        self._foreign_loads: dict[str, float] | None = None
        self._body_bytes: float = 0
        self.tuning = tuning
        self.floor = _DEFAULT_FLOOR
        # Slots in use by all VMs at all targets, as reported by the leader.
        self.demand: float = 0
        # Time of the last request that may be repeated.
        self.retriable_at: float = -math.inf
        self.targets: dict[TargetId, Target] = {}
        self.unreported: dict[TargetId, Target] = {}
        self.views: dict[str, RegionView] = {}
        self.accounts = AccountEvidence()
        self.lanes = {
            lane: LaneState(tuning.queue_limit)
            for lane in (INTERACTIVE_LANE, LONG_LANE)
        }
        self.trial_targets: tuple[Target, ...] = ()
        self.reserved_targets: frozenset[TargetId] = frozenset()
        self.ejected: dict[TargetId, EjectedRow] = {}
        self._eligible: tuple[tuple[Target, ...], ...] = ((), (), ())
        self._eligible_until = -1.0

    def eligible_targets(self, at: float) -> tuple[tuple[Target, ...], ...]:
        """Return the eligible targets, grouped by distance.

        Also updates ``ejected`` and the sets of targets derived from it.
        """
        if at >= self._eligible_until:
            self._rebuild(at)
        return self._eligible

    def apply_demand(self, hundredths: Sequence[int]) -> None:
        """Store the demand in each data centre, as told by the leader."""
        self.demand_by_place = Demand.from_hundredths(
            self.places.names, hundredths
        )
        self._foreign_loads = None

    def record_size(self, body_bytes: float) -> None:
        """Update the mean size of the bodies of its requests."""
        self._body_bytes += _SIZE_SMOOTHING * (body_bytes - self._body_bytes)

    def foreign_loads(self, at: float) -> Mapping[str, float]:
        """Return the utilisation of targets by other data centres."""
        targets = self.eligible_targets(at)
        if self._foreign_loads is None:
            capacities: Counter[str] = Counter()
            for group in targets:
                for target in group:
                    announcement = target.announcement
                    capacities[announcement.data_centre] += announcement.slots
            self._foreign_loads = plan_foreign_loads(
                self.demand_by_place,
                capacities,
                self.places,
                self.tuning.transfer_costs.list_by_distance(self._body_bytes),
            )
        return self._foreign_loads

    def pause_s(self, at: float) -> float:
        """Return the seconds until a target may get the next request.

        Targets without a free slot count as available, because it is unknown
        when the next slot is freed.
        """
        return max(
            0,
            min(
                (
                    target.resumes_at(at) - at
                    for group in self.eligible_targets(at)
                    for target in group
                ),
                default=0,
            ),
        )

    def invalidate(self) -> None:
        """Recompute the eligible targets before their next use."""
        self._eligible_until = -1

    def lane(self, name: str) -> LaneState:
        """Return a lane; the interactive one for unknown names."""
        return self.lanes.get(name) or self.lanes[INTERACTIVE_LANE]

    def region_view(self, region: str) -> RegionView:
        """Return the view of a region, creating it on first use."""
        found = self.views.get(region)
        if found is None:
            found = RegionView(self.tuning.lease_s)
            self.views[region] = found
        return found

    def queued_count(self) -> int:
        """Return the number of queued requests in all lanes."""
        return sum(len(lane.queue) for lane in self.lanes.values())

    def is_above_hedge_load(self, at: float) -> bool:
        """Return whether the load is too high for second attempts."""
        slots = sum(
            target.announcement.slots
            for group in self.eligible_targets(at)
            for target in group
        )
        return self.demand > slots * _MAX_HEDGE_LOAD

    def is_slow(
        self, at: float, lane: str, other_region: bool, elapsed_s: float
    ) -> bool:
        """Return whether an attempt took several times the median latency."""
        latency = self.lane(lane).latency
        if latency.count() < _MIN_SLOW_SAMPLES:
            return False
        median = latency.quantile_s(at, 0.5) or 0
        extra = _OTHER_REGION_EXTRA_S if other_region else 0
        return elapsed_s > _SLOW_FACTOR * median + extra

    def _rebuild(self, at: float) -> None:
        self._eligible_until = _NEVER
        self._foreign_loads = None
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
        trial_targets = []
        for name, target in self._list_usable(at):
            row = self.ejected.get(name)
            if row is None:
                eligible_targets[target.distance].append(target)
            elif row.trial:
                trial_targets.append(target)
        self._eligible = tuple(tuple(group) for group in eligible_targets)
        self.trial_targets = tuple(trial_targets)
        self.reserved_targets = _reserve_targets(
            [*eligible_targets[0], *eligible_targets[1]]
        )

    def _list_usable(self, at: float) -> list[tuple[TargetId, Target]]:
        """Return the usable targets.

        Those that are leaving are only used if there are no others, and only
        for a short time.
        """
        usable = [pair for pair in self.targets.items() if pair[1].usable]
        staying = [pair for pair in usable if pair[1].leaving_since == math.inf]
        if staying or not usable:
            return staying
        still_used = [
            pair
            for pair in usable
            if at < pair[1].leaving_since + _LEAVING_USE_S
        ]
        for _, target in still_used:
            self._eligible_until = min(
                self._eligible_until, target.leaving_since + _LEAVING_USE_S
            )
        return still_used

    def _announcements(
        self, region: str
    ) -> Iterator[tuple[Announcement, bool]]:
        for target in self.targets.values():
            if target.announcement.region == region:
                yield target.announcement, target.silent


class LaneState:
    """Queue and latencies of one lane."""

    def __init__(self, queue_limit: int) -> None:
        """Create an empty lane."""
        self.queue = FairQueue(queue_limit)
        self.latency = LatencyWindow()
        self.rate: float = 0
        self._completed = 0

    def count_completion(self) -> None:
        """Count a finished attempt."""
        self._completed += 1

    def update_rate(self, period_s: float) -> None:
        """Update the smoothed rate of finished attempts; called each tick."""
        rate = self._completed / period_s
        self.rate += _RATE_SMOOTHING * (rate - self.rate)
        self._completed = 0

    def wait_s(self, ahead: int) -> float:
        """Return the expected wait behind a number of requests."""
        if not ahead or self.rate <= 0:
            return 0
        return ahead / self.rate


def _reserve_targets(targets: list[Target]) -> frozenset[TargetId]:
    if len(targets) < 2:
        return frozenset()
    ordered = sorted(targets, key=lambda target: target.name_hash)
    count = math.ceil(len(ordered) * _RESERVED_SHARE)
    return frozenset(target.announcement.target for target in ordered[:count])


__all__ = ('LaneState', 'ServiceState')
