"""Sequential test by the leader that compares each target with its peers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..types import VmId

_RATE_DECAY_S = 10.0
_PRIOR_BAD = 0.05
_PRIOR_OUTCOMES = 2.0
_MIN_BATCH_OUTCOMES = 20.0
_MAX_FAULTY_RATE = 0.97
_MIN_HEALTHY_SLOW_RATE = 0.05


@attrs.frozen
class Hypotheses:
    """Failure rates of the two hypotheses of the test.

    Parameters
    ----------
    min_healthy
        Lower bound of the peers' rate; rarer failures are not significant.
    max_healthy
        Rate of the peers above which targets are not tested, because then
        the service or its load is at fault.
    factor, offset
        Coefficients of the faulty rate, a linear function of the healthy
        rate.

    """

    min_healthy: float = 0.02
    max_healthy: float = 0.4
    factor: float = 1.5
    offset: float = 0.32

    def log_ratios(self, healthy: float) -> tuple[float, float]:
        """Return the log likelihood ratios of a failure and of a success."""
        rate = max(self.min_healthy, healthy)
        faulty = min(_MAX_FAULTY_RATE, rate * self.factor + self.offset)
        return math.log(faulty / rate), math.log((1 - faulty) / (1 - rate))


# A target that fails half of its requests must be detected within 3 s at
# 20 requests/s. The faulty rate is below one half, so that the score also
# grows slowly under weaker faults. SLOW has a higher lower bound because
# healthy targets have more attempts over three medians than failures.
FAILED = Hypotheses()
SLOW = Hypotheses(min_healthy=_MIN_HEALTHY_SLOW_RATE)


@attrs.define(eq=False)
class Score:
    """CUSUM of the log likelihood ratio, with the contribution of each VM."""

    total: float = 0
    by_vm: dict[VmId, float] = attrs.field(factory=dict)

    def add(
        self,
        weights: tuple[float, float],
        counts: Mapping[VmId, tuple[float, float]],
    ) -> None:
        """Add the numbers of bad and good outcomes per VM."""
        for vm, (bad, good) in counts.items():
            part = bad * weights[0] + good * weights[1]
            self.total += part
            self.by_vm[vm] = self.by_vm.get(vm, 0) + part
        if self.total <= 0:
            self.reset()

    def without_largest_vm(self) -> float:
        """Return the score without the VM that contributes most."""
        return self.total - max(self.by_vm.values(), default=0)

    def reset(self) -> None:
        """Reset the score to zero."""
        self.total = 0
        self.by_vm.clear()


@attrs.define(eq=False)
class Rate:
    """Rate of bad outcomes with exponential decay."""

    bad: float = 0
    outcomes: float = 0

    def add(self, decay: float, bad: float, outcomes: float) -> None:
        """Multiply the counts by a decay factor, then add."""
        self.bad = self.bad * decay + bad
        self.outcomes = self.outcomes * decay + outcomes


def decay_factor(elapsed_s: float) -> float:
    """Return the decay factor of a rate for an elapsed time."""
    return math.exp(-elapsed_s / _RATE_DECAY_S)


def healthy_rate(rates: Iterable[Rate]) -> float:
    """Return the pooled rate of the better half of the targets.

    The comparison stays valid while up to half of the targets fail.
    """
    used = [rate for rate in rates if rate.outcomes >= 1]
    used.sort(key=lambda rate: rate.bad / rate.outcomes)
    better = used[: (len(used) + 1) // 2]
    bad = sum(rate.bad for rate in better)
    outcomes = sum(rate.outcomes for rate in better)
    return (bad + _PRIOR_BAD) / (outcomes + _PRIOR_OUTCOMES)


def is_large_batch(rates: Iterable[Rate]) -> bool:
    """Return whether a batch has enough outcomes to estimate a rate."""
    return sum(rate.outcomes for rate in rates) >= _MIN_BATCH_OUTCOMES


__all__ = (
    'FAILED',
    'SLOW',
    'Hypotheses',
    'Rate',
    'Score',
    'decay_factor',
    'healthy_rate',
    'is_large_batch',
)
