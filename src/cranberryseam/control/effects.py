"""Storage effects of the control log, executed in order by ``Storage``."""

from __future__ import annotations

import attrs

from ..core.effects import Effect
from .records import LogBase, Record, Snapshot


@attrs.frozen
class StorageEffect(Effect):
    """Base class; ``StorageSynced(sync_id)`` reports that it's on disk."""

    sync_id: int


@attrs.frozen
class SaveVote(StorageEffect):
    """Replace the stored term and vote."""

    term: int
    voted_for: str


@attrs.frozen
class AppendRecords(StorageEffect):
    """Remove all records from the first one's index on, then append.

    Parameters
    ----------
    commit
        Index known to be committed.

    """

    records: tuple[Record, ...]
    commit: int


@attrs.frozen
class SaveSnapshot(StorageEffect):
    """Replace the snapshot, and rewrite the log with the given records.

    Parameters
    ----------
    base
        Index and term of the record before the first of ``records``.

    """

    snapshot: Snapshot
    base: LogBase
    records: tuple[Record, ...]


__all__ = ('AppendRecords', 'SaveSnapshot', 'SaveVote', 'StorageEffect')
