"""Leadership of services: evidence pools and periodic decisions."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import attrs

from ..core.effects import IncrementCounter, SendMessage, SetTimer, WriteLog
from ..core.events import Announcement, TargetState
from ..types import ServiceName
from .evidence_pool import Decision, EvidencePool
from .health import Evidence
from .idle_targets import EstimateLookup
from .messages import HealthSeen, OutcomeReport, ServiceView
from .model import COMPONENT, LeaderLookup, Tuning

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from ..configuration.model import Service
    from ..types import Output, TargetId, VmId
    from .places import VmPlaces

DECIDE = 'decide'
_DECISION_INTERVAL_S = 0.5
# Another VM may have led during a longer gap between two decisions.
_MAX_DECISION_GAP_S = 2.5


def shard_key(service: str) -> str:
    """Return the shard key of a service."""
    return f'service:{service}'


@attrs.frozen
class _KnownTarget:
    announcement: Announcement
    silent: bool
    ready_at: float

    @property
    def ready(self) -> bool:
        """Whether the target is ready for requests."""
        return self.announcement.state is TargetState.ready and not self.silent


class ServiceLeadership:
    """Evidence pools of the services led by this VM, and their decisions."""

    def __init__(
        self,
        vm: VmId,
        region: str,
        tuning: Tuning,
        leaders: LeaderLookup,
        rng: random.Random,
        vm_places: VmPlaces,
    ) -> None:
        """Create a leadership without pools."""
        self._vm_places = vm_places
        self.pools: dict[ServiceName, EvidencePool] = {}
        self._vm = vm
        self._region = region
        self._tuning = tuning
        self._leaders = leaders
        self._rng = rng
        self._services: Mapping[str, Service] = {}
        self._known: dict[TargetId, _KnownTarget] = {}
        self._started_at: float = 0
        self._timer_set = False

    def configure(self, services: Mapping[str, Service]) -> None:
        """Apply the floors of a configuration."""
        self._services = services
        for pool in self.pools.values():
            self._set_floor(pool)

    def update_target(
        self, announcement: Announcement, silent: bool, at: float
    ) -> None:
        """Apply an announcement of a target of this region."""
        if announcement.region != self._region:
            return
        name = announcement.target
        known = _KnownTarget(announcement, silent, self._ready_at(name, at))
        self._known[name] = known
        pool = self.pools.get(announcement.service)
        if pool is not None:
            pool.update_target(known.announcement, silent, known.ready_at)
        if silent and announcement.state is TargetState.draining:
            self._known.pop(name)

    def receive(
        self, sender: VmId, report: OutcomeReport, at: float
    ) -> tuple[ServiceView | None, list[Output]]:
        """Store a report; return the view that answers it."""
        if report.region != self._region:
            return None, []
        pool = self._find_pool(report, at)
        if pool is None:
            return None, []
        pool.receive(sender, report, at)
        return pool.view_for(sender, self._region, at), self._set_timer(at)

    def record_outcome(self, seen: HealthSeen, at: float) -> None:
        """Record an outcome that a VM has reported at once."""
        pool = self.pools.get(ServiceName(seen.service))
        if pool is not None:
            failed = seen.evidence == Evidence.failure
            pool.record_outcome(seen.target, at, failed)

    def decide(self, at: float, estimates: EstimateLookup) -> list[Output]:
        """Decide on ejections of all led services; called by the timer.

        Parameters
        ----------
        estimates
            Lookup of failure estimates, for the log.

        """
        self._timer_set = False
        outputs: list[Output] = []
        for name in tuple(self.pools):
            pool = self.pools[name]
            if self.leads(name, at):
                outputs.extend(self._decide_one(pool, at))
                ready = pool.ready_targets()
                outputs.extend(pool.idle.update(ready, at, estimates))
            else:
                self.pools.pop(name)
        return [*outputs, *self._set_timer(at)]

    def leads(self, service: str, at: float) -> bool:
        """Return whether this VM leads a service now."""
        return self._leaders.is_leader(self._region, shard_key(service), at)

    def check_leadership(self, at: float) -> None:
        """Drop the pools of services that another VM leads now."""
        for name in tuple(self.pools):
            if not self.leads(name, at):
                self.pools.pop(name)

    def forget_vm(self, vm: VmId) -> None:
        """Remove a VM that left."""
        for pool in self.pools.values():
            pool.forget_vm(vm)

    def start(self, at: float) -> None:
        """Record the start time of this VM."""
        self._started_at = at

    def stop(self) -> None:
        """Drop all pools; ejections already sent end with their lease."""
        self.pools.clear()

    def _ready_at(self, name: TargetId, at: float) -> float:
        previous = self._known.get(name)
        if previous is None:
            # Targets first seen soon after the start of this VM are warm.
            new = at >= self._started_at + self._tuning.grace_s
            return at if new else -math.inf
        return previous.ready_at if previous.ready else at

    def _find_pool(
        self, report: OutcomeReport, at: float
    ) -> EvidencePool | None:
        name = ServiceName(report.service)
        pool = self.pools.get(name)
        if pool is not None and at > pool.decided_at + _MAX_DECISION_GAP_S:
            self.pools.pop(name)
            pool = None
        if not self.leads(name, at):
            self.pools.pop(name, None)
            return None
        return pool or self._create_pool(name, at)

    def _create_pool(self, name: ServiceName, at: float) -> EvidencePool:
        pool = EvidencePool(name, self._tuning, self._rng, at, self._vm_places)
        self._set_floor(pool)
        for known in self._known.values():
            if known.announcement.service == name:
                pool.update_target(
                    known.announcement, known.silent, known.ready_at
                )
        self.pools[name] = pool
        return pool

    def _decide_one(self, pool: EvidencePool, at: float) -> list[Output]:
        if at > pool.decided_at + _MAX_DECISION_GAP_S:
            self.pools.pop(pool.service)
            return []
        decision = pool.decide(at)
        outputs: list[Output] = []
        if decision.changed:
            outputs.extend(_log_decision(pool, decision))
            outputs.extend(self._announce(pool, pool.reporters(), at))
        return outputs

    def _announce(
        self, pool: EvidencePool, vms: Iterable[VmId], at: float
    ) -> list[Output]:
        return [
            SendMessage(vm, pool.view_for(vm, self._region, at)) for vm in vms
        ]

    def _set_floor(self, pool: EvidencePool) -> None:
        service = self._services.get(pool.service)
        if service is not None:
            pool.floor = service.floor

    def _set_timer(self, at: float) -> list[Output]:
        if self._timer_set or not self.pools:
            return []
        self._timer_set = True
        return [SetTimer(COMPONENT, DECIDE, at + _DECISION_INTERVAL_S)]


def _log_decision(pool: EvidencePool, decision: Decision) -> list[Output]:
    outputs: list[Output] = []
    for name in decision.ejected:
        ejection = pool.ejections.active[name]
        details = {
            'service': pool.service,
            'target': name,
            'reason': ejection.reason,
            'score': round(ejection.score, 1),
        }
        outputs.append(WriteLog(logging.WARNING, 'target ejected', details))
        outputs.append(IncrementCounter(f'routing.ejected.{ejection.reason}'))
    for name in (*decision.returned, *decision.lifted):
        details = {'service': pool.service, 'target': name}
        outputs.append(WriteLog(logging.INFO, 'target ejection ended', details))
        outputs.append(IncrementCounter('routing.returned'))
    return outputs


__all__ = ('DECIDE', 'ServiceLeadership', 'shard_key')
