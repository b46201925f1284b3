"""Failure estimates of targets that VMs share through the leader."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from ..core.effects import SendMessage, SetTimer
from .health import PERCENT, Evidence, FailureEstimate
from .leadership import shard_key
from .messages import HealthSeen, HealthTold
from .model import COMPONENT, LeaderLookup

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..types import Output, VmId
    from .target import Target

BROADCAST: Final = 'tell'
# Changes within this time share a message; a request takes longer.
_BROADCAST_DELAY_S: Final = 0.03
# Interval of messages to VMs in other regions, which batch all changes.
_OTHER_REGION_INTERVAL_S: Final = 1.0
# Smaller changes of the probability don't affect target selection.
_MIN_CHANGE: Final = 0.1
_LOAD_DEPENDENT: Final = frozenset((Evidence.unresponsive, Evidence.ambiguous))
# Load-dependent outcomes within this time count as simultaneous.
_OVERLOAD_WINDOW_S: Final = 2.0
# Failure episodes affect about a third of the targets at a time.
_WIDESPREAD_SHARE: Final = 0.3


@attrs.define(eq=False)
class _PooledEstimate:
    """Estimate of the leader, and the one it sent last."""

    service: str
    estimate: FailureEstimate = attrs.field(factory=FailureEstimate)
    sent: FailureEstimate = attrs.field(factory=FailureEstimate)
    load_signal_at: float = float('-inf')

    def take_change(self, at: float) -> int | None:
        """Return the estimate in percent if it changed enough to be sent."""
        now = self.estimate.probability_at(at)
        if abs(now - self.sent.probability_at(at)) < _MIN_CHANGE:
            return None
        self.sent.replace(now, at)
        return self.sent.percent


class HealthSharing:
    """Reports outcomes to the leader; as the leader, broadcasts estimates.

    Parameters
    ----------
    region
        Region of the VM; outcomes go to the leaders of services there.
    leaders
        Lookup of leaders.
    places
        Data centres and their regions.

    """

    def __init__(
        self, region: str, leaders: LeaderLookup, places: Mapping[str, str]
    ) -> None:
        """Create a table without estimates."""
        self._region = region
        self._data_centre_regions = places
        self._leaders = leaders
        self._targets: dict[int, Target] = {}
        self._pooled: dict[int, _PooledEstimate] = {}
        self._vms: dict[VmId, str] = {}
        self._unsent: dict[int, int] = {}
        self._all_sent_at = float('-inf')
        self._broadcast_at = math.inf

    def add_target(self, target: Target) -> None:
        """Add a target whose estimate is updated."""
        self._targets[target.name_hash] = target

    def remove_target(self, target: Target) -> None:
        """Remove a target that left."""
        self._targets.pop(target.name_hash, None)
        self._pooled.pop(target.name_hash, None)

    def add_vm(self, vm: VmId, region: str = '') -> None:
        """Add a VM to broadcasts; its region is empty if unknown."""
        self._vms[vm] = region

    def remove_vm(self, vm: VmId) -> None:
        """Remove a VM from broadcasts."""
        self._vms.pop(vm, None)

    def record(
        self, target: Target, evidence: Evidence, at: float
    ) -> list[Output]:
        """Update from an outcome; report it if it may change selections."""
        was_above_baseline = target.fleet_estimate.is_above_baseline(at)
        if evidence is not Evidence.ambiguous:
            target.local_estimate.update(evidence, at)
        if evidence not in _LOAD_DEPENDENT:
            # Only the leader can tell whether the target is the cause.
            target.fleet_estimate.update(evidence, at)
        if evidence is Evidence.success and not was_above_baseline:
            return []
        service = target.announcement.service
        leader = self._leaders.leader_of(self._region, shard_key(service))
        if leader is None:
            return []
        seen = HealthSeen(service, target.name_hash, int(evidence))
        return [SendMessage(leader, seen)]

    def receive(self, seen: HealthSeen, at: float) -> list[Output]:
        """Update the pooled estimate with an outcome seen by a VM."""
        if not self._leads(seen.service, at):
            return []
        pooled = self._pooled.setdefault(
            seen.target, _PooledEstimate(seen.service)
        )
        evidence = Evidence(seen.evidence)
        if evidence in _LOAD_DEPENDENT:
            pooled.load_signal_at = at
            if self._is_widespread(seen.service, at):
                return []
        pooled.estimate.update(evidence, at)
        return self._set_timer(at + _BROADCAST_DELAY_S)

    def broadcast(self, at: float) -> list[Output]:
        """Send changed estimates to VMs; called by the timer.

        VMs in the region of a target get changes immediately. VMs elsewhere
        rarely use it, and the links to them are billed by volume, so changes
        are batched for them.
        """
        self._broadcast_at = math.inf
        changed = self._take_changes(at)
        self._unsent.update(changed)
        sends_all = at >= self._all_sent_at + _OTHER_REGION_INTERVAL_S
        outputs: list[Output] = []
        for vm, region in sorted(self._vms.items()):
            rows = (
                self._unsent
                if sends_all
                else self._select_for_region(changed, region)
            )
            if rows:
                message = HealthTold(tuple(rows.items()))
                outputs.append(SendMessage(vm, message))
        if sends_all:
            self._all_sent_at = at
            self._unsent.clear()
        if self._unsent:
            outputs.extend(
                self._set_timer(self._all_sent_at + _OTHER_REGION_INTERVAL_S)
            )
        return outputs

    def failure_percent(self, target: int, at: float) -> int:
        """Return the pooled failure probability of a target, by its hash."""
        pooled = self._pooled.get(target)
        estimate = FailureEstimate() if pooled is None else pooled.estimate
        return round(estimate.probability_at(at) * PERCENT)

    def apply(self, message: HealthTold, at: float) -> None:
        """Apply the estimates of the leader."""
        for key, percent in message.rows:
            target = self._targets.get(key)
            if target is None:
                continue
            known = target.fleet_estimate.probability_at(at)
            target.fleet_estimate.apply_percent(percent, at)
            if target.fleet_estimate.probability_at(at) >= known:
                # Another VM has just tried it, without success.
                target.idle_until = at

    def _take_changes(self, at: float) -> dict[int, int]:
        changed = {}
        for key, pooled in self._pooled.items():
            change = pooled.take_change(at)
            if change is not None:
                changed[key] = change
        return changed

    def _select_for_region(
        self, changed: dict[int, int], region: str
    ) -> dict[int, int]:
        """Return the changes that VMs in a region get immediately."""
        return {
            key: percent
            for key, percent in changed.items()
            if not region or region == self._find_region(key)
        }

    def _find_region(self, key: int) -> str:
        target = self._targets.get(key)
        if target is None:
            return ''
        return self._data_centre_regions.get(
            target.announcement.data_centre, ''
        )

    def _set_timer(self, at: float) -> list[Output]:
        """Schedule a broadcast, unless one is due earlier."""
        if at >= self._broadcast_at:
            return []
        self._broadcast_at = at
        return [SetTimer(COMPONENT, BROADCAST, at)]

    def _is_widespread(self, service: str, at: float) -> bool:
        """Return whether enough targets are affected to blame the load.

        Avoiding each of them would leave all requests to the few others.
        """
        affected = sum(
            pooled.service == service
            and at - pooled.load_signal_at < _OVERLOAD_WINDOW_S
            for pooled in self._pooled.values()
        )
        known = sum(
            target.announcement.service == service
            for target in self._targets.values()
        )
        return affected > max(1, known * _WIDESPREAD_SHARE)

    def _leads(self, service: str, at: float) -> bool:
        key = shard_key(service)
        return self._leaders.is_leader(self._region, key, at)


__all__ = ('BROADCAST', 'HealthSharing')
