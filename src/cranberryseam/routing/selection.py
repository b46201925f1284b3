"""Selection of the target for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .load_planning import Candidate, plan_loads
from .model import LONG_LANE
from .transfer_costs import FINAL_FAILURE_COST

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Sequence

    from .model import AdmitRequest
    from .service import ServiceState
    from .target import Target

_OWN_DATA_CENTRE = 0
_OWN_REGION = 1
_OTHER_REGION = 2
# Occupancy up to which the own data centre is preferred.
_MAX_LOCAL_OCCUPANCY = 0.75
_SUSPICION_COST = 4.0
_MIN_RAMP = 0.1
# Round trip time between regions. A request goes to another region only if the
# expected wait in its own region is longer.
_REGION_ROUND_TRIP_S = 0.06
_TRIAL_DEADLINE_FACTOR = 4.0
# A failure that can be retried costs a second attempt.
_RETRIABLE_FAILURE_COST = 3.0
# A new connection takes a round trip and briefly a slot of the target.
_CONNECT_COST = 0.1
# Demand of one region in slots until the leader reports more.
_MIN_DEMAND = 1.0
# A target that is more likely to fail than this gets no request only because it
# is idle. A failure of a request that can't be repeated loses the answer.
_MAX_RETRIABLE_FAILURE_PROBABILITY = 0.9
_MAX_FINAL_FAILURE_PROBABILITY = 0.7
# A service with retriable requests within this time sends only them to idle
# targets.
_RETRIABLE_MEMORY_S = 10.0


class Selection:
    """Selects a target of one service for one request.

    Parameters
    ----------
    state
        The service.
    request
        The request; tried targets are avoided while others are eligible.
    at
        Time of the decision.
    rng
        Source of randomness of the router.

    """

    def __init__(
        self,
        state: ServiceState,
        request: AdmitRequest,
        at: float,
        rng: random.Random,
    ) -> None:
        """Create a selection."""
        self._state = state
        self._request = request
        self._at = at
        self._rng = rng
        self._eligible = state.eligible_targets(at)
        self._long = request.lane == LONG_LANE
        self._may_repeat = request.retriable and request.attempt == 1
        self._foreign_loads = state.foreign_loads(at)
        self._distance_costs = state.tuning.transfer_costs.list_by_distance(
            request.body_bytes
        )

    def choose(self) -> Target | None:
        """Return a target with a free slot; None if the request must wait."""
        if self._state.tuning.health_sharing_enabled:
            return self._choose_by_plan()
        trial = self._find_trial()
        if trial is not None:
            return trial
        best = self._pick(self._eligible[_OWN_DATA_CENTRE])
        if best is None or best.occupancy() >= _MAX_LOCAL_OCCUPANCY:
            other = self._pick(self._eligible[_OWN_REGION])
            best = self._cheaper(best, other)
        if best is None and self._is_other_region_faster():
            best = self._pick(self._eligible[_OTHER_REGION])
        return best

    def _choose_by_plan(self) -> Target | None:
        """Draw a target with the weights of the load plan.

        Idle targets come first with their own share: an estimate changes only
        with outcomes, so a target avoided after a failure would stay unused.
        """
        self._state.record_size(self._request.body_bytes)
        if self._may_repeat:
            self._state.retriable_at = self._at
        idle = self._choose_idle()
        if idle is not None:
            return idle
        targets = [target for group in self._eligible for target in group]
        candidates = [self._describe_candidate(target) for target in targets]
        loads = plan_loads(candidates, self._find_demand())
        planned = dict(zip(targets, loads, strict=True))
        usable = [target for target in targets if self._may_use(target)]
        weights = [planned[target] for target in usable]
        if any(weights):
            return self._rng.choices(usable, weights)[0]
        # A target outside of the plan is better than waiting.
        self._rng.shuffle(usable)
        return min(usable, key=self._total_cost, default=None)

    def _find_demand(self) -> float:
        """Return the demand of the data centre of this VM, in slots."""
        by_place = self._state.demand_by_place.slots
        places = self._state.places
        even = self._state.demand / max(1, len(places.regions))
        return max(_MIN_DEMAND, by_place.get(places.own, even))

    def _choose_idle(self) -> Target | None:
        """Return a target that the leader has offered to this VM."""
        idle = [
            target
            for group in self._eligible
            for target in group
            if self._is_idle(target) and self._may_use(target)
        ]
        if not idle:
            return None
        target = self._rng.choice(idle)
        target.idle_until = self._at
        return target

    @property
    def _max_idle_risk(self) -> float:
        """Failure probability up to which an idle target gets this request."""
        if self._may_repeat:
            return _MAX_RETRIABLE_FAILURE_PROBABILITY
        if self._at < self._state.retriable_at + _RETRIABLE_MEMORY_S:
            return 0
        return _MAX_FINAL_FAILURE_PROBABILITY

    def _is_idle(self, target: Target) -> bool:
        if self._at >= target.idle_until:
            return False
        return target.failure_probability(self._at) <= self._max_idle_risk

    def _describe_candidate(self, target: Target) -> Candidate:
        slots = target.announcement.slots * self._ramp(target)
        used = self._foreign_loads.get(target.announcement.data_centre, 0)
        return Candidate(self._base_cost(target), slots, used)

    def _total_cost(self, target: Target) -> float:
        return self._cost(target) + self._base_cost(target)

    def _base_cost(self, target: Target) -> float:
        """Return the cost of distance, failure risk and a new connection."""
        # Most routes allow two attempts, so the second one is the last.
        failure_cost = (
            _RETRIABLE_FAILURE_COST if self._may_repeat else FINAL_FAILURE_COST
        )
        chance = target.failure_probability(self._at)
        cost = failure_cost * chance + self._distance_cost(target)
        return (
            cost
            if self._at < target.connection_warm_until
            else cost + _CONNECT_COST
        )

    def _distance_cost(self, target: Target) -> float:
        return self._distance_costs[target.distance]

    def _find_trial(self) -> Target | None:
        request = self._request
        if not (self._state.trial_targets and request.retriable):
            return None
        if request.attempt > 1 or self._long:
            return None
        latency = self._state.lane(request.lane).latency
        median_s = latency.quantile_s(self._at, 0.5) or 0
        if request.deadline_at - self._at < median_s * _TRIAL_DEADLINE_FACTOR:
            return None
        for target in self._state.trial_targets:
            if not target.in_use and target.has_room(self._at):
                return target
        return None

    def _pick(self, group: Sequence[Target]) -> Target | None:
        if not group:
            return None
        sampled = self._sample(group)
        best = self._cheapest(sampled)
        if best is None and len(group) > self._state.tuning.sampled_targets:
            best = self._cheapest(group)
        return best

    def _sample(self, group: Sequence[Target]) -> Iterator[Target]:
        size = len(group)
        for _ in range(self._state.tuning.sampled_targets):
            yield group[int(self._rng.random() * size)]

    def _cheapest(
        self, group: Sequence[Target] | Iterator[Target]
    ) -> Target | None:
        best = None
        lowest: float = 0
        for target in group:
            if not self._may_use(target):
                continue
            cost = self._cost(target)
            if best is None or cost < lowest:
                best = target
                lowest = cost
        return best

    def _cheaper(
        self, one: Target | None, other: Target | None
    ) -> Target | None:
        if one is None or other is None:
            return one or other
        return other if self._cost(other) < self._cost(one) else one

    def _may_use(self, target: Target) -> bool:
        if not target.has_room(self._at):
            return False
        name = target.announcement.target
        if self._long and not self._may_use_long(target):
            return False
        return name not in self._request.excluded or self._all_tried()

    def _may_use_long(self, target: Target) -> bool:
        if target.announcement.target in self._state.reserved_targets:
            return False
        if self._state.reserved_targets:
            return True
        slots = target.announcement.slots
        return target.in_use_long < max(1, slots - 1)

    def _all_tried(self) -> bool:
        tried = self._request.excluded
        eligible_targets = (
            self._eligible[_OWN_DATA_CENTRE] + self._eligible[_OWN_REGION]
        )
        return all(
            target.announcement.target in tried
            for target in eligible_targets or self._eligible[_OTHER_REGION]
        )

    def _cost(self, target: Target) -> float:
        slots = target.announcement.slots * self._ramp(target)
        load = (target.in_use + target.other_load + 1) / slots
        if not self._state.tuning.suspicion_enabled:
            return load
        return load + _SUSPICION_COST * target.suspicion

    def _ramp(self, target: Target) -> float:
        if target.cold:
            return _MIN_RAMP
        if not target.ramp_started_at:
            return 1
        elapsed = self._at - target.ramp_started_at
        return min(1, max(_MIN_RAMP, elapsed / self._state.tuning.grace_s))

    def _is_other_region_faster(self) -> bool:
        if not self._eligible[_OTHER_REGION]:
            return False
        lane = self._state.lane(self._request.lane)
        median_s = lane.latency.quantile_s(self._at, 0.5) or 0
        remaining_s = self._request.deadline_at - self._at
        if remaining_s < median_s + _REGION_ROUND_TRIP_S:
            return False
        if not (
            self._eligible[_OWN_DATA_CENTRE] or self._eligible[_OWN_REGION]
        ):
            return True
        return lane.wait_s(len(lane.queue) + 1) > _REGION_ROUND_TRIP_S


__all__ = ('Selection',)
