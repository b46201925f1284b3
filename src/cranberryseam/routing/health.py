"""Belief that a target fails most of its requests at the moment.

Targets fail in spells of several seconds. A two-state model tells how likely
a target is in such a spell: each outcome moves the odds by how much more often
it occurs in one of the states, and without outcomes the belief goes back to
the usual share of time. So a target is avoided after its first failure, and is
tried again after some seconds, without being excluded.
"""

from __future__ import annotations

import math
from enum import IntEnum
from types import MappingProxyType
from typing import Final

import attrs

from .model import AttemptOutcome

# Spells of 5 to 9 s were seen, on about a third of the targets at a time; a
# smaller share is assumed, because most single failures are not a spell.
_ONSET_RATE_PER_S: Final = 0.025
_RECOVERY_RATE_PER_S: Final = 0.143
_BASELINE: Final = _ONSET_RATE_PER_S / (
    _ONSET_RATE_PER_S + _RECOVERY_RATE_PER_S
)
_DECAY_RATE_PER_S: Final = _ONSET_RATE_PER_S + _RECOVERY_RATE_PER_S
# A belief beyond these would need many outcomes to change again.
_MIN_PROBABILITY: Final = 0.005
_MAX_PROBABILITY: Final = 0.995
# Beliefs travel as percent.
_PERCENT: Final = 100


class Evidence(IntEnum):
    """What an outcome says about its target."""

    success = 0
    failure = 1
    # No connection, or no answer in time: the cause may be the path, or the
    # request itself.
    unresponsive = 2
    # Refused for lack of room, outrun by a second attempt, or lost with an idle
    # connection: the cause may be the load of all VMs, a long request, or
    # something between here and the target.
    ambiguous = 3


# Frequency of an outcome in a spell, in relation to other times: three in four
# requests fail in a spell, one in eighty at other times. Strain passes
# soon or comes from the request, so it counts for less than a late answer.
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
    """Return what an outcome says about the target, None for nothing."""
    return _EVIDENCE_BY_OUTCOME.get(outcome)


@attrs.define(eq=False)
class FailureEstimate:
    """Probability that a target is in a spell of failures."""

    probability: float = _BASELINE
    at: float = 0

    def probability_at(self, at: float) -> float:
        """Return the probability at a time, without new outcomes."""
        kept = math.exp(-_DECAY_RATE_PER_S * max(0, at - self.at))
        return _BASELINE + (self.probability - _BASELINE) * kept

    def update(self, evidence: Evidence, at: float) -> None:
        """Take an outcome into account."""
        before = self.probability_at(at)
        odds = before / (1 - before) * _LIKELIHOOD_RATIOS[evidence]
        self.replace(odds / (1 + odds), at)

    def replace(self, probability: float, at: float) -> None:
        """Replace the belief by a newer one."""
        self.probability = min(
            _MAX_PROBABILITY, max(_MIN_PROBABILITY, probability)
        )
        self.at = at

    @property
    def percent(self) -> int:
        """The probability as it is sent."""
        return round(self.probability * _PERCENT)

    def apply_percent(self, percent: int, at: float) -> None:
        """Replace the belief by one that was sent."""
        self.replace(percent / _PERCENT, at)

    def is_above_baseline(self, at: float) -> bool:
        """Return whether a success would change what VMs do."""
        return self.probability_at(at) > _BASELINE


__all__ = (
    'FailureEstimate',
    'Evidence',
    'classify_evidence',
)
