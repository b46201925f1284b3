"""Rate limits that targets state, shared by all VMs.

A VM sees only a part of the requests at a target, and none of the others'. So
the requests that a target takes are numbered along the wall clock, and each VM
may send those whose number modulo the number of VMs is its rank. No VM needs
an answer of another one for that: the sum stays within the limit while VMs are
cut off, restarted or without a leader.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

# Time for which a VM may use a turn. Several VMs may use turns of this time
# at once, which has to fit into the tolerance of the target.
TURN_VALIDITY_S: Final = 1.5
# A target that states a limit of 0 still gets some requests; without their
# answers nobody would learn that the limit has ended.
_MIN_RATE: Final = 0.25
# VMs that no longer count may be cut off and go on for this time.
_SHRINK_DELAY_S: Final = 10.0


@attrs.define
class TurnSchedule:
    """Rank of this VM among those that send requests to the targets.

    Parameters
    ----------
    rank
        From 0 to ``vm_count`` - 1.
    vm_count
        Number of VMs; 0 while it is unknown, and this VM has no turns.
    wall_offset_s
        Wall clock less the clock of events.

    """

    rank: int = 0
    vm_count: int = 0
    wall_offset_s: float = 0
    _lower_since: float = math.inf

    def update(self, rank: int, vm_count: int, at: float) -> None:
        """Apply the rank among a number of VMs.

        A lower number is applied with a delay, because VMs that are cut off
        don't learn of it.
        """
        if vm_count >= self.vm_count:
            self._lower_since = math.inf
            self.rank = rank
            self.vm_count = vm_count
            return
        self._lower_since = min(self._lower_since, at)
        if at - self._lower_since >= _SHRINK_DELAY_S:
            self._lower_since = math.inf
            self.rank = rank
            self.vm_count = vm_count

    def find_turn(self, max_rate: float, after: float) -> float:
        """Return the first turn of this VM after a time.

        Returns
        -------
        Time of the turn; infinite if the rank is unknown.

        """
        if not self.vm_count:
            return math.inf
        rate = max(max_rate, _MIN_RATE)
        wall_s = after + self.wall_offset_s
        number = math.floor((wall_s * rate - self.rank) / self.vm_count) + 1
        turn_s = (number * self.vm_count + self.rank) / rate
        return turn_s - self.wall_offset_s


@attrs.define
class RateLimit:
    """Turns of this VM at a target that states a rate limit.

    Parameters
    ----------
    max_rate
        Requests per second from all VMs together.
    used_until
        Time of the last used turn, or of the first answer with a limit.

    """

    max_rate: float
    used_until: float
    _schedule: TurnSchedule

    def has_turn(self, at: float) -> bool:
        """Return whether this VM may send a request."""
        return self.next_turn(at) <= at

    def next_turn(self, at: float) -> float:
        """Return the time of the first turn that is still valid."""
        after = max(self.used_until, at - TURN_VALIDITY_S)
        return self._schedule.find_turn(self.max_rate, after)

    def use_turn(self, at: float) -> None:
        """Use up the first valid turn."""
        turn_at = self.next_turn(at)
        if turn_at <= at:
            self.used_until = turn_at


__all__ = ('TURN_VALIDITY_S', 'RateLimit', 'TurnSchedule')
