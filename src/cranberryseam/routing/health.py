"""Estimate of the probability that a target is failing now.

Targets fail in episodes of several seconds. A two-state Markov model estimates
whether a target is in such an episode: each outcome multiplies the odds by its
likelihood ratio, and without outcomes the estimate decays to the stationary
probability. A target is therefore avoided after its first failure and tried
again after some seconds, without being excluded.
"""

from __future__ import annotations

import math
from enum import IntEnum
from types import MappingProxyType
from typing import Final

import attrs

from .model import AttemptOutcome

# Failure episodes last 5 to 9 s and affect about a third of the targets at a
# time. A smaller share is assumed, because most single failures do not belong
# to an episode.
_ONSET_RATE_PER_S: Final = 0.025
_RECOVERY_RATE_PER_S: Final = 0.143
BASELINE: Final = _ONSET_RATE_PER_S / (_ONSET_RATE_PER_S + _RECOVERY_RATE_PER_S)
_DECAY_RATE_PER_S: Final = _ONSET_RATE_PER_S + _RECOVERY_RATE_PER_S
# Bounds on the estimate; beyond them it would need many outcomes to change.
_MIN_PROBABILITY: Final = 0.005
_MAX_PROBABILITY: Final = 0.995
# Estimates are sent in percent.
PERCENT: Final = 100


class Evidence(IntEnum):
    """Kind of evidence that an outcome gives about its target."""

    success = 0
    failure = 1
    # No connection, or no answer in time; the cause may also be the network
    # path or the request.
    unresponsive = 2
    # Shed by the target, superseded by a second attempt, or lost on an idle
    # connection; the cause may also be the load of all VMs, a long request or
    # the network path.
    ambiguous = 3


# Ratio of the probabilities of an outcome in a failure episode and outside of
# one: three in four requests fail in an episode, one in eighty at other times.
# Ambiguous outcomes are short-lived or caused by the request, so they count
# less than an answer that is late.
_LIKELIHOOD_RATIOS: Final = MappingProxyType(
    {
        Evidence.success: 0.25,
        Evidence.failure: 60.0,
        Evidence.unresponsive: 6.0,
        Evidence.ambiguous: 4.0,
    }
)
_EVIDENCE_BY_OUTCOME: Final = MappingProxyType(
    {
        AttemptOutcome.succeeded: Evidence.success,
        AttemptOutcome.failed: Evidence.failure,
        AttemptOutcome.not_connected: Evidence.unresponsive,
        AttemptOutcome.shed: Evidence.ambiguous,
        AttemptOutcome.superseded: Evidence.ambiguous,
        AttemptOutcome.closed_idle: Evidence.ambiguous,
    }
)


def classify_evidence(outcome: AttemptOutcome) -> Evidence | None:
    """Return the evidence that an outcome gives; None if it gives none."""
    return _EVIDENCE_BY_OUTCOME.get(outcome)


def find_probability_after_success(elapsed_s: float) -> float:
    """Return the failure probability of a target that succeeded lately.

    VMs report failures at once, and none was reported.

    Parameters
    ----------
    elapsed_s
        Time since the success of any VM; infinite without one.

    """
    kept = math.exp(-_DECAY_RATE_PER_S * max(0, elapsed_s))
    return BASELINE + (_MIN_PROBABILITY - BASELINE) * kept


@attrs.define(eq=False)
class FailureEstimate:
    """Probability that a target is in a failure episode."""

    probability: float = BASELINE
    at: float = 0

    def probability_at(self, at: float) -> float:
        """Return the probability at a time, decayed since the last update."""
        if self.probability == BASELINE:
            return BASELINE
        kept = math.exp(-_DECAY_RATE_PER_S * max(0, at - self.at))
        return BASELINE + (self.probability - BASELINE) * kept

    def update(self, evidence: Evidence, at: float) -> None:
        """Update the probability with an outcome."""
        before = self.probability_at(at)
        odds = before / (1 - before) * _LIKELIHOOD_RATIOS[evidence]
        self.replace(odds / (1 + odds), at)

    def replace(self, probability: float, at: float) -> None:
        """Replace the probability, within the bounds."""
        self.probability = min(
            _MAX_PROBABILITY, max(_MIN_PROBABILITY, probability)
        )
        self.at = at

    @property
    def percent(self) -> int:
        """The probability in percent, as sent to other VMs."""
        return round(self.probability * PERCENT)

    def apply_percent(self, percent: int, at: float) -> None:
        """Replace the probability by one received in percent."""
        self.replace(percent / PERCENT, at)

    def is_above_baseline(self, at: float) -> bool:
        """Return whether a success could change the selection of targets."""
        return self.probability_at(at) > BASELINE


__all__ = (
    'BASELINE',
    'PERCENT',
    'Evidence',
    'FailureEstimate',
    'classify_evidence',
    'find_probability_after_success',
)
