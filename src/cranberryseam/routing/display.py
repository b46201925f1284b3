"""Answer to the operator command ``ShowTargets``."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..core.commands import CommandAnswer
from ..core.effects import AnswerCommand
from .model import INTERACTIVE_LANE

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .service import ServiceState
    from .target import Target

_SUSPICION_THRESHOLD = 0.3
_DECIMAL_PLACES = 6


def show_targets(
    command_id: int,
    version: int,
    states: Iterable[ServiceState],
    at: float,
) -> AnswerCommand:
    """Answer ``ShowTargets`` with the state of targets known to this VM."""
    rows = [
        _show_target(state, target, at)
        for state in states
        for target in state.targets.values()
    ]
    return AnswerCommand(command_id, CommandAnswer(version, {'targets': rows}))


def _show_target(
    state: ServiceState, target: Target, at: float
) -> dict[str, object]:
    status, reason, confidence = _describe(state, target, at)
    latency = state.lane(INTERACTIVE_LANE).latency.quantile_s(at, 0.5)
    announcement = target.announcement
    return {
        'target': announcement.target,
        'service': state.name,
        'region': announcement.region,
        'data_centre': announcement.data_centre,
        'state': status,
        'reason': reason,
        'confidence': confidence,
        'slots': announcement.slots,
        'in_use': target.in_use,
        'in_use_elsewhere': round(target.other_load, 2),
        'limit': round(target.limit, 2),
        'latency_s': target.latency_s or None,
        'service_latency_s': latency,
    }


def _describe(
    state: ServiceState, target: Target, at: float
) -> tuple[str, str, float]:
    if target.silent:
        return 'silent', 'no announcement', 1.0
    announced = target.announcement.state.value
    if not target.usable or target.cold:
        # The target announced that it is draining or warming up.
        return announced, 'announced by the target', 1.0
    # Brings ``state.ejected`` up to date.
    state.eligible_targets(at)
    ejection = state.ejected.get(target.announcement.target)
    if ejection is not None:
        # The score is a log likelihood ratio, so ``exp(-score)`` bounds the
        # chance that a healthy target was ejected.
        confidence = round(1 - math.exp(-ejection.score), _DECIMAL_PLACES)
        return (
            ('trial' if ejection.trial else 'ejected'),
            ejection.reason,
            confidence,
        )
    if target.suspicion > _SUSPICION_THRESHOLD:
        suspicion = round(target.suspicion, _DECIMAL_PLACES)
        return 'avoided', 'failing for this VM', suspicion
    return 'ready', '', 1.0


__all__ = ('show_targets',)
