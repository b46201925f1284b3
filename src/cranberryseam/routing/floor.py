"""Healthy capacity of a service in a region and its floor."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..core.events import Announcement, TargetState

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from ..types import TargetId

# Fractions such as 0.7 have no exact binary form; without a tolerance, 0.7 of
# 10 slots would round up to 8.
_ROUNDING_TOLERANCE = 1e-9


@attrs.frozen
class Capacity:
    """Slots of a service in a region.

    Parameters
    ----------
    announced
        Slots of all known targets in any state.
    healthy
        Slots of ready targets that no VM excludes.
    targets
        Number of healthy targets.

    """

    announced: int
    healthy: int
    targets: int

    def allows_loss(self, slots: int, floor: float) -> bool:
        """Return whether the floor is met without one healthy target."""
        left = self.healthy - slots
        return self.targets > 1 and left >= min_healthy_slots(
            self.announced, floor
        )

    def is_below(self, floor: float) -> bool:
        """Return whether the healthy slots are below the floor."""
        return self.healthy < min_healthy_slots(self.announced, floor)


def min_healthy_slots(announced: int, floor: float) -> int:
    """Return the least number of slots that must stay healthy."""
    return max(1, math.ceil(announced * floor - _ROUNDING_TOLERANCE))


def measure_capacity(
    announcements: Iterable[tuple[Announcement, bool]],
    held: Container[TargetId],
) -> Capacity:
    """Sum the slots of a service in a region.

    Parameters
    ----------
    announcements
        Announcement of each target and whether it is silent.
    held
        Targets that are ejected or may still be excluded by some VM.

    """
    announced = 0
    healthy = 0
    targets = 0
    for announcement, silent in announcements:
        announced += announcement.slots
        ready = announcement.state is TargetState.ready and not silent
        if ready and announcement.target not in held:
            healthy += announcement.slots
            targets += 1
    return Capacity(announced, healthy, targets)


__all__ = ('Capacity', 'measure_capacity', 'min_healthy_slots')
