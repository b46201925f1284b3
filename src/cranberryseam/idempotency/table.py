"""Bounded table of records with a limited life."""

from __future__ import annotations

from itertools import dropwhile, islice
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .records import Record

LIFETIME_S = 600.0
MOST_RECORDS = 30_000
MOST_BYTES = 32_000_000
MOST_ACCOUNT_RECORDS = 8_000
MOST_ACCOUNT_BYTES = 8_000_000
_PAGE_RECORDS = 64
_PAGE_BYTES = 131_072


@attrs.define
class Entry:
    """A record with the time of its last change on this VM's clock."""

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
    """Some records; ``following`` is -1 after the last ones."""

    records: tuple[Record, ...]
    following: int


class RecordTable:
    """Records by account and key, in the order of their last change."""

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
        """Return a record whose life isn't over."""
        entry = self._entries.get((account, key))
        if entry is None or at >= entry.changed_at + LIFETIME_S:
            return None
        return entry

    def has_room(self, account: str, size_bytes: int) -> bool:
        """Return whether a record of this size may be added."""
        usage = self._usage.get(account, Usage())
        return (
            len(self._entries) < MOST_RECORDS
            and self.size_bytes + size_bytes <= MOST_BYTES
            and usage.records < MOST_ACCOUNT_RECORDS
            and usage.size_bytes + size_bytes <= MOST_ACCOUNT_BYTES
        )

    def merge(self, record: Record, at: float) -> bool:
        """Store a record unless a later or the same version is there."""
        name = (record.account, record.key)
        known = self._entries.get(name)
        if known is not None and known.record.version >= record.version:
            return False
        self._remove(name)
        self._cursor += 1
        self._entries[name] = Entry(
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
        """Return the records that were changed after a cursor."""
        later = dropwhile(
            lambda entry: entry.cursor <= cursor, self._entries.values()
        )
        chosen = list(_limit_bytes(islice(later, _PAGE_RECORDS)))
        last = not chosen or chosen[-1].cursor == self._cursor
        return Page(
            tuple(
                msgspec.structs.replace(
                    entry.record, age_s=at - entry.changed_at
                )
                for entry in chosen
            ),
            -1 if last else chosen[-1].cursor,
        )

    @property
    def newest_cursor(self) -> int:
        """Cursor of the last change."""
        return self._cursor

    def expire(self, at: float) -> int:
        """Drop records whose life is over; return their number."""
        dropped = 0
        while self._entries:
            name, entry = next(iter(self._entries.items()))
            if at < entry.changed_at + LIFETIME_S:
                break
            self._remove(name)
            dropped += 1
        return dropped

    def _remove(self, name: tuple[str, str]) -> None:
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        usage = self._usage[entry.record.account]
        usage.records -= 1
        usage.size_bytes -= entry.record.size_bytes
        self.size_bytes -= entry.record.size_bytes
        if not usage.records:
            self._usage.pop(entry.record.account)


def _limit_bytes(entries: Iterable[Entry]) -> Iterable[Entry]:
    """Yield entries until a page is large enough; at least one."""
    size_bytes = 0
    for entry in entries:
        if size_bytes >= _PAGE_BYTES:
            return
        size_bytes += entry.record.size_bytes
        yield entry


__all__ = ('LIFETIME_S', 'Entry', 'Page', 'RecordTable')
