"""Reports of an entry VM to the leaders of the services it uses."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from .leadership import shard_key
from .messages import OutcomeReport, OutcomeRow, ServiceView

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..types import VmId
    from .model import LeaderLookup, Tuning
    from .service import ServiceState
    from .target import Target


_HUNDREDTHS = 100
_MS_PER_S = 1000
# A VM that uses a service gets a view each second.
_IDLE_VALIDITY_S = 1.5
# The leader learns of an attempt up to a report interval after its end.
_REPORT_AGE_S = 1.0


@attrs.frozen
class DueReport:
    """A report and the leader that receives it."""

    leader: VmId
    report: OutcomeReport


@attrs.define(eq=False)
class _ReportCandidate:
    state: ServiceState
    region: str
    targets: list[Target]
    reported_at: float
    urgent: bool = False


class ReportScheduler:
    """Selects and builds the reports of one tick.

    Parameters
    ----------
    leaders
        Lookup of leaders.
    tuning
        Constants of the router.

    """

    def __init__(self, leaders: LeaderLookup, tuning: Tuning) -> None:
        """Create a scheduler without reports."""
        self._leaders = leaders
        self._tuning = tuning

    def collect(
        self, states: Iterable[ServiceState], at: float
    ) -> Iterator[DueReport]:
        """Yield the reports of this tick and reset the tallies."""
        candidates = [
            candidate
            for state in states
            for candidate in _find_candidates(state, at)
        ]
        candidates.sort(key=_order_by_urgency)
        for candidate in candidates[: self._tuning.reports_per_tick]:
            due = self._build(candidate, at)
            if due is not None:
                yield due

    def _build(
        self, candidate: _ReportCandidate, at: float
    ) -> DueReport | None:
        state = candidate.state
        view = state.region_view(candidate.region)
        period_s = at - view.reported_at
        if not view.reported_at:
            period_s = self._tuning.tick_s
        rows = tuple(_take_rows(candidate, at, period_s))
        view.record_report(at)
        key = shard_key(state.name)
        leader = self._leaders.leader_of(candidate.region, key)
        if leader is None:
            return None
        report = OutcomeReport(state.name, candidate.region, at, rows)
        return DueReport(leader, report)


def apply_view(state: ServiceState, view: ServiceView, at: float) -> bool:
    """Apply a view to a service; return False if it is outdated."""
    region = state.region_view(view.region)
    if not region.accept(at, view):
        return False
    state.invalidate()
    state.demand = view.demand / _HUNDREDTHS
    state.apply_demand(view.demands)
    loads = dict(view.loads)
    for target in state.targets.values():
        if target.announcement.region == view.region:
            target.update_other_load(loads.get(target.name_hash, 0))
            idle = target.name_hash in view.idle
            target.idle_until = at + _IDLE_VALIDITY_S if idle else at
            if view.proof_age_ms and target.name_hash not in view.unproven:
                age_s = view.proof_age_ms / _MS_PER_S + _REPORT_AGE_S
                target.proven_at = max(target.proven_at, at - age_s)
    return True


def _find_candidates(
    state: ServiceState, at: float
) -> Iterator[_ReportCandidate]:
    by_region: dict[str, list[Target]] = defaultdict(list)
    for target in state.unreported.values():
        by_region[target.announcement.region].append(target)
    for region in tuple(state.views):
        if state.views[region].ejected_at(at):
            by_region.setdefault(region, [])
    for region, targets in by_region.items():
        view = state.region_view(region)
        urgent = bool(view.ejected_at(at)) or _has_faults(targets)
        yield _ReportCandidate(state, region, targets, view.reported_at, urgent)


def _has_faults(targets: Iterable[Target]) -> bool:
    return any(
        target.tally and (target.tally.failed or target.tally.slow)
        for target in targets
    )


def _order_by_urgency(candidate: _ReportCandidate) -> tuple[bool, float]:
    return (not candidate.urgent, candidate.reported_at)


def _take_rows(
    candidate: _ReportCandidate, at: float, period_s: float
) -> Iterator[OutcomeRow]:
    for target in candidate.targets:
        yield target.take_row(at, period_s)
        if not target.in_use:
            candidate.state.unreported.pop(target.announcement.target, None)


__all__ = ('DueReport', 'ReportScheduler', 'apply_view')
