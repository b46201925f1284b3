"""Failure estimates of targets that VMs share through the leader."""

from __future__ import annotations

import math
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import attrs

from ..configuration.places import Distance, Places
from ..core.effects import SendMessage, SetTimer
from ..types import VmId
from .health import PERCENT, Evidence, FailureEstimate
from .leadership import shard_key
from .messages import HealthSeen, HealthTold
from .model import COMPONENT, LeaderLookup

if TYPE_CHECKING:
    from ..types import Output
    from .target import Target

BROADCAST: Final = 'tell'
# Changes within this time share a message; a request takes longer.
_BROADCAST_DELAY_S: Final = 0.03
# VMs elsewhere rarely use a target, so changes are batched for them.
_INTERVALS_S: Final = MappingProxyType(
    {
        Distance.own_data_centre: float(0),
        Distance.own_region: 0.35,
        Distance.other_region: 1.0,
    }
)
# VMs of a data centre that pass changes on to the others there. With a second
# one, the loss of the first delays nothing.
_RELAYS: Final = 2
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


@attrs.define(eq=False)
class _Audience:
    """VMs of one data centre, and the changes that they haven't got yet."""

    vms: set[VmId] = attrs.field(factory=set)
    unsent: dict[int, int] = attrs.field(factory=dict)
    due_at: float = math.inf
    sent_at: float = -math.inf

    def add(self, key: int, percent: int, at: float, interval_s: float) -> None:
        """Add a change that is due an interval after the last message."""
        self.unsent[key] = percent
        self.due_at = min(self.due_at, max(at, self.sent_at + interval_s))

    def take_messages(self, at: float) -> list[Output]:
        """Return the messages with the changes so far.

        Relays pass them on, so that each link to another data centre carries
        a change once for each relay.
        """
        rows = tuple(self.unsent.items())
        self.unsent.clear()
        self.due_at = math.inf
        self.sent_at = at
        vms = sorted(self.vms)
        return [
            SendMessage(
                relay, HealthTold(rows, tuple(vm for vm in vms if vm != relay))
            )
            for relay in vms[:_RELAYS]
        ]


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
        self, region: str, leaders: LeaderLookup, places: Places
    ) -> None:
        """Create a table without estimates."""
        self._region = region
        self._places = places
        self._leaders = leaders
        self._targets: dict[int, Target] = {}
        self._pooled: dict[int, _PooledEstimate] = {}
        self._audiences: dict[str, _Audience] = {}
        self._broadcast_at = math.inf

    def add_target(self, target: Target) -> None:
        """Add a target whose estimate is updated."""
        self._targets[target.name_hash] = target

    def remove_target(self, target: Target) -> None:
        """Remove a target that left."""
        self._targets.pop(target.name_hash, None)
        self._pooled.pop(target.name_hash, None)

    def add_vm(self, vm: VmId, data_centre: str = '') -> None:
        """Add a VM to broadcasts; its data centre is empty if unknown."""
        self.remove_vm(vm)
        audience = self._audiences.setdefault(data_centre, _Audience())
        audience.vms.add(vm)

    def remove_vm(self, vm: VmId) -> None:
        """Remove a VM from broadcasts."""
        for data_centre, audience in tuple(self._audiences.items()):
            audience.vms.discard(vm)
            if not audience.vms:
                self._audiences.pop(data_centre)

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

    def receive(
        self, message: HealthSeen | HealthTold, at: float
    ) -> list[Output]:
        """Apply a message of another VM."""
        if isinstance(message, HealthTold):
            return self.apply(message, at)
        return self._pool(message, at)

    def broadcast(self, at: float) -> list[Output]:
        """Send changed estimates to VMs; called by the timer.

        VMs in the data centre of a target get changes immediately.
        """
        self._broadcast_at = math.inf
        for key, percent in self._take_changes(at).items():
            for data_centre, audience in self._audiences.items():
                distance = self._measure_distance(key, data_centre)
                audience.add(key, percent, at, _INTERVALS_S[distance])
        audiences = [self._audiences[name] for name in sorted(self._audiences)]
        outputs = [
            output
            for due in audiences
            if due.due_at <= at
            for output in due.take_messages(at)
        ]
        next_at = min((later.due_at for later in audiences), default=math.inf)
        if next_at < math.inf:
            outputs.extend(self._set_timer(next_at))
        return outputs

    def failure_percent(self, target: int, at: float) -> int:
        """Return the pooled failure probability of a target, by its hash."""
        pooled = self._pooled.get(target)
        estimate = FailureEstimate() if pooled is None else pooled.estimate
        return round(estimate.probability_at(at) * PERCENT)

    def apply(self, message: HealthTold, at: float) -> list[Output]:
        """Apply the estimates of the leader, and pass them on as a relay."""
        for key, percent in message.rows:
            target = self._targets.get(key)
            if target is None:
                continue
            known = target.fleet_estimate.probability_at(at)
            target.fleet_estimate.apply_percent(percent, at)
            if target.fleet_estimate.probability_at(at) >= known:
                # Another VM has just tried it, without success.
                target.idle_until = at
        passed_on = HealthTold(message.rows)
        return [SendMessage(VmId(vm), passed_on) for vm in message.receivers]

    def _pool(self, seen: HealthSeen, at: float) -> list[Output]:
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

    def _take_changes(self, at: float) -> dict[int, int]:
        changed = {}
        for key, pooled in self._pooled.items():
            change = pooled.take_change(at)
            if change is not None:
                changed[key] = change
        return changed

    def _measure_distance(self, key: int, data_centre: str) -> Distance:
        target = self._targets.get(key)
        if target is None or not data_centre:
            return Distance.own_data_centre
        return self._places.measure(
            target.announcement.data_centre, data_centre
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
