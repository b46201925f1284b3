"""Table of targets of the control leader, with ordered changes."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final, TypeAlias

import attrs

from ..core.events import Announcement, TargetState
from ..types import TargetId
from .departures import Departures
from .messages import Departure, TargetRow

_Address: TypeAlias = tuple[str, int]

# A target may be partitioned from the control VMs while entry VMs still reach
# it, so the timeout is long. Entry VMs detect a failed target on their own.
TARGET_TIMEOUT_S: Final = 20.0
# Time after which a draining target is marked silent, and for which any silent
# target is then kept, so that VMs that were partitioned meanwhile learn of it.
_RETENTION_S: Final = 60.0


@attrs.define(eq=False)
class _Entry:
    """A target in the table.

    Parameters
    ----------
    position
        Position of the last change of the row.

    """

    row: TargetRow
    last_heard_at: float
    position: int


class TargetTable:
    """Announced targets and their departures.

    Each change has a position. A VM that has all changes up to a position needs
    only the later ones.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.position = 0
        self.departures = Departures()
        self._entries: dict[TargetId, _Entry] = {}
        # Targets at an address that aren't silent; at most one unless a
        # follower had received rows of several.
        self._holders: defaultdict[_Address, set[TargetId]] = defaultdict(set)

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._entries)

    def restore(
        self,
        rows: Mapping[TargetId, TargetRow],
        departed: Iterable[tuple[str, int]],
        at: float,
    ) -> None:
        """Start a term as leader.

        Parameters
        ----------
        rows
            The rows that this VM had received as a follower.
        departed
            The departures in the control log.

        """
        self.position = 1
        self.departures.restore(departed, self.position)
        self._entries = {
            target: _Entry(row, at, self.position)
            for target, row in rows.items()
        }
        self._holders.clear()
        for entry in self._entries.values():
            self._hold_address(entry)
            if self.departures.covers_announcement(entry.row.announcement):
                self._mark_draining(entry)

    def find(self, target: TargetId) -> Announcement | None:
        """Return the last announcement of a target."""
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

    def is_outdated(self, announcement: Announcement) -> bool:
        """Return whether an announcement has nothing newer than the table.

        ``born_ms`` is the time at which the target started, and ``sequence``
        counts its announcements since then.
        """
        if self.departures.covers_announcement(announcement):
            return True
        known = self.find(announcement.target)
        if known is None:
            return False
        if announcement.born_ms != known.born_ms:
            return announcement.born_ms < known.born_ms
        return announcement.sequence <= known.sequence

    def claim_address(self, announcement: Announcement) -> bool:
        """Assign an address to the target that started last at it.

        Return False if another target started there later. A delayed
        announcement of a crashed target must not take the address from its
        successor.
        """
        address = (announcement.host, announcement.port)
        others = [
            self._entries[target]
            for target in self._holders.get(address, ())
            if target != announcement.target
        ]
        if any(
            other.row.announcement.born_ms > announcement.born_ms
            for other in others
        ):
            return False
        for entry in others:
            self._mark_silent(entry)
        return True

    def update(self, announcement: Announcement, at: float) -> None:
        """Apply an announcement."""
        known = self._entries.get(announcement.target)
        if known is None:
            added = _Entry(TargetRow(announcement), at, self._advance())
            self._entries[announcement.target] = added
            self._hold_address(added)
            return
        known.last_heard_at = at
        before = known.row
        unchanged = (
            attrs.evolve(announcement, sequence=before.announcement.sequence)
            == before.announcement
        )
        if before.silent or not unchanged:
            known.position = self._advance()
        self._release_address(known)
        known.row = TargetRow(announcement)
        self._hold_address(known)

    def depart(self, departure: Departure, at: float) -> None:
        """Apply a committed departure."""
        self.departures.add(departure, self._advance())
        entry = self._entries.get(departure.target)
        if entry and entry.row.announcement.born_ms <= departure.born_ms:
            self._mark_draining(entry)
            entry.last_heard_at = at

    def sweep(self, at: float) -> None:
        """Expire targets that have sent no announcement for too long."""
        for target, entry in tuple(self._entries.items()):
            elapsed_s = at - entry.last_heard_at
            state = entry.row.announcement.state
            is_draining = state is TargetState.draining
            timeout_s = _RETENTION_S if is_draining else TARGET_TIMEOUT_S
            if elapsed_s > timeout_s and not entry.row.silent:
                self._mark_silent(entry)
            elif elapsed_s > timeout_s + _RETENTION_S:
                self._entries.pop(target)

    def _mark_draining(self, entry: _Entry) -> None:
        draining = attrs.evolve(
            entry.row.announcement, state=TargetState.draining
        )
        entry.row = TargetRow(draining, entry.row.silent)
        entry.position = self._advance()

    def _mark_silent(self, entry: _Entry) -> None:
        """Mark a target that timed out or lost its address to another."""
        self._release_address(entry)
        entry.row = TargetRow(entry.row.announcement, silent=True)
        entry.position = self._advance()

    def _hold_address(self, entry: _Entry) -> None:
        if not entry.row.silent:
            held = entry.row.announcement
            self._holders[held.host, held.port].add(held.target)

    def _release_address(self, entry: _Entry) -> None:
        held = entry.row.announcement
        address = (held.host, held.port)
        holders = self._holders.get(address, set())
        holders.discard(held.target)
        if not holders:
            self._holders.pop(address, None)

    def _advance(self) -> int:
        self.position += 1
        return self.position


__all__ = ('TARGET_TIMEOUT_S', 'TargetTable')
