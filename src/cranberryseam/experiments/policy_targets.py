"""Simulated targets with faults, in simulated time."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

import attrs

from ..core.events import Announcement, TargetState
from ..routing import AttemptOutcome

if TYPE_CHECKING:
    import random

_MEDIAN_DURATION_S = 0.05
_SIGMA = 0.6
_FAILED_DURATION_FACTOR = 0.3
_BACKGROUND_FAILED_SHARE = 0.005
_BACKGROUND_REJECTED_SHARE = 0.02
_SLOW_DURATION_FACTOR = 5.0
_FLAP_PHASE_S = 6.0
_HALF = 0.5
_PORT = 80
_CONNECTIONS = 330
_COLD_DURATION_FACTOR = 3.0
_COLD_FAILED_SHARE = 0.1
_REFUSAL_S = 0.001
COLD_S = 4.0
# Caches stay cold for this long after the target announced readiness.
_CACHE_WARM_UP_S = 3.0


class Fault(Enum):
    """Kind of fault of a target."""

    none = 'none'
    half_failing = 'half_failing'
    all_failing = 'all_failing'
    slow = 'slow'
    flapping = 'flapping'
    shedding = 'shedding'
    cold = 'cold'
    ready_but_unreachable = 'lying'


@attrs.frozen
class AttemptPlan:
    """Outcome and duration of one attempt at a target."""

    outcome: AttemptOutcome
    duration_s: float
    occupies_slot: bool


@attrs.define(eq=False)
class SimulatedTarget:
    """A target that sheds requests when all its slots are in use."""

    announcement: Announcement
    fault: Fault = Fault.none
    fault_starts_at: float = math.inf
    slots_in_use: int = 0

    def start(
        self, at: float, bad_request: bool, rng: random.Random
    ) -> AttemptPlan:
        """Return the outcome of an attempt that arrives now."""
        fault = self.active_fault(at)
        if fault is Fault.ready_but_unreachable:
            # The target announces readiness but refuses every connection.
            return AttemptPlan(AttemptOutcome.not_connected, _REFUSAL_S, False)
        full = self.slots_in_use >= self.announcement.slots
        sheds = fault is Fault.shedding and rng.random() < _HALF
        if full or sheds:
            return AttemptPlan(AttemptOutcome.shed, _REFUSAL_S, False)
        duration_s = rng.lognormvariate(math.log(_MEDIAN_DURATION_S), _SIGMA)
        if fault is Fault.slow:
            duration_s *= _SLOW_DURATION_FACTOR
        if fault is Fault.cold:
            duration_s *= _COLD_DURATION_FACTOR
        if bad_request or rng.random() < self._find_failed_share(at, fault):
            failed_s = duration_s * _FAILED_DURATION_FACTOR
            return AttemptPlan(AttemptOutcome.failed, failed_s, True)
        if rng.random() < _BACKGROUND_REJECTED_SHARE:
            return AttemptPlan(AttemptOutcome.rejected, duration_s, True)
        return AttemptPlan(AttemptOutcome.succeeded, duration_s, True)

    def active_fault(self, at: float) -> Fault:
        """Return the fault that is active at a time."""
        if at < self.fault_starts_at:
            return Fault.none
        is_warm = at >= self.fault_starts_at + COLD_S + _CACHE_WARM_UP_S
        if self.fault is Fault.cold and is_warm:
            return Fault.none
        return self.fault

    def _find_failed_share(self, at: float, fault: Fault) -> float:
        if fault is Fault.half_failing:
            return _HALF
        if fault is Fault.all_failing:
            return 1
        if fault is Fault.cold:
            return _COLD_FAILED_SHARE
        if fault is Fault.flapping:
            phase = (at - self.fault_starts_at) % (2 * _FLAP_PHASE_S)
            return 1 if phase < _FLAP_PHASE_S else _BACKGROUND_FAILED_SHARE
        return _BACKGROUND_FAILED_SHARE


def build_announcement(
    name: tuple[str, str, str], slots: int, state: TargetState, sequence: int
) -> Announcement:
    """Return the announcement of a target.

    Parameters
    ----------
    name
        Name, region and data centre of the target.

    """
    target, region, data_centre = name
    return Announcement(
        target=target,  # type: ignore[arg-type]
        service='work',  # type: ignore[arg-type]
        host='192.0.2.1',
        port=_PORT,
        region=region,
        data_centre=data_centre,
        slots=slots,
        connections=_CONNECTIONS,
        state=state,
        sequence=sequence,
    )


__all__ = (
    'COLD_S',
    'AttemptPlan',
    'Fault',
    'SimulatedTarget',
    'build_announcement',
)
