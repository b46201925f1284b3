"""Policies to compare with: none of them pools evidence between VMs."""

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

_BAD = frozenset(
    (
        AttemptOutcome.failed,
        AttemptOutcome.not_connected,
        AttemptOutcome.timed_out,
    )
)
_OUT_S = 30.0
_MOST_SHARE = 0.5
_CONSECUTIVE = 5
_WINDOW_S = 10.0
_LEAST_SEEN = 10
_LEAST_PEERS = 3
_DEVIATIONS = 1.9
_OFF = Tuning(ejection_enabled=False, suspicion_enabled=False)

PolicyFactory = Callable[['Settings', LeaderLookup, random.Random], Router]


class LocalEjection(Router):
    """Base of policies in which each VM excludes targets for itself."""

    def __init__(
        self, settings: Settings, ownership: LeaderLookup, rng: random.Random
    ) -> None:
        """Start without exclusions."""
        super().__init__(settings, ownership, rng, _OFF)
        self.barred: dict[TargetId, float] = {}
        self._known: set[TargetId] = set()
        self._targets: dict[RequestId, TargetId] = {}

    def handle(self, event: Event | Notice) -> list[Output]:
        """Remember the targets and assignments."""
        if isinstance(event, TargetChanged):
            self._known.add(event.announcement.target)
        return self._remember(super().handle(event))

    def admit(self, request: AdmitRequest, at: float) -> list[Output]:
        """Admit with the barred targets excluded."""
        barred = frozenset(self.barred_at(at))
        excluded = request.excluded | barred
        request = attrs.evolve(request, excluded=excluded)
        return self._remember(super().admit(request, at))

    def release(
        self,
        request_id: RequestId,
        outcome: AttemptOutcome,
        at: float,
        latency_s: float | None = None,
    ) -> list[Output]:
        """Learn from the outcome."""
        target = self._targets.pop(request_id, None)
        if target is not None:
            self.learn(target, outcome in _BAD, at)
        outputs = super().release(request_id, outcome, at, latency_s)
        return self._remember(outputs)

    def barred_at(self, at: float) -> set[TargetId]:
        """Return the targets that this VM excludes."""
        return {name for name, until in self.barred.items() if at < until}

    def exclude(self, target: TargetId, at: float) -> None:
        """Exclude a target for a while, up to half of all."""
        barred = self.barred_at(at)
        if len(barred) < len(self._known) * _MOST_SHARE:
            self.barred[target] = at + _OUT_S

    def learn(self, target: TargetId, bad: bool, at: float) -> None:
        """Count one outcome; policies decide here."""
        raise NotImplementedError

    def _remember(self, outputs: list[Output]) -> list[Output]:
        for output in outputs:
            if isinstance(output, SlotAssigned):
                self._targets[output.request_id] = output.target
        return outputs


class ConsecutiveErrors(LocalEjection):
    """Excludes a target after five errors in a row."""

    def __init__(
        self, settings: Settings, ownership: LeaderLookup, rng: random.Random
    ) -> None:
        """Start without errors."""
        super().__init__(settings, ownership, rng)
        self._errors: Counter[TargetId] = Counter()

    def learn(self, target: TargetId, bad: bool, at: float) -> None:
        """Count errors in a row."""
        self._errors[target] = self._errors[target] + 1 if bad else 0
        if self._errors[target] >= _CONSECUTIVE:
            self._errors[target] = 0
            self.exclude(target, at)


class SuccessRate(LocalEjection):
    """Excludes targets far below the mean success rate of this VM."""

    def __init__(
        self, settings: Settings, ownership: LeaderLookup, rng: random.Random
    ) -> None:
        """Start without counts."""
        super().__init__(settings, ownership, rng)
        self._window_at: float = 0
        self._counts: dict[TargetId, list[int]] = defaultdict(lambda: [0, 0])

    def learn(self, target: TargetId, bad: bool, at: float) -> None:
        """Count per window and compare at its end."""
        self._counts[target][bad] += 1
        if at >= self._window_at + _WINDOW_S:
            self._compare(at)
            self._window_at = at
            self._counts.clear()

    def _compare(self, at: float) -> None:
        rates = {
            name: good / (good + bad)
            for name, (good, bad) in self._counts.items()
            if good + bad >= _LEAST_SEEN
        }
        if len(rates) < _LEAST_PEERS:
            return
        deviation = statistics.pstdev(rates.values())
        mean = statistics.fmean(rates.values())
        for name, rate in rates.items():
            if deviation and rate < mean - _DEVIATIONS * deviation:
                self.exclude(name, at)


def create_pooled(
    settings: Settings, ownership: LeaderLookup, rng: random.Random
) -> Router:
    """Return the product's router."""
    return Router(settings, ownership, rng)


def create_without_ejection(
    settings: Settings, ownership: LeaderLookup, rng: random.Random
) -> Router:
    """Return a router that never avoids a target."""
    return Router(settings, ownership, rng, _OFF)


POLICIES: Mapping[str, PolicyFactory] = MappingProxyType(
    {
        'pooled': create_pooled,
        'no_ejection': create_without_ejection,
        'consecutive_errors': ConsecutiveErrors,
        'success_rate': SuccessRate,
    }
)

__all__ = ('POLICIES', 'LocalEjection', 'PolicyFactory')
