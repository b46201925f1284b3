"""Evidence of all VMs about a service in a region, pooled by its leader."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from ..core.events import Announcement
from ..types import ServiceName, TargetId, VmId
from .demand import DemandMeter
from .detection import (
    FAILED,
    SLOW,
    Hypotheses,
    Rate,
    Score,
    decay_factor,
    healthy_rate,
    is_large_batch,
)
from .ejections import Ejections
from .evidence import Counts, TargetEvidence
from .floor import measure_capacity
from .idle_targets import IdleTargets
from .messages import OutcomeReport, ServiceView
from .model import Tuning
from .places import VmPlaces
from .target import hash_name

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

_SERVICE_FAILURE_RATE = 0.3
_MAX_FAILING_SHARE = 0.5
_OVERLOAD_SHED_RATE = 0.2
_REPORTER_TIMEOUT_S = 10.0
_HUNDREDTHS = 100
_MS_PER_S = 1000
# Each offer is made to one VM, which sends its next request there.
_OFFERED_PERMILLE = 1000
# Batch rates decay within one second instead of ten.
_BATCH_DECAY_SPEEDUP = 10
_SILENT_RETENTION_S = 300.0


@attrs.define(eq=False)
class _Reporter:
    sent_at: float
    received_at: float


@attrs.frozen
class Decision:
    """Result of one decision of the leader.

    Parameters
    ----------
    ejected, returned, lifted
        Targets with a new ejection, a passed trial, a lifted ejection.

    """

    ejected: tuple[TargetId, ...] = ()
    returned: tuple[TargetId, ...] = ()
    lifted: tuple[TargetId, ...] = ()

    @property
    def changed(self) -> bool:
        """Whether VMs must be informed immediately."""
        return bool(self.ejected or self.returned or self.lifted)


class EvidencePool:
    """Counts, scores and ejections of one service in one region."""

    def __init__(
        self,
        service: ServiceName,
        tuning: Tuning,
        rng: random.Random,
        leading_since: float,
        vm_places: VmPlaces,
    ) -> None:
        """Create an empty pool at the start of a leadership."""
        self.service = service
        self.floor = 1.0
        self.ejections = Ejections(tuning, rng)
        self.targets: dict[TargetId, TargetEvidence] = {}
        self.idle = IdleTargets(service)
        self.decided_at = leading_since
        self._by_hash: dict[int, TargetEvidence] = {}
        self._tuning = tuning
        self._vm_places = vm_places
        self._demand = DemandMeter()
        self._leading_since = leading_since
        self._sequence = 0
        self._reporters: dict[VmId, _Reporter] = {}

    def update_target(
        self, announcement: Announcement, silent: bool, ready_at: float
    ) -> None:
        """Apply an announcement.

        Parameters
        ----------
        ready_at
            Time at which the target became ready after a cold start.

        """
        evidence = self.targets.get(announcement.target)
        if evidence is None:
            evidence = TargetEvidence(announcement)
            self.targets[announcement.target] = evidence
            self._by_hash[hash_name(announcement.target)] = evidence
        evidence.announcement = announcement
        evidence.silent = silent
        evidence.ready_at = ready_at

    def receive(self, vm: VmId, report: OutcomeReport, at: float) -> None:
        """Store the rows of a report until the next decision."""
        reporter = self._reporters.get(vm)
        if reporter is None:
            reporter = _Reporter(report.sent_at, at)
            self._reporters[vm] = reporter
        elif report.sent_at <= reporter.sent_at:
            # Rows of a repeated or reordered report must not be counted twice.
            return
        reporter.sent_at = report.sent_at
        reporter.received_at = at
        data_centre = self._vm_places.find(vm)
        for row in report.rows:
            self._demand.record(data_centre, row.busy_ms)
            evidence = self._by_hash.get(row.target)
            if evidence is not None:
                evidence.rows.append((vm, row))
                name = evidence.announcement.target
                attempts = row.succeeded + row.failed + row.shed
                self.idle.record_use(name, attempts, at, row.succeeded)

    def record_outcome(self, target: int, at: float, failed: bool) -> None:
        """Record an outcome that a VM has reported at once.

        Parameters
        ----------
        target
            Hash of its name.

        """
        evidence = self._by_hash.get(target)
        if evidence is not None:
            name = evidence.announcement.target
            self.idle.record_outcome(name, at, failed)

    def forget_vm(self, vm: VmId) -> None:
        """Remove a VM that left."""
        self._reporters.pop(vm, None)

    def ready_targets(self) -> frozenset[TargetId]:
        """Return the targets that are ready for requests."""
        return frozenset(
            name for name, evidence in self.targets.items() if evidence.ready
        )

    def reporters(self) -> list[VmId]:
        """Return the VMs that use the service, sorted by name."""
        return sorted(self._reporters)

    def view_for(self, vm: VmId, region: str, at: float) -> ServiceView:
        """Return the view that answers the newest report of a VM."""
        self._sequence += 1
        # Without shared estimates, single VMs avoid a target, not all of them.
        shares_health = self._tuning.health_sharing_enabled
        proof = self.idle.find_proof(at) if shares_health else None
        serves = partial(self._serves, self._vm_places.find(vm))
        return ServiceView(
            self.service,
            region,
            self._sequence,
            self._reporters[vm].sent_at,
            self.ejections.rows_for(vm),
            tuple(
                (key, round(evidence.load * _HUNDREDTHS))
                for key, evidence in self._by_hash.items()
                if evidence.load
                and evidence.load
                >= self._tuning.load_report_threshold
                * evidence.announcement.slots
            ),
            round(self._measure_demand() * _HUNDREDTHS),
            self.idle.offer(at, serves) if shares_health else (),
            _OFFERED_PERMILLE,
            0 if proof is None else 1 + round(proof.age_s * _MS_PER_S),
            self._demand.current.to_hundredths(self._vm_places.places.names),
            proof.unproven if proof else (),
        )

    def decide(self, at: float) -> Decision:
        """Test all targets with the rows received since the last decision."""
        elapsed = max(at - self.decided_at, 1 / _MS_PER_S)
        self._demand.update(elapsed)
        self.decided_at = at
        self._drop_stale(at)
        healthy_failed = self._count_rows(elapsed)
        known = self._known()
        lifted = self.ejections.lift_below_floor(known, self.floor, at)
        if healthy_failed >= _SERVICE_FAILURE_RATE:
            for name in tuple(self.ejections.active):
                self.ejections.lift(name, at)
                lifted.append(name)
        returned = self.ejections.advance_trials(at, self.reporters())
        for name in (*lifted, *returned):
            self.targets[name].failed.reset()
            self.targets[name].slow.reset()
        ejected: list[TargetId] = []
        if self._may_eject(at, healthy_failed):
            ejected = self._eject(at)
        return Decision(tuple(ejected), tuple(returned), tuple(lifted))

    def _serves(self, data_centre: str, target: TargetId) -> bool:
        """Return whether the VMs of a data centre serve an idle target."""
        evidence = self.targets.get(target)
        if not data_centre or evidence is None:
            return True
        places = self._vm_places.places
        users = self._demand.current.find_users(
            places, evidence.announcement.data_centre
        )
        return data_centre in users

    def _measure_demand(self) -> float:
        return sum(evidence.load for evidence in self.targets.values())

    def _may_eject(self, at: float, healthy: float) -> bool:
        start = self._leading_since + self._tuning.lease_s
        if at < start + self._tuning.lease_margin_s:
            return False
        if not self._tuning.ejection_enabled or healthy >= FAILED.max_healthy:
            return False
        half = self._tuning.threshold / 2
        failing = sum(
            name in self.ejections.active or evidence.highest_score()[0] >= half
            for name, evidence in self.targets.items()
        )
        return failing <= len(self.targets) * _MAX_FAILING_SHARE

    def _eject(self, at: float) -> list[TargetId]:
        ejected = []
        candidates = sorted(
            self.targets.items(),
            key=lambda pair: (-pair[1].highest_score()[0], pair[0]),
        )
        for name, evidence in candidates:
            total, reason, score = evidence.highest_score()
            if total < self._tuning.threshold:
                break
            if self._is_ejectable(name, evidence, score, at):
                self.ejections.eject(name, reason, total, at)
                ejected.append(name)
        return ejected

    def _is_ejectable(
        self, name: TargetId, evidence: TargetEvidence, score: Score, at: float
    ) -> bool:
        possibly_excluded = self.ejections.possibly_excluded(at)
        if name in possibly_excluded or not evidence.ready:
            return False
        needed = self._tuning.threshold * self._tuning.min_remaining_share
        if score.without_largest_vm() < needed:
            return False
        capacity = measure_capacity(self._known(), possibly_excluded)
        return capacity.allows_loss(evidence.announcement.slots, self.floor)

    def _is_warming_up(self, evidence: TargetEvidence) -> bool:
        ready_s = self.decided_at - evidence.ready_at
        return not evidence.ready or ready_s < self._tuning.grace_s

    def _known(self) -> list[tuple[Announcement, bool]]:
        return [
            (evidence.announcement, evidence.silent)
            for evidence in self.targets.values()
        ]

    def _count_rows(self, elapsed: float) -> float:
        decay = decay_factor(elapsed)
        batch_decay = decay_factor(elapsed * _BATCH_DECAY_SPEEDUP)
        counted = {}
        for name, evidence in self.targets.items():
            counted[name] = evidence.count_rows(decay)
            counted[name].add_rates(evidence, decay, batch_decay)
            evidence.update_load(counted[name].busy_ms / _MS_PER_S / elapsed)
        failed, slow = self._baselines()
        for name, counts in counted.items():
            if name in self.ejections.active:
                self._count_trial(name, counts)
            else:
                self._test(name, counts, failed, slow)
        return failed

    def _test(
        self, name: TargetId, counts: Counts, failed: float, slow: float
    ) -> None:
        evidence = self.targets[name]
        if self._is_warming_up(evidence):
            # Otherwise failures of the cold start would eject it afterwards.
            evidence.failed.reset()
            evidence.slow.reset()
            return
        _test(evidence.failed, FAILED, failed, counts.failed)
        _test(evidence.slow, SLOW, slow, counts.slow)

    def _baselines(self) -> tuple[float, float]:
        active = [
            evidence
            for name, evidence in self.targets.items()
            if name not in self.ejections.active
        ]
        failed = _baseline(
            [evidence.fail_rate for evidence in active],
            [evidence.fail_batch for evidence in active],
        )
        slow = _baseline(
            [evidence.slow_rate for evidence in active],
            [evidence.slow_batch for evidence in active],
        )
        shed = healthy_rate(evidence.shed_batch for evidence in active)
        # If the better half of the targets sheds load, the load is the cause of
        # slowness. A single target may shed because it is slow itself.
        return failed, 1 if shed > _OVERLOAD_SHED_RATE else slow

    def _count_trial(self, name: TargetId, counts: Counts) -> None:
        bad = counts.trial_failures(self.ejections.active[name].reason)
        self.ejections.count_trial(name, counts.total - bad, bad)

    def _drop_stale(self, at: float) -> None:
        for vm in tuple(self._reporters):
            if at >= self._reporters[vm].received_at + _REPORTER_TIMEOUT_S:
                self._reporters.pop(vm)
        for name in tuple(self.targets):
            evidence = self.targets[name]
            if not evidence.silent:
                evidence.silent_at = at
                continue
            kept_s = 0 if evidence.draining else _SILENT_RETENTION_S
            if at >= evidence.silent_at + kept_s:
                self.targets.pop(name)
                self._by_hash.pop(hash_name(name), None)
                self.ejections.forget(name)


def _test(
    score: Score,
    hypotheses: Hypotheses,
    healthy: float,
    counts: Mapping[VmId, tuple[float, float]],
) -> None:
    if healthy >= hypotheses.max_healthy:
        score.reset()
    elif counts:
        score.add(hypotheses.log_ratios(healthy), counts)


def _baseline(rates: list[Rate], batches: list[Rate]) -> float:
    healthy = healthy_rate(rates)
    if is_large_batch(batches):
        healthy = max(healthy, healthy_rate(batches))
    return healthy


__all__ = ('Decision', 'EvidencePool')
