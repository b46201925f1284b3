"""Bounded table of records that expire."""

from __future__ import annotations

from itertools import dropwhile, islice
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .records import Record

LIFETIME_S = 600.0
MAX_RECORDS = 30_000
MAX_BYTES = 32_000_000
MOST_ACCOUNT_RECORDS = 8_000
MOST_ACCOUNT_BYTES = 8_000_000
_PAGE_RECORDS = 64
_PAGE_BYTES = 131_072


@attrs.define
class Entry:
    """A record with the time of its last change on this VM's clock.

    Parameters
    ----------
    cursor
        Sequence number of the merge that stored the record. Reading after a
        cursor returns the entries with higher numbers.

    """

    record: Record
    changed_at: float
    cursor: int


@attrs.define
class Usage:
    """Records and bytes of one account."""

    records: int = 0
    size_bytes: int = 0


@attrs.frozen
class Page:
    """A page of records; ``next_cursor`` is -1 for the last page."""

    records: tuple[Record, ...]
    next_cursor: int


class RecordTable:
    """Records by account and key, in the order in which they were merged."""

    def __init__(self) -> None:
        """Start empty."""
        self.size_bytes = 0
        self._entries: dict[tuple[str, str], Entry] = {}
        self._usage: dict[str, Usage] = {}
        self._cursor = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._entries)

    def find(self, account: str, key: str, at: float) -> Entry | None:
        """Return a record that has not expired."""
        entry = self._entries.get((account, key))
        if entry is None or at >= entry.changed_at + LIFETIME_S:
            return None
        return entry

    def has_room(self, account: str, size_bytes: int) -> bool:
        """Return whether a record of this size may be added."""
        usage = self._usage.get(account, Usage())
        return (
            len(self._entries) < MAX_RECORDS
            and self.size_bytes + size_bytes <= MAX_BYTES
            and usage.records < MOST_ACCOUNT_RECORDS
            and usage.size_bytes + size_bytes <= MOST_ACCOUNT_BYTES
        )

    def merge(self, record: Record, at: float) -> bool:
        """Store a record unless the same or a later version is stored."""
        record_key = (record.account, record.key)
        existing = self._entries.get(record_key)
        if existing is not None and existing.record.version >= record.version:
            return False
        self._remove(record_key)
        self._cursor += 1
        self._entries[record_key] = Entry(
            msgspec.structs.replace(record, age_s=0),
            at - record.age_s,
            self._cursor,
        )
        usage = self._usage.setdefault(record.account, Usage())
        usage.records += 1
        usage.size_bytes += record.size_bytes
        self.size_bytes += record.size_bytes
        return True

    def read_page(self, cursor: int, at: float) -> Page:
        """Return the next page of records changed after a cursor."""
        newer = dropwhile(
            lambda entry: entry.cursor <= cursor, self._entries.values()
        )
        page_entries = list(_limit_bytes(islice(newer, _PAGE_RECORDS)))
        last = not page_entries or page_entries[-1].cursor == self._cursor
        return Page(
            tuple(
                msgspec.structs.replace(
                    entry.record, age_s=at - entry.changed_at
                )
                for entry in page_entries
            ),
            -1 if last else page_entries[-1].cursor,
        )

    @property
    def newest_cursor(self) -> int:
        """Cursor of the last change."""
        return self._cursor

    def expire(self, at: float) -> int:
        """Remove expired records; return their number."""
        expired = 0
        while self._entries:
            record_key, entry = next(iter(self._entries.items()))
            if at < entry.changed_at + LIFETIME_S:
                break
            self._remove(record_key)
            expired += 1
        return expired

    def _remove(self, record_key: tuple[str, str]) -> None:
        entry = self._entries.pop(record_key, None)
        if entry is None:
            return
        usage = self._usage[entry.record.account]
        usage.records -= 1
        usage.size_bytes -= entry.record.size_bytes
        self.size_bytes -= entry.record.size_bytes
        if not usage.records:
            self._usage.pop(entry.record.account)


def _limit_bytes(entries: Iterable[Entry]) -> Iterable[Entry]:
    """Yield entries up to the size of a page, but at least one."""
    size_bytes = 0
    for entry in entries:
        if size_bytes >= _PAGE_BYTES:
            return
        size_bytes += entry.record.size_bytes
        yield entry


__all__ = ('LIFETIME_S', 'Entry', 'Page', 'RecordTable')
