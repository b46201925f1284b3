"""Simple models of targets with faults, in virtual time."""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

import attrs

from ..core.events import Announcement, TargetState
from ..routing import AttemptOutcome

if TYPE_CHECKING:
    import random

_MEDIAN_S = 0.05
_SIGMA = 0.6
_FAIL_SHARE_OF_TIME = 0.3
_BACKGROUND_FAILED = 0.005
_BACKGROUND_REJECTED = 0.02
_SLOW_FACTOR = 5.0
_FLAP_S = 6.0
_HALF = 0.5
_PORT = 80
_CONNECTIONS = 330
_COLD_FACTOR = 3.0
_COLD_FAILED = 0.1
_REFUSED_S = 0.001
COLD_S = 4.0
# Time after the announcement of readiness in which caches are still cold.
_WARM_S = 3.0


class Fault(Enum):
    """What is wrong with a target."""

    none = 'none'
    half_failing = 'half_failing'
    all_failing = 'all_failing'
    slow = 'slow'
    flapping = 'flapping'
    shedding = 'shedding'
    cold = 'cold'
    lying = 'lying'


@attrs.frozen
class Work:
    """What a target does with one request."""

    outcome: AttemptOutcome
    takes_s: float
    holds_slot: bool


@attrs.define(eq=False)
class StubTarget:
    """A target that sheds load when its slots are taken."""

    announcement: Announcement
    fault: Fault = Fault.none
    fault_from: float = math.inf
    in_use: int = 0

    def start(self, at: float, bad_request: bool, rng: random.Random) -> Work:
        """Decide what becomes of a request that arrives now."""
        fault = self.fault_at(at)
        if fault is Fault.lying:
            # Health says ready; each request is refused at once.
            return Work(AttemptOutcome.not_connected, _REFUSED_S, False)
        full = self.in_use >= self.announcement.slots
        sheds = fault is Fault.shedding and rng.random() < _HALF
        if full or sheds:
            return Work(AttemptOutcome.shed, _REFUSED_S, False)
        takes_s = rng.lognormvariate(math.log(_MEDIAN_S), _SIGMA)
        if fault is Fault.slow:
            takes_s *= _SLOW_FACTOR
        if fault is Fault.cold:
            takes_s *= _COLD_FACTOR
        if bad_request or rng.random() < self._failed_share(at, fault):
            failed_s = takes_s * _FAIL_SHARE_OF_TIME
            return Work(AttemptOutcome.failed, failed_s, True)
        if rng.random() < _BACKGROUND_REJECTED:
            return Work(AttemptOutcome.rejected, takes_s, True)
        return Work(AttemptOutcome.succeeded, takes_s, True)

    def fault_at(self, at: float) -> Fault:
        """Return the fault in force."""
        if at < self.fault_from:
            return Fault.none
        warm = at >= self.fault_from + COLD_S + _WARM_S
        if self.fault is Fault.cold and warm:
            return Fault.none
        return self.fault

    def _failed_share(self, at: float, fault: Fault) -> float:
        if fault is Fault.half_failing:
            return _HALF
        if fault is Fault.all_failing:
            return 1
        if fault is Fault.cold:
            return _COLD_FAILED
        if fault is Fault.flapping:
            phase = (at - self.fault_from) % (2 * _FLAP_S)
            return 1 if phase < _FLAP_S else _BACKGROUND_FAILED
        return _BACKGROUND_FAILED


def announce(
    name: tuple[str, str, str], slots: int, state: TargetState, sequence: int
) -> Announcement:
    """Return the announcement of a target (name, region, data centre)."""
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


__all__ = ('COLD_S', 'Fault', 'StubTarget', 'Work', 'announce')
