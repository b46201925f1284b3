"""Contact between an owner and the VMs that use what it owns."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterator
from typing import Final

import attrs

from ..types import VmId

# Without a poll, or a confirmed reply, for this long a VM counts as silent.
# Longer than the interval of polls and a round trip between regions.
SILENT_AFTER_S: Final = 0.6
# A VM uses what the owner reserves for it when its last reply is older than
# this. The owner then knows: two polls without a confirmed reply were due.
USE_RESERVE_AFTER_S: Final = 0.75
_MEMORY_S: Final = 10.0


@attrs.frozen
class OwnerContact:
    """Last contact of a VM with an owner.

    Parameters
    ----------
    term
        Term of the owner.
    at
        Time at which the last answer of the owner was received.

    """

    term: int = 0
    at: float = -math.inf


@attrs.frozen
class Silence:
    """Time during which a VM may not have reached the owner.

    Parameters
    ----------
    until
        Infinite while it lasts.

    """

    vm: VmId
    since: float
    until: float

    def overlap(self, since: float, until: float) -> float:
        """Return for how many seconds of an interval it lasted."""
        return max(0, min(self.until, until) - max(self.since, since))


class ContactLog:
    """Recent silences of all VMs, as the owner knows them.

    A VM counts as silent when it sends no more polls, or when its polls show
    that it gets no more replies.
    """

    def __init__(self) -> None:
        """Start without any VM."""
        self._heard: dict[VmId, float] = {}
        self._recorded_at: dict[VmId, float] = {}
        self._by_age: list[tuple[float, VmId]] = []
        self._current: dict[VmId, Silence] = {}
        self._ended: deque[Silence] = deque()

    def __len__(self) -> int:
        """Return the number of VMs."""
        return len(self._heard)

    def record(self, vm: VmId, at: float, answered_at: float) -> None:
        """Record a message of a VM.

        Parameters
        ----------
        answered_at
            Time of the latest answer that the VM had received when it sent
            the message.

        """
        self._advance(at)
        self._recorded_at[vm] = at
        if at - answered_at > SILENT_AFTER_S:
            self._heard[vm] = answered_at
            self._current.setdefault(vm, Silence(vm, at, math.inf))
            return
        # It will receive the reply to this message, unless the next one shows
        # that it has not.
        self._heard[vm] = at
        heapq.heappush(self._by_age, (at, vm))
        ended = self._current.pop(vm, None)
        if ended is not None:
            self._ended.append(attrs.evolve(ended, until=at))

    def forget_lost(self, at: float) -> None:
        """Remove the VMs without a message for longer than shares last."""
        for vm in tuple(self._current):
            if at - self._recorded_at[vm] > _MEMORY_S:
                for state in (self._heard, self._recorded_at, self._current):
                    state.pop(vm, None)

    def clear(self) -> None:
        """Forget all VMs, at the start of a new term."""
        self._heard.clear()
        self._recorded_at.clear()
        self._by_age.clear()
        self._current.clear()
        self._ended.clear()

    def list_silences(self, since: float, until: float) -> list[Silence]:
        """Return the silences that overlap an interval."""
        self._advance(until)
        return [
            silence
            for silence in self._iterate()
            if silence.overlap(since, until) > 0
        ]

    def _iterate(self) -> Iterator[Silence]:
        yield from self._ended
        yield from self._current.values()

    def _advance(self, at: float) -> None:
        while self._ended and self._ended[0].until < at - _MEMORY_S:
            self._ended.popleft()
        while self._by_age and self._by_age[0][0] + SILENT_AFTER_S <= at:
            heard_at, vm = heapq.heappop(self._by_age)
            if self._heard.get(vm) == heard_at:
                since = heard_at + SILENT_AFTER_S
                self._current[vm] = Silence(vm, since, math.inf)


__all__ = (
    'SILENT_AFTER_S',
    'USE_RESERVE_AFTER_S',
    'ContactLog',
    'OwnerContact',
    'Silence',
)
