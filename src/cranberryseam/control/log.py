"""In-memory log of a replica."""

from __future__ import annotations

import msgspec

from .records import LogBase, Membership, Record, Snapshot, StoredState


class Log:
    """Records after a base index, and the memberships they define.

    Parameters
    ----------
    stored
        State loaded from the disk.

    """

    def __init__(self, stored: StoredState) -> None:
        """Load the stored records."""
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
        """Latest membership in the log, whether committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the record that defines the latest membership."""
        return self._memberships[-1][0]

    @property
    def records(self) -> tuple[Record, ...]:
        """All records after the base."""
        return tuple(self._records)

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at a committed index."""
        found = self._memberships[0][1]
        for defined_at, membership in self._memberships:
            if defined_at <= index:
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
        self, first: int, max_records: int, max_bytes: int
    ) -> tuple[Record, ...]:
        """Return records from an index on, within both limits.

        A first record that alone exceeds the size limit is returned as well.
        """
        start = first - self.base.index - 1
        stop = start
        size = 0
        while stop < min(len(self._records), start + max_records):
            size += self._sizes[stop]
            if size > max_bytes and stop > start:
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
        """Remove all records after an index."""
        kept = last_index - self.base.index
        del self._records[kept:]  # noqa: WPS420 - copying is slow
        del self._sizes[kept:]  # noqa: WPS420 - copying is slow
        while self._memberships[-1][0] > last_index:
            self._memberships.pop()

    def compact(self, index: int) -> None:
        """Remove the records up to a committed index."""
        term = self.term_at(index)
        if term is None or index <= self.base.index:
            return
        dropped = index - self.base.index
        self._records = self._records[dropped:]
        self._sizes = self._sizes[dropped:]
        self.base = LogBase(index, term)
        while len(self._memberships) > 1 and self._memberships[1][0] <= index:
            self._memberships.pop(0)

    def continue_from(self, snapshot: Snapshot) -> None:
        """Continue from a snapshot, keeping the records that follow it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.compact(snapshot.index)
            return
        self.reset_to(snapshot)

    def reset_to(self, snapshot: Snapshot) -> None:
        """Continue from a snapshot without any records."""
        self.base = LogBase(snapshot.index, snapshot.term)
        self._records = []
        self._sizes = []
        self._memberships = [(snapshot.index, snapshot.membership)]


__all__ = ('Log',)
