"""Records of one group member and its answers to the group's leader."""

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

# Added to the life of a record, for its way between members and for clocks
# that run at different speeds.
_LIFETIME_MARGIN_S = 30.0
# Clocks of the operator and of the VM may differ by this much.
_INITIALISED_MARGIN_S = 2.0


class Replica:
    """Records of one group on this VM.

    Parameters
    ----------
    run
        Number of this run of the process.
    started_at, wall_s
        Start on the reducer's clock and in Unix time.

    """

    def __init__(
        self, group: str, run: int, started_at: float, wall_s: float
    ) -> None:
        """Start blank: the records of the run before are lost."""
        self.table = RecordTable()
        self.run = run
        self._group = group
        self._promised = 0
        self._blank = True
        self._wall_s = wall_s
        self._filled_at = started_at + LIFETIME_S + _LIFETIME_MARGIN_S
        self._pushed = (0, '')
        self._expected_page = 0

    def is_blank(self, at: float) -> bool:
        """Return whether records may be missing that this VM confirmed."""
        return self._blank and at < self._filled_at

    def mark_complete(self) -> None:
        """Note that all records are here."""
        self._blank = False

    def check_initialised(self, initialised_wall_s: float) -> None:
        """Note a fleet younger than this process: nothing can be missing."""
        if initialised_wall_s > self._wall_s + _INITIALISED_MARGIN_S:
            self._blank = False

    def promise(self, term: int) -> bool:
        """Refuse leaders of earlier terms from now on."""
        if term < self._promised:
            return False
        self._promised = term
        return True

    def receive(
        self, sender: VmId, message: Message, at: float
    ) -> list[Output]:
        """Apply a message of the leader."""
        match message:
            case RecordsAsked() if self.promise(message.term):
                return [SendMessage(sender, self._read(message, at))]
            case RecordStored() if self.promise(message.term):
                self.table.merge(message.record, at)
                change = message.record.change
                confirmed = RecordConfirmed(self._group, message.term, change)
                return [SendMessage(sender, confirmed)]
            case RecordsPushed() if self.promise(message.term):
                page = self._take_page(sender, message, at)
                confirmed_page = PushConfirmed(
                    self._group, message.term, self.run, page
                )
                return [SendMessage(sender, confirmed_page)]
        return []

    def _read(self, asked: RecordsAsked, at: float) -> RecordsRead:
        page = self.table.read_page(asked.cursor, at)
        return RecordsRead(
            self._group,
            asked.term,
            self.run,
            self.is_blank(at),
            asked.cursor,
            page.following,
            page.records,
        )

    def _take_page(self, sender: VmId, pushed: RecordsPushed, at: float) -> int:
        """Merge a page; return its number, or -1 if pages are missing.

        A page for another run or out of order must not complete a blank
        member, as the pages before it are not here.
        """
        push = (pushed.term, sender)
        if pushed.run != self.run:
            return -1
        if pushed.page == 0:
            self._pushed = push
            self._expected_page = 0
        if push != self._pushed or pushed.page > self._expected_page:
            return -1
        if pushed.page == self._expected_page:
            self._expected_page += 1
            for record in pushed.records:
                self.table.merge(record, at)
            if pushed.last:
                self._blank = False
        return pushed.page


__all__ = ('Replica',)
