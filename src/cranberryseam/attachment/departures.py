"""Departures of targets, as the control leader knows and tells them.

A departure binds VMs that know the target, even if the leader doesn't: a new
leader's table is what this VM had as a follower, and nothing after a restart.
So departures are told beside the rows of the table, never as a change of one.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..configuration.entries import MOST_DEPARTED
from ..core.events import Announcement
from ..types import TargetId, VmId
from .messages import Departure


@attrs.frozen
class _Known:
    """A departure with its position among the changes of the table."""

    departure: Departure
    position: int


@attrs.frozen
class Waiter:
    """A control VM that waits until a departure is in the log.

    Parameters
    ----------
    reply_id
        Number of the announcement at that VM.
    since
        Time at which the departure was reported.

    """

    vm: VmId
    reply_id: int
    since: float


@attrs.define(eq=False)
class Departures:
    """Departures of the control log during one term of the leader."""

    _known: dict[TargetId, _Known] = attrs.field(factory=dict)
    _waiting: dict[Departure, list[Waiter]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of targets that have left."""
        return len(self._known)

    def restore(
        self, departed: Iterable[tuple[str, int]], position: int
    ) -> None:
        """Take over what the log has at the beginning of a term."""
        self._waiting.clear()
        self._known = {}
        for target, born_ms in departed:
            self.add(Departure(TargetId(target), born_ms), position)

    def add(self, departure: Departure, position: int) -> None:
        """Note a departure that is in the log."""
        self._known.pop(departure.target, None)
        self._known[departure.target] = _Known(departure, position)
        if len(self._known) > MOST_DEPARTED:
            self._known.pop(next(iter(self._known)))

    def cover(self, target: TargetId, born_ms: int) -> bool:
        """Return whether a start of a target has left."""
        known = self._known.get(target)
        return known is not None and born_ms <= known.departure.born_ms

    def cover_announcement(self, announcement: Announcement) -> bool:
        """Return whether an announcement is of a start that has left."""
        return self.cover(announcement.target, announcement.born_ms)

    def list_after(self, position: int) -> tuple[Departure, ...]:
        """Return the departures that came after a position."""
        return tuple(
            known.departure
            for known in self._known.values()
            if known.position > position
        )

    def wait(self, departure: Departure, waiter: Waiter) -> bool:
        """Let a VM wait for the log; return whether it is the first one."""
        waiters = self._waiting.setdefault(departure, [])
        waiters.append(waiter)
        return len(waiters) == 1

    def take_waiters(self, departure: Departure) -> list[Waiter]:
        """Return, once, who waits for a departure."""
        return self._waiting.pop(departure, [])


__all__ = ('Departures', 'Waiter')
