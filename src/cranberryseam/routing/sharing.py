"""Beliefs about targets that all VMs share through the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import attrs

from ..core.effects import SendMessage, SetTimer
from .health import Belief, Evidence
from .leading import shard_key
from .messages import HealthSeen, HealthTold
from .model import PART, Leaders

if TYPE_CHECKING:
    from ..types import Output, VmId
    from .target import Target

TELL: Final = 'tell'
# Outcomes that come together are told together; a request takes longer.
_TELL_S: Final = 0.03
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

    """

    def __init__(self, region: str, leaders: Leaders) -> None:
        """Start without beliefs."""
        self._region = region
        self._leaders = leaders
        self._targets: dict[int, Target] = {}
        self._pooled: dict[int, _Pooled] = {}
        self._vms: set[VmId] = set()
        self._telling = False

    def add_target(self, target: Target) -> None:
        """Let told beliefs reach a target."""
        self._targets[target.key] = target

    def remove_target(self, target: Target) -> None:
        """Forget a target that is gone."""
        self._targets.pop(target.key, None)
        self._pooled.pop(target.key, None)

    def add_vm(self, vm: VmId) -> None:
        """Tell a VM from now on."""
        self._vms.add(vm)

    def remove_vm(self, vm: VmId) -> None:
        """Tell a VM no longer."""
        self._vms.discard(vm)

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
        if self._telling:
            return []
        self._telling = True
        return [SetTimer(PART, TELL, at + _TELL_S)]

    def tell(self, at: float) -> list[Output]:
        """Tell all VMs what changed; called by the timer."""
        self._telling = False
        rows = []
        for key, pooled in self._pooled.items():
            news = pooled.take_news(at)
            if news is not None:
                rows.append((key, news))
        if not rows:
            return []
        told = HealthTold(tuple(rows))
        return [SendMessage(vm, told) for vm in sorted(self._vms)]

    def take(self, told: HealthTold, at: float) -> None:
        """Take over what the leader believes."""
        for key, percent in told.rows:
            target = self._targets.get(key)
            if target is not None:
                target.belief.take_percent(percent, at)

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
