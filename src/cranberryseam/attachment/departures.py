"""Departures of targets, kept and distributed by the control leader.

A departure applies to all VMs that know the target, even if the leader does
not: the table of a new leader is its copy as a follower, which is empty after a
restart. Departures are therefore sent separately from the rows of the table.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..configuration.entries import MAX_DEPARTED_TARGETS
from ..core.events import Announcement
from ..types import TargetId, VmId
from .messages import Departure


@attrs.frozen
class _PositionedDeparture:
    """A departure and its position in the order of table changes."""

    departure: Departure
    position: int


@attrs.frozen
class Waiter:
    """A control VM that waits until a departure is committed.

    Parameters
    ----------
    reply_id
        Id of the announcement at that VM.
    since
        Time at which the departure was reported.

    """

    vm: VmId
    reply_id: int
    since: float


@attrs.define(eq=False)
class Departures:
    """Departures committed to the control log, for one term of the leader."""

    _known: dict[TargetId, _PositionedDeparture] = attrs.field(factory=dict)
    _waiters: dict[Departure, list[Waiter]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of departed targets."""
        return len(self._known)

    def restore(
        self, departed: Iterable[tuple[str, int]], position: int
    ) -> None:
        """Load the departures of the log at the start of a term."""
        self._waiters.clear()
        self._known = {}
        for target, born_ms in departed:
            self.add(Departure(TargetId(target), born_ms), position)

    def add(self, departure: Departure, position: int) -> None:
        """Add a committed departure."""
        self._known.pop(departure.target, None)
        self._known[departure.target] = _PositionedDeparture(
            departure, position
        )
        if len(self._known) > MAX_DEPARTED_TARGETS:
            self._known.pop(next(iter(self._known)))

    def covers(self, target: TargetId, born_ms: int) -> bool:
        """Return whether a target started at ``born_ms`` has departed."""
        known = self._known.get(target)
        return known is not None and born_ms <= known.departure.born_ms

    def covers_announcement(self, announcement: Announcement) -> bool:
        """Return whether a target departed after the announced start."""
        return self.covers(announcement.target, announcement.born_ms)

    def list_after(self, position: int) -> tuple[Departure, ...]:
        """Return the departures after a position."""
        return tuple(
            known.departure
            for known in self._known.values()
            if known.position > position
        )

    def add_waiter(self, departure: Departure, waiter: Waiter) -> bool:
        """Add a VM that waits for the commit; return whether it is first."""
        waiters = self._waiters.setdefault(departure, [])
        waiters.append(waiter)
        return len(waiters) == 1

    def pop_waiters(self, departure: Departure) -> list[Waiter]:
        """Remove and return the VMs that wait for a departure."""
        return self._waiters.pop(departure, [])


__all__ = ('Departures', 'Waiter')
