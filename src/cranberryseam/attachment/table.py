"""The control leader's table of targets, with the order of its changes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from ..core.events import Announcement, TargetState
from ..types import TargetId
from .departures import Departures
from .messages import Departure, TargetRow

# A target may be cut off from the control VMs while entry VMs still reach it,
# so it is given up late; entry VMs notice by themselves that it is down.
SILENT_S: Final = 20.0
# A departed target stays in the table for VMs that were cut off meanwhile.
_DEPARTED_S: Final = 60.0


@attrs.define(eq=False)
class _Entry:
    """A target in the table.

    Parameters
    ----------
    position
        Position of the last change of its row in the table.

    """

    row: TargetRow
    heard_at: float
    position: int


class TargetTable:
    """Targets as they announced themselves, and their departures.

    Each change has a position; whoever has all changes up to a position needs
    only those after it.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self.position = 0
        self.departures = Departures()
        self._entries: dict[TargetId, _Entry] = {}

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._entries)

    def restore(
        self,
        rows: Mapping[TargetId, TargetRow],
        departed: Iterable[tuple[str, int]],
        at: float,
    ) -> None:
        """Begin a term with what a follower had and the log has."""
        self.position = 1
        self.departures.restore(departed, self.position)
        self._entries = {
            target: _Entry(row, at, self.position)
            for target, row in rows.items()
        }
        for entry in self._entries.values():
            if self.departures.cover_announcement(entry.row.announcement):
                self._mark_draining(entry)

    def find(self, target: TargetId) -> Announcement | None:
        """Return what a target announced last."""
        entry = self._entries.get(target)
        return entry.row.announcement if entry else None

    def list_rows(self, position: int) -> tuple[TargetRow, ...]:
        """Return the rows that changed after a position."""
        if position >= self.position:
            return ()
        return tuple(
            entry.row
            for entry in self._entries.values()
            if entry.position > position
        )

    def is_outdated(self, came: Announcement) -> bool:
        """Return whether an announcement is older than what is known."""
        if self.departures.cover_announcement(came):
            return True
        known = self.find(came.target)
        if known is None:
            return False
        if came.born_ms != known.born_ms:
            return came.born_ms < known.born_ms
        return came.sequence <= known.sequence

    def claim_address(self, came: Announcement) -> bool:
        """Give an address to the target that started last at it.

        A late announcement of a target that crashed must not take the
        address back from its successor.
        """
        for target, entry in self._entries.items():
            other = entry.row.announcement
            if entry.row.silent or target == came.target:
                continue
            if (other.host, other.port) != (came.host, came.port):
                continue
            if other.born_ms > came.born_ms:
                return False
            self._mark_silent(entry)
        return True

    def update(self, came: Announcement, at: float) -> None:
        """Take over an announcement."""
        known = self._entries.get(came.target)
        if known is None:
            self._entries[came.target] = _Entry(
                TargetRow(came), at, self._advance()
            )
            return
        known.heard_at = at
        before = known.row
        same = (
            attrs.evolve(came, sequence=before.announcement.sequence)
            == before.announcement
        )
        if before.silent or not same:
            known.position = self._advance()
        known.row = TargetRow(came)

    def depart(self, departure: Departure, at: float) -> None:
        """Note a departure that is in the log."""
        self.departures.add(departure, self._advance())
        entry = self._entries.get(departure.target)
        if entry and entry.row.announcement.born_ms <= departure.born_ms:
            self._mark_draining(entry)
            entry.heard_at = at

    def sweep(self, at: float) -> None:
        """Give up the targets that were not heard for long."""
        for target, entry in tuple(self._entries.items()):
            unheard_s = at - entry.heard_at
            state = entry.row.announcement.state
            leaving = state is TargetState.draining
            kept_s = _DEPARTED_S if leaving else SILENT_S
            if unheard_s > kept_s and not entry.row.silent:
                self._mark_silent(entry)
            elif unheard_s > kept_s + _DEPARTED_S:
                self._entries.pop(target)

    def _mark_draining(self, entry: _Entry) -> None:
        leaving = attrs.evolve(
            entry.row.announcement, state=TargetState.draining
        )
        entry.row = TargetRow(leaving, entry.row.silent)
        entry.position = self._advance()

    def _mark_silent(self, entry: _Entry) -> None:
        entry.row = TargetRow(entry.row.announcement, silent=True)
        entry.position = self._advance()

    def _advance(self) -> int:
        self.position += 1
        return self.position


__all__ = ('SILENT_S', 'TargetTable')
