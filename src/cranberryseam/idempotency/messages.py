"""Messages for claims and for the replication of their records."""

from __future__ import annotations

from ..core.messages import Message
from .records import Record, WireAnswer

_TAG = 500


class ClaimAsked(Message, frozen=True, array_like=True, tag=_TAG + 1):
    """Ask the owner whether a request may run under its key.

    Parameters
    ----------
    run, number
        Identify the claim together with the sender; a resent message keeps
        them.

    """

    account: str
    key: str
    fingerprint: bytes
    run: int
    number: int


class ClaimAnswered(Message, frozen=True, array_like=True, tag=_TAG + 2):
    """Answer of the owner to a claim; ``verdict`` is a ``Verdict`` value."""

    run: int
    number: int
    verdict: int
    answer: WireAnswer | None = None


class ClaimFinished(Message, frozen=True, array_like=True, tag=_TAG + 3):
    """Report the outcome of a claim; ``state`` is a final ``State`` value."""

    account: str
    key: str
    run: int
    number: int
    state: int
    answer: WireAnswer | None = None


class FinishStored(Message, frozen=True, array_like=True, tag=_TAG + 4):
    """Confirm that a majority has stored the outcome of a claim."""

    run: int
    number: int


class RecordsAsked(Message, frozen=True, array_like=True, tag=_TAG + 5):
    """Read a member's records after a cursor, as leader of a term."""

    group: str
    term: int
    cursor: int


class RecordsRead(Message, frozen=True, array_like=True, tag=_TAG + 6):
    """One page of a member's records.

    Parameters
    ----------
    blank
        Whether the member may lack records that it confirmed before.
    cursor, next_cursor
        The requested cursor and that of the next page; -1 after the last
        page.

    """

    group: str
    term: int
    run: int
    blank: bool
    cursor: int
    next_cursor: int
    records: tuple[Record, ...]


class RecordStored(Message, frozen=True, array_like=True, tag=_TAG + 7):
    """Store one record at a member."""

    group: str
    term: int
    record: Record


class RecordConfirmed(Message, frozen=True, array_like=True, tag=_TAG + 8):
    """Confirm that a member has stored a record."""

    group: str
    term: int
    change: int


class RecordsPushed(Message, frozen=True, array_like=True, tag=_TAG + 9):
    """One page of the leader's records, to synchronize a member.

    Parameters
    ----------
    run
        Process run of the member that the push is for; a member that has
        restarted since then refuses the page.

    """

    group: str
    term: int
    run: int
    page: int
    last: bool
    records: tuple[Record, ...]


class PushConfirmed(Message, frozen=True, array_like=True, tag=_TAG + 10):
    """Confirm a page; page -1 requests a restart of the push for this run."""

    group: str
    term: int
    run: int
    page: int


MESSAGES = (
    ClaimAsked,
    ClaimAnswered,
    ClaimFinished,
    FinishStored,
    RecordsAsked,
    RecordsRead,
    RecordStored,
    RecordConfirmed,
    RecordsPushed,
    PushConfirmed,
)

__all__ = (
    'MESSAGES',
    'ClaimAnswered',
    'ClaimAsked',
    'ClaimFinished',
    'FinishStored',
    'PushConfirmed',
    'RecordConfirmed',
    'RecordStored',
    'RecordsAsked',
    'RecordsPushed',
    'RecordsRead',
)
