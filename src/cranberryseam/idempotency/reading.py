"""How a new leader collects the records of its group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.effects import SendMessage
from .messages import RecordsAsked, RecordsRead

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..types import Output, VmId
    from .replica import Replica


@attrs.define
class ReadProgress:
    """Position in the records of one member."""

    run: int = 0
    cursor: int = 0
    complete: bool = False


class MajorityReader:
    """Reads the records of members until a majority isn't blank.

    Each record that was ever confirmed is on two of the three members, so
    any two that have lost nothing have all of them together.
    """

    def __init__(
        self,
        group: str,
        term: int,
        replica: Replica,
        others: Sequence[VmId],
    ) -> None:
        """Start with nothing read."""
        self.ready = False
        self._group = group
        self._term = term
        self._replica = replica
        self._progress = {vm: ReadProgress() for vm in others}
        replica.promise(term)

    def ask_all(self) -> list[Output]:
        """Ask, or ask again, all members that aren't read completely."""
        return [
            self._ask(vm, progress)
            for vm, progress in self._progress.items()
            if not (self.ready or progress.complete)
        ]

    def take_page(
        self, sender: VmId, read: RecordsRead, at: float
    ) -> list[Output]:
        """Merge one page of a member."""
        progress = self._progress.get(sender)
        if progress is None or self.ready or progress.complete:
            return []
        if progress.run != read.run:
            # The member has restarted since the page before.
            progress.run = read.run
            progress.cursor = 0
        if read.blank or read.cursor != progress.cursor:
            return []
        for record in read.records:
            self._replica.table.merge(record, at)
        if read.following >= 0:
            progress.cursor = read.following
            return [self._ask(sender, progress)]
        progress.complete = True
        self._check_majority(at)
        return []

    def _check_majority(self, at: float) -> None:
        whole = sum(progress.complete for progress in self._progress.values())
        whole += not self._replica.is_blank(at)
        majority = (len(self._progress) + 1) // 2 + 1
        if whole >= majority:
            self.ready = True
            self._replica.mark_complete()

    def _ask(self, vm: VmId, progress: ReadProgress) -> Output:
        asked = RecordsAsked(self._group, self._term, progress.cursor)
        return SendMessage(vm, asked)


__all__ = ('MajorityReader',)
