"""Baseline policies, in which VMs share no health evidence."""

from __future__ import annotations

import random
import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from ..core.notices import SlotAssigned, TargetChanged
from ..routing import AdmitRequest, AttemptOutcome, LeaderLookup, Router, Tuning
from ..types import Output, RequestId, TargetId

if TYPE_CHECKING:
    from ..configuration.settings import Settings
    from ..core.events import Event
    from ..core.notices import Notice

_FAILED_OUTCOMES = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.not_connected,
        AttemptOutcome.timed_out,
    )
)
_EJECTION_S = 30.0
_MAX_EXCLUDED_SHARE = 0.5
_CONSECUTIVE_ERRORS = 5
_WINDOW_S = 10.0
_MIN_REQUESTS = 10
_MIN_TARGETS = 3
_MAX_DEVIATIONS = 1.9
_EJECTION_DISABLED = Tuning(ejection_enabled=False, suspicion_enabled=False)

PolicyFactory = Callable[['Settings', LeaderLookup, random.Random], Router]


class LocalEjection(Router):
    """Base of policies in which each VM excludes targets independently."""

    def __init__(
        self, settings: Settings, ownership: LeaderLookup, rng: random.Random
    ) -> None:
        """Create a router with no excluded targets."""
        super().__init__(settings, ownership, rng, _EJECTION_DISABLED)
        self.excluded_until: dict[TargetId, float] = {}
        self._known: set[TargetId] = set()
        self._targets: dict[RequestId, TargetId] = {}

    def handle(self, event: Event | Notice) -> list[Output]:
        """Handle an event; record known targets and assigned slots."""
        if isinstance(event, TargetChanged):
            self._known.add(event.announcement.target)
        return self._record_assignments(super().handle(event))

    def admit(self, request: AdmitRequest, at: float) -> list[Output]:
        """Admit a request, excluding the targets that this VM ejected."""
        excluded_now = frozenset(self.excluded_targets_at(at))
        excluded = request.excluded | excluded_now
        request = attrs.evolve(request, excluded=excluded)
        return self._record_assignments(super().admit(request, at))

    def release(
        self,
        request_id: RequestId,
        outcome: AttemptOutcome,
        at: float,
        latency_s: float | None = None,
    ) -> list[Output]:
        """Release a slot and record the outcome of the attempt."""
        target = self._targets.pop(request_id, None)
        if target is not None:
            self.record_outcome(target, outcome in _FAILED_OUTCOMES, at)
        outputs = super().release(request_id, outcome, at, latency_s)
        return self._record_assignments(outputs)

    def excluded_targets_at(self, at: float) -> set[TargetId]:
        """Return the targets that this VM excludes at a time."""
        return {
            name for name, until in self.excluded_until.items() if at < until
        }

    def exclude(self, target: TargetId, at: float) -> None:
        """Exclude a target for ``_EJECTION_S``, up to half of all targets."""
        excluded_now = self.excluded_targets_at(at)
        if len(excluded_now) < len(self._known) * _MAX_EXCLUDED_SHARE:
            self.excluded_until[target] = at + _EJECTION_S

    def record_outcome(self, target: TargetId, failed: bool, at: float) -> None:
        """Record an outcome; exclude the target if the policy requires it."""
        raise NotImplementedError

    def _record_assignments(self, outputs: list[Output]) -> list[Output]:
        for output in outputs:
            if isinstance(output, SlotAssigned):
                self._targets[output.request_id] = output.target
        return outputs


class ConsecutiveErrors(LocalEjection):
    """Excludes a target after ``_CONSECUTIVE_ERRORS`` consecutive errors."""

    def __init__(
        self, settings: Settings, ownership: LeaderLookup, rng: random.Random
    ) -> None:
        """Create a router with no recorded errors."""
        super().__init__(settings, ownership, rng)
        self._errors: Counter[TargetId] = Counter()

    def record_outcome(self, target: TargetId, failed: bool, at: float) -> None:
        """Count consecutive errors."""
        self._errors[target] = self._errors[target] + 1 if failed else 0
        if self._errors[target] >= _CONSECUTIVE_ERRORS:
            self._errors[target] = 0
            self.exclude(target, at)


class SuccessRate(LocalEjection):
    """Excludes targets whose success rate is an outlier at this VM."""

    def __init__(
        self, settings: Settings, ownership: LeaderLookup, rng: random.Random
    ) -> None:
        """Create a router with empty counts."""
        super().__init__(settings, ownership, rng)
        self._window_at: float = 0
        self._counts: dict[TargetId, list[int]] = defaultdict(lambda: [0, 0])

    def record_outcome(self, target: TargetId, failed: bool, at: float) -> None:
        """Count outcomes and compare the targets at the end of each window."""
        self._counts[target][failed] += 1
        if at >= self._window_at + _WINDOW_S:
            self._exclude_outliers(at)
            self._window_at = at
            self._counts.clear()

    def _exclude_outliers(self, at: float) -> None:
        rates = {
            name: succeeded / (succeeded + failed)
            for name, (succeeded, failed) in self._counts.items()
            if succeeded + failed >= _MIN_REQUESTS
        }
        if len(rates) < _MIN_TARGETS:
            return
        deviation = statistics.pstdev(rates.values())
        mean = statistics.fmean(rates.values())
        for name, rate in rates.items():
            if deviation and rate < mean - _MAX_DEVIATIONS * deviation:
                self.exclude(name, at)


def create_pooled(
    settings: Settings, ownership: LeaderLookup, rng: random.Random
) -> Router:
    """Return the production router, which pools evidence between VMs."""
    return Router(settings, ownership, rng)


def create_without_ejection(
    settings: Settings, ownership: LeaderLookup, rng: random.Random
) -> Router:
    """Return a router without ejection and suspicion."""
    return Router(settings, ownership, rng, _EJECTION_DISABLED)


POLICIES: Mapping[str, PolicyFactory] = MappingProxyType(
    {
        'pooled': create_pooled,
        'no_ejection': create_without_ejection,
        'consecutive_errors': ConsecutiveErrors,
        'success_rate': SuccessRate,
    }
)

__all__ = ('POLICIES', 'LocalEjection', 'PolicyFactory')
