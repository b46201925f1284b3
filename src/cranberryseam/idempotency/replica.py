"""Replica of a group's records on one member."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.effects import SendMessage
from .messages import (
    PushConfirmed,
    RecordConfirmed,
    RecordsAsked,
    RecordsPushed,
    RecordsRead,
    RecordStored,
)
from .table import LIFETIME_S, RecordTable

if TYPE_CHECKING:
    from ..core.messages import Message
    from ..types import Output, VmId

# Added to the lifetime of a record, for the delay between members and for
# different clock rates.
_LIFETIME_MARGIN_S = 30.0
# Maximum difference between the clocks of the operator and of the VM.
_INITIALISED_MARGIN_S = 2.0


class Replica:
    """Records of one group on this VM.

    Parameters
    ----------
    run
        Identifies this run of the process.
    started_at, wall_s
        Start of the process on the reducer's clock and in Unix time.

    """

    def __init__(
        self, group: str, run: int, started_at: float, wall_s: float
    ) -> None:
        """Start blank: the records of an earlier run are lost."""
        self.table = RecordTable()
        self.run = run
        self._group = group
        self._min_term = 0
        self._blank = True
        self._wall_s = wall_s
        self._complete_at = started_at + LIFETIME_S + _LIFETIME_MARGIN_S
        self._current_push = (0, '')
        self._expected_page = 0

    def is_blank(self, at: float) -> bool:
        """Return whether records that this VM confirmed may be missing.

        This is so after a restart, until the replica is marked as complete or
        all records of the earlier run have expired.
        """
        return self._blank and at < self._complete_at

    def mark_complete(self) -> None:
        """Mark the replica as having all records."""
        self._blank = False

    def check_initialised(self, initialised_wall_s: float) -> None:
        """Mark as complete if the fleet was initialised after the start."""
        if initialised_wall_s > self._wall_s + _INITIALISED_MARGIN_S:
            self._blank = False

    def accept_term(self, term: int) -> bool:
        """Return whether a term is accepted; earlier ones are then refused."""
        if term < self._min_term:
            return False
        self._min_term = term
        return True

    def receive(
        self, sender: VmId, message: Message, at: float
    ) -> list[Output]:
        """Apply a message from the leader."""
        match message:
            case RecordsAsked() if self.accept_term(message.term):
                return [SendMessage(sender, self._read(message, at))]
            case RecordStored() if self.accept_term(message.term):
                self.table.merge(message.record, at)
                change = message.record.change
                confirmation = RecordConfirmed(
                    self._group, message.term, change
                )
                return [SendMessage(sender, confirmation)]
            case RecordsPushed() if self.accept_term(message.term):
                page = self._merge_page(sender, message, at)
                page_confirmation = PushConfirmed(
                    self._group, message.term, self.run, page
                )
                return [SendMessage(sender, page_confirmation)]
        return []

    def _read(self, request: RecordsAsked, at: float) -> RecordsRead:
        page = self.table.read_page(request.cursor, at)
        return RecordsRead(
            self._group,
            request.term,
            self.run,
            self.is_blank(at),
            request.cursor,
            page.next_cursor,
            page.records,
        )

    def _merge_page(
        self, sender: VmId, pushed_page: RecordsPushed, at: float
    ) -> int:
        """Merge a page; return its number, or -1 if pages are missing.

        A page for another run, or out of order, must not complete a blank
        member, which lacks the preceding pages.
        """
        push = (pushed_page.term, sender)
        if pushed_page.run != self.run:
            return -1
        if pushed_page.page == 0:
            self._current_push = push
            self._expected_page = 0
        if push != self._current_push or pushed_page.page > self._expected_page:
            return -1
        if pushed_page.page == self._expected_page:
            self._expected_page += 1
            for record in pushed_page.records:
                self.table.merge(record, at)
            if pushed_page.last:
                self._blank = False
        return pushed_page.page


__all__ = ('Replica',)
