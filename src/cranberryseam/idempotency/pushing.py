"""Synchronization of the other members of a group by its leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..core.effects import SendMessage
from .messages import PushConfirmed, RecordsPushed
from .table import Page, RecordTable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..types import Output, VmId

_RESEND_S = 0.5
# A restarted member is detected when it refuses the next empty page.
_CHECK_INTERVAL_S = 2.0


@attrs.define
class PushProgress:
    """Progress of the push to one member.

    Parameters
    ----------
    cursor, next_cursor
        Start and end of the page in flight; ``next_cursor`` is -1 for the
        last page.

    """

    run: int = 0
    page: int = 0
    cursor: int = 0
    next_cursor: int = 0
    complete: bool = False
    due_at: float = 0


class RecordPusher:
    """Pushes all records to the other members, one page in flight each."""

    def __init__(
        self,
        group: str,
        term: int,
        table: RecordTable,
        others: Sequence[VmId],
    ) -> None:
        """Start with no pages pushed."""
        self._group = group
        self._term = term
        self._table = table
        self._progress = {vm: PushProgress() for vm in others}

    def push_due(self, at: float) -> list[Output]:
        """Send the pages that are due."""
        return [
            self._send(vm, progress, at)
            for vm, progress in self._progress.items()
            if at >= progress.due_at
        ]

    def receive_confirmation(
        self, sender: VmId, confirmed: PushConfirmed, at: float
    ) -> list[Output]:
        """Send the next page, or restart the push for a restarted member."""
        progress = self._progress.get(sender)
        if progress is None:
            return []
        if confirmed.page < 0 or confirmed.run != progress.run:
            restarted = PushProgress(run=confirmed.run)
            self._progress[sender] = restarted
            return [self._send(sender, restarted, at)]
        if confirmed.page != progress.page:
            return []
        progress.page += 1
        if progress.next_cursor < 0:
            progress.complete = True
            progress.due_at = at + _CHECK_INTERVAL_S
            return []
        progress.cursor = progress.next_cursor
        return [self._send(sender, progress, at)]

    def _send(self, vm: VmId, progress: PushProgress, at: float) -> Output:
        progress.due_at = at + _RESEND_S
        page = Page((), -1)
        if not progress.complete:
            page = self._table.read_page(progress.cursor, at)
        progress.next_cursor = page.next_cursor
        pushed = RecordsPushed(
            self._group,
            self._term,
            progress.run,
            progress.page,
            progress.next_cursor < 0,
            page.records,
        )
        return SendMessage(vm, pushed)


__all__ = ('RecordPusher',)
