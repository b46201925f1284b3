"""The log of a replica in memory."""

from __future__ import annotations

import msgspec

from .records import LogBase, Membership, Record, Snapshot, StoredState


class Log:
    """Records after a base, and the membership they define.

    Parameters
    ----------
    stored
        What the disk holds.

    """

    def __init__(self, stored: StoredState) -> None:
        """Take over the stored records."""
        self.base = stored.base
        self._records: list[Record] = []
        self._sizes: list[int] = []
        self._memberships = [(0, Membership())]
        if stored.snapshot is not None:
            snapshot = stored.snapshot
            self._memberships = [(snapshot.index, snapshot.membership)]
        self.extend(stored.records)

    @property
    def last_index(self) -> int:
        """Index of the last record."""
        return self.base.index + len(self._records)

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        if self._records:
            return self._records[-1].term
        return self.base.term

    @property
    def membership(self) -> Membership:
        """Membership in force, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the record that defined the membership."""
        return self._memberships[-1][0]

    @property
    def records(self) -> tuple[Record, ...]:
        """All records after the base."""
        return tuple(self._records)

    def membership_at(self, index: int) -> Membership:
        """Return the membership that was in force at a committed index."""
        found = self._memberships[0][1]
        for at_index, membership in self._memberships:
            if at_index <= index:
                found = membership
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of a record, None if it isn't in the log."""
        if index == self.base.index:
            return self.base.term
        if self.base.index < index <= self.last_index:
            return self._records[index - self.base.index - 1].term
        return None

    def record_at(self, index: int) -> Record:
        """Return a record after the base."""
        return self._records[index - self.base.index - 1]

    def read_batch(
        self, first: int, most_records: int, most_bytes: int
    ) -> tuple[Record, ...]:
        """Return records from an index on, at least one if there is one."""
        start = first - self.base.index - 1
        stop = start
        size = 0
        while stop < min(len(self._records), start + most_records):
            size += self._sizes[stop]
            if size > most_bytes and stop > start:
                break
            stop += 1
        return tuple(self._records[start:stop])

    def extend(self, records: tuple[Record, ...]) -> None:
        """Append records."""
        for record in records:
            self._records.append(record)
            self._sizes.append(len(msgspec.msgpack.encode(record)))
            membership = record.membership
            if membership is not None and record.index > self.membership_index:
                self._memberships.append((record.index, membership))

    def truncate(self, last_index: int) -> None:
        """Drop all records after an index."""
        kept = last_index - self.base.index
        del self._records[kept:]  # noqa: WPS420 - copying is slow
        del self._sizes[kept:]  # noqa: WPS420 - copying is slow
        while self._memberships[-1][0] > last_index:
            self._memberships.pop()

    def compact(self, index: int) -> None:
        """Drop the records up to an index, all of which are committed."""
        term = self.term_at(index)
        if term is None or index <= self.base.index:
            return
        dropped = index - self.base.index
        self._records = self._records[dropped:]
        self._sizes = self._sizes[dropped:]
        self.base = LogBase(index, term)
        while len(self._memberships) > 1 and self._memberships[1][0] <= index:
            self._memberships.pop(0)

    def restart(self, snapshot: Snapshot) -> None:
        """Continue after a snapshot; keep records that follow it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot.index)
            return
        self.restart_empty(snapshot)

    def restart_empty(self, snapshot: Snapshot) -> None:
        """Continue after a snapshot without any records."""
        self.base = LogBase(snapshot.index, snapshot.term)
        self._records = []
        self._sizes = []
        self._memberships = [(snapshot.index, snapshot.membership)]


__all__ = ('Log',)
