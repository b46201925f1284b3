"""Collection of a group's records by its new leader."""

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
    """Reads the records of other members until a majority is complete.

    A blank member, which may have lost records in a restart, doesn't count.
    Each confirmed record is on two of the three members, so any two members
    that have kept their records hold all of them between them.
    """

    def __init__(
        self,
        group: str,
        term: int,
        replica: Replica,
        others: Sequence[VmId],
    ) -> None:
        """Start with no pages read."""
        self.ready = False
        self._group = group
        self._term = term
        self._replica = replica
        self._progress = {vm: ReadProgress() for vm in others}
        replica.accept_term(term)

    def request_pages(self) -> list[Output]:
        """Request the next page from all members not yet read completely."""
        return [
            self._request_page(vm, progress)
            for vm, progress in self._progress.items()
            if not (self.ready or progress.complete)
        ]

    def receive_page(
        self, sender: VmId, page: RecordsRead, at: float
    ) -> list[Output]:
        """Merge one page of a member's records."""
        progress = self._progress.get(sender)
        if progress is None or self.ready or progress.complete:
            return []
        if progress.run != page.run:
            # The member has restarted since the previous page.
            progress.run = page.run
            progress.cursor = 0
        if page.blank or page.cursor != progress.cursor:
            return []
        for record in page.records:
            self._replica.table.merge(record, at)
        if page.next_cursor >= 0:
            progress.cursor = page.next_cursor
            return [self._request_page(sender, progress)]
        progress.complete = True
        self._check_majority(at)
        return []

    def _check_majority(self, at: float) -> None:
        complete_members = sum(
            progress.complete for progress in self._progress.values()
        )
        complete_members += not self._replica.is_blank(at)
        majority = (len(self._progress) + 1) // 2 + 1
        if complete_members >= majority:
            self.ready = True
            self._replica.mark_complete()

    def _request_page(self, vm: VmId, progress: ReadProgress) -> Output:
        request = RecordsAsked(self._group, self._term, progress.cursor)
        return SendMessage(vm, request)


__all__ = ('MajorityReader',)
