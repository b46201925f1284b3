"""Beliefs about targets that all VMs share through the leader."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from ..core.effects import SendMessage, SetTimer
from .health import Belief, Evidence
from .leading import shard_key
from .messages import HealthSeen, HealthTold
from .model import PART, LeaderLookup

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..types import Output, VmId
    from .target import Target

TELL: Final = 'tell'
# Outcomes that come together are told together; a request takes longer.
_TELL_S: Final = 0.03
# VMs in other regions are told together what came within this time.
_TELL_ALL_S: Final = 1.0
# Smaller changes don't change the choice of a target.
_NOTABLE: Final = 0.1
_STRAINS: Final = frozenset((Evidence.silence, Evidence.strain))
# Targets of a service that are strained within this time are so together.
_TOGETHER_S: Final = 2.0
# Spells of failures hit about a third of the targets at a time.
_WIDESPREAD: Final = 0.3


@attrs.define(eq=False)
class _Pooled:
    """What the leader believes, and what it told last."""

    service: str
    belief: Belief = attrs.field(factory=Belief)
    told: Belief = attrs.field(factory=Belief)
    strained_at: float = float('-inf')

    def take_news(self, at: float) -> int | None:
        """Return the belief in percent if VMs should be told of it."""
        now = self.belief.read(at)
        if abs(now - self.told.read(at)) < _NOTABLE:
            return None
        self.told.set_to(now, at)
        return self.told.percent


class HealthSharing:
    """Sends outcomes to the leader; as the leader, tells all VMs.

    Parameters
    ----------
    region
        Region of the VM; the leader of its services is told.
    leaders
        Who leads.
    places
        Data centres with their region.

    """

    def __init__(
        self, region: str, leaders: LeaderLookup, places: Mapping[str, str]
    ) -> None:
        """Start without beliefs."""
        self._region = region
        self._places = places
        self._leaders = leaders
        self._targets: dict[int, Target] = {}
        self._pooled: dict[int, _Pooled] = {}
        self._vms: dict[VmId, str] = {}
        self._untold: dict[int, int] = {}
        self._told_all_at = float('-inf')
        self._tell_at = math.inf

    def add_target(self, target: Target) -> None:
        """Let told beliefs reach a target."""
        self._targets[target.key] = target

    def remove_target(self, target: Target) -> None:
        """Forget a target that is gone."""
        self._targets.pop(target.key, None)
        self._pooled.pop(target.key, None)

    def add_vm(self, vm: VmId, region: str = '') -> None:
        """Tell a VM from now on; its region is empty if it isn't known."""
        self._vms[vm] = region

    def remove_vm(self, vm: VmId) -> None:
        """Tell a VM no longer."""
        self._vms.pop(vm, None)

    def note(
        self, target: Target, evidence: Evidence, at: float
    ) -> list[Output]:
        """Learn an outcome, and report it if it may change a choice."""
        remarkable = target.belief.is_remarkable(at)
        if evidence is not Evidence.strain:
            target.path.learn(evidence, at)
        if evidence not in _STRAINS:
            # Whether strain comes from the target is for the leader to say.
            target.belief.learn(evidence, at)
        if evidence is Evidence.success and not remarkable:
            return []
        service = target.announcement.service
        leader = self._leaders.leader_of(self._region, shard_key(service))
        if leader is None:
            return []
        seen = HealthSeen(service, target.key, int(evidence))
        return [SendMessage(leader, seen)]

    def receive(self, seen: HealthSeen, at: float) -> list[Output]:
        """Pool an outcome that a VM saw."""
        if not self._leads(seen.service, at):
            return []
        pooled = self._pooled.setdefault(seen.target, _Pooled(seen.service))
        evidence = Evidence(seen.evidence)
        if evidence in _STRAINS:
            pooled.strained_at = at
            if self._is_widespread(seen.service, at):
                return []
        pooled.belief.learn(evidence, at)
        return self._set_timer(at + _TELL_S)

    def tell(self, at: float) -> list[Output]:
        """Tell VMs what changed; called by the timer.

        The VMs in the region of a target are told at once. The others use it
        little, and the links to them are billed by volume.
        """
        self._tell_at = math.inf
        changed = self._take_changes(at)
        self._untold.update(changed)
        tells_all = at - self._told_all_at >= _TELL_ALL_S
        told: list[Output] = []
        for vm, region in sorted(self._vms.items()):
            rows = self._untold if tells_all else self._select(changed, region)
            if rows:
                message = HealthTold(tuple(rows.items()))
                told.append(SendMessage(vm, message))
        if tells_all:
            self._told_all_at = at
            self._untold.clear()
        if self._untold:
            told.extend(self._set_timer(self._told_all_at + _TELL_ALL_S))
        return told

    def take(self, told: HealthTold, at: float) -> None:
        """Take over what the leader believes."""
        for key, percent in told.rows:
            target = self._targets.get(key)
            if target is not None:
                target.belief.take_percent(percent, at)

    def _take_changes(self, at: float) -> dict[int, int]:
        changed = {}
        for key, pooled in self._pooled.items():
            news = pooled.take_news(at)
            if news is not None:
                changed[key] = news
        return changed

    def _select(self, changed: dict[int, int], region: str) -> dict[int, int]:
        """Return the changes that VMs in a region need at once."""
        return {
            key: percent
            for key, percent in changed.items()
            if not region or region == self._find_region(key)
        }

    def _find_region(self, key: int) -> str:
        target = self._targets.get(key)
        if target is None:
            return ''
        return self._places.get(target.announcement.data_centre, '')

    def _set_timer(self, at: float) -> list[Output]:
        """Tell at a time, unless that is done earlier."""
        if at >= self._tell_at:
            return []
        self._tell_at = at
        return [SetTimer(PART, TELL, at)]

    def _is_widespread(self, service: str, at: float) -> bool:
        """Return whether so many targets are strained that the load is why.

        If each of them were avoided for it, few would be left with all work.
        """
        strained = sum(
            pooled.service == service and at - pooled.strained_at < _TOGETHER_S
            for pooled in self._pooled.values()
        )
        known = sum(
            target.announcement.service == service
            for target in self._targets.values()
        )
        return strained > max(1, known * _WIDESPREAD)

    def _leads(self, service: str, at: float) -> bool:
        key = shard_key(service)
        return self._leaders.is_leader(self._region, key, at)


__all__ = ('TELL', 'HealthSharing')
